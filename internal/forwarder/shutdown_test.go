package forwarder

import (
	"fmt"
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

	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// shutdownHop sends a hop for a key of server k with a deadline of a minute to f and returns the result in the answer.
func shutdownHop(t *testing.T, f *Forwarder) result {
	t.Helper()
	return shutdownHopWithTimeLeft(t, f, time.Minute)
}

// shutdownHopWithTimeLeft is shutdownHop with another deadline.
func shutdownHopWithTimeLeft(t *testing.T, f *Forwarder, timeLeft time.Duration) result {
	t.Helper()
	now := time.Now()
	req := &clientRequest{
		pool: resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}, route: "keyonce", keyed: true, key: 5,
		objective: now.Add(timeLeft), deadline: now.Add(timeLeft), ownerMapVersion: f.View().Owners.Version(),
	}
	r := httptest.NewRequest(http.MethodPost, "/keyonce/x", nil)
	r.Header.Set("X-Id", "r1")
	r.Header.Set(HeaderHop, req.encodeHop(now))
	w := httptest.NewRecorder()
	f.ServeHop(w, r)
	var got result
	is.New(t).NoErr(got.decode(w.Header().Get(headerOutcome)))
	return got
}

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

// startMember serves the hops for f, and returns f as a member.
func startMember(t *testing.T, name, domain string, f *Forwarder) resolver.Member {
	t.Helper()
	peer := httptest.NewServer(http.HandlerFunc(f.ServeHop))
	t.Cleanup(peer.Close)
	return resolver.Member{Instance: name, Domain: domain, Address: strings.TrimPrefix(peer.URL, "http://")}
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

// setSelf makes f the instance "self" of a domain.
func setSelf(f *Forwarder, domain string, leaving bool) {
	v := *f.View()
	v.Self.Domain, v.Self.Leaving = domain, leaving
	f.SetView(time.Now(), &v)
}

// TestHopThatMayOutlastItsDispatcherIsDeclined guards against a request from another instance that is cut when its dispatcher exits,
// although the other instance could have used a different dispatcher, and against declining those that end in time.
func TestHopThatMayOutlastItsDispatcherIsDeclined(t *testing.T) {
	tests := map[string]struct {
		requested, lastAnswer time.Duration // before and after now
		wantDeclined          bool
	}{
		"at once, may outlast it":  {lastAnswer: 5 * time.Second, wantDeclined: true},
		"at once, ends in time":    {lastAnswer: 15 * time.Second},
		"late, may outlast it":     {requested: 3 * time.Second, lastAnswer: time.Second, wantDeclined: true},
		"late, ends in time":       {requested: 3 * time.Second, lastAnswer: 15 * time.Second},
		"after the last answer":    {requested: 6 * time.Second, lastAnswer: -time.Second, wantDeclined: true},
		"grace period of a minute": {requested: 30 * time.Second, lastAnswer: 30 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScriptedServer(t, answerOK)
			f := newForwarder(t, server)
			now := time.Now()
			f.BeginShutdown(now.Add(-test.requested), now.Add(test.lastAnswer))
			got := shutdownHopWithTimeLeft(t, f, 10*time.Second)
			is.Equal(got.declined(), test.wantDeclined)
			is.Equal(server.requests.Load() == 0, test.wantDeclined)
		})
	}
}

// TestRequestOutlastsItsDispatcher guards against a request that is cut, with an unknown outcome, because its dispatcher exits before the
// server has answered.
func TestRequestOutlastsItsDispatcher(t *testing.T) {
	for name, path := range map[string]string{
		"keyed": "/key/x", "keyed, at most once": "/keyonce/x", "without key": "/idempotent/x", "without key, at most once": "/once/x",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startSlowServer(t, 500*time.Millisecond)
			dispatcher := newForwarder(t, server)
			f := newForwarder(t, server, startMember(t, "dispatcher", "d", dispatcher))
			setSelf(f, "elsewhere", false) // so that the member in domain d is the dispatcher
			now := time.Now()
			dispatcher.BeginShutdown(now, now.Add(200*time.Millisecond))
			is.Equal(sendRequest(f, "POST", path, "5", "").Code, http.StatusOK)
			is.Equal(server.requests.Load(), int64(1))
		})
	}
}

