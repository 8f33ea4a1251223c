// Package detector finds hot keys in fixed memory, whatever the number of keys.
package detector

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Options are the thresholds of a Detector; a zero field means its default.
type Options struct {
	// Tracked is how many keys of a service are counted.
	Tracked int
	// HalfLife is the time in which a past request loses half its weight.
	HalfLife time.Duration
	// Above is the share of a server's capacity over which a key becomes hot, once it has been so for HotAfter.
	Above    float64
	HotAfter time.Duration
	// Below is the share under which a hot key ceases to be hot, once it has been so for CoolAfter.
	Below     float64
	CoolAfter time.Duration
	// Samples is about how many observations a second are counted; under that rate all are.
	Samples int
}

// Defaults of Options.
const (
	DefaultTracked   = 64
	DefaultHalfLife  = 2 * time.Second
	DefaultAbove     = 0.2
	DefaultHotAfter  = time.Second / 2
	DefaultBelow     = 0.08
	DefaultCoolAfter = 20 * time.Second
	DefaultSamples   = 2000
)

// Bounds of the memory: longer keys are not tracked, nor services past the first maxServices.
const (
	maxKeyLength = 256
	maxServices  = 64
)

func (o Options) withDefaults() Options {
	if o.Tracked <= 0 {
		o.Tracked = DefaultTracked
	}
	if o.HalfLife <= 0 {
		o.HalfLife = DefaultHalfLife
	}
	if o.Above <= 0 {
		o.Above = DefaultAbove
	}
	if o.HotAfter <= 0 {
		o.HotAfter = DefaultHotAfter
	}
	if o.Below <= 0 {
		o.Below = min(DefaultBelow, o.Above/2)
	}
	if o.CoolAfter <= 0 {
		o.CoolAfter = DefaultCoolAfter
	}
	if o.Samples <= 0 {
		o.Samples = DefaultSamples
	}
	return o
}

// HotKey is a key that takes a large share of one server.
type HotKey struct {
	Service identifier.ServiceName
	Key     string
	// Share is Rate over the capacity of a server.
	Share float64
	// Rate is the weight a second.
	Rate float64
}

// heat is the hysteresis of one key.
type heat struct {
	hot bool
	// since is when the rate went past the threshold that would change hot; zero while it has not.
	since time.Time
}

// next returns the state after an evaluation with share at now.
func (h heat) next(o Options, share float64, now time.Time) heat {
	past, wait := share > o.Above, o.HotAfter
	if h.hot {
		past, wait = share < o.Below, o.CoolAfter
	}
	if !past {
		return heat{hot: h.hot}
	}
	if h.since.IsZero() {
		h.since = now
	}
	if now.Sub(h.since) >= wait {
		return heat{hot: !h.hot}
	}
	return h
}

// Detector finds the hot keys of each service. The zero Detector has the default options. It is safe for concurrent
// use: traffic calls Observe, the control thread the rest.
type Detector struct {
	options  Options
	seen     atomic.Uint64
	every    atomic.Uint64
	mu       sync.Mutex
	sketches map[identifier.ServiceName]*sketch
	capacity map[identifier.ServiceName]float64
	// since and counted are the begin of the present sampling window and the observations before it.
	since   time.Time
	counted uint64
}

// New returns a Detector with options o.
func New(o Options) *Detector {
	return &Detector{options: o}
}

// SetCapacity sets the weight a second that one server of service can take; it is 1 until set.
// With weights in seconds of execution it is the number of slots.
func (d *Detector) SetCapacity(service identifier.ServiceName, capacity float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.capacity == nil {
		d.capacity = map[identifier.ServiceName]float64{}
	}
	if capacity > 0 {
		d.capacity[service] = capacity
	}
}

// Observe counts one request of key; weight is its cost in seconds of execution.
func (d *Detector) Observe(service identifier.ServiceName, key string, weight float64, now time.Time) {
	n := d.seen.Add(1)
	every := d.every.Load()
	if every > 1 && scramble(n)%every != 0 {
		return
	}
	if len(key) > maxKeyLength {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.adapt(n, now)
	if s := d.sketch(service); s != nil {
		s.add(key, weight*float64(max(every, 1)), now)
	}
}

// scramble spreads a counter over all 64 bits, so that sampling does not follow a period of the traffic.
func scramble(n uint64) uint64 {
	n ^= n >> 30
	n *= 0xbf58476d1ce4e5b9
	n ^= n >> 27
	n *= 0x94d049bb133111eb
	return n ^ n>>31
}

const samplingWindow = time.Second

// adapt sets the sampling from the rate of the window that ends.
func (d *Detector) adapt(seen uint64, now time.Time) {
	if d.since.IsZero() {
		d.since = now
		d.counted = seen
	}
	elapsed := now.Sub(d.since)
	if elapsed < samplingWindow {
		return
	}
	rate := float64(seen-min(seen, d.counted)) / elapsed.Seconds()
	d.every.Store(max(1, uint64(rate/float64(d.options.withDefaults().Samples))))
	d.since = now
	d.counted = seen
}

// sketch returns the sketch of service, nil when there are too many services.
func (d *Detector) sketch(service identifier.ServiceName) *sketch {
	if s, ok := d.sketches[service]; ok {
		return s
	}
	if len(d.sketches) >= maxServices {
		return nil
	}
	if d.sketches == nil {
		d.sketches = map[identifier.ServiceName]*sketch{}
	}
	o := d.options.withDefaults()
	s := newSketch(o.Tracked, o.HalfLife)
	d.sketches[service] = s
	return s
}

// Forget drops all that is known of service.
func (d *Detector) Forget(service identifier.ServiceName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sketches, service)
	delete(d.capacity, service)
}

// Hot evaluates the thresholds and returns the hot keys by service and key. The times that a key must stay past a
// threshold are seen at the calls of Hot alone, so the control thread calls it several times a second.
func (d *Detector) Hot(now time.Time) []HotKey {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []HotKey
	o := d.options.withDefaults()
	for service, s := range d.sketches {
		out = append(out, d.evaluate(o, service, s, now)...)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Service != out[j].Service {
			return out[i].Service < out[j].Service
		}
		return out[i].Key < out[j].Key
	})
	return out
}

func (d *Detector) evaluate(o Options, service identifier.ServiceName, s *sketch, now time.Time) []HotKey {
	capacity := d.capacity[service]
	if capacity == 0 {
		capacity = 1
	}
	var out []HotKey
	for i := range s.counters {
		c := &s.counters[i]
		rate := s.rate(i, now)
		c.state = c.state.next(o, rate/capacity, now)
		if c.state.hot {
			out = append(out, HotKey{Service: service, Key: c.key, Share: rate / capacity, Rate: rate})
		}
	}
	return out
}
