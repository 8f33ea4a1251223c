package forwarder

import (
	"net/http"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
)

const (
	minPatience    = time.Second           // with a server whose work others can do
	patienceFactor = 20                    // the same, in usual service times
	maxLocalTries  = 3                     // attempts at one server that ended unrun
	serverGrace    = 20 * time.Millisecond // after the deadline, for the server's own last word
)

// sendLocal tries until an attempt is run, may have run or is refused for good.
func (f *Forwarder) sendLocal(q *request, route router.Route) result {
	b := f.backend(route.Server())
	for try := 1; ; try++ {
		r, again := f.tryLocal(q, route, b)
		if !again || try >= maxLocalTries || !q.body.replayable() {
			return r
		}
	}
}

// local is one attempt at a server that this instance fronts.
type local struct {
	f       *Forwarder
	q       *request
	b       *backend
	route   router.Route
	ticket  limiter.Ticket
	gate    *router.Gate
	entered bool
	started time.Time
	limit   time.Time      // of the exchange
	result  limiter.Result // what the queue learns
	freed   bool
	// exchangeID is the router's own id of the exchange with the server.
	exchangeID string
}

// tryLocal makes one attempt; again is true when it was not run and another at the same server can help.
func (f *Forwarder) tryLocal(q *request, route router.Route, b *backend) (r result, again bool) {
	q.step(Wait{})
	ticket, refusal, err := b.admit(q.context(), f.clock(), q.queued(), route.Partition())
	if err != nil {
		q.step(Withdraw{})
		return q.withdrawn(), false
	}
	if refusal != nil {
		q.step(Withdraw{})
		return refusedBy(*refusal), false
	}
	q.step(TakeSlot{})
	l := &local{f: f, q: q, b: b, route: route, ticket: ticket, started: f.clock(), result: limiter.Lost{}}
	defer l.free()
	return l.send()
}

// withdrawn is the end of an attempt that was taken back while nothing had been sent.
func (q *request) withdrawn() result {
	if q.callerGone() {
		return abandoned{}
	}
	return moved{verdict: replacedVerdict()}
}

func replacedVerdict() verdict {
	return verdict{reason: ReasonMoved, message: "the key moved meanwhile", retryAfter: routePause}
}

// free gives back the slot and leaves the gate, once.
func (l *local) free() {
	if l.freed {
		return
	}
	l.freed = true
	if l.entered {
		l.gate.Leave(l.route.Partition())
	}
	l.b.done(l.f.clock(), l.ticket, l.result)
}

// send connects, passes the gate and exchanges.
func (l *local) send() (result, bool) {
	conn, err := l.b.connections().Connect(l.q.context(), l.started, l.q.deadline)
	if err != nil {
		l.q.step(Withdraw{})
		return l.unreachable(err)
	}
	now := l.f.clock()
	l.b.reached(now)
	l.gate = l.f.table.Gate(l.b.name)
	term, err := l.gate.Enter(l.route.Partition(), l.route.Epoch(), now)
	if err != nil {
		conn.Return(now)
		l.q.step(Withdraw{})
		return moved{verdict: movedVerdict(err)}, false
	}
	l.entered = true
	out := l.outgoing(now)
	l.exchangeID = l.f.nextID()
	l.q.set(out.Header, slotExchangeID, headerExchangeID, l.exchangeID)
	l.q.set(out.Header, slotTerm, headerTerm, formatInt(term))
	l.q.step(Write{})
	l.limit = l.exchangeLimit(now)
	answer, err := conn.Do(l.q.exchangeContext(), out, l.limit.Add(serverGrace), l.q.inform)
	if err != nil {
		return l.failed(err)
	}
	return l.answered(answer)
}

func (l *local) outgoing(now time.Time) *http.Request {
	out := l.q.outgoing(l.route.Server().Address(), "")
	h := out.Header
	l.q.set(h, slotPartition, headerPartition, formatInt(l.route.Partition().Index))
	l.q.set(h, slotEpoch, headerEpoch, formatInt(l.route.Epoch()))
	l.q.set(h, slotDeadline, headerDeadline, formatInt(milliseconds(l.q.deadline.Sub(now))))
	delete(h, headerServer)
	delete(h, headerHops)
	return out
}

