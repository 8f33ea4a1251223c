package admitter

import "time"

const (
	// idleCloseDelay is how long after the shutdown request idle connections are kept. Until then their clients could open new
	// ones to this instance.
	idleCloseDelay = 2200 * time.Millisecond
	// deregistrationDelay is how long an instance keeps accepting connections after the shutdown request. The platform
	// checks readiness once a second and opens no connections to an instance after two failed checks, which take up to
	// 2 s. The other 1.2 s are for a slow machine to accept and read what was sent to it until then.
	deregistrationDelay = 3200 * time.Millisecond
	// acceptingRatio is the part of the time until the last answer in which connections are accepted. The rest is for their requests.
	acceptingRatio = 0.8
	// maxFinalSpan and maxFinalRatio bound the time between the last answer and the end of the grace period, the latter as a part of
	// the grace period: a server that is still at work in its last sixth is no longer waited for.
	maxFinalSpan  = 700 * time.Millisecond
	maxFinalRatio = 0.15
	// exitRatio and lastByteRatio are the parts of the final span after which the instance exits: when all answers are written, and
	// when clients read theirs slowly. logRatio is the part after which it no longer waits for the output of its log; the rest, 100 ms
	// of the usual 700 ms, is for the exit itself.
	exitRatio     = 2.0 / 7
	lastByteRatio = 5.0 / 7
	logRatio      = 6.0 / 7
)

// Plan holds the times of a graceful shutdown, in this order: CloseIdle, StopAccepting, LastAnswer, Exit, LastByte, LogWritten. The
// platform kills the instance after the last one.
type Plan struct {
	requestedAt time.Time
	gracePeriod time.Duration
}

// NewPlan returns the Plan of a shutdown that was requested at requestedAt, gracePeriod before the platform kills the instance.
func NewPlan(requestedAt time.Time, gracePeriod time.Duration) Plan {
	return Plan{requestedAt: requestedAt, gracePeriod: gracePeriod}
}

// CloseIdle returns the time at which the instance begins to close idle connections.
func (p Plan) CloseIdle() time.Time {
	return p.requestedAt.Add(min(idleCloseDelay, p.acceptingSpan()))
}

// StopAccepting returns the time at which the instance closes its listener for clients.
func (p Plan) StopAccepting() time.Time {
	return p.requestedAt.Add(min(deregistrationDelay, p.acceptingSpan()))
}

// LastAnswer returns the time at which all waits end, so that each request is answered.
func (p Plan) LastAnswer() time.Time { return p.requestedAt.Add(p.gracePeriod - p.finalSpan()) }

// Exit returns the time at which the instance exits unless clients are still receiving answers.
func (p Plan) Exit() time.Time { return p.LastAnswer().Add(scale(p.finalSpan(), exitRatio)) }

// LastByte returns the time at which the instance no longer waits for clients in any case.
func (p Plan) LastByte() time.Time { return p.LastAnswer().Add(scale(p.finalSpan(), lastByteRatio)) }

// LogWritten returns the time at which the instance exits although its log is not written.
func (p Plan) LogWritten() time.Time { return p.LastAnswer().Add(scale(p.finalSpan(), logRatio)) }

// finalSpan returns the time between the last answer and the end of the grace period.
func (p Plan) finalSpan() time.Duration {
	return min(maxFinalSpan, scale(p.gracePeriod, maxFinalRatio))
}

// acceptingSpan returns how long after the shutdown request connections may be accepted at most.
func (p Plan) acceptingSpan() time.Duration {
	return scale(p.gracePeriod-p.finalSpan(), acceptingRatio)
}

// scale returns ratio times d, to the millisecond.
func scale(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio).Round(time.Millisecond)
}
