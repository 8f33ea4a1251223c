package forwarder

import (
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
)

// result is the end of one attempt: finished, moved, refused, broken, repeated or abandoned.
type result interface{ result() }

// finished is an attempt whose answer went to the caller.
type finished struct {
	status int
	cut    bool // the answer was not whole, and the caller's connection is to be broken
}

// moved is an attempt that was certainly not run, because the route is not, or not yet, the right one.
type moved struct {
	verdict verdict
}

// refused is an attempt that was certainly not run.
type refused struct {
	verdict verdict
}

// broken is an attempt that may have run.
type broken struct {
	verdict verdict
}

// repeated is the second arrival of an at-most-once request; outcome is that of the first.
type repeated struct {
	verdict verdict
	outcome Outcome
}

// abandoned is an attempt whose caller has gone.
type abandoned struct{}

func (finished) result()  {}
func (moved) result()     {}
func (refused) result()   {}
func (broken) result()    {}
func (repeated) result()  {}
func (abandoned) result() {}

// refusedBy returns the result of a refusal by limiter.
func refusedBy(r limiter.Refuse) refused {
	return refused{verdict: verdict{
		reason:     Reason(r.Reason),
		message:    refusalMessage(r.Reason),
		retryAfter: r.RetryAfter,
	}}
}

func refusalMessage(r limiter.Reason) string {
	switch r {
	case limiter.ReasonExpired:
		return "the deadline passed before the request could start"
	case limiter.ReasonOverloaded:
		return "the server has too much to do to meet the deadline"
	case limiter.ReasonQueueFull:
		return "the server's queue is full"
	case limiter.ReasonRate:
		return "the caller sends more requests a second than it may"
	case limiter.ReasonConcurrent:
		return "the caller has as many requests under way as it may"
	}
	return "refused"
}

func asNoRoute(err error, missing *router.ErrNoRoute) bool { return errors.As(err, missing) }
