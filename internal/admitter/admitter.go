// Package admitter decides which requests an instance that shuts down still takes, and until when it must have answered them.
package admitter

import "time"

// lateAfter is how long after the shutdown was requested an instance takes requests that may outlast it. By then the platform
// sends it no new connections, and what remains of the grace period is enough for most requests.
const lateAfter = 2500 * time.Millisecond

// Shutdown is the shutdown of an instance. The zero Shutdown stands for none.
type Shutdown struct {
	requestedAt time.Time
	lastAnswer  time.Time
}

// New returns the Shutdown of an instance that must have answered all requests at lastAnswer.
func New(requestedAt, lastAnswer time.Time) Shutdown {
	return Shutdown{requestedAt: requestedAt, lastAnswer: lastAnswer}
}

// Admit decides on a request that has been read completely at now. It returns the time by which the request must be answered:
// deadline, or the end of the instance if that is earlier. ok is false if the request must be refused at once, because it has come
// late and could still be running when the instance ends.
func (s Shutdown) Admit(now, deadline time.Time) (limited time.Time, ok bool) {
	switch {
	case s.requestedAt.IsZero(), !deadline.After(s.lastAnswer):
		return deadline, true
	case now.Sub(s.requestedAt) >= lateAfter, !now.Before(s.lastAnswer):
		return time.Time{}, false
	}
	return s.lastAnswer, true
}

// AdmitHop decides on a request that another instance has forwarded and that has been read completely at now. ok is false if it must
// be handed back at once, because it could still be running when this instance ends: the other instance may use one that goes on.
func (s Shutdown) AdmitHop(now, deadline time.Time) (ok bool) {
	return s.requestedAt.IsZero() || now.Before(s.lastAnswer) && !deadline.After(s.lastAnswer)
}

// Limit returns the time by which a request that was admitted before the shutdown, and is about to be sent, must be answered: deadline,
// or the end of the instance if that is earlier.
func (s Shutdown) Limit(deadline time.Time) time.Time {
	if s.requestedAt.IsZero() || !deadline.After(s.lastAnswer) {
		return deadline
	}
	return s.lastAnswer
}

// LastAnswer returns when the instance must have answered all requests, or the zero Time for none.
func (s Shutdown) LastAnswer() time.Time { return s.lastAnswer }

// Age returns how long before now the shutdown was requested, or 0 for none.
func (s Shutdown) Age(now time.Time) time.Duration {
	if s.requestedAt.IsZero() {
		return 0
	}
	return now.Sub(s.requestedAt)
}
