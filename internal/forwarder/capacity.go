package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/pacer"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

const (
	// invalidLoadLogInterval is the least time between two log lines about invalid loads. A server may send one with each answer.
	invalidLoadLogInterval = time.Second
	// maxLoggedLoad bounds the bytes of an invalid load in the log.
	maxLoggedLoad = 40
)

// observeLoad passes the load that a server names in an answer to the queue of its pool. It only counts a load that is invalid, in
// an answer to another request, or in one that may come from another server at the address, as with the status 421. Such a load is
// removed from header: clients may not take an answer with a very long one.
func (f *Forwarder) observeLoad(
	now time.Time, serverPool resolver.ServerPool, server cataloger.Server, status int, header http.Header, sameRequest bool,
) {
	text := header.Get(f.headers.Load)
	if text == "" || !f.queueing.AdaptiveLimits {
		return
	}
	load, err := pacer.ParseLoad(text)
	reason := ""
	switch {
	case !sameRequest:
		reason = "answer to another request"
	case status == http.StatusMisdirectedRequest:
		reason = "answer of another server"
	case err != nil:
		reason = err.Error()
	}
	if reason != "" {
		header.Del(f.headers.Load)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if reason == "" {
		if q := f.queues[serverPool]; q != nil {
			q.queue.ReportLoad(now, server.ID, load)
		}
		return
	}
	f.meter.Count(meter.InvalidServerLoads)
	if now.Sub(f.invalidLoadLogged) >= invalidLoadLogInterval {
		f.invalidLoadLogged = now
		klog.InfoS("load that a server names is invalid", "server", server.ID, "error", reason,
			"load", strconv.Quote(text[:min(len(text), maxLoggedLoad)]), "bytes", len(text))
	}
}

// reportedTime returns the service time of an answer for the leader, which derives a server's capacity from its slots and its
// mean service time. A server that runs fewer requests than it has slots has as much capacity as one whose answers take longer.
func reportedTime(state queuer.ServerState, took time.Duration) time.Duration {
	if state.Limit <= 0 || state.Limit >= state.Slots {
		return took
	}
	return took * time.Duration(state.Slots) / time.Duration(state.Limit)
}

// observeState counts and logs what the queue of a pool has found out about a server since the last call. The caller holds mu.
func (f *Forwarder) observeState(now time.Time, q *poolQueue, server string) {
	state, ok := q.queue.ServerState(server)
	before := q.states[server]
	if !ok || state == before {
		return
	}
	if q.states == nil {
		q.states = map[string]queuer.ServerState{}
	}
	q.states[server] = state
	if !state.EjectedUntil.Equal(before.EjectedUntil) {
		f.meter.Count(meter.ServerEjections)
		klog.InfoS("server ejected from its queue", "server", server, "for", state.EjectedUntil.Sub(now))
	}
	if state.Limit != before.Limit && (before.Limit != 0 || state.Limit < state.Slots) {
		klog.InfoS("learned how many requests a server handles well", "server", server, "limit", state.Limit, "before", before.Limit,
			"slots", state.Slots)
		f.countLoweredServers()
	}
}

// countLoweredServers sets the gauge of the servers whose limit is lower than their slots. The caller holds mu.
func (f *Forwarder) countLoweredServers() {
	lowered := 0
	for _, q := range f.queues {
		for _, state := range q.states {
			if state.Limit < state.Slots {
				lowered++
			}
		}
	}
	f.meter.Set(meter.LoweredServers, int64(lowered))
}

// forgetStates drops the states of servers that have left the pool of a queue. The caller holds mu.
func (q *poolQueue) forgetStates() {
	for server := range q.states {
		if _, ok := q.queue.ServerState(server); !ok {
			delete(q.states, server)
		}
	}
}
