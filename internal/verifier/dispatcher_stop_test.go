package verifier

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// firstStopInterval is the time between two requests in TestDispatcherStopsFirst.
const firstStopInterval = 20 * time.Millisecond

// TestDispatcherStopsFirst guards against a dispatcher that begins what it can't end, when the instance that took the request stops
// after it and could have answered.
func TestDispatcherStopsFirst(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		route       clientRoute
		slots, work string
		from, until time.Duration // when requests are sent, since the SIGTERM of the dispatcher
		takerStop   time.Duration // the same for the SIGTERM of the instance that takes them
		leaderStop  time.Duration // the same for the leader, if it is another one; 0 is none
		leader      bool          // the dispatcher leads
	}{
		"sent after its SIGTERM": {
			route: orderRoute, slots: "60", work: "5700ms", from: 20 * time.Millisecond, until: 420 * time.Millisecond, takerStop: time.Second,
		},
		"sent after its SIGTERM, the leader": {
			route: orderRoute, slots: "60", work: "5700ms", from: 20 * time.Millisecond, until: 420 * time.Millisecond, takerStop: time.Second, leader: true,
		},
		"sent after its SIGTERM, no key": {
			route: frameRoute, slots: "60", work: "5700ms", from: 20 * time.Millisecond, until: 420 * time.Millisecond, takerStop: 2 * time.Second,
		},
		"sent after its SIGTERM, the leader stops before": {
			route: orderRoute, slots: "60", work: "5700ms", from: 20 * time.Millisecond, until: 1220 * time.Millisecond, takerStop: 3 * time.Second,
			leaderStop: -3 * time.Second,
		},
		"sent after its SIGTERM, the leader has exited": {
			route: orderRoute, slots: "60", work: "5700ms", from: 20 * time.Millisecond, until: 1220 * time.Millisecond, takerStop: 3 * time.Second,
			leaderStop: -3400 * time.Millisecond,
		},
		"waiting at its SIGTERM": {
			route: orderRoute, slots: "4", work: "1500ms", from: -500 * time.Millisecond, until: -100 * time.Millisecond, takerStop: 2 * time.Second,
		},
		"waiting at its SIGTERM, the leader": {
			route: orderRoute, slots: "4", work: "1500ms", from: -500 * time.Millisecond, until: -100 * time.Millisecond, takerStop: 2 * time.Second, leader: true,
		},
		"waiting at its SIGTERM, no key": {
			route: frameRoute, slots: "4", work: "1500ms", from: -500 * time.Millisecond, until: -100 * time.Millisecond, takerStop: 4 * time.Second,
		},
		"at work at its SIGTERM, idempotent": {
			route: previewRoute, slots: "60", work: "6500ms", from: -500 * time.Millisecond, until: -400 * time.Millisecond, takerStop: 2 * time.Second,
		},
		"at work at its SIGTERM, ends in time": {
			route: orderRoute, slots: "60", work: "5s", from: -500 * time.Millisecond, until: -100 * time.Millisecond, takerStop: 500 * time.Millisecond,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			size := clusterSize{entries: len(domains), keyedServers: len(domains), seeded: true, grace: stopGrace}
			work := []string{"-slots", test.slots, "-service-time", test.work, "-jitter", "0"}
			c := newCluster(t, size, work...)
			c.addServer("shelf_01", unkeyedService, work...)
			c.publishBundle(rollingRoutes(longRollingTimeout, longRollingTimeout))
			c.awaitAgreement(c.entries...)
			r := newRolling(c, longRollingTimeout)
			dispatcher, taker, key := r.chooseInstances(test.route, test.leader)
			stops := map[*entry]time.Duration{dispatcher: 0, taker: test.takerStop}
			if test.leaderStop != 0 {
				stops[c.awaitLeader()] = test.leaderStop
			}
			start := time.Now().Add(max(0, -test.from, -test.leaderStop) + 100*time.Millisecond)
			var running sync.WaitGroup
			for e, at := range stops {
				running.Go(func() {
					time.Sleep(time.Until(start.Add(at)))
					r.stopAndRestart(e, stop{})
				})
			}
			for at := test.from; at < test.until; at += firstStopInterval {
				plan := plannedRequest{id: fmt.Sprint("at ", at), route: test.route, key: key, limit: longRollingTimeout}
				conn, err := net.Dial("tcp", taker.ip+":"+clientPort)
				must(t, err)
				life := r.life(taker)
				running.Go(func() {
					defer conn.Close()
					time.Sleep(time.Until(start.Add(at)))
					r.send(conn, bufio.NewReader(conn), life, plan)
				})
			}
			running.Wait()
			r.checkRequests()
		})
	}
}

// chooseInstances returns the dispatcher of a server, another entry that does not lead, and a key of the server. Each failure domain has
// one entry, which dispatches for all servers there. leader says whether the dispatcher of a server with keys leads.
func (r *rolling) chooseInstances(route clientRoute, leader bool) (dispatcher, taker *entry, key uint16) {
	lead := r.awaitLeader()
	for _, s := range r.servers {
		domain := r.serverDomain(lead, s.id)
		i := slices.IndexFunc(r.entries, func(e *entry) bool { return e.domain == domain })
		if fits := leader == (r.entries[i] == lead); (s.service == keyedService) != route.keyed || route.keyed && !fits {
			continue
		}
		dispatcher = r.entries[i]
		for _, e := range r.entriesExcept(dispatcher) {
			if e != lead {
				taker = e
			}
		}
		for ; route.keyed; key += keyStride {
			if owner, ok := r.owner(lead, key); ok && owner.Server == s.id {
				break
			}
		}
		return dispatcher, taker, key
	}
	r.t.Fatal("no dispatcher fits")
	return nil, nil, 0
}

// keyStride is the distance between keys whose owners are looked up.
const keyStride = 1021

// serverDomain waits until an entry knows a server, and returns the server's failure domain.
func (r *rolling) serverDomain(e *entry, id string) (domain string) {
	await(r.t, e.name+" knows "+id, func() bool {
		status, _ := r.status(e)
		for _, s := range status.Servers {
			if s.ID == id {
				domain = s.Domain
			}
		}
		return domain != ""
	})
	return domain
}
