package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// peerGrace is how long after the deadline the fronting instance's own last word may come.
const peerGrace = 50 * time.Millisecond

// hop is one attempt by way of the fronting instance.
type hop struct {
	f       *Forwarder
	q       *request
	route   router.Route
	started time.Time
	wait    time.Duration // reported by the fronting instance
}

// attemptPeer passes the request on to the fronting instance.
func (f *Forwarder) attemptPeer(q *request, route router.Route) (result, time.Duration) {
	h := &hop{f: f, q: q, route: route, started: f.clock()}
	q.step(Wait{})
	q.step(TakeSlot{})
	r := h.send()
	return r, h.wait
}

func (h *hop) send() result {
	conn, err := h.f.peer(h.route.Front().PeerAddress()).Connect(h.q.context(), h.started, h.q.deadline)
	if err != nil {
		h.q.step(Withdraw{})
		return h.unsent(err)
	}
	out := h.outgoing()
	h.q.step(Write{})
	answer, err := conn.Do(h.q.exchangeContext(), out, h.q.deadline.Add(peerGrace), h.q.inform)
	if exchanger.IsErrNotSent(err) {
		h.q.step(Withdraw{})
		return h.unsent(err)
	}
	if err != nil {
		h.q.step(Break{})
		return h.interrupted(err)
	}
	h.wait = time.Duration(getInt(answer.Header, headerExpectedWait)) * time.Millisecond
	if reason := Reason(answer.Header.Get(headerReason)); reason != "" {
		return h.refused(reason, answer)
	}
	return h.q.relay(answer, relayEnds{whole: func() {}, failed: h.interrupted, dropped: func() {}, now: h.f.clock})
}

func (h *hop) outgoing() *http.Request {
	front := h.route.Front()
	out := h.q.outgoing(front.PeerAddress(), "/forward")
	header := out.Header
	h.q.set(header, slotServer, headerServer, string(h.route.Server().Name()))
	h.q.set(header, slotPartition, headerPartition, formatInt(h.route.Partition().Index))
	h.q.set(header, slotEpoch, headerEpoch, formatInt(h.route.Epoch()))
	h.q.set(header, slotTerm, headerTerm, formatInt(front.Term()))
	h.q.set(header, slotDeadline, headerDeadline, formatInt(milliseconds(h.q.deadline.Sub(h.started))))
	h.q.set(header, slotHops, headerHops, "1")
	return out
}

// unsent is the end of a hop of which nothing was sent.
func (h *hop) unsent(err error) result {
	if h.q.callerGone() {
		return abandoned{}
	}
	if h.q.context().Err() != nil {
		return moved{verdict: replacedVerdict()}
	}
	if exchanger.IsErrBody(err) {
		return refused{verdict: h.q.badBody(err)}
	}
	if exchanger.IsErrBusy(err) {
		return refusedBy(limiter.Refuse{Reason: limiter.ReasonOverloaded, RetryAfter: time.Second})
	}
	h.f.observer.Observe(h.f.clock(), PeerFailed{Instance: h.route.Front().Instance()})
	return moved{verdict: verdict{
		reason:     ReasonUnreachable,
		message:    "the fronting instance can't be reached: " + err.Error(),
		retryAfter: time.Second,
	}}
}

// interrupted is the end of a hop that may have run.
func (h *hop) interrupted(err error) result {
	if h.q.callerGone() {
		return abandoned{}
	}
	if h.q.context().Err() != nil {
		return broken{verdict: verdict{reason: ReasonBroken, message: "the key moved meanwhile"}}
	}
	if exchanger.IsErrBody(err) {
		return broken{verdict: h.q.badBody(err)}
	}
	now := h.f.clock()
	h.f.observer.Observe(now, PeerFailed{Instance: h.route.Front().Instance(), Sent: true})
	if !now.Before(h.q.deadline) {
		return broken{verdict: verdict{reason: ReasonTimeout, message: "no answer came in time"}}
	}
	return broken{verdict: verdict{reason: ReasonBroken, message: "the fronting instance broke off: " + err.Error()}}
}

