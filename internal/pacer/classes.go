package pacer

import "time"

// classTime is the time constant of the mean service times of classes. It is long, so that servers that slow down together show
// as slower, and a limit can be found for them.
const classTime = 20 * time.Second

// Classes holds the mean service time of each class of requests at a set of servers. The zero Classes has none.
type Classes struct {
	means map[string]*classMean
}

type classMean struct {
	seconds float64
	count   float64
	at      time.Time // of the latest service time
}

// Ratio returns a service time relative to the mean of its class. Record adds it to the mean.
func (c *Classes) Ratio(className string, took time.Duration) float64 {
	m := c.means[className]
	if m == nil || m.seconds <= 0 {
		return 1
	}
	return took.Seconds() / m.seconds
}

// Record adds a service time to the mean of its class. Of the first ones, each has the same weight.
func (c *Classes) Record(now time.Time, className string, took time.Duration) {
	m := c.means[className]
	if m == nil {
		if c.means == nil {
			c.means = map[string]*classMean{}
		}
		m = &classMean{at: now}
		c.means[className] = m
	}
	m.count++
	byTime := min(newestWeight, now.Sub(m.at).Seconds()/classTime.Seconds())
	weight := byTime
	if m.count <= classAnswers {
		weight = max(byTime, 1/m.count)
	}
	m.seconds += (took.Seconds() - m.seconds) * weight
	m.at = now
}

// classAnswers is the number of answers whose plain mean a class begins with.
const classAnswers = 20
