package limiter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	defaultService  = 10 * time.Millisecond // expected service time before the first measurement
	serviceGain     = 8                     // one sample's weight in the mean is 1/serviceGain
	deviationGain   = 4                     // the same for the deviation
	deviationMargin = 2                     // deviations that a request must have left when it starts
)

// waiting is one request in a lane.
type waiting struct {
	ticket   Ticket
	deadline time.Time
}

// lane is the part of a Queue that holds one class, ordered by deadline, then arrival.
type lane struct {
	class     identifier.ClassName
	priority  int
	mayWait   bool
	requests  []waiting
	mean      time.Duration
	deviation time.Duration
	measured  bool
}

func compareWaiting(a, b waiting) int {
	if c := a.deadline.Compare(b.deadline); c != 0 {
		return c
	}
	return int(int64(a.ticket) - int64(b.ticket))
}

// service returns the expected service time.
func (l *lane) service() time.Duration {
	if !l.measured {
		return defaultService
	}
	return l.mean
}

// needed returns the time that a request must have left when it starts.
func (l *lane) needed() time.Duration {
	if !l.measured {
		return 0
	}
	return l.mean + deviationMargin*l.deviation
}

// measure takes one service time into the mean.
func (l *lane) measure(took time.Duration) {
	if !l.measured {
		l.measured = true
		l.mean = took
		l.deviation = took / deviationGain
		return
	}
	diff := took - l.mean
	l.mean += diff / serviceGain
	l.deviation += (diff.Abs() - l.deviation) / deviationGain
}

// rank returns how many requests stand before w.
func (l *lane) rank(w waiting) int {
	at, _ := slices.BinarySearchFunc(l.requests, w, compareWaiting)
	return at
}

func (l *lane) insert(w waiting) {
	l.requests = slices.Insert(l.requests, l.rank(w), w)
}

// remove takes w out and reports whether it was there.
func (l *lane) remove(w waiting) bool {
	at, ok := slices.BinarySearchFunc(l.requests, w, compareWaiting)
	if !ok {
		return false
	}
	l.requests = slices.Delete(l.requests, at, at+1)
	return true
}

// pop takes out the first request; the lane must not be empty.
func (l *lane) pop() waiting {
	first := l.requests[0]
	l.requests = slices.Delete(l.requests, 0, 1)
	return first
}

// work returns the expected service time of the first count requests.
func (l *lane) work(count int) time.Duration {
	return time.Duration(count) * l.service()
}
