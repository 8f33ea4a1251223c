package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	NotExecuted: "X-Not-Run", ShardKey: "X-Key",
}

// backend is a server that answers each request with the next of its scripted answers, and repeats the last one.
type backend struct {
	address  string
	answers  []string     // raw HTTP answers
	requests atomic.Int64 // requests received
	headers  chan http.Header
}

func startBackend(t *testing.T, answers ...string) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b := &backend{address: listener.Addr().String(), answers: answers, headers: make(chan http.Header, 64)}
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
func (b *backend) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(b.requests.Add(1))
		b.headers <- r.Header
		answer := b.answers[min(n, len(b.answers))-1]
		_, _ = io.WriteString(conn, answer)
		if answer == "" || strings.Contains(answer, "Content-Length: 99") {
			return
		}
	}
}

// Answers of backends.
const (
	answerOK             = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
	answerTruncated      = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 99\r\n\r\nhi"
	answerToOtherRequest = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nno"
	answerUnsigned       = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
	answerNotExecuted    = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	answerUnavailable    = "HTTP/1.1 503 Service Unavailable\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"
	answerServerError    = "HTTP/1.1 500 Internal Server Error\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nbad"
	answerMisdirected    = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	answerNotHTTP        = "what is this\r\n\r\n"
)

// newForwarder returns a Forwarder whose only server is b. b owns keys 0 to 999 of the service "keyed", and also serves the
// service "plain", which has no keys. Keys 1000 to 1999 have no owner for the next minute.
func newForwarder(t *testing.T, b *backend, members ...resolver.Member) *Forwarder {
	t.Helper()
	c := New(testHeaders, limiter.New(limiter.Settings{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}), meter.New())
	route := func(name string, idempotent bool, service string) bundler.Route {
		return bundler.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, Timeout: 2 * time.Second,
			Objective: time.Second, MaxAttempts: 2, Services: []bundler.WeightedService{{Service: service, Weight: 1}},
		}
	}
	table := matcher.NewTable(bundler.New(1, []bundler.Service{{Name: "keyed", Keyed: true}, {Name: "plain"}}, []bundler.Route{
		route("idempotent", true, "plain"), route("once", false, "plain"),
		route("key", true, "keyed"), route("keyonce", false, "keyed"),
	}, bundler.Limits{BodyBytes: 100}))
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
	c.SetView(time.Now(), resolver.New(self, table, servers, owners, members))
	return c
}

func sendRequest(c http.Handler, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "h"
	r.Header.Set("X-Id", "r1")
	r.Header.Set("X-Left", "1500")
	if key != "" {
		r.Header.Set("X-Key", key)
	}
	w := httptest.NewRecorder()
	c.ServeHTTP(w, r)
	return w
}

