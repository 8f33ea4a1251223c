package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
)

const (
	maxLocalTries = 3                     // attempts at one server that ended unrun
	serverGrace   = 20 * time.Millisecond // after the deadline, for the server's own last word
	maxRefusal    = 64 << 10              // bytes of a refusal's body that are read to keep its connection
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
	result  limiter.Result // what the queue learns
	freed   bool
}

// tryLocal makes one attempt; again is true when it was not run and another at the same server can help.
func (f *Forwarder) tryLocal(q *request, route router.Route, b *backend) (r result, again bool) {
	q.step(Wait{})
	ticket, refusal, err := b.admit(q.context(), f.clock(), q.queued(), route.Partition())
	if err != nil {
		q.step(Withdraw{})
		return abandoned{}, false
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
	setInt(out.Header, headerTerm, term)
	l.q.step(Write{})
	answer, err := conn.Do(l.q.context(), out, l.q.deadline.Add(serverGrace), l.q.inform)
	if err != nil {
		return l.failed(err)
	}
	return l.answered(answer)
}

func (l *local) outgoing(now time.Time) *http.Request {
	out := l.q.outgoing(l.route.Server().Address(), "")
	h := out.Header
	setInt(h, headerPartition, l.route.Partition().Index)
	setInt(h, headerEpoch, l.route.Epoch())
	setInt(h, headerDeadline, milliseconds(l.q.deadline.Sub(now)))
	delete(h, headerServer)
	delete(h, headerHops)
	return out
}

func movedVerdict(err error) verdict {
	return verdict{reason: ReasonMoved, message: err.Error(), retryAfter: routePause}
}

// unreachable is the end of an attempt without a connection.
func (l *local) unreachable(err error) (result, bool) {
	if l.q.context().Err() != nil {
		return abandoned{}, false
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
	gone := l.q.context().Err() != nil
	late := !l.f.clock().Before(l.q.deadline)
	bad := exchanger.IsErrBody(err)
	if !bad {
		l.f.observer.Observe(l.f.clock(), ServerFailed{Server: l.b.name, Sent: true, Timeout: late, CallerGone: gone})
	}
	if gone || late {
		l.cancel()
	}
	switch {
	case gone:
		return abandoned{}
	case bad:
		return broken{verdict: l.q.badBody(err)}
	case late:
		return broken{verdict: verdict{reason: ReasonTimeout, message: "the server did not answer in time"}}
	}
	return broken{verdict: verdict{reason: ReasonBroken, message: "the server broke off: " + err.Error()}}
}

// cancel asks the server to stop work that no one waits for.
func (l *local) cancel() {
	l.f.canceller.Cancel(l.b.name, l.route.Server().Address(), l.q.id)
}

// answered handles the head of an answer.
func (l *local) answered(answer *exchanger.Response) (result, bool) {
	reason := answer.Header.Get(headerRefused)
	if reason == "" || !isRefusal(answer.Status) {
		return l.relay(answer), false
	}
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusal))
	answer.Close(l.f.clock(), err == nil && answer.ContentLength <= maxRefusal)
	l.q.step(RefuseUnrun{})
	l.f.observer.Observe(l.f.clock(), ServerRefused{Server: l.b.name, Reason: reason, Term: l.route.Front().Term()})
	return l.refusedBy(reason)
}

func isRefusal(status int) bool {
	return status == http.StatusConflict || status == http.StatusServiceUnavailable
}

// refusedBy says what a server's refusal means for the request.
func (l *local) refusedBy(reason string) (result, bool) {
	v := verdict{
		reason:     ReasonServerRefused,
		message:    "the server refused: " + reason,
		retryAfter: max(l.b.expectedWait(l.f.clock()), routePause),
	}
	switch reason {
	case "shed":
		l.result = limiter.Shed{}
		return refused{verdict: v}, true
	case "expired":
		v.reason = ReasonExpired
		return refused{verdict: v}, false
	case "stale_term", "stale_epoch", "no_grant", "draining":
		v.reason = ReasonMoved
		return moved{verdict: v}, false
	}
	return refused{verdict: v}, false
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
