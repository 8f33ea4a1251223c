package forwarder

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
)

// attemptLocal sends the request to the server, which this instance fronts. An at-most-once request that came before
// is not sent again.
func (f *Forwarder) attemptLocal(q *request, route router.Route) result {
	if q.class.Idempotent() {
		return f.sendLocal(q, route)
	}
	f.repeatsMu.Lock()
	fate := f.repeats.Begin(q.arrived, q.repeatKey())
	f.repeatsMu.Unlock()
	if _, first := fate.(limiter.NotRun); !first {
		return repeatOf(fate)
	}
	var last result
	defer func() { f.endRepeat(q, last) }()
	last = f.sendLocal(q, route)
	return last
}

// repeatOf returns the result of a second arrival.
func repeatOf(fate limiter.Fate) repeated {
	switch first := fate.(type) {
	case limiter.Answered:
		message := "the request came before and was answered"
		return repeated{verdict: verdict{reason: ReasonRepeat, message: message, firstStatus: first.Status}, outcome: OutcomeAnswered}
	case limiter.InFlight:
		message := "the request came before and is under way"
		return repeated{verdict: verdict{reason: ReasonRepeat, message: message, retryAfter: time.Second}, outcome: OutcomeUnknown}
	}
	message := "the request came before and may have run"
	return repeated{verdict: verdict{reason: ReasonRepeat, message: message}, outcome: OutcomeUnknown}
}

// endRepeat notes what became of an at-most-once request; a nil result is a fault on the way.
func (f *Forwarder) endRepeat(q *request, r result) {
	var fate limiter.Fate = limiter.Uncertain{}
	switch end := r.(type) {
	case finished:
		fate = limiter.Answered{Status: end.status}
	case moved, refused:
		fate = limiter.NotRun{}
	case abandoned:
		if !q.life.MayHaveRun() {
			fate = limiter.NotRun{}
		}
	}
	f.repeatsMu.Lock()
	defer f.repeatsMu.Unlock()
	f.repeats.End(f.clock(), q.repeatKey(), fate)
}
