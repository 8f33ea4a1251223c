package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

var testHeaders = HeaderNames{
	RequestID: "X-Id", TimeLeft: "X-Left", Target: "X-Target", Signature: "X-Signature",
	NotExecuted: "X-Not-Executed", ShardKey: "X-Key", Limit: "Server-Limit",
}

// scriptedServer is a backend server that answers each request with the next of its scripted answers, and repeats the last
// one.
type scriptedServer struct {
	address  string
	answers  []string     // raw HTTP answers
	requests atomic.Int64 // requests received
	headers  chan http.Header
}

func startScriptedServer(t *testing.T, answers ...string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b := &scriptedServer{address: listener.Addr().String(), answers: answers, headers: make(chan http.Header, 64)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// serve answers the requests of one connection. It closes the connection after an empty or a truncated answer.
func (b *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(b.requests.Add(1))
		select {
		case b.headers <- r.Header:
		default: // no test reads that many
		}
		answer := b.answers[min(n, len(b.answers))-1]
		_, _ = io.WriteString(conn, answer)
		if answer == "" || strings.Contains(answer, "Content-Length: 99") {
			return
		}
	}
}

// Answers of scripted servers.
const (
	answerOK             = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
	answerTruncated      = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 99\r\n\r\nhi"
	answerToOtherRequest = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nno"
	answerUnsigned       = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
	answerNotExecuted    = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n"
	answerUnavailable    = "HTTP/1.1 503 Service Unavailable\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n"
	answerServerError    = "HTTP/1.1 500 Internal Server Error\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nbad"
	answerMisdirected    = "HTTP/1.1 421 Misdirected Request\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n"
	answerNotHTTP        = "what is this\r\n\r\n"
)

// newForwarder returns a Forwarder whose servers k and p are both b. k owns keys 0 to 999 of the service "keyed"; keys 1000
// to 1999 have no owner for the next minute. p serves the service "plain", which has no keys. Each route has
// MaxAttempts 2, which does not limit retries after a rejection; maxSends does.
func newForwarder(t *testing.T, b *scriptedServer, members ...resolver.Member) *Forwarder {
	t.Helper()
	return newForwarderWithTimeout(t, b, 2*time.Second, members...)
}

// newForwarderWithTimeout is newForwarder with another timeout of all routes.
func newForwarderWithTimeout(
	t *testing.T, b *scriptedServer, timeout time.Duration, members ...resolver.Member,
) *Forwarder {
	t.Helper()
	f := New(testHeaders, limiter.New(limiter.Settings{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}), meter.New())
	route := func(name string, idempotent bool, service string) bundler.Route {
		return bundler.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: timeout,
			Objective: time.Second, MaxAttempts: 2, Services: []bundler.WeightedService{{Service: service, Weight: 1}},
		}
	}
	table := matcher.NewTable(bundler.New(1, []bundler.Service{{Name: "keyed", Keyed: true}, {Name: "plain"}}, []bundler.Route{
		route("idempotent", true, "plain"), route("once", false, "plain"),
		route("key", true, "keyed"), route("keyonce", false, "keyed"),
	}, bundler.Limits{HeaderBytes: 1000, BodyBytes: 100}))
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: b.address, Domain: "d", Slots: 2},
		{ID: "p", Service: "plain", Address: b.address, Domain: "d", Slots: 2},
	}
	owners := (*partitioner.Map)(nil).With(partitioner.Version{Term: 1, Sequence: 1}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "k"},
		{
			Service: "keyed", Range: partitioner.Range{First: 1000, Last: 1999}, Server: "k", Moving: true, PauseMS: 60_000,
			PausedUntil: time.Now().Add(time.Minute),
		},
	})
	self := resolver.Member{Instance: "self", Domain: "d"}
	f.SetView(time.Now(), resolver.New(self, table, servers, owners, members))
	return f
}

func sendRequest(f http.Handler, method, path, key, body string) *httptest.ResponseRecorder {
	return sendRequestWithTimeLeft(f, 1500*time.Millisecond, method, path, key, body)
}