func TestAnswerToClient(t *testing.T) {
	tests := map[string]struct {
		path, key, body string
		answers         []string
		status          int
		signed          bool
		answer          string
		requests        int64
		retryAfter      bool
	}{
		"truncated, then rejected: may have run": {
			path: "/idempotent/x", answers: []string{answerTruncated, answerNotExecuted}, status: 502, requests: 4,
		},
		"server error, then rejected: error is returned": {
			path: "/idempotent/x", answers: []string{answerServerError, answerNotExecuted},
			status: 500, signed: true, answer: "bad", requests: 4,
		},
		"valid answer": {
			path: "/idempotent/x", answers: []string{answerOK}, status: 200, signed: true, answer: "hi", requests: 1,
		},
		"valid answer, keyed": {
			path: "/key/x", key: "5", answers: []string{answerOK}, status: 200, signed: true, answer: "hi", requests: 1,
		},
		"truncated, idempotent: retried": {
			path: "/idempotent/x", answers: []string{answerTruncated, answerOK}, status: 200, signed: true, answer: "hi", requests: 2,
		},
		"truncated twice": {
			path: "/idempotent/x", answers: []string{answerTruncated}, status: 502, requests: 2,
		},
		"truncated, at most once: not retried": {
			path: "/once/x", answers: []string{answerTruncated, answerOK}, status: 502, requests: 1,
		},
		"no answer, at most once: not retried": {
			path: "/once/x", answers: []string{"", answerOK}, status: 502, requests: 1,
		},
		"no answer, idempotent: retried": {
			path: "/idempotent/x", answers: []string{"", answerOK}, status: 200, signed: true, answer: "hi", requests: 2,
		},
		"answer to another request, at most once": {
			path: "/once/x", answers: []string{answerToOtherRequest}, status: 502, requests: 1,
		},
		"answer to another request, idempotent: retried": {
			path: "/idempotent/x", answers: []string{answerToOtherRequest, answerOK},
			status: 200, signed: true, answer: "hi", requests: 2,
		},
		"success without signature": {
			path: "/once/x", answers: []string{answerUnsigned}, status: 502, requests: 1,
		},
		"not HTTP": {
			path: "/once/x", answers: []string{answerNotHTTP}, status: 502, requests: 1,
		},
		"rejected, at most once: retried": {
			path: "/once/x", answers: []string{answerNotExecuted, answerOK}, status: 200, signed: true, answer: "hi", requests: 2,
		},
		"rejected at every attempt": {
			path: "/once/x", answers: []string{answerNotExecuted}, status: 503, requests: maxSends, retryAfter: true,
		},
		"503 without not-run header, at most once": {
			path: "/once/x", answers: []string{answerUnavailable}, status: 502, requests: 1,
		},
		"503 without not-run header, idempotent": {
			path: "/idempotent/x", answers: []string{answerUnavailable}, status: 503, signed: true, requests: 2,
		},
		"server error, at most once: not retried": {
			path: "/once/x", answers: []string{answerServerError}, status: 500, signed: true, answer: "bad", requests: 1,
		},
		"server error, idempotent: retried": {
			path: "/idempotent/x", answers: []string{answerServerError, answerOK},
			status: 200, signed: true, answer: "hi", requests: 2,
		},
		"misdirected, at most once: retried": {
			path: "/keyonce/x", key: "5", answers: []string{answerMisdirected, answerOK},
			status: 200, signed: true, answer: "hi", requests: 2,
		},
		"key without owner until the deadline": {
			path: "/key/x", key: "1500", answers: []string{answerOK}, status: 503, retryAfter: true,
		},
		"no route":    {path: "/none/x", answers: []string{answerOK}, status: 404},
		"missing key": {path: "/key/x", answers: []string{answerOK}, status: 400},
		"key out of range": {
			path: "/key/x", key: "65536", answers: []string{answerOK}, status: 400,
		},
		"body too large": {
			path: "/once/x", body: strings.Repeat("x", 101), answers: []string{answerOK}, status: 413,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, test.answers...)
			w := sendRequest(newForwarder(t, b), "POST", test.path, test.key, test.body)
			is.Equal(w.Code, test.status)
			is.Equal(w.Header().Get("X-Signature") != "", test.signed)
			is.Equal(w.Body.String(), test.answer)
			is.Equal(b.requests.Load(), test.requests)
			is.Equal(w.Header().Get("Retry-After") != "", test.retryAfter)
		})
	}
}

func TestServerGetsTargetAndDeadlineHeaders(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, answerOK)
	is.Equal(sendRequest(newForwarder(t, b), "GET", "/idempotent/x", "", "").Code, 200)
	header := <-b.headers
	is.Equal(header.Get("X-Target"), "p")
	is.Equal(header.Get("X-Id"), "r1")
	is.True(header.Get("X-Left") != "" && header.Get("X-Left") <= "1500")
	is.Equal(header.Get("User-Agent"), "")
}

func TestUnreachableServerIsReportedAsNotExecuted(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	c := newForwarder(t, &backend{address: listener.Addr().String()})
	is.Equal(sendRequest(c, "POST", "/once/x", "", "").Code, 503)
}

