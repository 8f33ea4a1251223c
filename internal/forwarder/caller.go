package forwarder

import (
	"math"
	"net/http"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	routePause    = 25 * time.Millisecond // between two looks for a route
	maxRouteWait  = time.Second           // for a route, at most half of the time left
	maxRouteWaits = 1024                  // requests that wait for a route at once
	maxElsewhere  = 1                     // other servers that are asked after one refused
)

// retryBackoff is the pause before an idempotent request is sent again.
var retryBackoff = limiter.Backoff{Base: 10 * time.Millisecond, Max: 200 * time.Millisecond}

// serveNoPath answers paths that no request has.
func (f *Forwarder) serveNoPath(w http.ResponseWriter, r *http.Request) {
	q := f.newRequest(w, r, f.clock())
	q.writeVerdict(verdict{reason: ReasonBadPath, message: "the path must be /s/{service}/{key} or /s/{service}/{key}/{rest}"}, OutcomeNotRun)
}

// serveCaller handles a caller's request.
func (f *Forwarder) serveCaller(w http.ResponseWriter, r *http.Request) {
	q := f.newRequest(w, r, f.clock())
	if !f.flights.enter() {
		w.Header().Set("Connection", "close")
		f.end(q, refused{verdict: drainingVerdict()}, false)
		return
	}
	defer f.flights.leave()
	view := f.table.View()
	v, ok := q.parse(view)
	if ok {
		v, ok = q.parseTimeout()
	}
	if !ok {
		f.end(q, refused{verdict: v}, false)
		return
	}
	f.serveAdmitted(q, view)
}

// serveAdmitted applies the caller's limits and runs the request.
func (f *Forwarder) serveAdmitted(q *request, view *router.View) {
	admission, refusal := f.enterCaller(q, view)
	if refusal != nil {
		f.end(q, refusedBy(*refusal), false)
		return
	}
	defer f.leaveCaller(admission)
	q.clean()
	if v, ok := q.readBody(); !ok {
		f.end(q, refused{verdict: v}, false)
		return
	}
	f.run(q)
}

// clean removes the headers that go no further.
func (q *request) clean() {
	exchanger.RemoveHopByHop(q.r.Header)
	removePrivate(q.r.Header, headerCaller, headerRequestID)
}

func drainingVerdict() verdict {
	return verdict{reason: ReasonDraining, message: "this instance is stopping", retryAfter: time.Second}
}

// enterCaller counts the request against its caller's share of the limits.
func (f *Forwarder) enterCaller(q *request, view *router.View) (limiter.Admission, *limiter.Refuse) {
	limit := view.Bundle().GetCallerLimitByName(q.caller)
	entries := float64(max(1, f.entries()))
	share := limiter.CallerLimit{
		Rate:       limit.Rate() / entries,
		Burst:      limit.Burst(),
		Concurrent: int(math.Ceil(float64(limit.Concurrent()) / entries)),
	}
	if share.Rate <= 0 && share.Concurrent <= 0 {
		return limiter.Admission{}, nil
	}
	f.callersMu.Lock()
	defer f.callersMu.Unlock()
	admission, decision := f.callers.Enter(q.arrived, q.caller, share)
	if refusal, refused := decision.(limiter.Refuse); refused {
		return limiter.Admission{}, &refusal
	}
	return admission, nil
}

func (f *Forwarder) leaveCaller(a limiter.Admission) {
	f.callersMu.Lock()
	defer f.callersMu.Unlock()
	f.callers.Leave(a)
}

// run makes attempts until the request has its end.
type run struct {
	f         *Forwarder
	q         *request
	view      *router.View
	last      identifier.ServerName // of a service that is not keyed
	retries   int
	elsewhere int
	routeEnd  time.Time // of the wait for a route
	forwarded bool
}

func (f *Forwarder) run(q *request) {
	f.countRequest(q)
	a := &run{f: f, q: q}
	for {
		a.view = f.table.View()
		r := a.attempt()
		if !a.again(r) {
			f.end(q, r, a.forwarded)
			return
		}
	}
}

// attempt makes one attempt along the present route.
func (a *run) attempt() result {
	service, err := a.view.GetServiceByName(a.q.service.Name())
	if err != nil {
		return refused{verdict: noService(err)}
	}
	a.q.service = service
	if !service.Keyed() {
		return a.attemptChosen()
	}
	route, err := a.view.RouteKey(service, a.q.key)
	if err != nil {
		return moved{verdict: noRoute(err)}
	}
	r, _ := a.along(route)
	return r
}