func sendRequestWithTimeLeft(
	f http.Handler, timeLeft time.Duration, method, path, key, body string,
) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("X-Id", "r1")
	r.Header.Set("X-Left", strconv.FormatInt(timeLeft.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("X-Key", key)
	}
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// TestAnswerToClient guards against at-most-once requests that are sent again after they may have been executed, against
// requests that are reported as not executed although they may have been, and against answers that belong to no server or to
// another request.
func TestAnswerToClient(t *testing.T) {
	tests := map[string]struct {
		path, key, body string
		answers         []string
		wantStatus      int
		wantFromServer  bool
		wantBody        string
		wantSends       int64
		wantRetryAfter  bool
	}{
		"truncated, then rejected: may have been executed": {
			path: "/idempotent/x", answers: []string{answerTruncated, answerNotExecuted},
			wantStatus: 502, wantSends: 4,
		},
		"server error, then rejected: error is returned": {
			path: "/idempotent/x", answers: []string{answerServerError, answerNotExecuted},
			wantStatus: 500, wantFromServer: true, wantBody: "bad", wantSends: 4,
		},
		"valid answer": {
			path: "/idempotent/x", answers: []string{answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 1,
		},
		"valid answer, keyed": {
			path: "/key/x", key: "5", answers: []string{answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 1,
		},
		"truncated, idempotent: retried": {
			path: "/idempotent/x", answers: []string{answerTruncated, answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 2,
		},
		"truncated twice": {
			path: "/idempotent/x", answers: []string{answerTruncated}, wantStatus: 502, wantSends: 2,
		},
		"truncated, at most once: not retried": {
			path: "/once/x", answers: []string{answerTruncated, answerOK}, wantStatus: 502, wantSends: 1,
		},
		"no answer, at most once: not retried": {
			path: "/once/x", answers: []string{"", answerOK}, wantStatus: 502, wantSends: 1,
		},
		"no answer, idempotent: retried": {
			path: "/idempotent/x", answers: []string{"", answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 2,
		},
		"answer to another request, at most once": {
			path: "/once/x", answers: []string{answerToOtherRequest}, wantStatus: 502, wantSends: 1,
		},
		"answer to another request, idempotent: retried": {
			path: "/idempotent/x", answers: []string{answerToOtherRequest, answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 2,
		},
		"success without signature": {
			path: "/once/x", answers: []string{answerUnsigned}, wantStatus: 502, wantSends: 1,
		},
		"not HTTP": {
			path: "/once/x", answers: []string{answerNotHTTP}, wantStatus: 502, wantSends: 1,
		},
		"rejected, at most once: retried": {
			path: "/once/x", answers: []string{answerNotExecuted, answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 2,
		},
		"rejected at every attempt": {
			path: "/once/x", answers: []string{answerNotExecuted},
			wantStatus: 503, wantSends: maxSends, wantRetryAfter: true,
		},
		"503 without not-executed header, at most once": {
			path: "/once/x", answers: []string{answerUnavailable}, wantStatus: 502, wantSends: 1,
		},
		"503 without not-executed header, idempotent": {
			path: "/idempotent/x", answers: []string{answerUnavailable},
			wantStatus: 503, wantFromServer: true, wantSends: 2,
		},
		"server error, at most once: not retried": {
			path: "/once/x", answers: []string{answerServerError},
			wantStatus: 500, wantFromServer: true, wantBody: "bad", wantSends: 1,
		},
		"server error, idempotent: retried": {
			path: "/idempotent/x", answers: []string{answerServerError, answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 2,
		},
		"misdirected, at most once: retried": {
			path: "/keyonce/x", key: "5", answers: []string{answerMisdirected, answerOK},
			wantStatus: 200, wantFromServer: true, wantBody: "hi", wantSends: 2,
		},
		"key without owner until the deadline": {
			path: "/key/x", key: "1500", answers: []string{answerOK}, wantStatus: 503, wantRetryAfter: true,
		},
		"no route":    {path: "/none/x", answers: []string{answerOK}, wantStatus: 404},
		"missing key": {path: "/key/x", answers: []string{answerOK}, wantStatus: 400},
		"key out of range": {
			path: "/key/x", key: "65536", answers: []string{answerOK}, wantStatus: 400,
		},
		"body too large": {
			path: "/once/x", body: strings.Repeat("x", 101), answers: []string{answerOK}, wantStatus: 413,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startScriptedServer(t, test.answers...)
			w := sendRequest(newForwarder(t, b), "POST", test.path, test.key, test.body)
			is.Equal(w.Code, test.wantStatus)
			is.Equal(w.Header().Get("X-Signature") != "", test.wantFromServer)
			is.Equal(w.Body.String(), test.wantBody)
			is.Equal(b.requests.Load(), test.wantSends)
			is.Equal(w.Header().Get("Retry-After") != "", test.wantRetryAfter)
		})
	}
}

// TestServerGetsTargetAndTimeLeft guards against requests that a server rejects because they name no target, that it
// executes although the client no longer waits, or that carry a User-Agent which the client did not send.
func TestServerGetsTargetAndTimeLeft(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, answerOK)
	is.Equal(sendRequest(newForwarder(t, b), "GET", "/idempotent/x", "", "").Code, 200)
	header := <-b.headers
	is.Equal(header.Get("X-Target"), "p")
	is.Equal(header.Get("X-Id"), "r1")
	left, err := strconv.Atoi(header.Get("X-Left"))
	is.NoErr(err)
	is.True(left > 0 && left <= 1500)
	is.Equal(header.Get("User-Agent"), "")
}

// TestUnreachableServerIsReportedAsNotExecuted guards against a request whose outcome is reported as unknown although it was
// never sent.
func TestUnreachableServerIsReportedAsNotExecuted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	f := newForwarder(t, &scriptedServer{address: listener.Addr().String()})
	is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 503)
}

// TestRequestThroughDispatcher guards against other answers or other retries when requests reach the server through a second
// instance, the dispatcher of its pool, and against headers between instances that reach the server or the client.
func TestRequestThroughDispatcher(t *testing.T) {
	tests := map[string]struct {
		path       string
		answers    []string
		wantStatus int
		wantBody   string
		wantSends  int64
	}{
		"valid answer": {
			path: "/key/x", answers: []string{answerOK}, wantStatus: 200, wantBody: "hi", wantSends: 1,
		},
		"valid answer, at most once": {
			path: "/keyonce/x", answers: []string{answerOK}, wantStatus: 200, wantBody: "hi", wantSends: 1,
		},
		"truncated, at most once: not retried": {
			path: "/keyonce/x", answers: []string{answerTruncated}, wantStatus: 502, wantSends: 1,
		},
		"truncated, idempotent: retried": {
			path: "/key/x", answers: []string{answerTruncated, answerOK}, wantStatus: 200, wantBody: "hi", wantSends: 2,
		},
		"rejected, at most once: retried": {
			path: "/keyonce/x", answers: []string{answerNotExecuted, answerOK},
			wantStatus: 200, wantBody: "hi", wantSends: 2,
		},
		"server error, at most once: not retried": {
			path: "/keyonce/x", answers: []string{answerServerError}, wantStatus: 500, wantBody: "bad", wantSends: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startScriptedServer(t, test.answers...)
			dispatcher := newForwarder(t, b)
			peer := httptest.NewServer(http.HandlerFunc(dispatcher.ServeHop))
			defer peer.Close()
			f := newForwarder(t, b, resolver.Member{
				Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://"),
			})
			v := *f.view.Load()
			// The member in the server's failure domain is the dispatcher. A leaving instance still forwards requests.
			v.Self.Domain, v.Self.Leaving = "elsewhere", true
			f.SetView(time.Now(), &v)
			w := sendRequest(f, "POST", test.path, "5", "order")
			is.Equal(w.Code, test.wantStatus)
			is.Equal(w.Body.String(), test.wantBody)
			is.Equal(b.requests.Load(), test.wantSends)
			is.Equal(w.Header().Get(headerOutcome), "")
			for range test.wantSends {
				header := <-b.headers
				is.Equal(header.Get(HeaderHop), "")
			}
		})
	}
}

// TestDispatcherNamesNewOwner guards against requests that fail after a move because only the dispatcher of the previous
// owner knows about it yet: the dispatcher names the new owner, and this instance sends the request there despite its
// older view.
func TestDispatcherNamesNewOwner(t *testing.T) {
	is := is.New(t)
	b, newOwner := startScriptedServer(t, answerOK), startScriptedServer(t, answerOK)
	dispatcher := newForwarder(t, b)
	peer := httptest.NewServer(http.HandlerFunc(dispatcher.ServeHop))
	defer peer.Close()
	f := newForwarder(t, b, resolver.Member{
		Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://"),
	})
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: b.address, Domain: "d", Slots: 2},
		{ID: "n", Service: "keyed", Address: newOwner.address, Domain: "d", Slots: 2},
	}
	old := f.view.Load()
	self := resolver.Member{Instance: "self", Domain: "elsewhere"}
	f.SetView(time.Now(), resolver.New(self, old.Table, servers, old.Owners, old.Members))
	owners := old.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "n"},
	})
	dispatcherSelf := resolver.Member{Instance: "dispatcher", Domain: "d"}
	dispatcher.SetView(time.Now(), resolver.New(dispatcherSelf, old.Table, servers, owners, nil))
	is.Equal(sendRequest(f, "POST", "/keyonce/x", "5", "").Code, 200)
	is.Equal(b.requests.Load(), int64(0))
	is.Equal(newOwner.requests.Load(), int64(1))
}

