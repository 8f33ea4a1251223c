package forwarder

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/admitter"
)

// errShuttingDown is the cause of the end of a request's context when this instance is about to exit.
var errShuttingDown = errors.New("instance is shutting down")

// BeginShutdown prepares for the exit of this instance, which must have answered all requests at lastAnswer. From now on answers ask
// clients to close their connections, late requests that could outlast the instance are refused, and requests of other instances that
// could outlast it are declined. At lastAnswer all waits end: a request that was not sent to a server is refused, and one whose
// outcome is unknown fails.
func (f *Forwarder) BeginShutdown(now, lastAnswer time.Time) {
	shutdown := admitter.New(now, lastAnswer)
	f.shutdown.Store(&shutdown)
	time.AfterFunc(lastAnswer.Sub(now), func() { f.endLifetime(errShuttingDown) })
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.queues {
		f.limitWaits(now, shutdown, q)
	}
}

// limitWaits hands back the waiting requests of other instances that could outlast this one, and limits the deadlines of its own. The
// caller holds mu.
func (f *Forwarder) limitWaits(now time.Time, shutdown admitter.Shutdown, q *poolQueue) {
	for ticket, w := range q.waiters {
		if w.req.isHop && !shutdown.AdmitHop(now, w.req.deadline) {
			q.queue.Cancel(ticket)
			delete(q.waiters, ticket)
			w.done <- waitResult{result: declinedResult()}
		}
	}
	f.notifyWaiters(q, q.queue.LimitDeadlines(now, shutdown.LastAnswer()))
}

// shuttingDown reports whether BeginShutdown was called.
func (f *Forwarder) shuttingDown() bool { return f.shutdown.Load() != nil }

// shuttingDownFor returns how long ago the shutdown was requested, or 0 without one.
func (f *Forwarder) shuttingDownFor(now time.Time) time.Duration {
	shutdown := f.shutdown.Load()
	if shutdown == nil {
		return 0
	}
	return shutdown.Age(now)
}

// admit returns the time by which a request that was read at now must be answered. ok is false if it must be refused.
func (f *Forwarder) admit(now, deadline time.Time) (limited time.Time, ok bool) {
	shutdown := f.shutdown.Load()
	if shutdown == nil {
		return deadline, true
	}
	return shutdown.Admit(now, deadline)
}

// admitHop reports whether a request of another instance that was read at now is taken. Otherwise it must be declined.
func (f *Forwarder) admitHop(now, deadline time.Time) bool {
	shutdown := f.shutdown.Load()
	return shutdown == nil || shutdown.AdmitHop(now, deadline)
}

// limitDeadline moves the deadline of a client's request that is about to wait for a server, or to be sent, to the end of this instance
// if that is earlier.
func (f *Forwarder) limitDeadline(req *clientRequest) {
	if shutdown := f.shutdown.Load(); shutdown != nil && !req.isHop {
		req.deadline = shutdown.Limit(req.deadline)
	}
}

// untilExit returns a context that ends with ctx, and with errShuttingDown when this instance is about to exit. release must be
// called.
func (f *Forwarder) untilExit(ctx context.Context) (limited context.Context, release func()) {
	limited, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(f.lifetime, func() { cancel(errShuttingDown) })
	return limited, func() {
		stop()
		cancel(nil)
	}
}

// endReason returns the reason of a result for a request whose context, from untilExit, has ended. It is empty if it has not.
func (f *Forwarder) endReason(ctx context.Context) string {
	switch {
	case f.lifetime.Err() != nil: // may end before the contexts of requests
		return reasonShuttingDown
	case ctx.Err() != nil:
		return reasonClientLeft
	}
	return ""
}
