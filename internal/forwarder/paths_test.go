package forwarder

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}

// startDispatcherWithoutPath starts an instance that has no path to any server, and returns it as a member.
func startDispatcherWithoutPath(t *testing.T, name, domain string) resolver.Member {
	t.Helper()
	dispatcher := newForwarder(t, &scriptedServer{address: closedAddress(t)})
	peer := httptest.NewServer(http.HandlerFunc(dispatcher.ServeHop))
	t.Cleanup(peer.Close)
	return resolver.Member{Instance: name, Domain: domain, Address: strings.TrimPrefix(peer.URL, "http://")}
}

// TestRequestIsSentAroundDispatcherWithoutPath guards against requests that fail because their dispatcher has lost its path to a
// server that this instance reaches.
func TestRequestIsSentAroundDispatcherWithoutPath(t *testing.T) {
	for name, path := range map[string]string{
		"keyed": "/key/x", "keyed, at most once": "/keyonce/x", "without key": "/idempotent/x", "without key, at most once": "/once/x",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startScriptedServer(t, answerOK)
			member := startDispatcherWithoutPath(t, "dispatcher", "d")
			f := newForwarder(t, b, member)
			v := *f.view.Load()
			v.Self.Domain = "elsewhere" // so that the member in domain d is the dispatcher
			f.SetView(time.Now(), &v)
			const requests = 6
			started := time.Now()
			for range requests {
				is.Equal(sendRequest(f, "POST", path, "5", "").Code, http.StatusOK)
			}
			is.Equal(b.requests.Load(), int64(requests))
			is.True(f.meter.Get(meter.RequestsDetoured) < requests) // the path is known to be lost after the first ones
			is.True(time.Since(started) < time.Second)
		})
	}
}

// TestServerThatNobodyReachesIsNotAskedAbout guards against requests for a server that has ended which are passed on from one
// instance to the next.
func TestServerThatNobodyReachesIsNotAskedAbout(t *testing.T) {
	is := is.New(t)
	var members []resolver.Member
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		members = append(members, startDispatcherWithoutPath(t, name, "d"))
	}
	f := newForwarder(t, &scriptedServer{address: closedAddress(t)}, members...)
	for range 50 {
		w := sendRequest(f, "POST", "/keyonce/x", "5", "")
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.True(w.Header().Get("Retry-After") != "")
	}
	before := f.meter.Get(meter.RequestsForwarded)
	// Each instance tries to connect twice before it knows, and then declines.
	is.True(before <= 3*int64(len(members)))
	sendRequest(f, "POST", "/keyonce/x", "5", "")
	is.Equal(f.meter.Get(meter.RequestsForwarded), before) // all have said that they have no path
}

// TestWaitingRequestsLeaveDispatcherWithoutPath guards against requests that wait in the queue of an instance for a server to which
// it has lost its path.
func TestWaitingRequestsLeaveDispatcherWithoutPath(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // never answers
	is.NoErr(err)
	defer silent.Close()
	f := newForwarder(t, &scriptedServer{address: silent.Addr().String()})
	type hop struct {
		code   int
		answer http.Header
	}
	done := make(chan hop, 3)
	for range 3 {
		go func() {
			r := httptest.NewRequest("GET", "/key/x", nil)
			req := &clientRequest{
				pool: resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}, route: "key", keyed: true, key: 5, idempotent: true,
				objective: time.Now().Add(time.Minute), deadline: time.Now().Add(time.Minute),
				ownerMapVersion: f.View().Owners.Version(),
			}
			r.Header.Set(HeaderHop, req.encodeHop(time.Now()))
			w := httptest.NewRecorder()
			f.ServeHop(w, r)
			done <- hop{code: w.Code, answer: w.Header()}
		}()
	}
	await(t, func() bool { _, waiting := f.RequestCounts(); return waiting == 1 })
	now := time.Now()
	f.observeContact(now, "k", contactFailed)
	f.observeContact(now, "k", contactFailed)
	h := <-done
	var r result
	is.NoErr(r.decode(h.answer.Get(headerOutcome)))
	is.True(r.declined())
	is.True(r.lacksPath())
	f.CloseUnused(nil)
}

// TestServerWithoutPathIsNotPicked guards against requests of a service without keys that are sent to a server without a path
// although their pool has others.
func TestServerWithoutPathIsNotPicked(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, answerOK)
	f := newForwarder(t, b)
	v := f.View()
	servers := []cataloger.Server{
		{ID: "dark", Service: "plain", Address: closedAddress(t), Domain: "d", Slots: 2},
		{ID: "p", Service: "plain", Address: b.address, Domain: "d", Slots: 2},
	}
	f.SetView(time.Now(), resolver.New(v.Self, v.Table, servers, v.Owners, nil))
	for range 10 {
		is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, http.StatusOK)
	}
	is.True(f.ServerLost("dark"))
	is.True(!f.ServerLost("p"))
}

// TestDetoursAreBoundedWithoutOwnPath guards against one more hop than maxDetours when this instance has declined the pool itself.
func TestDetoursAreBoundedWithoutOwnPath(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, startScriptedServer(t, answerOK))
	now := time.Now()
	v := f.View()
	req := &clientRequest{pool: v.Pools("plain", 0)[0]}
	f.mu.Lock()
	f.declines.record(now, req.pool, v.Self.Instance)
	f.mu.Unlock()
	hops := 1
	for f.detour(now, req, result{outcome: unreached, reason: reasonNoPath, dispatcher: "other-" + strconv.Itoa(hops)}) {
		hops++
	}
	is.Equal(hops, maxDetours)
}