// TestRequestThroughDispatcher forwards requests to the server through a second instance, the dispatcher of its pool. The
// headers between instances must reach neither the server nor the client.
func TestRequestThroughDispatcher(t *testing.T) {
	tests := map[string]struct {
		path     string
		answers  []string
		status   int
		answer   string
		requests int64
	}{
		"valid answer": {
			path: "/key/x", answers: []string{answerOK}, status: 200, answer: "hi", requests: 1,
		},
		"valid answer, at most once": {
			path: "/keyonce/x", answers: []string{answerOK}, status: 200, answer: "hi", requests: 1,
		},
		"truncated, at most once: not retried": {
			path: "/keyonce/x", answers: []string{answerTruncated}, status: 502, requests: 1,
		},
		"truncated, idempotent: retried": {
			path: "/key/x", answers: []string{answerTruncated, answerOK}, status: 200, answer: "hi", requests: 2,
		},
		"rejected, at most once: retried": {
			path: "/keyonce/x", answers: []string{answerNotExecuted, answerOK}, status: 200, answer: "hi", requests: 2,
		},
		"server error, at most once: not retried": {
			path: "/keyonce/x", answers: []string{answerServerError}, status: 500, answer: "bad", requests: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, test.answers...)
			dispatcher := newForwarder(t, b)
			peer := httptest.NewServer(http.HandlerFunc(dispatcher.ServeHop))
			defer peer.Close()
			c := newForwarder(t, b, resolver.Member{
				Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://"),
			})
			v := *c.view.Load()
			v.Self.Domain, v.Self.Leaving = "elsewhere", true
			c.SetView(time.Now(), &v)
			w := sendRequest(c, "POST", test.path, "5", "order")
			is.Equal(w.Code, test.status)
			is.Equal(w.Body.String(), test.answer)
			is.Equal(b.requests.Load(), test.requests)
			is.Equal(w.Header().Get(headerOutcome), "")
			for range test.requests {
				header := <-b.headers
				is.Equal(header.Get(HeaderHop), "")
			}
		})
	}
}

// TestDispatcherNamesNewOwner guards against requests that fail after a move because only the dispatcher of the previous
// owner knows of it yet: the dispatcher names the new owner, and this instance sends the request there despite its older
// view.
func TestDispatcherNamesNewOwner(t *testing.T) {
	is := is.New(t)
	b, newOwner := startBackend(t, answerOK), startBackend(t, answerOK)
	dispatcher := newForwarder(t, b)
	peer := httptest.NewServer(http.HandlerFunc(dispatcher.ServeHop))
	defer peer.Close()
	c := newForwarder(t, b, resolver.Member{
		Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://"),
	})
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: b.address, Domain: "d", Slots: 2},
		{ID: "n", Service: "keyed", Address: newOwner.address, Domain: "d", Slots: 2},
	}
	old := c.view.Load()
	self := resolver.Member{Instance: "self", Domain: "elsewhere"}
	c.SetView(time.Now(), resolver.New(self, old.Table, servers, old.Owners, old.Members))
	owners := old.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "n"},
	})
	dispatcherSelf := resolver.Member{Instance: "dispatcher", Domain: "d"}
	dispatcher.SetView(time.Now(), resolver.New(dispatcherSelf, old.Table, servers, owners, nil))
	is.Equal(sendRequest(c, "POST", "/keyonce/x", "5", "").Code, 200)
	is.Equal(b.requests.Load(), int64(0))
	is.Equal(newOwner.requests.Load(), int64(1))
}

// TestRequestIsRefusedWhenMoveTakesTooLong guards against requests that wait until their deadline while a move is blocked
// on a server or the store: they are refused earlier, at moveTimeout.
func TestRequestIsRefusedWhenMoveTakesTooLong(t *testing.T) {
	is := is.New(t)
	c := newForwarder(t, startBackend(t, answerOK))
	c.moveTimeout = 0
	v := c.View()
	owners := v.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "k", Moving: true},
	})
	c.SetView(time.Now(), resolver.New(v.Self, v.Table, []cataloger.Server{}, owners, nil))
	w := sendRequest(c, "GET", "/key/x", "7", "")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), formatRetryAfter(defaultRetryAfter))
}