// TestRequestIsRefusedWhenMoveTakesTooLong guards against requests that wait until their deadline while a move is blocked
// on a server or the store: they are refused earlier, at moveTimeout.
func TestRequestIsRefusedWhenMoveTakesTooLong(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, startScriptedServer(t, answerOK))
	f.moveTimeout = 0
	v := f.View()
	owners := v.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "k", Moving: true},
	})
	f.SetView(time.Now(), resolver.New(v.Self, v.Table, []cataloger.Server{}, owners, nil))
	w := sendRequest(f, "GET", "/key/x", "7", "")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), formatRetryAfter(defaultRetryAfter))
}

// TestUnreachableDispatcherIsSkipped guards against a request that fails because its dispatcher can't be isMet: nothing
// was sent, so this instance sends the request to the server itself.
func TestUnreachableDispatcherIsSkipped(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, answerOK)
	closed := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	f := newForwarder(t, b, resolver.Member{Instance: "dispatcher", Domain: "d", Address: address})
	v := *f.view.Load()
	v.Self.Domain = "elsewhere" // so that the member in domain d is the dispatcher
	f.SetView(time.Now(), &v)
	is.Equal(sendRequest(f, "POST", "/keyonce/x", "5", "").Code, 200)
	is.Equal(b.requests.Load(), int64(1))
}

