package forwarder

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/resolver"
)

// TestLateRequestOfAShutdownIsRefused guards against a request that is taken so late in a shutdown that the instance may exit while a
// server is at work on it, and against refusing one that can be answered in time.
func TestLateRequestOfAShutdownIsRefused(t *testing.T) {
	tests := map[string]struct {
		requested, lastAnswer time.Duration // before and after now
		wantStatus            int
	}{
		"late, may outlast the instance": {requested: 3 * time.Second, lastAnswer: time.Second, wantStatus: 503},
		"late, ends in time":             {requested: 3 * time.Second, lastAnswer: 5 * time.Second, wantStatus: 200},
		"early":                          {requested: time.Second, lastAnswer: time.Second, wantStatus: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScriptedServer(t, answerOK)
			f := newForwarder(t, server)
			now := time.Now()
			f.BeginShutdown(now.Add(-test.requested), now.Add(test.lastAnswer))
			w := sendRequestWithTimeLeft(f, 2*time.Second, "POST", "/keyonce/x", "5", "")
			is.Equal(w.Code, test.wantStatus)
			is.Equal(w.Header().Get("Connection"), "close")
			if test.wantStatus == 503 {
				is.Equal(server.requests.Load(), int64(0))
				is.Equal(w.Header().Get("Retry-After"), "0.05")
			}
		})
	}
}

// startSlowServer starts a backend server that answers each request after a delay.
func startSlowServer(t *testing.T, delay time.Duration) *scriptedServer {
	t.Helper()
	b := &scriptedServer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requests.Add(1)
		time.Sleep(delay)
		w.Header().Set("X-Signature", "s")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
	}))
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}

// startBlockingServer starts a backend server that answers requests for paths with "slow" only after unblock was called or they were
// cancelled, and others at once. If the first request is for a path with "broken", it then closes the connection instead; if it is for one
// with "hanging", it is not answered.
func startBlockingServer(t *testing.T) (b *scriptedServer, unblock func()) {
	t.Helper()
	b = &scriptedServer{headers: make(chan http.Header, 64)}
	blocked := make(chan struct{})
	unblock = sync.OnceFunc(func() { close(blocked) })
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.headers <- r.Header
		first := b.requests.Add(1) == 1
		if strings.Contains(r.URL.Path, "broken") && first {
			<-blocked
			panic(http.ErrAbortHandler)
		}
		if strings.Contains(r.URL.Path, "hanging") && first {
			<-r.Context().Done()
			return
		}
		if strings.Contains(r.URL.Path, "slow") {
			select {
			case <-blocked:
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("X-Signature", "s")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		_, _ = w.Write([]byte("hi"))
	}))
	t.Cleanup(server.Close)
	t.Cleanup(unblock)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b, unblock
}

// occupy sends requests for server k to f until its two slots are taken, and returns their statuses.
func occupy(t *testing.T, f *Forwarder) <-chan int {
	t.Helper()
	statuses := make(chan int, 2)
	for range 2 {
		go func() { statuses <- sendRequestWithTimeLeft(f, time.Minute, "POST", "/keyonce/slow", "5", "").Code }()
	}
	await(t, func() bool { running, _ := f.RequestCounts(); return running == 2 })
	return statuses
}

