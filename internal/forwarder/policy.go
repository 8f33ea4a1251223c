package forwarder

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/chooser"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// countRequest adds the request to its class's retry budget.
func (f *Forwarder) countRequest(q *request) {
	if q.class.Retries() == 0 {
		return
	}
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	f.budget(q).Request(q.class.RetryBudget())
}

// spendRetry takes one retry out of the class's budget and returns the pause before it.
func (f *Forwarder) spendRetry(q *request, attempt int) (time.Duration, bool) {
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	if !f.budget(q).Retry() {
		return 0, false
	}
	return retryBackoff.Pause(attempt, f.source), true
}

// budget returns the retry budget of the request's class. The lock is held.
func (f *Forwarder) budget(q *request) *limiter.Budget {
	key := classKey{service: q.service.Name(), class: q.class.Name()}
	b, ok := f.budgets[key]
	if !ok {
		b = &limiter.Budget{}
		f.budgets[key] = b
	}
	return b
}

// attemptChosen makes one attempt at a server of a service that is not keyed.
func (a *run) attemptChosen() result {
	started := a.f.clock()
	server, ok := a.f.choose(started, a)
	if !ok {
		return moved{verdict: verdict{reason: ReasonNoRoute, message: "no server of the service can take requests", retryAfter: maxRouteWait}}
	}
	a.last = server
	route, err := a.view.RouteServer(a.q.service, server)
	if err != nil {
		a.f.learn(a, started, moved{}, 0)
		return moved{verdict: noRoute(err)}
	}
	var r result
	var wait time.Duration
	defer func() { a.f.learn(a, started, r, wait) }()
	r, wait = a.along(route)
	return r
}

// choose picks a server, not the last one if that can be helped.
func (f *Forwarder) choose(now time.Time, a *run) (identifier.ServerName, bool) {
	candidates := f.candidates(a)
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	c := f.chooserOf(a.q.service.Name())
	return c.Choose(now, candidates, a.last, f.source)
}

// candidates returns the servers that have a fronting instance.
func (f *Forwarder) candidates(a *run) []chooser.Candidate {
	servers := a.q.service.Servers()
	candidates := make([]chooser.Candidate, 0, len(servers))
	for _, server := range servers {
		if a.view.GetFrontByServer(server.Name()).Instance() != "" {
			candidates = append(candidates, f.candidate(server))
		}
	}
	return candidates
}

func (f *Forwarder) candidate(server bundler.Server) chooser.Candidate {
	return chooser.Candidate{
		Server:  server.Name(),
		Slots:   server.Slots(),
		Leaving: server.Leaving(),
		Suspect: f.suspect(server.Name()),
	}
}

// chooserOf returns the chooser of a service. The lock is held.
func (f *Forwarder) chooserOf(service identifier.ServiceName) *chooser.Chooser {
	c, ok := f.choosers[service]
	if !ok {
		c = &chooser.Chooser{}
		f.choosers[service] = c
	}
	return c
}

// learn tells the chooser what an attempt showed of its server.
func (f *Forwarder) learn(a *run, started time.Time, r result, wait time.Duration) {
	now := f.clock()
	f.policyMu.Lock()
	defer f.policyMu.Unlock()
	f.chooserOf(a.q.service.Name()).Finish(now, a.last, shown(r, now.Sub(started), wait))
}

// shown returns what a result says of the server.
func shown(r result, took, wait time.Duration) chooser.Result {
	switch e := r.(type) {
	case finished:
		if e.cut {
			return chooser.Failed{}
		}
		return chooser.Answered{Took: took, Wait: wait}
	case broken:
		return chooser.Failed{}
	case refused:
		if e.verdict.reason == ReasonUnreachable {
			return chooser.Failed{}
		}
		return chooser.Refused{Wait: max(wait, e.verdict.retryAfter)}
	}
	return chooser.Withdrawn{}
}
