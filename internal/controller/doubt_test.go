package controller

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/platform"
)

// newTestConductor returns a Conductor whose store is served by handler.
func newTestConductor(t *testing.T, handler http.HandlerFunc) *Controller {
	t.Helper()
	store := httptest.NewServer(handler)
	t.Cleanup(store.Close)
	counters := meter.New()
	c := New(Options{
		Self: resolver.Member{Instance: "self", Domain: "d"}, Store: platform.NewStore(strings.TrimPrefix(store.URL, "http://")),
		Forwarder: forwarder.New(forwarder.HeaderNames{}, limiter.New(limiter.Settings{}), counters), Meter: counters,
	})
	c.context = context.Background()
	return c
}

// TestSilentReadIsBrokenOff plays a store that lost a waiting read without a trace: the read is repeated once the leader
// is seen to know more.
func TestSilentReadIsBrokenOff(t *testing.T) {
	is := is.New(t)
	waiting := make(chan struct{}, 1)
	c := newTestConductor(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("wait_ms") != "0" {
			waiting <- struct{}{}
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(append(make([]byte, 16), 0, 0, 0, 2, 1, 'k'))
	})
	c.relay.add(servers, true, nil, 7, asked)
	w := &watcher{name: servers, from: 7}
	done := make(chan int64)
	go func() {
		_, next, err := c.readDoubting(context.Background(), w, readWait)
		is.NoErr(err)
		done <- next
	}()
	<-waiting
	c.compare(map[string]int64{servers: 8}) // the news may be on its way
	is.Equal(len(done), 0)
	c.compare(map[string]int64{servers: 8})
	is.Equal(<-done, int64(8))
}

// TestReadsAreBrokenOffWithoutTheLeader: an instance that does not hear the leader any more reads again at once.
func TestReadsAreBrokenOffWithoutTheLeader(t *testing.T) {
	is := is.New(t)
	c := newTestConductor(t, http.NotFound)
	now := time.Unix(1000, 0)
	c.trust.Store(&trust{until: now.Add(time.Second)})
	c.guardReads(now)
	doubt := *c.doubt.Load()
	c.guardReads(now.Add(time.Second - 1))
	select {
	case <-doubt:
		t.Fatal("broken off while the leader is heard of")
	default:
	}
	c.guardReads(now.Add(time.Second))
	<-doubt
	is.True(!c.sure)
}

// TestRelayedReadIsBrokenOff: an instance that waits for what another one reads is not left waiting in doubt.
func TestRelayedReadIsBrokenOff(t *testing.T) {
	is := is.New(t)
	waiting := make(chan struct{}, 1)
	reader := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // or the server does not notice that the client leaves
		waiting <- struct{}{}
		<-r.Context().Done()
	}))
	defer reader.Close()
	c := newTestConductor(t, http.NotFound)
	address := strings.TrimPrefix(reader.URL, "http://")
	c.trust.Store(&trust{until: time.Unix(1<<40, 0)})
	done := make(chan error)
	go func() {
		_, _, err := c.readThrough(context.Background(), &watcher{name: servers, from: 7}, address)
		done <- err
	}()
	<-waiting
	c.breakOff()
	is.True(<-done != nil)
}
