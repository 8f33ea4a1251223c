package queuer

import (
	"math"
	"time"
)

const (
	// demandWindow is the time constant with which the arrivals of a class are averaged. Servers of a few slots see a few
	// requests of an urgent class a second; a shorter window makes the rate too uncertain to reserve by.
	demandWindow = 2 * time.Second
	// minDemandAge is the time that the arrivals of a new class are spread over at least, so that its first request does not
	// count as a high rate.
	minDemandAge = time.Second
	// maxRefusedRatio bounds the refused arrivals of a class that count as load, in parts of the taken ones. Beyond it they are
	// likely to be repeats of the same requests, which must not make other requests infeasible. Bursts reach twice the usual
	// rate, so an equal share covers them.
	maxRefusedRatio = 1
)

// demand is what a queue has measured of the arrivals of a class.
type demand struct {
	priority       int
	since          time.Time // of the first arrival
	decayedAt      time.Time
	taken, refused float64       // arrivals by decision, each weighted with e^(-age/demandWindow)
	timeLeft       time.Duration // from arrival until the latency objective, exponentially weighted moving average
}

// demandOf returns the demand of a request's class, after decaying it. It creates it on first use.
func (q *Queue) demandOf(now time.Time, r Request) *demand {
	d := q.demands[r.Class]
	if d == nil {
		if q.demands == nil {
			q.demands = map[string]*demand{}
		}
		d = &demand{since: now, decayedAt: now, timeLeft: max(0, r.Objective.Sub(now))}
		q.demands[r.Class] = d
	}
	d.priority = r.Priority
	d.decay(now)
	return d
}

// recordArrival counts a new request and the queue's decision on it.
func (q *Queue) recordArrival(now time.Time, r Request, decision Decision) {
	d := q.demandOf(now, r)
	if _, refused := decision.(Refuse); refused {
		d.refused = min(d.refused+1, maxRefusedRatio*d.taken+1)
		return
	}
	d.taken++
	d.timeLeft += time.Duration(ewmaWeight * float64(max(0, r.Objective.Sub(now))-d.timeLeft))
}

func (d *demand) decay(now time.Time) {
	elapsed := now.Sub(d.decayedAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	d.taken, d.refused, d.decayedAt = d.taken*factor, d.refused*factor, now
}

// takenRate returns how many requests of the class arrive in a second and are not refused.
func (d *demand) takenRate(now time.Time) float64 { return d.rate(now, d.taken) }

// offeredRate returns how many requests of the class arrive in a second, with refused ones up to a bound.
func (d *demand) offeredRate(now time.Time) float64 { return d.rate(now, d.taken+d.refused) }

func (d *demand) rate(now time.Time, weighted float64) float64 {
	age := max(now.Sub(d.since), minDemandAge).Seconds()
	window := demandWindow.Seconds()
	weighted *= math.Exp(-max(0, now.Sub(d.decayedAt)).Seconds() / window)
	return weighted / (window * (1 - math.Exp(-age/window)))
}

// loadUpTo returns the load that matters to requests of a priority. Without reservation that is the whole load. With it, requests of
// lower priority don't count: they are started later, and not at all in the slots that higher priorities need.
func (q *Queue) loadUpTo(now time.Time, priority int) float64 {
	if !q.settings.Reservation {
		return q.load
	}
	return q.demandWork(now, func(p int) bool { return p <= priority }, (*demand).offeredRate) / q.divisor(now)
}

// demandWork returns the slots that the requests of some priorities occupy on average.
func (q *Queue) demandWork(now time.Time, counts func(priority int) bool, rate func(*demand, time.Time) float64) float64 {
	total := 0.0
	for name, d := range q.demands {
		if counts(d.priority) {
			total += rate(d, now) * q.serviceTime(Request{Class: name}).Seconds()
		}
	}
	return total
}

// available returns the capacity that requests of higher priority leave to those of a priority: at least a slot of each usable
// server.
func (q *Queue) available(now time.Time, priority int) float64 {
	servers := 0
	for _, s := range q.servers {
		if s.usable(now) {
			servers++
		}
	}
	higher := q.demandWork(now, func(p int) bool { return p < priority }, (*demand).takenRate)
	return max(1, float64(servers), q.divisor(now)-higher)
}