// TestRequestIsServedWhileAllInstancesStop guards against a request that is refused because all dispatchers that it may use decline it,
// although this instance reaches the server.
func TestRequestIsServedWhileAllInstancesStop(t *testing.T) {
	for _, members := range []int{1, maxDetours, 2 * maxDetours, maxDeclines + maxDetours} {
		for _, known := range []bool{false, true} {
			for _, selfStops := range []bool{false, true} {
				for _, domain := range []string{"d", "elsewhere"} {
					name := fmt.Sprintf("%d members, known %t, this one stops %t, in domain %s", members, known, selfStops, domain)
					t.Run(name, func(t *testing.T) { testAllInstancesStop(t, members, known, selfStops, domain) })
				}
			}
		}
	}
}

func testAllInstancesStop(t *testing.T, members int, known, selfStops bool, domain string) {
	is := is.New(t)
	server := startScriptedServer(t, answerOK)
	now := time.Now()
	var list []resolver.Member
	for n := range members {
		dispatcher := newForwarder(t, server)
		dispatcher.BeginShutdown(now.Add(-3*time.Second), now.Add(5*time.Second))
		member := startMember(t, fmt.Sprintf("dispatcher-%d", n), "d", dispatcher)
		member.Leaving = known
		list = append(list, member)
	}
	f := newForwarderWithTimeout(t, server, time.Minute, list...)
	setSelf(f, domain, selfStops)
	if selfStops {
		f.BeginShutdown(now, now.Add(6*time.Second))
	}
	for _, path := range []string{"/key/x", "/keyonce/x", "/idempotent/x", "/once/x"} {
		for range 3 {
			is.Equal(sendRequestWithTimeLeft(f, time.Minute, "POST", path, "5", "").Code, http.StatusOK)
		}
	}
	is.Equal(server.requests.Load(), int64(12))
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

// TestShutdownHandsWaitingHopsBack guards against a request of another instance that waits at a dispatcher that stops, and is started
// there so late that the exit cuts it, and against handing back one that ends in time.
func TestShutdownHandsWaitingHopsBack(t *testing.T) {
	is := is.New(t)
	server, unblock := startBlockingServer(t)
	f := newForwarderWithTimeout(t, server, time.Minute)
	atWork := occupy(t, f)
	long, short := make(chan result, 1), make(chan result, 1)
	go func() { long <- shutdownHopWithTimeLeft(t, f, time.Minute) }()
	go func() { short <- shutdownHopWithTimeLeft(t, f, 10*time.Second) }()
	await(t, func() bool { _, waiting := f.RequestCounts(); return waiting == 2 })
	now := time.Now()
	f.BeginShutdown(now, now.Add(20*time.Second))
	handedBack := <-long
	is.True(handedBack.declined())
	_, waiting := f.RequestCounts()
	is.Equal(waiting, 1)
	unblock()
	answer := <-short
	is.Equal(answer.outcome, answered)
	is.True(time.Since(now) < 10*time.Second)
	for range 2 {
		is.Equal(<-atWork, 200)
	}
}

// TestWaitingRequestOutlastsItsDispatcher guards against a request that waits at a dispatcher that stops, is started there and then cut,
// with an unknown outcome, when the dispatcher exits.
func TestWaitingRequestOutlastsItsDispatcher(t *testing.T) {
	for name, path := range map[string]string{"keyed": "/key/x", "keyed, at most once": "/keyonce/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startSlowServer(t, 800*time.Millisecond)
			dispatcher := newForwarderWithTimeout(t, server, time.Minute)
			f := newForwarderWithTimeout(t, server, time.Minute, startMember(t, "dispatcher", "d", dispatcher))
			setSelf(f, "elsewhere", false) // so that the member in domain d is the dispatcher
			atWork := occupy(t, dispatcher)
			status := make(chan int, 1)
			go func() { status <- sendRequestWithTimeLeft(f, time.Minute, "POST", path, "5", "").Code }()
			await(t, func() bool { _, waiting := dispatcher.RequestCounts(); return waiting == 1 })
			now := time.Now()
			dispatcher.BeginShutdown(now, now.Add(1300*time.Millisecond))
			is.Equal(<-status, http.StatusOK)
			is.Equal(server.requests.Load(), int64(3))
			for range 2 {
				is.Equal(<-atWork, http.StatusOK)
			}
		})
	}
}

