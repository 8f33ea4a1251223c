package pacer

import (
	"math"
	"time"
)

// evidence sums up the work of answers and the time that it took, with weights that decrease with their age. The work of an
// answer is the usual service time of its class, so that a mix of short and long requests doesn't look like a slow server. The
// zero evidence has no answers.
type evidence struct {
	answers, work, took            float64 // work and time in seconds
	workSquares, products, squares float64 // for the spread
	at                             time.Time
}

// add adds an answer. Those before it lose weight with a time constant.
func (e *evidence) add(now time.Time, timeConstant time.Duration, work, took float64) {
	kept := e.keptAt(now, timeConstant)
	e.answers = e.answers*kept + 1
	e.work = e.work*kept + work
	e.took = e.took*kept + took
	e.workSquares = e.workSquares*kept + work*work
	e.products = e.products*kept + work*took
	e.squares = e.squares*kept + took*took
	e.at = now
}

// keptAt returns the part of its weight that the evidence still has at a given time.
func (e *evidence) keptAt(now time.Time, timeConstant time.Duration) float64 {
	return math.Exp(-max(0, now.Sub(e.at).Seconds()) / timeConstant.Seconds())
}

// slowness returns how long work takes relative to the usual time.
func (e *evidence) slowness() float64 { return e.took / e.work }

// relativeVariance returns the square of the standard error of slowness, relative to slowness.
func (e *evidence) relativeVariance() float64 {
	r := e.slowness()
	residual := e.squares - 2*r*e.products + r*r*e.workSquares
	return max(0, residual) / (e.took * e.took)
}

// longestTime returns the mean service time, weighted by the time itself: what one second of work at the server waits for.
func (e *evidence) longestTime() float64 { return e.squares / e.took }

// rate returns how much work a server does with a number of requests, relative to one request of the usual service time, and the
// square of its standard error relative to it. ok is false if too little is known.
func (e *evidence) rate(now time.Time, running int) (rate, variance float64, ok bool) {
	if e.answers*e.keptAt(now, recordTime) < minWeight {
		return 0, 0, false
	}
	return float64(running) / e.slowness(), e.relativeVariance(), true
}
