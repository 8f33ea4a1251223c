package pacer

import (
	"math"
	"time"
)

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
	recent  float64   // number of service times, which lose weight over classTime
	at      time.Time // of the latest one
}

// Ratio returns a service time relative to the mean of its class. Record adds it to the mean.
func (c *Classes) Ratio(className string, took time.Duration) float64 {
	m := c.means[className]
	if m == nil || m.seconds <= 0 {
		return 1
	}
	return took.Seconds() / m.seconds
}

// Mean returns the mean service time of a class, or 0 without one.
func (c *Classes) Mean(className string) time.Duration {
	if m := c.means[className]; m != nil {
		return time.Duration(m.seconds * float64(time.Second))
	}
	return 0
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
	m.recent = m.recentAt(now) + 1
	m.count++
	byTime := min(newestWeight, now.Sub(m.at).Seconds()/classTime.Seconds())
	weight := byTime
	if m.count <= classAnswers {
		weight = max(byTime, 1/m.count)
	}
	m.seconds += (took.Seconds() - m.seconds) * weight
	m.at = now
}

// recentAt returns the weight of the service times at a given time.
func (m *classMean) recentAt(now time.Time) float64 {
	return m.recent * math.Exp(-max(0, now.Sub(m.at).Seconds())/classTime.Seconds())
}

// Work returns the usual work of a request of a class relative to the mean of the common classes, each of which counts alike. It
// does not depend on how many requests of each class there are, nor on the speed of the servers. Without enough service times it
// is 1.
func (c *Classes) Work(now time.Time, className string) float64 {
	m := c.means[className]
	if m == nil || m.count < workAnswers {
		return 1
	}
	total := 0.0
	for _, other := range c.means {
		total += other.recentAt(now)
	}
	sum, common := 0.0, 0.0
	for _, other := range c.means {
		if other.count >= workAnswers && other.recentAt(now) >= commonShare*total {
			sum, common = sum+other.seconds, common+1
		}
	}
	if common == 0 || sum <= 0 || m.seconds <= 0 {
		return 1
	}
	return m.seconds * common / sum
}

const (
	// workAnswers is the number of answers from which the mean of a class counts in Work.
	workAnswers = 5
	// commonShare is the share of the service times from which a class is common. A server of a hot key has few of the others.
	commonShare = 0.03
)

// classAnswers is the number of answers whose plain mean a class begins with.
const classAnswers = 20