// TestUnreachableDispatcherIsSkipped guards against a request that fails because its dispatcher can't be reached: nothing
// was sent, so this instance sends the request to the server itself.
func TestUnreachableDispatcherIsSkipped(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, answerOK)
	closed := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(closed.URL, "http://")
	closed.Close()
	c := newForwarder(t, b, resolver.Member{Instance: "dispatcher", Domain: "d", Address: address})
	v := *c.view.Load()
	v.Self.Domain = "elsewhere"
	c.SetView(time.Now(), &v)
	is.Equal(sendRequest(c, "POST", "/keyonce/x", "5", "").Code, 200)
	is.Equal(b.requests.Load(), int64(1))
}

// TestBrokenHopIsNotReportedAsNotExecuted guards against a 503, or a second attempt, after a dispatcher closed the
// connection without an answer: it may have executed the request.
func TestBrokenHopIsNotReportedAsNotExecuted(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, answerOK)
	closing := startBackend(t, "")
	c := newForwarder(t, b, resolver.Member{Instance: "dispatcher", Domain: "d", Address: closing.address})
	v := *c.view.Load()
	v.Self.Domain = "elsewhere"
	c.SetView(time.Now(), &v)
	is.Equal(sendRequest(c, "POST", "/keyonce/x", "5", "").Code, 502)
	is.Equal(b.requests.Load(), int64(0))
}

// TestQueuedRequestMovesToNewOwner moves keys to another server while a request for them waits in the previous owner's
// queue.
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
	newOwner := startBackend(t, answerOK)
	c := newForwarder(t, &backend{address: listener.Addr().String()})
	answers := make(chan int, 3)
	for range 3 { // two run, one waits
		go func() { answers <- sendRequest(c, "POST", "/keyonce/x", "5", "").Code }()
	}
	waitFor(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		q := c.queues[resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}]
		return q != nil && q.queue.Waiting() == 1
	})
	old := c.view.Load()
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: listener.Addr().String(), Domain: "d", Slots: 2},
		{ID: "n", Service: "keyed", Address: newOwner.address, Domain: "d", Slots: 2},
	}
	owners := old.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "n"},
	})
	c.SetView(time.Now(), resolver.New(old.Self, old.Table, servers, owners, nil))
	is.Equal(<-answers, 200)
	is.Equal(newOwner.requests.Load(), int64(1))
	close(unblock)
	is.Equal(<-answers, 200)
	is.Equal(<-answers, 200)
}

// waitFor waits until reached returns true, and fails the test after 20 s.
func waitFor(t *testing.T, reached func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !reached(); time.Sleep(time.Millisecond) {
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
	c := newForwarder(t, &backend{address: listener.Addr().String()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for range 3 {
		go func() {
			r := httptest.NewRequest("GET", "/idempotent/x", nil).WithContext(ctx)
			r.Host = "h"
			c.ServeHTTP(httptest.NewRecorder(), r)
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
	is.True(!c.busy())
}

func TestHopFieldsRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	requests := map[string]clientRequest{
		"keyed": {
			service: "s", route: "r", priority: 2, idempotent: true, keyed: true, key: 7, objective: now.Add(time.Second),
			deadline: now.Add(2 * time.Second), pool: resolver.ServerPool{Service: "s", Server: "k", Domain: "d"},
			ownerMapVersion: partitioner.Version{Term: 3, Sequence: 9}, avoidServer: "x",
		},
		"plain": {
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
		"plain":   {outcome: answered, sent: true, server: "k"},
		"refused": {outcome: refused, retryAfter: 1500 * time.Millisecond, reason: "queue_full"},
		"moved":   {outcome: moved, server: "n", ownerMapVersion: partitioner.Version{Term: 3, Sequence: 9}},
		"text":    {outcome: broken, sent: true, reason: "read tcp: connection reset"},
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
