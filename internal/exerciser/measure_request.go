package exerciser

import (
	"sort"
	"time"
)

// outcome is what the caller of a request was told.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeNotRun
	outcomeUnknown
	outcomeCut // a part of an answer, passed off as whole
)

// maxTries bounds how often a request that may be repeated is sent.
const maxTries = 3

// exchangeTime is how long a slot is free in any case, from one answer to the next request of the same sender.
const exchangeTime = 2 * hop

// request is one caller's request.
type request struct {
	id       int
	class    int
	key      int
	entry    int
	arrived  time.Time
	deadline time.Time
	cost     time.Duration
	measured bool
	observed bool
	passed   bool // on from its entry to another
	server   int  // to which it was routed last

	outcome     outcome
	concluded   time.Time
	unavailable bool // not answered because of a fault, not of load
	wrongShed   bool // refused while a slot of its server was free for longer than exchangeTime
	executions  int
	written     int // attempts of which a server may have seen something
	tries       int
	at          int // one more than the server to which it was written last
	gate        *gate
}

func (r *request) done() bool { return r.outcome != outcomeNone }

// conclude tells the caller an outcome. A request that may have been written is never called not run, but by Naive.
func (t *trafficRun) conclude(r *request, o outcome, unavailable bool) {
	if r.done() {
		return
	}
	if _, naive := t.cell.Policy.(Naive); !naive && o == outcomeNotRun && r.written > 0 {
		o = outcomeUnknown
	}
	r.outcome = o
	r.concluded = t.now
	r.unavailable = unavailable && o != outcomeAnswered
	delete(t.open, r)
}

// answer passes the whole answer back to the caller's entry.
func (t *trafficRun) answer(r *request) {
	if !r.passed {
		t.conclude(r, outcomeAnswered, false)
		return
	}
	t.after(hop, func() { t.conclude(r, outcomeAnswered, false) })
}

// refuse tells the caller that the request was not run for want of room at server.
func (t *trafficRun) refuse(r *request, server int) {
	if r.done() {
		return
	}
	r.wrongShed = t.servers[server].freeFor() > exchangeTime
	t.conclude(r, outcomeNotRun, t.faulty(server))
}

// timeOut ends a request whose deadline has come.
func (t *trafficRun) timeOut(r *request) {
	t.conclude(r, outcomeNotRun, t.faulty(r.server))
}

func (t *trafficRun) faulty(server int) bool {
	return t.servers[server].frozen || t.servers[server].lost
}

// retryOrUnknown goes on with a request that was written to a server without an answer.
func (t *trafficRun) retryOrUnknown(r *request) {
	if !t.cell.Deployment.Classes[r.class].Repeats || r.tries+1 >= maxTries {
		t.conclude(r, outcomeUnknown, true)
		return
	}
	r.tries++
	r.at = 0
	t.route(r)
}

// sortedOpen returns the requests without an outcome in the order of their arrival.
func (t *trafficRun) sortedOpen() []*request {
	out := make([]*request, 0, len(t.open))
	for r := range t.open {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}