// TestSafeRequestIsSentAgainAfterItsDispatcherExits guards against a request that may be repeated and ends without the server's answer
// because its dispatcher exits, while the instance that took it has time left.
func TestSafeRequestIsSentAgainAfterItsDispatcherExits(t *testing.T) {
	tests := map[string]struct {
		stopsLater bool // the instance that took the request stops too
		killed     bool // the dispatcher ends the hop without an answer
	}{
		"one stops":                      {},
		"both stop":                      {stopsLater: true},
		"one stops, without an answer":   {killed: true},
		"both stop, one without answers": {stopsLater: true, killed: true},
	}
	for name, test := range tests {
		for _, path := range []string{"/key/hanging", "/idempotent/hanging"} {
			t.Run(name+" "+path, func(t *testing.T) {
				is := is.New(t)
				server, _ := startBlockingServer(t)
				dispatcher := newForwarderWithTimeout(t, server, time.Minute)
				peer := httptest.NewServer(http.HandlerFunc(dispatcher.ServeHop))
				defer peer.Close()
				f := newForwarderWithTimeout(t, server, time.Minute, resolver.Member{
					Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://"),
				})
				setSelf(f, "elsewhere", false) // so that the member in domain d is the dispatcher
				answer := make(chan *httptest.ResponseRecorder, 1)
				go func() { answer <- sendRequestWithTimeLeft(f, time.Minute, "POST", path, "5", "") }()
				await(t, func() bool { return server.requests.Load() == 1 })
				now := time.Now()
				dispatcher.BeginShutdown(now, now.Add(200*time.Millisecond))
				if test.stopsLater {
					f.BeginShutdown(now, now.Add(10*time.Second))
				}
				if test.killed {
					peer.CloseClientConnections()
				}
				w := <-answer
				is.Equal(w.Code, http.StatusOK)
				is.Equal(w.Body.String(), "hi")
				is.True(time.Since(now) < 10*time.Second)
				is.Equal(server.requests.Load(), int64(2))
			})
		}
	}
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
						writeHopAnswer(w, declinedResult())
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

// TestWaitingHopIsNotUnknownAtTheExit guards against a request with an unknown outcome that waits at another instance until the one that
// passed it on during its shutdown exits.
func TestWaitingHopIsNotUnknownAtTheExit(t *testing.T) {
	for name, path := range map[string]string{"keyed": "/key/x", "keyed, at most once": "/keyonce/x"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, unblock := startBlockingServer(t)
			dispatcher := newForwarderWithTimeout(t, server, time.Minute)
			f := newForwarderWithTimeout(t, server, time.Minute, startMember(t, "dispatcher", "d", dispatcher))
			setSelf(f, "elsewhere", false) // so that the member in domain d is the dispatcher
			atWork := occupy(t, dispatcher)
			now := time.Now()
			f.BeginShutdown(now, now.Add(time.Second))
			is.Equal(sendRequestWithTimeLeft(f, time.Minute, "POST", path, "5", "").Code, http.StatusServiceUnavailable)
			is.Equal(server.requests.Load(), int64(2))
			unblock()
			for range 2 {
				is.Equal(<-atWork, http.StatusOK)
			}
		})
	}
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

// lateWriter is the answer to a hop that is sent only when it is flushed, as by net/http.
type lateWriter struct {
	*httptest.ResponseRecorder
	flushing, resume chan struct{}
}

func (w *lateWriter) Flush() {
	close(w.flushing)
	<-w.resume
}

