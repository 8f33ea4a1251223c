package queuer

import "time"

const (
	// serviceTimeWindow is the time over which the least and the greatest service time of a class are found. The window before
	// counts as well.
	serviceTimeWindow = 10 * time.Second
	// serviceTimeValidity is how long after the last answer of a class it counts what is likely. After that, requests
	// are sent again whatever it was, so that a class whose requests all have less time left is measured again.
	serviceTimeValidity = time.Second
	// usualDeviations is how many mean deviations the usual service time lies above the mean.
	usualDeviations = 2
	// recentServiceTimes is how many service times of a class show whether an answer in time is likely. With fewer, requests whose
	// time suffices for most are refused more often.
	recentServiceTimes = 32
)

// ServiceTimes holds the service times of each class that were measured of late. The queues of an instance share it, so that
// a queue without an answer so far knows the classes. The zero ServiceTimes has no measurement. It is not safe for concurrent
// use.
type ServiceTimes struct {
	classes map[string]*serviceTimes
}

// serviceTimes are the measurements of one class.
type serviceTimes struct {
	windowStart                       time.Time
	leastPresent, leastPrevious       time.Duration // least service times of two consecutive windows; 0 if none was measured
	greatestPresent, greatestPrevious time.Duration // the greatest ones
	mean, deviation                   time.Duration // exponentially weighted moving averages
	recordedAt                        time.Time     // when the last one was measured
	recent                            [recentServiceTimes]time.Duration
	recorded                          int // how many were measured; recent is a ring
}

// record counts the service time of an answered request.
func (t *ServiceTimes) record(now time.Time, className string, took time.Duration) {
	c := t.classes[className]
	if c == nil {
		if t.classes == nil {
			t.classes = map[string]*serviceTimes{}
		}
		c = &serviceTimes{windowStart: now, mean: took}
		t.classes[className] = c
	}
	c.advance(now)
	if c.leastPresent == 0 || took < c.leastPresent {
		c.leastPresent = took
	}
	c.greatestPresent = max(c.greatestPresent, took)
	difference := took - c.mean
	c.mean += time.Duration(ewmaWeight * float64(difference))
	c.deviation += time.Duration(ewmaWeight * float64(difference.Abs()-c.deviation))
	c.recordedAt = now
	c.recent[c.recorded%recentServiceTimes] = took
	c.recorded++
}

// advance begins a new window if the present one has ended.
func (c *serviceTimes) advance(now time.Time) {
	switch elapsed := now.Sub(c.windowStart); {
	case elapsed < serviceTimeWindow:
		return
	case elapsed < 2*serviceTimeWindow:
		c.leastPrevious, c.greatestPrevious = c.leastPresent, c.greatestPresent
	default:
		c.leastPrevious, c.greatestPrevious = 0, 0
	}
	c.leastPresent, c.greatestPresent, c.windowStart = 0, 0, now
}

// least returns the least service time of the class, or 0 if none was measured in the last two windows.
func (t *ServiceTimes) least(now time.Time, className string) time.Duration {
	c := t.classes[className]
	if c == nil {
		return 0
	}
	c.advance(now)
	if c.leastPresent == 0 || c.leastPrevious == 0 {
		return max(c.leastPresent, c.leastPrevious)
	}
	return min(c.leastPresent, c.leastPrevious)
}

// likelyWithin reports whether more than a share of the recent service times of the class are within a limit. It is true if none
// was measured within serviceTimeValidity.
//
// A bound from mean and mean deviation does not serve here: where service times vary between a small part of the time limit and
// nearly all of it, the bound often exceeds the limit although each request is answered within it.
func (t *ServiceTimes) likelyWithin(now time.Time, className string, limit time.Duration, share float64) bool {
	c := t.classes[className]
	if c == nil || now.Sub(c.recordedAt) > serviceTimeValidity {
		return true
	}
	count, within := min(c.recorded, recentServiceTimes), 0
	for _, took := range c.recent[:count] {
		if took <= limit {
			within++
		}
	}
	return float64(within) > share*float64(count)
}

// usual returns a time within which most requests of the class are answered.
func (c *serviceTimes) usual() time.Duration { return c.mean + usualDeviations*c.deviation }

// enough returns the time from which a request of the class that got no answer shows a fault of its server, or 0 if none was
// measured in the last two windows. It is at most the greatest service time: usual may exceed the time that any request of
// the class has, and no request would show the fault then.
func (t *ServiceTimes) enough(now time.Time, className string) time.Duration {
	c := t.classes[className]
	if c == nil {
		return 0
	}
	c.advance(now)
	return min(c.usual(), max(c.greatestPresent, c.greatestPrevious))
}
