package loadtester

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Distribution is the probability distribution of the requests' keys.
type Distribution string

// The distributions of keys.
const (
	// DistributionUniform gives all keys the same probability.
	DistributionUniform Distribution = "uniform"
	// DistributionZipf is a Zipf distribution, with key 0 the most frequent.
	DistributionZipf Distribution = "zipf"
	// DistributionHot gives one hot key the share Keys.HotShare of the requests and draws the rest uniformly from all keys.
	// The hot key changes every Keys.HotEvery.
	DistributionHot Distribution = "hot"
)

const (
	defaultZipfExponent = 1.1
	defaultHotShare     = 0.5
)

// Keys configures how the keys of requests are chosen.
type Keys struct {
	Distribution Distribution `yaml:"distribution"`
	// Count is the number of distinct keys; 0 means 1,000.
	Count int `yaml:"count"`
	// Zipf is the exponent of DistributionZipf, above 1; 0 means 1.1.
	Zipf float64 `yaml:"zipf"`
	// HotShare is the fraction of requests for the hot key, from 0 to 1; 0 means 0.5.
	HotShare float64 `yaml:"hot_share"`
	// HotEvery is the interval at which the next key becomes the hot one; 0 means never.
	HotEvery time.Duration `yaml:"hot_every"`
}

// check returns an error if a value of k is out of its range.
func (k Keys) check() error {
	if k.Count < 0 || k.Count > maxKeyCount {
		return errors.Errorf("keys: count must be from 0 to %d", maxKeyCount)
	}
	if k.HotShare < 0 || k.HotShare > 1 || k.Zipf != 0 && k.Zipf <= 1 {
		return errors.New("keys: hot_share must be from 0 to 1 and zipf above 1")
	}
	switch k.Distribution {
	case "", DistributionUniform, DistributionZipf, DistributionHot:
		return nil
	}
	return errors.Errorf("keys: unknown distribution %q, want uniform, zipf or hot", k.Distribution)
}

// keySampler samples ranks of keys, from 0; it is a uniformSampler, a zipfSampler or a hotSampler.
type keySampler interface {
	keySampler()
}

type uniformSampler struct {
	count int
}

type zipfSampler struct {
	zipf *rand.Zipf
}

type hotSampler struct {
	count    int
	share    float64
	interval time.Duration
}

func (uniformSampler) keySampler() {}
func (zipfSampler) keySampler()    {}
func (hotSampler) keySampler()     {}

// newSampler returns the sampler for k, which must have passed check.
func (k Keys) newSampler(random *rand.Rand) keySampler {
	count := orDefault(k.Count, defaultKeyCount)
	switch k.Distribution {
	case DistributionZipf:
		return zipfSampler{zipf: rand.NewZipf(random, orDefault(k.Zipf, defaultZipfExponent), 1, uint64(count-1))}
	case DistributionHot:
		return hotSampler{count: count, share: orDefault(k.HotShare, defaultHotShare), interval: k.HotEvery}
	}
	return uniformSampler{count: count}
}

// sample returns the key of a request that is due the given time after the start of the run. The ranks of the Count keys are
// spread evenly over the key space.
func (k Keys) sample(sampler keySampler, random *rand.Rand, sinceStart time.Duration) uint16 {
	rank := 0
	switch s := sampler.(type) {
	case uniformSampler:
		rank = random.IntN(s.count)
	case zipfSampler:
		rank = int(s.zipf.Uint64())
	case hotSampler:
		rank = s.sample(random, sinceStart)
	}
	return uint16(rank * (keySpace / orDefault(k.Count, defaultKeyCount)))
}

// sample returns the rank of a key, which is that of the hot key with the probability share.
func (s hotSampler) sample(random *rand.Rand, sinceStart time.Duration) int {
	rank := random.IntN(s.count)
	if random.Float64() >= s.share {
		return rank
	}
	if s.interval <= 0 {
		return 0
	}
	return int(sinceStart/s.interval) % s.count
}

// orDefault returns value, or fallback if value is the zero value.
func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