func noRoute(err error) verdict {
	return verdict{reason: ReasonNoRoute, message: err.Error(), retryAfter: maxRouteWait}
}

// along makes one attempt along route and returns the wait that the server's fronting instance expects.
func (a *run) along(route router.Route) (result, time.Duration) {
	w := a.f.watchRoute(a.q, route)
	defer w.end(a.q)
	if route.Front().Instance() != a.f.table.View().Self() {
		a.forwarded = true
		return a.f.attemptPeer(a.q, route)
	}
	a.forwarded = false
	r := a.f.attemptLocal(a.q, route)
	if a.q.service.Keyed() {
		return r, 0
	}
	return r, a.f.backend(route.Server()).expectedWait(a.f.clock())
}

// again decides whether another attempt follows r, and waits until it is due.
func (a *run) again(r result) bool {
	if !a.q.life.MaySend() || !a.q.body.replayable() {
		return false
	}
	switch end := r.(type) {
	case moved:
		return a.awaitRoute()
	case refused:
		return a.tryElsewhere(end.verdict.reason)
	case broken:
		return a.retry()
	}
	return false
}

// awaitRoute waits for a newer view, or a moment in which the other instance may catch up.
func (a *run) awaitRoute() bool {
	now := a.f.clock()
	if a.routeEnd.IsZero() {
		a.routeEnd = now.Add(min(maxRouteWait, a.q.deadline.Sub(now)/2))
	}
	if !now.Before(a.routeEnd) {
		return false
	}
	if a.f.routeWaits.Add(1) > maxRouteWaits {
		a.f.routeWaits.Add(-1)
		return false
	}
	defer a.f.routeWaits.Add(-1)
	changed := a.f.table.Changed()
	if a.f.table.View() != a.view {
		return true
	}
	return a.pause(min(routePause, a.routeEnd.Sub(now)), changed)
}

// pause waits for d or until early is closed; it returns false when the caller has gone.
func (a *run) pause(d time.Duration, early <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-early:
		return true
	case <-a.q.r.Context().Done():
		return false
	}
}

// tryElsewhere allows another server of a service that is not keyed, when one refused for reasons of its own.
func (a *run) tryElsewhere(reason Reason) bool {
	if a.q.service.Keyed() || a.elsewhere >= maxElsewhere {
		return false
	}
	switch reason {
	case ReasonUnreachable, ReasonServerRefused, Reason(limiter.ReasonOverloaded), Reason(limiter.ReasonQueueFull):
		a.elsewhere++
		return true
	}
	return false
}

// retry allows an idempotent request that may have run to run again, within its budget.
func (a *run) retry() bool {
	if !a.q.class.Idempotent() || a.retries >= a.q.class.Retries() {
		return false
	}
	pause, ok := a.f.spendRetry(a.q, a.retries+1)
	if !ok || !a.f.clock().Add(pause).Before(a.q.deadline) {
		return false
	}
	a.retries++
	return a.pause(pause, nil)
}

// end gives the caller its final answer, at once.
func (f *Forwarder) end(q *request, r result, forwarded bool) {
	ended := RequestEnded{Service: q.service.Name(), Class: q.class.Name(), Forwarded: forwarded}
	switch e := r.(type) {
	case finished:
		ended.Status, ended.Cut, ended.Outcome = e.status, e.cut, OutcomeAnswered
		if e.cut {
			ended.Outcome = OutcomeUnknown
		}
	case abandoned:
		ended.Outcome, ended.Cut = q.life.withoutAnswer(), true
	case moved:
		ended.Reason = string(e.verdict.reason)
		ended.Status, ended.Outcome = q.giveUp(unavailable(e.verdict))
	case refused:
		ended.Reason = string(e.verdict.reason)
		ended.Status, ended.Outcome = q.giveUp(e.verdict)
	case broken:
		ended.Reason = string(e.verdict.reason)
		ended.Status, ended.Outcome = q.giveUp(e.verdict)
	case repeated:
		ended.Reason = string(e.verdict.reason)
		ended.Status, ended.Outcome = q.writeVerdict(e.verdict, e.outcome), e.outcome
	}
	now := f.clock()
	ended.Took = now.Sub(q.arrived)
	f.observer.Observe(now, ended)
	if ended.Cut {
		panic(http.ErrAbortHandler)
	}
}

// unavailable is what a caller is told when no route was found in time.
func unavailable(v verdict) verdict {
	if v.reason == ReasonMoved || v.reason == ReasonDraining {
		v.reason = ReasonNoRoute
	}
	v.retryAfter = max(v.retryAfter, maxRouteWait)
	return v
}