func movedVerdict(err error) verdict {
	return verdict{reason: ReasonMoved, message: err.Error(), retryAfter: routePause}
}

// exchangeLimit returns the deadline of the exchange: the request's own, or less where another server can answer it and
// this one takes far longer than usual.
func (l *local) exchangeLimit(now time.Time) time.Time {
	if l.q.service.Keyed() || l.q.class.Retries() == 0 {
		return l.q.deadline
	}
	usual, ok := l.b.service(l.q.class.Name())
	if !ok {
		return l.q.deadline
	}
	limit := now.Add(max(minPatience, patienceFactor*usual))
	if limit.Before(l.q.deadline) {
		return limit
	}
	return l.q.deadline
}

// unreachable is the end of an attempt without a connection.
func (l *local) unreachable(err error) (result, bool) {
	if l.q.context().Err() != nil {
		return l.q.withdrawn(), false
	}
	if exchanger.IsErrBusy(err) {
		return refusedBy(limiter.Refuse{Reason: limiter.ReasonOverloaded, RetryAfter: time.Second}), false
	}
	l.b.missed()
	l.f.observer.Observe(l.f.clock(), ServerFailed{Server: l.b.name})
	return refused{verdict: verdict{
		reason:     ReasonUnreachable,
		message:    "the server can't be reached: " + err.Error(),
		retryAfter: time.Second,
	}}, false
}

// failed is the end of an exchange without an answer.
func (l *local) failed(err error) (result, bool) {
	if exchanger.IsErrNotSent(err) {
		l.q.step(Withdraw{})
		return l.notSent(err)
	}
	l.q.step(Break{})
	return l.interrupted(err), false
}

// notSent is the end of an exchange of which nothing was sent; a fresh connection may help.
func (l *local) notSent(err error) (result, bool) {
	if exchanger.IsErrBody(err) {
		return refused{verdict: l.q.badBody(err)}, false
	}
	r, _ := l.unreachable(err)
	_, still := r.(refused)
	return r, still
}

// interrupted is the end of an exchange that may have run: the server is asked to stop.
func (l *local) interrupted(err error) result {
	gone := l.q.callerGone()
	replaced := !gone && l.q.exchangeContext().Err() != nil
	late := !l.f.clock().Before(l.limit)
	bad := exchanger.IsErrBody(err)
	if !bad {
		l.f.observer.Observe(l.f.clock(), ServerFailed{Server: l.b.name, Sent: true, Timeout: late, CallerGone: gone})
	}
	if gone || late || replaced {
		l.cancel()
	}
	switch {
	case gone:
		return abandoned{}
	case bad:
		return broken{verdict: l.q.badBody(err)}
	case replaced:
		return broken{verdict: verdict{reason: ReasonBroken, message: "the key moved meanwhile"}}
	case late:
		return broken{verdict: verdict{reason: ReasonTimeout, message: "the server did not answer in time"}}
	}
	return broken{verdict: verdict{reason: ReasonBroken, message: "the server broke off: " + err.Error()}}
}

// cancel asks the server to stop work that no one waits for.
func (l *local) cancel() {
	l.f.canceller.Cancel(l.b.name, l.route.Server().Address(), l.exchangeID)
}

// relay passes the answer on.
func (l *local) relay(answer *exchanger.Response) result {
	if l.q.fromPeer {
		setInt(l.q.w.Header(), headerExpectedWait, milliseconds(l.b.expectedWait(l.f.clock())))
	}
	return l.q.relay(answer, relayEnds{whole: l.whole, failed: l.interrupted, dropped: l.cancel, now: l.f.clock})
}

// whole is told that the server's answer has been read to its end.
func (l *local) whole() {
	now := l.f.clock()
	took := now.Sub(l.started)
	l.result = limiter.Served{Took: took}
	l.free()
	l.f.observer.Observe(now, ServerAnswered{Server: l.b.name, Partition: l.route.Partition(), Key: l.q.key, Took: took})
}
