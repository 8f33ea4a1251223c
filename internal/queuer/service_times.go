package queuer

import "time"

const (
	// serviceTimeWindow is the time over which the least and the greatest service time of a class are found. The window before
	// counts as well.
	serviceTimeWindow = 10 * time.Second
	// serviceTimeValidity is how long after the last answer of a class its likely service time counts. After that, requests
	// are sent again whatever it was, so that a class whose requests all have less time left is measured again.
	serviceTimeValidity = time.Second
	// likelyDeviations is how many mean deviations the likely service time lies above the mean.
	likelyDeviations = 2
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

// likely returns a time within which most requests of the class are answered, or 0 if none was measured within
// serviceTimeValidity.
func (t *ServiceTimes) likely(now time.Time, className string) time.Duration {
	c := t.classes[className]
	if c == nil || now.Sub(c.recordedAt) > serviceTimeValidity {
		return 0
	}
	return c.usual()
}

// usual returns a time within which most requests of the class are answered.
func (c *serviceTimes) usual() time.Duration { return c.mean + likelyDeviations*c.deviation }

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