// TestRequestSentDuringShutdownHasTheTimeThatIsLeft guards against a server that is told it has more time for a request than the
// instance which took the request before its shutdown.
func TestRequestSentDuringShutdownHasTheTimeThatIsLeft(t *testing.T) {
	const timeLeft = 10 * time.Second
	tests := map[string]struct {
		path string
		// begin returns the instance, whether the shutdown may begin, and what lets the request go on.
		begin func(t *testing.T, server *scriptedServer, unblock func()) (f *Forwarder, isReady func() bool, resume func())
	}{
		"waits in the queue": {path: "/key/x", begin: func(t *testing.T, server *scriptedServer, unblock func()) (*Forwarder, func() bool, func()) {
			f := newForwarderWithTimeout(t, server, time.Minute)
			occupy(t, f)
			return f, func() bool { _, waiting := f.RequestCounts(); return waiting == 1 }, unblock
		}},
		"is sent again": {path: "/key/broken", begin: func(t *testing.T, server *scriptedServer, unblock func()) (*Forwarder, func() bool, func()) {
			f := newForwarderWithTimeout(t, server, time.Minute)
			return f, func() bool { return server.requests.Load() == 1 }, unblock
		}},
		"is handed back by another instance": {path: "/keyonce/x", begin: func(t *testing.T, server *scriptedServer, unblock func()) (*Forwarder, func() bool, func()) {
			var hops atomic.Int64
			resumed := make(chan struct{})
			var members []resolver.Member
			for _, name := range []string{"dispatcher-1", "dispatcher-2"} {
				dispatcher := newForwarderWithTimeout(t, server, time.Minute)
				peer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if hops.Add(1) == 1 {
						<-resumed
						writeHopResult(w, declinedResult())
						return
					}
					dispatcher.ServeHop(w, r)
				}))
				t.Cleanup(peer.Close)
				members = append(members, resolver.Member{Instance: name, Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://")})
			}
			f := newForwarderWithTimeout(t, server, time.Minute, members...)
			setSelf(f, "elsewhere", false) // so that a member in domain d is the dispatcher
			return f, func() bool { return hops.Load() == 1 }, func() { close(resumed) }
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, unblock := startBlockingServer(t)
			f, isReady, resume := test.begin(t, server, unblock)
			status := make(chan int, 1)
			go func() { status <- sendRequestWithTimeLeft(f, time.Minute, "POST", test.path, "5", "").Code }()
			await(t, isReady)
			now := time.Now()
			f.BeginShutdown(now, now.Add(timeLeft))
			resume()
			is.Equal(<-status, http.StatusOK)
			var last http.Header
			for range server.requests.Load() {
				last = <-server.headers
			}
			left, err := strconv.Atoi(last.Get("X-Left"))
			is.NoErr(err)
			is.True(left > 0 && left <= int(timeLeft.Milliseconds()))
		})
	}
}

// TestShutdownStartsNoRequestThatItWouldCut guards against a waiting request that must not be repeated and is sent to a server which is
// likely to take longer than the instance has.
func TestShutdownStartsNoRequestThatItWouldCut(t *testing.T) {
	is := is.New(t)
	server := startSlowServer(t, 800*time.Millisecond)
	f := newForwarderWithTimeout(t, server, time.Minute)
	start := time.Now()
	atWork := occupy(t, f)
	status := make(chan int, 1)
	go func() { status <- sendRequestWithTimeLeft(f, time.Minute, "POST", "/keyonce/x", "5", "").Code }()
	await(t, func() bool { _, waiting := f.RequestCounts(); return waiting == 1 })
	f.BeginShutdown(time.Now(), start.Add(1300*time.Millisecond))
	is.Equal(<-status, http.StatusServiceUnavailable)
	for range 2 {
		is.Equal(<-atWork, http.StatusOK)
	}
	is.Equal(server.requests.Load(), int64(2))
}

// TestRequestsEndBeforeExit guards against requests whose connections are cut when the instance exits: those that wait in its queue,
// which must be refused, or handed back to the instance that took them, and those at work, whose outcome is unknown.
func TestRequestsEndBeforeExit(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // never answers
	is.NoErr(err)
	defer silent.Close()
	f := newForwarderWithTimeout(t, &scriptedServer{address: silent.Addr().String()}, time.Minute)
	atWork, queued, handedBack := make(chan int, 2), make(chan int, 1), make(chan result, 1)
	send := func() int {
		return sendRequestWithTimeLeft(f, time.Minute, "POST", "/keyonce/x", "5", "").Code
	}
	for range 2 { // server k has two slots
		go func() { atWork <- send() }()
	}
	await(t, func() bool { running, _ := f.RequestCounts(); return running == 2 })
	go func() { queued <- send() }()
	go func() { handedBack <- shutdownHop(t, f) }()
	await(t, func() bool { _, waiting := f.RequestCounts(); return waiting == 2 })
	now := time.Now()
	f.BeginShutdown(now, now.Add(50*time.Millisecond))
	is.Equal(<-queued, 503)
	declined := <-handedBack
	is.True(declined.declined())
	for range 2 {
		is.Equal(<-atWork, 502)
	}
	is.True(!f.busy())
	f.CloseUnused(nil)
}
