package queuer

import "time"

const (
	// ewmaWeight is the weight of a new service time in the exponentially weighted moving average.
	ewmaWeight = 0.1
	// initialServiceTime is the assumed service time of a class before any was measured.
	initialServiceTime = 100 * time.Millisecond
	// loadWindow is the time over which the load is averaged.
	loadWindow = 2 * time.Second
)

// class holds the measurements of a request class.
type class struct {
	mean, deviation time.Duration // service time, and its mean absolute deviation
}

// capacity returns how many requests the usable servers are likely to run concurrently under load: as many as they have
// slots, or as many as their limits let begin within a service time.
func (q *Queue) capacity(now time.Time) float64 {
	total := 0.0
	for _, s := range q.servers {
		if s.usable(now) {
			total += s.capacity(now)
		}
	}
	return total
}

// addLoad adds the expected service time of a request to the load.
func (q *Queue) addLoad(now time.Time, r Request) {
	q.decayLoad(now)
	q.load += q.serviceTime(r).Seconds() / (loadWindow.Seconds() * q.divisor(now))
}

// divisor returns the capacity, or 1 without a usable server, so that loads and times can be divided by it.
func (q *Queue) divisor(now time.Time) float64 {
	if capacity := q.capacity(now); capacity > 0 {
		return capacity
	}
	return 1
}

// decayLoad reduces the load by the fraction of loadWindow that has passed since its last reduction.
func (q *Queue) decayLoad(now time.Time) {
	if elapsed := now.Sub(q.loadDecayedAt); elapsed > 0 {
		q.load *= max(0, 1-elapsed.Seconds()/loadWindow.Seconds())
		q.loadDecayedAt = now
	}
}

// serviceTime returns the expected service time of a request.
func (q *Queue) serviceTime(r Request) time.Duration {
	if c := q.classes[r.Class]; c != nil {
		return c.mean
	}
	return initialServiceTime
}

func (q *Queue) recordServiceTime(now time.Time, className string, took time.Duration) {
	if q.times == nil {
		q.times = &ServiceTimes{}
	}
	q.times.record(now, className, took)
	c := q.classes[className]
	if c == nil {
		if q.classes == nil {
			q.classes = map[string]*class{}
		}
		q.classes[className] = &class{mean: took}
		return
	}
	difference := took - c.mean
	c.mean += time.Duration(ewmaWeight * float64(difference))
	c.deviation += time.Duration(ewmaWeight * float64(difference.Abs()-c.deviation))
}
