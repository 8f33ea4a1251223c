package throttler

import (
	"slices"
	"time"
)

const (
	// ColdBurstWindow is the time for which unused tokens for a cold server are kept: as long as the pause between two checks of a
	// queue, so that all of the rate can be used.
	ColdBurstWindow = 50 * time.Millisecond
	// coldPeriod is the time to which the rule of cold servers refers.
	coldPeriod = time.Second
	// coldTransit is by how much the delays of two requests on their way to a server may differ.
	coldTransit = 100 * time.Millisecond
	// substitutePart is the part of what the rule allows that is kept for instances that stand in for a dispatcher, as a divisor.
	substitutePart = 5
	// sideBySide is how many instances may dispatch for one pool side by side while a change of the dispatcher becomes known.
	sideBySide = 2
	// coldRateMargin keeps sums of a rate below the next whole request.
	coldRateMargin = 0.999
)

// ColdRule bounds the requests that arrive at a cold server within any second, from all instances together: the rate that it
// tolerates times Overage, and Tolerance more. The zero ColdRule allows the tolerated rate itself.
type ColdRule struct {
	Overage   float64 // 0 means 1
	Tolerance float64
}

// ColdLimit is what one instance may send to a cold server. The zero ColdLimit allows nothing.
type ColdLimit struct {
	Rate float64 // requests a second
	Most int     // requests within any second
}

// most returns the number of requests within a second that the rule allows.
func (r ColdRule) most(rate float64) int {
	overage := r.Overage
	if overage <= 0 {
		overage = 1
	}
	return int(rate*overage + r.Tolerance)
}

// Limit returns the limit of an instance for a server that tolerates rate requests a second: that of Dispatcher or of Substitute.
func (r ColdRule) Limit(rate float64, dispatcher bool) ColdLimit {
	if dispatcher {
		return r.Dispatcher(rate)
	}
	return r.Substitute(rate)
}

// Dispatcher returns the limit of an instance that is in contact with the leader and keeps the queue of a server that tolerates
// rate requests a second. Two such instances and some substitutes stay within the rule together.
func (r ColdRule) Dispatcher(rate float64) ColdLimit {
	most := r.most(rate)
	return newColdLimit(rate, (most-most/substitutePart)/sideBySide)
}

// Substitute returns the limit of any other instance: one that stands in for the dispatcher, or does not know whether it still is
// the dispatcher.
func (r ColdRule) Substitute(rate float64) ColdLimit {
	return newColdLimit(rate, min(1, r.most(rate)/substitutePart))
}

// newColdLimit returns the limit at which a bucket with the given rate never gives more than most tokens in a period, also if the
// first request takes coldTransit longer than the last one.
func newColdLimit(rate float64, most int) ColdLimit {
	most = max(0, most)
	period := coldPeriod + coldTransit + ColdBurstWindow
	return ColdLimit{Rate: min(rate, coldRateMargin*float64(most)/period.Seconds()), Most: most}
}

// Window holds the latest requests that an instance has sent to a server. The zero Window is empty. It is not safe for concurrent
// use.
type Window struct {
	sent []time.Time // in the order of sending, without those that are older than a period
}

// Delay returns how long after now the next request may be sent so that no period has more than most.
func (w *Window) Delay(now time.Time, most int) time.Duration {
	w.drop(now)
	if len(w.sent) < most {
		return 0
	}
	if most <= 0 {
		return coldPeriod
	}
	return w.sent[len(w.sent)-most].Add(coldPeriod + coldTransit).Sub(now)
}

// Add records a request.
func (w *Window) Add(now time.Time) {
	w.drop(now)
	w.sent = append(w.sent, now)
}

// Empty reports whether no request was sent within the latest period.
func (w *Window) Empty(now time.Time) bool {
	w.drop(now)
	return len(w.sent) == 0
}

func (w *Window) drop(now time.Time) {
	w.sent = slices.DeleteFunc(w.sent, func(at time.Time) bool { return now.Sub(at) >= coldPeriod+coldTransit })
}
