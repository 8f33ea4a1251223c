// Package meter holds the metrics of an instance, based on go-metrics.
//
// Counters and gauges are array elements of Meter, so that counting needs neither a registry lookup nor a lock. Timers take
// a lock and are meant for the control plane only, which is elections, reports, grants and reads of the store; durations
// of requests are counted in histogram buckets instead.
package meter

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// timerSampleCount is the number of durations that a timer keeps for its percentiles.
const timerSampleCount = 512

// Meter holds the counters, gauges and timers of one process. The zero Meter is ready to use.
// It must not be copied after first use, and is safe for concurrent use.
type Meter struct {
	counters         [counterCount]metrics.StandardCounter
	gauges           [gaugeCount]metrics.StandardGauge
	refusals         [refusalCount]metrics.StandardCounter // by index in refusalReasons
	requestDurations [bucketCount]metrics.StandardCounter  // by bucket

	mu     sync.Mutex
	timers [timerCount]metrics.Histogram
}

// New returns a Meter whose counts are all 0.
func New() *Meter {
	return &Meter{}
}

// Count adds 1 to a counter.
func (m *Meter) Count(c Counter) {
	m.counters[c].Inc(1)
}

// Add adds n to a counter.
func (m *Meter) Add(c Counter, n int) {
	m.counters[c].Inc(int64(n))
}

// Get returns the current count of a counter.
func (m *Meter) Get(c Counter) int64 {
	return m.counters[c].Count()
}

// Set sets a gauge.
func (m *Meter) Set(g Gauge, value int64) {
	m.gauges[g].Update(value)
}

// GetGauge returns the current value of a gauge.
func (m *Meter) GetGauge(g Gauge) int64 {
	return m.gauges[g].Value()
}

// CountRefusal counts an answer by which the entry instance itself says that the request was not executed. reason is the
// reason in the log, up to the colon that precedes details. Reasons that RefusalReasons does not list are counted together
// as "other".
func (m *Meter) CountRefusal(reason string) {
	m.refusals[refusalIndex[reason]].Inc(1)
}

// GetRefusalCount returns how many answers CountRefusal counted for reason.
func (m *Meter) GetRefusalCount(reason string) int64 {
	return m.refusals[refusalIndex[reason]].Count()
}

// ObserveRequest counts the duration of a request from its arrival to the final answer.
func (m *Meter) ObserveRequest(d time.Duration) {
	m.requestDurations[bucketIndex(d)].Inc(1)
}

// Observe records the duration of one operation of the control plane.
func (m *Meter) Observe(t Timer, d time.Duration) {
	m.histogram(t).Update(int64(d))
}

// histogram returns the histogram of a timer, which is created on first use.
func (m *Meter) histogram(t Timer) metrics.Histogram {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.timers[t] == nil {
		m.timers[t] = metrics.NewHistogram(metrics.NewUniformSample(timerSampleCount))
	}
	return m.timers[t]
}

// requestBucketBounds are the inclusive upper bounds of the buckets of ObserveRequest; one more bucket has no bound.
var requestBucketBounds = [...]time.Duration{
	time.Millisecond,
	2 * time.Millisecond,
	5 * time.Millisecond,
	10 * time.Millisecond,
	20 * time.Millisecond,
	50 * time.Millisecond,
	100 * time.Millisecond,
	200 * time.Millisecond,
	500 * time.Millisecond,
	time.Second,
	5 * time.Second,
	30 * time.Second,
}

const bucketCount = len(requestBucketBounds) + 1

func bucketIndex(d time.Duration) int {
	for i, bound := range requestBucketBounds {
		if d <= bound {
			return i
		}
	}
	return bucketCount - 1
}