// refused handles an answer that the fronting instance itself made.
func (h *hop) refused(reason Reason, answer *exchanger.Response) result {
	v := verdict{
		reason:     reason,
		message:    "the fronting instance answered " + string(reason),
		retryAfter: time.Duration(getInt(answer.Header, headerRetryAfter)) * time.Millisecond,
	}
	outcome := Outcome(answer.Header.Get(headerOutcome))
	v.firstStatus = int(getInt(answer.Header, headerFirstStatus))
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusal))
	answer.Close(h.f.clock(), err == nil)
	switch {
	case reason == ReasonRepeat:
		h.q.step(RefuseUnrun{})
		return repeated{verdict: v, outcome: outcome}
	case outcome != OutcomeNotRun:
		h.q.step(Break{})
		return broken{verdict: v}
	case reason == ReasonMoved || reason == ReasonDraining || reason == ReasonNoRoute:
		h.q.step(RefuseUnrun{})
		return moved{verdict: v}
	}
	h.q.step(RefuseUnrun{})
	return refused{verdict: v}
}

// servePeer handles a request that another instance passed on.
func (f *Forwarder) servePeer(w http.ResponseWriter, r *http.Request) {
	now := f.clock()
	q := f.newRequest(w, r, now)
	q.fromPeer = true
	if !f.flights.enter() {
		w.Header().Set("Connection", "close")
		q.writeVerdict(drainingVerdict(), OutcomeNotRun)
		return
	}
	defer f.flights.leave()
	f.endPeer(q, f.attemptFromPeer(q))
}

// attemptFromPeer makes one attempt at the server, if this instance fronts it.
func (f *Forwarder) attemptFromPeer(q *request) result {
	server := identifier.ServerName(q.r.Header.Get(headerServer))
	left := time.Duration(getInt(q.r.Header, headerDeadline)) * time.Millisecond
	view := f.table.View()
	if v, ok := q.parse(view); !ok {
		return refused{verdict: v}
	}
	q.deadline = q.arrived.Add(left)
	q.clean()
	route, err := f.routeFromPeer(q, view, server)
	if err != nil {
		return moved{verdict: movedVerdict(err)}
	}
	if route.Front().Instance() != f.table.View().Self() {
		return moved{verdict: verdict{reason: ReasonMoved, message: "another instance fronts the server", retryAfter: routePause}}
	}
	if v, ok := q.readBody(); !ok {
		return refused{verdict: v}
	}
	w := f.watchRoute(q, route)
	defer w.end(q)
	return f.attemptLocal(q, route)
}

func (f *Forwarder) routeFromPeer(q *request, view *router.View, server identifier.ServerName) (router.Route, error) {
	if q.service.Keyed() {
		return view.RouteKey(q.service, q.key)
	}
	return view.RouteServer(q.service, server)
}

// endPeer answers the instance that passed the request on.
func (f *Forwarder) endPeer(q *request, r result) {
	switch end := r.(type) {
	case finished:
		if end.cut {
			panic(http.ErrAbortHandler)
		}
	case abandoned:
		panic(http.ErrAbortHandler)
	case moved:
		end.verdict.reason = ReasonMoved
		q.w.Header().Set(headerOffset, formatInt(f.table.View().Offset()))
		q.giveUp(end.verdict)
	case refused:
		q.giveUp(end.verdict)
	case broken:
		q.giveUp(end.verdict)
	case repeated:
		q.writeVerdict(end.verdict, end.outcome)
	}
}

// giveUp ends a request without a server's answer and returns the status written.
func (q *request) giveUp(v verdict) (int, Outcome) {
	q.step(GiveUp{})
	outcome := q.life.State().(Done).Outcome
	return q.writeVerdict(v, outcome), outcome
}