// TestBrokenHopIsNotReportedAsNotExecuted guards against a 503, or a second attempt, after a dispatcher closed the
// connection without an answer: it may have executed the request.
func TestBrokenHopIsNotReportedAsNotExecuted(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, answerOK)
	closing := startScriptedServer(t, "")
	f := newForwarder(t, b, resolver.Member{Instance: "dispatcher", Domain: "d", Address: closing.address})
	v := *f.view.Load()
	v.Self.Domain = "elsewhere" // so that the member in domain d is the dispatcher
	f.SetView(time.Now(), &v)
	is.Equal(sendRequest(f, "POST", "/keyonce/x", "5", "").Code, 502)
	is.Equal(b.requests.Load(), int64(0))
}

// TestQueuedRequestMovesToNewOwner guards against a queued request that is sent to the previous owner, or waits for it,
// after its key has moved.
func TestQueuedRequestMovesToNewOwner(t *testing.T) {
	is := is.New(t)
	unblock := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	slow := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-unblock
		w.Header().Set("X-Signature", "s")
	})}
	go func() { _ = slow.Serve(listener) }()
	defer slow.Close()
	newOwner := startScriptedServer(t, answerOK)
	f := newForwarder(t, &scriptedServer{address: listener.Addr().String()})
	answers := make(chan int, 3)
	for range 3 { // two run at the previous owner, which has two slots; one waits
		go func() { answers <- sendRequest(f, "POST", "/keyonce/x", "5", "").Code }()
	}
	await(t, func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		q := f.queues[resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}]
		return q != nil && q.queue.Waiting() == 1
	})
	old := f.view.Load()
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: listener.Addr().String(), Domain: "d", Slots: 2},
		{ID: "n", Service: "keyed", Address: newOwner.address, Domain: "d", Slots: 2},
	}
	owners := old.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "n"},
	})
	f.SetView(time.Now(), resolver.New(old.Self, old.Table, servers, owners, nil))
	is.Equal(<-answers, 200)
	is.Equal(newOwner.requests.Load(), int64(1))
	close(unblock)
	is.Equal(<-answers, 200)
	is.Equal(<-answers, 200)
}

// await waits until isMet returns true, and fails the test after 20 s.
func await(t *testing.T, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !isMet(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("state not reached")
		}
	}
}

