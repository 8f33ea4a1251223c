package loadtester

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// Distribution says how keys are drawn.
type Distribution string

// The distributions of keys.
const (
	// DistributionUniform draws each key as often.
	DistributionUniform Distribution = "uniform"
	// DistributionZipf draws keys by Zipf's law.
	DistributionZipf Distribution = "zipf"
	// DistributionHot draws one key with the share of HotShare and the others uniformly; the hot key moves.
	DistributionHot Distribution = "hot"
)

const (
	defaultZipf     = 1.1
	defaultHotShare = 0.5
)

// Keys says which keys the requests have.
type Keys struct {
	Distribution Distribution `yaml:"distribution"`
	// Count is how many keys there are; 0 is 1,000.
	Count int `yaml:"count"`
	// Zipf is the exponent, above 1.
	Zipf float64 `yaml:"zipf"`
	// HotShare is the share of requests that the hot key gets, from 0 to 1.
	HotShare float64 `yaml:"hot_share"`
	// HotEvery is the time after which another key is hot; 0 is never.
	HotEvery time.Duration `yaml:"hot_every"`
}

func (k Keys) check() error {
	if k.Count < 0 || k.Count > maxKeys {
		return errors.Errorf("keys: count is from 1 to %d", maxKeys)
	}
	if k.HotShare < 0 || k.HotShare > 1 || k.Zipf != 0 && k.Zipf <= 1 {
		return errors.New("keys: hot_share is from 0 to 1, zipf is above 1")
	}
	switch k.Distribution {
	case "", DistributionUniform, DistributionZipf, DistributionHot:
		return nil
	}
	return errors.Errorf("keys: distribution %q is none of uniform, zipf, hot", k.Distribution)
}

// keyDrawer draws the number of a key: a uniformDrawer, a zipfDrawer or a hotDrawer.
type keyDrawer interface {
	keyDrawer()
}

type uniformDrawer struct {
	count int
}

type zipfDrawer struct {
	zipf *rand.Zipf
}

type hotDrawer struct {
	count int
	share float64
	every time.Duration
}

func (uniformDrawer) keyDrawer() {}
func (zipfDrawer) keyDrawer()    {}
func (hotDrawer) keyDrawer()     {}

// drawer returns the drawer for k, which has been checked.
func (k Keys) drawer(random *rand.Rand) keyDrawer {
	count := orDefault(k.Count, defaultKeys)
	switch k.Distribution {
	case DistributionZipf:
		return zipfDrawer{zipf: rand.NewZipf(random, orDefault(k.Zipf, defaultZipf), 1, uint64(count-1))}
	case DistributionHot:
		return hotDrawer{count: count, share: orDefault(k.HotShare, defaultHotShare), every: k.HotEvery}
	}
	return uniformDrawer{count: count}
}

// draw returns the key of a request that is sent the given time after the start. Keys are evenly spread over all numbers.
func (k Keys) draw(drawer keyDrawer, random *rand.Rand, sinceStart time.Duration) uint16 {
	number := 0
	switch d := drawer.(type) {
	case uniformDrawer:
		number = random.IntN(d.count)
	case zipfDrawer:
		number = int(d.zipf.Uint64())
	case hotDrawer:
		number = d.draw(random, sinceStart)
	}
	return uint16(number * (keySpace / orDefault(k.Count, defaultKeys)))
}

func (d hotDrawer) draw(random *rand.Rand, sinceStart time.Duration) int {
	number := random.IntN(d.count)
	if random.Float64() >= d.share {
		return number
	}
	if d.every <= 0 {
		return 0
	}
	return int(sinceStart/d.every) % d.count
}

func orDefault[T comparable](value, absent T) T {
	var zero T
	if value == zero {
		return absent
	}
	return value
}
