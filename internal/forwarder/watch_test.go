package forwarder

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// frontByB publishes the view in which b fronts s1, and permits it to send.
func (c *cluster) frontByB(epoch identifier.Epoch) {
	owners := []router.Owner{{Server: "s1", Epoch: epoch}, {Server: "s1", Epoch: epoch}, {Server: "s1", Epoch: epoch}, {Server: "s1", Epoch: epoch}}
	partitions := map[identifier.PartitionID]identifier.Epoch{}
	for i := range identifier.PartitionIndex(4) {
		partitions[identifier.PartitionID{Service: "desk", Index: i}] = epoch
	}
	c.b.table.Gate("s1").SetPermit(router.NewPermit(8, time.Now().Add(time.Hour), partitions))
	for _, e := range []*entry{c.a, c.b} {
		e.table.Publish(router.NewView(router.Picture{
			Offset: identifier.Offset(epoch),
			Self:   e.self,
			Bundle: c.bundle,
			Owners: map[identifier.ServiceName][]router.Owner{"desk": owners},
			Fronts: map[identifier.ServerName]router.Front{"s1": router.NewFront("b", c.b.peerAddress(), 8)},
		}))
	}
}

// TestStuckAttemptFollowsTheRoute lets the first request hang until another instance fronts the server.
func TestStuckAttemptFollowsTheRoute(t *testing.T) {
	tests := map[string]struct {
		method, path string
		from         string // the instance that receives the request
		timeout      string
		want         answered
		executed     int64
	}{
		"read by a peer":  {method: "GET", path: "/s/desk/k/x", from: "b", timeout: "20s", want: answered{status: 200, outcome: "answered"}, executed: 2},
		"read direct":     {method: "GET", path: "/s/desk/k/x", from: "a", timeout: "20s", want: answered{status: 200, outcome: "answered"}, executed: 2},
		"order by a peer": {method: "POST", path: "/s/desk/k/orders", from: "b", timeout: "500ms", want: answered{status: 504, outcome: "unknown"}, executed: 1},
		"order direct":    {method: "POST", path: "/s/desk/k/orders", from: "a", timeout: "500ms", want: answered{status: 504, outcome: "unknown"}, executed: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var came atomic.Int64
			arrived := make(chan struct{})
			s := newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
				if came.Add(1) == 1 {
					close(arrived)
					<-r.Context().Done()
					return
				}
				ok(w, r)
			})
			c := newCluster(t, s.address())
			e := map[string]*entry{"a": c.a, "b": c.b}[test.from]
			done := sendLater(t, e, test.method, test.path, headerTimeout, test.timeout)
			<-arrived
			c.frontByB(2)
			is.Equal(<-done, test.want)
			is.Equal(s.executed.Load(), test.executed)
		})
	}
}

// TestWaitingOrderFollowsTheRoute has an order in the queue of a stuck server, of which nothing was sent.
func TestWaitingOrderFollowsTheRoute(t *testing.T) {
	is := is.New(t)
	s := newBlocking(t)
	c := newCluster(t, s.address())
	first := sendLater(t, c.a, "POST", "/s/desk/k/orders")
	second := sendLater(t, c.a, "POST", "/s/desk/k/orders")
	<-s.arrived
	<-s.arrived
	waiting := sendLater(t, c.b, "POST", "/s/desk/k/orders", headerTimeout, "1h")
	await(t, "the order waits", func() bool { return c.a.Loads(time.Now())[0].Waiting == 1 })
	c.frontByB(2)
	<-s.arrived
	is.Equal(s.last().Header.Get(headerTerm), "8")
	close(s.release)
	for _, done := range []<-chan answered{first, second, waiting} {
		is.Equal((<-done).status, 200)
	}
	is.Equal(s.executed.Load(), int64(3))
}

// TestUnkeyedLeavesTheFrozen freezes one of two servers after its service time is known; all reads arrive.
func TestUnkeyedLeavesTheFrozen(t *testing.T) {
	is := is.New(t)
	var frozen atomic.Bool
	bad := newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
		if frozen.Load() {
			<-r.Context().Done()
			return
		}
		ok(w, r)
	})
	// The good one serves slower, so that the choice by expected wait comes back to the bad one.
	good := newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		ok(w, r)
	})
	c := newCluster(t, "127.0.0.1:3", bad.address(), good.address())
	const reads = 200
	before := int64(0) // at the bad one, before it froze
	for i := 0; i < reads && (before == 0 || bad.executed.Load() == before); i++ {
		answer, _, err := send(t, c.b, "GET", "/s/shelf/k/"+strconv.Itoa(i), nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, 200)
		if i == 20 {
			frozen.Store(true)
			before = bad.executed.Load()
		}
	}
	is.True(before > 0 && good.executed.Load() > 0)
	is.Equal(bad.executed.Load(), before+1) // one came to the frozen one first, and was answered by the other
}
