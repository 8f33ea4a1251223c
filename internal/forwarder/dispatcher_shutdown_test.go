package forwarder

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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

// startMember serves the hops for f, and returns f as a member.
func startMember(t *testing.T, name, domain string, f *Forwarder) resolver.Member {
	t.Helper()
	peer := httptest.NewServer(http.HandlerFunc(f.ServeHop))
	t.Cleanup(peer.Close)
	return resolver.Member{Instance: name, Domain: domain, Address: strings.TrimPrefix(peer.URL, "http://")}
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