// TestDrainWaitsForAnswersToHops guards against an instance that exits after a server has answered the request of another instance and
// before the answer is sent there: the other instance could not tell whether the request had run.
func TestDrainWaitsForAnswersToHops(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, startScriptedServer(t, answerOK))
	now := time.Now()
	f.BeginShutdown(now, now.Add(time.Minute))
	req := &clientRequest{
		pool: resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}, route: "keyonce", keyed: true, key: 5,
		objective: now.Add(time.Second), deadline: now.Add(time.Second), ownerMapVersion: f.View().Owners.Version(),
	}
	r := httptest.NewRequest(http.MethodPost, "/keyonce/x", nil)
	r.Header.Set("X-Id", "r1")
	r.Header.Set(HeaderHop, req.encodeHop(now))
	w := &lateWriter{ResponseRecorder: httptest.NewRecorder(), flushing: make(chan struct{}), resume: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		f.ServeHop(w, r)
		close(done)
	}()
	select {
	case <-w.flushing:
	case <-time.After(20 * time.Second):
		t.Fatal("the answer was not flushed")
	}
	running, waiting := f.RequestCounts()
	is.Equal(running+waiting, 0)
	is.True(f.busy())
	close(w.resume)
	<-done
	is.True(!f.busy())
	is.Equal(w.Code, 200)
}

// TestHopToInstanceWithoutViewIsServed guards against a request that is refused because its dispatcher has just started again.
func TestHopToInstanceWithoutViewIsServed(t *testing.T) {
	tests := map[string]string{
		"key, idempotent": "/key/x", "key, once": "/keyonce/x", "no key, idempotent": "/idempotent/x", "no key, once": "/once/x",
	}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startScriptedServer(t, answerOK)
			dispatcher := New(testHeaders, limiter.New(limiter.Settings{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}), meter.New())
			f := newForwarder(t, server, startMember(t, "dispatcher", "d", dispatcher))
			setSelf(f, "elsewhere", false)
			is.Equal(sendRequest(f, "POST", path, "5", "").Code, http.StatusOK)
			is.Equal(server.requests.Load(), int64(1))
		})
	}
}

// TestWorkOutlastsItsDispatcher guards against a request that must not be repeated and is broken off because its dispatcher stops while a
// server is at work on it.
func TestWorkOutlastsItsDispatcher(t *testing.T) {
	tests := map[string]string{"key": "/keyonce/x", "no key": "/once/x"}
	for name, path := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := startSlowServer(t, 500*time.Millisecond)
			dispatcher := newForwarderWithTimeout(t, server, time.Minute)
			f := newForwarderWithTimeout(t, server, time.Minute, startMember(t, "dispatcher", "d", dispatcher))
			setSelf(f, "elsewhere", false)
			status := make(chan int, 1)
			go func() { status <- sendRequestWithTimeLeft(f, time.Minute, "POST", path, "5", "").Code }()
			await(t, func() bool { return server.requests.Load() == 1 })
			now := time.Now()
			dispatcher.BeginShutdown(now, now.Add(200*time.Millisecond))
			f.BeginShutdown(now, now.Add(10*time.Second))
			is.Equal(<-status, http.StatusOK)
			is.Equal(server.requests.Load(), int64(1))
		})
	}
}

// TestRequestWithoutTimeLeavesItsDispatcherReachable guards against a dispatcher that no request uses for a while, because one had too
// little time left to connect to it.
func TestRequestWithoutTimeLeavesItsDispatcherReachable(t *testing.T) {
	tests := map[string]struct {
		timeLeft time.Duration
		want     bool // the dispatcher counts as unreachable
	}{
		"no time": {timeLeft: -time.Millisecond},
		"enough":  {timeLeft: time.Minute, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, answerOK))
			now := time.Now()
			req := &clientRequest{deadline: now.Add(test.timeLeft)}
			r := f.forwardTo(t.Context(), req, resolver.Member{Instance: "dispatcher", Address: closedAddress(t)})
			is.Equal(r.outcome, unreached)
			is.Equal(f.unreachableAt(now)("dispatcher"), test.want)
		})
	}
}