// TestCancelledRequestFreesSlot guards against requests that keep a slot or a place in the queue after their clients have
// left, while they run or wait.
func TestCancelledRequestFreesSlot(t *testing.T) {
	is := is.New(t)
	arrived, cancelled := make(chan struct{}, 8), make(chan struct{}, 8)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	hanging := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		cancelled <- struct{}{}
	})}
	go func() { _ = hanging.Serve(listener) }()
	defer hanging.Close()
	f := newForwarder(t, &scriptedServer{address: listener.Addr().String()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for range 3 {
		go func() {
			r := httptest.NewRequest("GET", "/idempotent/x", nil).WithContext(ctx)
			r.Host = "h"
			f.ServeHTTP(httptest.NewRecorder(), r)
			done <- struct{}{}
		}()
	}
	<-arrived
	<-arrived
	cancel()
	<-cancelled
	<-cancelled
	for range 3 {
		<-done
	}
	is.True(!f.busy())
	is.Equal(f.meter.Get(meter.RequestsCancelled), int64(3)) // also the one that was queued
}

// TestHopFieldsRoundTrip guards against requests and results that change on their way between two instances.
func TestHopFieldsRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	requests := map[string]clientRequest{
		"keyed": {
			service: "s", route: "r", priority: 2, idempotent: true, keyed: true, key: 7, objective: now.Add(time.Second),
			deadline: now.Add(2 * time.Second), pool: resolver.ServerPool{Service: "s", Server: "k", Domain: "d"},
			ownerMapVersion: partitioner.Version{Term: 3, Sequence: 9}, avoidServer: "x",
		},
		"route with spaces": {
			service: "s", route: "paid orders %20 new", objective: now, deadline: now,
			pool: resolver.ServerPool{Service: "s", Domain: "d"},
		},
		"without key": {
			service: "s", route: "r", objective: now.Add(-time.Second), deadline: now,
			pool: resolver.ServerPool{Service: "s", Domain: "d", Subset: 3},
		},
	}
	for name, want := range requests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got clientRequest
			is.NoErr(got.decodeHop(now, strings.TrimSpace(want.encodeHop(now))))
			is.Equal(got, want)
		})
	}
	results := map[string]result{
		"answered":           {outcome: answered, maybeSent: true, server: "k"},
		"refused":            {outcome: refused, retryAfter: 1500 * time.Millisecond, reason: "queue_full"},
		"moved":              {outcome: moved, server: "n", ownerMapVersion: partitioner.Version{Term: 3, Sequence: 9}},
		"reason with spaces": {outcome: broken, maybeSent: true, reason: "read tcp: connection reset"},
	}
	for name, want := range results {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got result
			is.NoErr(got.decode(strings.TrimSpace(want.encode()))) // as HTTP trims header values
			is.Equal(got, want)
		})
	}
}

// FuzzDecodeHop guards against a panic on a malformed header from another instance.
func FuzzDecodeHop(f *testing.F) {
	f.Add("s k d r 2 true 7 1000 2000 3 9 x 1", "0 true k 0 3 9 -")
	f.Add("", "")
	f.Fuzz(func(_ *testing.T, hop, outcome string) {
		var req clientRequest
		_ = req.decodeHop(time.Unix(1000, 0), hop)
		var r result
		_ = r.decode(outcome)
	})
}

// TestLateCopyOfAnAnswerIsNoAnswer guards against a second copy of an answer that arrives late, after its connection is in
// use for the next request, and that the next caller gets: as its own answer, or as the word that its request was not
// executed.
func TestLateCopyOfAnAnswerIsNoAnswer(t *testing.T) {
	tests := map[string]string{
		"copy with its id":            answerToOtherRequest,
		"copy without an id":          "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno",
		"copy of a rejection":         "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"copy of a rejection, for id": "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX-Id: r0\r\nContent-Length: 0\r\n\r\n",
	}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startScriptedServer(t, answerOK, late+answerOK, answerOK)
			f := newForwarder(t, b)
			is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 200)
			w := sendRequest(f, "POST", "/once/x", "", "") // on the connection of the first request
			is.Equal(w.Code, 502)
			is.Equal(w.Body.String(), "")
			w = sendRequest(f, "POST", "/once/x", "", "") // on a new connection
			is.Equal(w.Code, 200)
			is.Equal(w.Body.String(), "hi")
		})
	}
}

// TestRequestDoesNotWaitInVain guards against a request that waits for an owner although the leader has said that there is
// none within the time for which requests wait, and against a Retry-After at which there still is none.
func TestRequestDoesNotWaitInVain(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, startScriptedServer(t, answerOK))
	f.moveTimeout = time.Minute / 2 // a wait would outlast the test
	v := f.View()
	pausedUntil := time.Now().Add(45 * time.Second)
	owners := v.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{{
		Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "k", Moving: true, PausedUntil: pausedUntil,
	}})
	f.SetView(time.Now(), v.WithOwners(owners))
	req := &clientRequest{service: "keyed", keyed: true, key: 5, deadline: time.Now().Add(time.Hour)}
	r, ok := f.resolveOwner(context.Background(), time.Now(), req)
	is.True(!ok)
	is.Equal(r.outcome, refused)
	is.True(r.retryAfter > 40*time.Second && r.retryAfter <= 45*time.Second)
}

// TestInvalidTimeLeftIsRejected guards against a deadline that is computed from no number.
func TestInvalidTimeLeftIsRejected(t *testing.T) {
	for _, text := range []string{"NaN", "Inf", "-1", "1e300", "soon"} {
		t.Run(text, func(t *testing.T) {
			r := httptest.NewRequest("GET", "/idempotent/x", nil)
			r.Host = "h"
			r.Header.Set("X-Left", text)
			w := httptest.NewRecorder()
			newForwarder(t, startScriptedServer(t, answerOK)).ServeHTTP(w, r)
			is.New(t).Equal(w.Code, 400)
		})
	}
}

// TestTooLargeHeaderIsRejected guards against a limit of the configuration that has no effect.
func TestTooLargeHeaderIsRejected(t *testing.T) {
	tests := map[string]struct {
		cookies, want int
	}{
		"within the limit":              {cookies: 1, want: 200},
		"one field over the limit":      {cookies: 1000, want: 431},
		"fields of one name over it":    {cookies: 500, want: 431},
		"over it with the request line": {cookies: 950, want: 431},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest("GET", "/idempotent/x", nil)
			r.Host = "h"
			r.Header.Set("X-Id", "r1")
			r.Header.Add("Cookie", strings.Repeat("c", test.cookies))
			if test.cookies == 500 {
				r.Header.Add("Cookie", strings.Repeat("c", test.cookies))
			}
			w := httptest.NewRecorder()
			newForwarder(t, startScriptedServer(t, answerOK)).ServeHTTP(w, r)
			is.New(t).Equal(w.Code, test.want)
		})
	}
}

// TestDispatcherAnswersBeforeTheClientsDeadline guards against an answer that another instance returns in time, but that
// reaches the client too late.
func TestDispatcherAnswersBeforeTheClientsDeadline(t *testing.T) {
	is := is.New(t)
	deadline := make(chan time.Time, 1)
	peer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var hop clientRequest
		is.NoErr(hop.decodeHop(time.Now(), r.Header.Get(HeaderHop)))
		deadline <- hop.deadline
	}))
	defer peer.Close()
	b := startScriptedServer(t, answerOK)
	f := newForwarderWithTimeout(t, b, time.Second, resolver.Member{
		Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://"),
	})
	v := *f.view.Load()
	v.Self.Domain, v.Self.Leaving = "elsewhere", true // the member in the server's failure domain is the dispatcher
	f.SetView(time.Now(), &v)
	sent := time.Now()
	sendRequest(f, "POST", "/keyonce/x", "5", "order")
	// The hop carries a duration, so its deadline is late by the time that the hop took.
	is.True((<-deadline).Before(sent.Add(time.Second - answerMargin).Add(-hopMargin).Add(time.Since(sent))))
}

// TestConnectionsToUnusedAddressesAreClosed guards against connections that stay open to an instance that has left, while
// those in use must stay.
func TestConnectionsToUnusedAddressesAreClosed(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, startScriptedServer(t, answerOK))
	gone, member := f.peerConnPool("127.0.0.1:1"), f.peerConnPool("127.0.0.1:2")
	server := f.serverConnPool("127.0.0.1:3", 1)
	f.CloseUnused(map[string]bool{"127.0.0.1:2": true, "127.0.0.1:3": true})
	is.True(f.peerConnPool("127.0.0.1:1") != gone)
	is.True(f.peerConnPool("127.0.0.1:2") == member)
	is.True(f.serverConnPool("127.0.0.1:3", 1) == server)
}

// TestAnswerToHeadKeepsItsLength guards against an answer to HEAD that says the body of a GET would be empty.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 1234\r\n\r\n")
	w := sendRequest(newForwarder(t, b), "HEAD", "/idempotent/x", "", "")
	is.Equal(w.Code, 200)
	is.Equal(w.Header().Get("Content-Length"), "1234")
}
