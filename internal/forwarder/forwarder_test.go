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

var testNames = HeaderNames{
	RequestID: "X-Id", TimeLeft: "X-Left", Target: "X-Target", Signature: "X-Signature", NotRun: "X-Not-Run", Key: "X-Key",
}

// backend is a server that answers each request with the next of its scripted texts, the last of them again and again.
type backend struct {
	address string
	texts   []string
	runs    atomic.Int64
	heads   chan http.Header
}

func startBackend(t *testing.T, texts ...string) *backend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b := &backend{address: listener.Addr().String(), texts: texts, heads: make(chan http.Header, 64)}
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

// serve answers on one connection; an empty text, or one that ends early, closes it.
func (b *backend) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		n := int(b.runs.Add(1))
		b.heads <- r.Header
		text := b.texts[min(n, len(b.texts))-1]
		_, _ = io.WriteString(c, text)
		if text == "" || strings.Contains(text, "Content-Length: 99") {
			return
		}
	}
}

// Answers of backends.
const (
	good       = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
	cutShort   = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 99\r\n\r\nhi"
	foreign    = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nno"
	unsigned   = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi"
	notRun     = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	full       = "HTTP/1.1 503 Service Unavailable\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n"
	failing    = "HTTP/1.1 500 Internal Server Error\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\nbad"
	misdirects = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	noHTTP     = "what is this\r\n\r\n"
)

// setup is a Forwarder whose only server is b, for keys 0 to 999 of the keyed service and for all of the other.
func setup(t *testing.T, b *backend, members ...resolver.Member) *Forwarder {
	t.Helper()
	c := New(testNames, limiter.New(limiter.Settings{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}), meter.New())
	route := func(name string, repeatable bool, service string) bundler.Route {
		return bundler.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: repeatable, Timeout: 2 * time.Second,
			Objective: time.Second, MaxAttempts: 2, Parts: []bundler.Part{{Service: service, Weight: 1}},
		}
	}
	table := matcher.NewTable(bundler.New(1, []bundler.Service{{Name: "keyed", Keyed: true}, {Name: "plain"}}, []bundler.Route{
		route("safe", true, "plain"), route("once", false, "plain"), route("key", true, "keyed"), route("keyonce", false, "keyed"),
	}, bundler.Limits{BodyBytes: 100}))
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: b.address, Domain: "d", Slots: 2},
		{ID: "p", Service: "plain", Address: b.address, Domain: "d", Slots: 2},
	}
	owners := (*partitioner.Map)(nil).With(partitioner.Version{Term: 1, Sequence: 1}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "k"},
		{Service: "keyed", Range: partitioner.Range{First: 1000, Last: 1999}, Server: "k", Moving: true, PauseMS: 60_000, PausedUntil: time.Now().Add(time.Minute)},
	})
	self := resolver.Member{Instance: "self", Domain: "d"}
	c.SetView(time.Now(), resolver.New(self, table, servers, owners, members))
	return c
}

func ask(c http.Handler, method, path, key, body string) *httptest.ResponseRecorder {
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

func TestAnswers(t *testing.T) {
	tests := map[string]struct {
		path, key, body string
		texts           []string
		status          int
		signed          bool
		answer          string
		runs            int64
		retryAfter      bool
	}{
		"may have run, then turned away":    {path: "/safe/x", texts: []string{cutShort, notRun}, status: 502, runs: 4},
		"failed, then turned away":          {path: "/safe/x", texts: []string{failing, notRun}, status: 500, signed: true, answer: "bad", runs: 4},
		"whole":                             {path: "/safe/x", texts: []string{good}, status: 200, signed: true, answer: "hi", runs: 1},
		"keyed":                             {path: "/key/x", key: "5", texts: []string{good}, status: 200, signed: true, answer: "hi", runs: 1},
		"cut short, repeatable":             {path: "/safe/x", texts: []string{cutShort, good}, status: 200, signed: true, answer: "hi", runs: 2},
		"cut short twice":                   {path: "/safe/x", texts: []string{cutShort}, status: 502, runs: 2},
		"cut short, once only":              {path: "/once/x", texts: []string{cutShort, good}, status: 502, runs: 1},
		"no answer, once only":              {path: "/once/x", texts: []string{"", good}, status: 502, runs: 1},
		"no answer, repeatable":             {path: "/safe/x", texts: []string{"", good}, status: 200, signed: true, answer: "hi", runs: 2},
		"answer to another request":         {path: "/once/x", texts: []string{foreign}, status: 502, runs: 1},
		"answer to another, then the right": {path: "/safe/x", texts: []string{foreign, good}, status: 200, signed: true, answer: "hi", runs: 2},
		"success without signature":         {path: "/once/x", texts: []string{unsigned}, status: 502, runs: 1},
		"no HTTP":                           {path: "/once/x", texts: []string{noHTTP}, status: 502, runs: 1},
		"not run, once only, then run":      {path: "/once/x", texts: []string{notRun, good}, status: 200, signed: true, answer: "hi", runs: 2},
		"never run":                         {path: "/once/x", texts: []string{notRun}, status: 503, runs: maxArrivals, retryAfter: true},
		"promise that the server lacks":     {path: "/once/x", texts: []string{full}, status: 502, runs: 1},
		"503 for what may be repeated":      {path: "/safe/x", texts: []string{full}, status: 503, signed: true, runs: 2},
		"server's failure, once only":       {path: "/once/x", texts: []string{failing}, status: 500, signed: true, answer: "bad", runs: 1},
		"server's failure, then good":       {path: "/safe/x", texts: []string{failing, good}, status: 200, signed: true, answer: "hi", runs: 2},
		"misdirected, then good":            {path: "/keyonce/x", key: "5", texts: []string{misdirects, good}, status: 200, signed: true, answer: "hi", runs: 2},
		"keys that do not come back":        {path: "/key/x", key: "1500", texts: []string{good}, status: 503, retryAfter: true},
		"no route":                          {path: "/none/x", texts: []string{good}, status: 404},
		"no key":                            {path: "/key/x", texts: []string{good}, status: 400},
		"odd key":                           {path: "/key/x", key: "65536", texts: []string{good}, status: 400},
		"body too large":                    {path: "/once/x", body: strings.Repeat("x", 101), texts: []string{good}, status: 413},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, test.texts...)
			w := ask(setup(t, b), "POST", test.path, test.key, test.body)
			is.Equal(w.Code, test.status)
			is.Equal(w.Header().Get("X-Signature") != "", test.signed)
			is.Equal(w.Body.String(), test.answer)
			is.Equal(b.runs.Load(), test.runs)
			is.Equal(w.Header().Get("Retry-After") != "", test.retryAfter)
		})
	}
}

func TestServerSeesWhoIsMeantAndHowLong(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, good)
	is.Equal(ask(setup(t, b), "GET", "/safe/x", "", "").Code, 200)
	head := <-b.heads
	is.Equal(head.Get("X-Target"), "p")
	is.Equal(head.Get("X-Id"), "r1")
	is.True(head.Get("X-Left") != "" && head.Get("X-Left") <= "1500")
	is.Equal(head.Get("User-Agent"), "")
}

func TestUnreachableServerMeansNotRun(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	c := setup(t, &backend{address: listener.Addr().String()})
	is.Equal(ask(c, "POST", "/once/x", "", "").Code, 503)
}

// TestHopBetweenInstances passes requests through a second instance that fronts the server.
func TestHopBetweenInstances(t *testing.T) {
	tests := map[string]struct {
		path   string
		texts  []string
		status int
		answer string
		runs   int64
	}{
		"whole":                 {path: "/key/x", texts: []string{good}, status: 200, answer: "hi", runs: 1},
		"once only":             {path: "/keyonce/x", texts: []string{good}, status: 200, answer: "hi", runs: 1},
		"cut short, once only":  {path: "/keyonce/x", texts: []string{cutShort}, status: 502, runs: 1},
		"cut short, repeatable": {path: "/key/x", texts: []string{cutShort, good}, status: 200, answer: "hi", runs: 2},
		"not run":               {path: "/keyonce/x", texts: []string{notRun, good}, status: 200, answer: "hi", runs: 2},
		"server's failure":      {path: "/keyonce/x", texts: []string{failing}, status: 500, answer: "bad", runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startBackend(t, test.texts...)
			front := setup(t, b)
			peer := httptest.NewServer(http.HandlerFunc(front.ServeHop))
			defer peer.Close()
			c := setup(t, b, resolver.Member{Instance: "front", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://")})
			v := *c.view.Load()
			v.Self.Domain, v.Self.Leaving = "elsewhere", true
			c.SetView(time.Now(), &v)
			w := ask(c, "POST", test.path, "5", "order")
			is.Equal(w.Code, test.status)
			is.Equal(w.Body.String(), test.answer)
			is.Equal(b.runs.Load(), test.runs)
			is.Equal(w.Header().Get(headerOutcome), "")
			for range test.runs {
				head := <-b.heads
				is.Equal(head.Get(HeaderHop), "")
			}
		})
	}
}

// TestFrontNamesTheNewOwner: the front of a key's old owner knows of a move that this instance has not heard of.
func TestFrontNamesTheNewOwner(t *testing.T) {
	is := is.New(t)
	b, next := startBackend(t, good), startBackend(t, good)
	front := setup(t, b)
	peer := httptest.NewServer(http.HandlerFunc(front.ServeHop))
	defer peer.Close()
	c := setup(t, b, resolver.Member{Instance: "front", Domain: "d", Address: strings.TrimPrefix(peer.URL, "http://")})
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: b.address, Domain: "d", Slots: 2},
		{ID: "n", Service: "keyed", Address: next.address, Domain: "d", Slots: 2},
	}
	old := c.view.Load()
	self := resolver.Member{Instance: "self", Domain: "elsewhere"}
	c.SetView(time.Now(), resolver.New(self, old.Table, servers, old.Owners, old.Members))
	owners := old.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "n"},
	})
	at := resolver.Member{Instance: "front", Domain: "d"}
	front.SetView(time.Now(), resolver.New(at, old.Table, servers, owners, nil))
	is.Equal(ask(c, "POST", "/keyonce/x", "5", "").Code, 200)
	is.Equal(b.runs.Load(), int64(0))
	is.Equal(next.runs.Load(), int64(1))
}

// TestLostFrontIsPassedOver has a front that can't be reached: nothing was sent, so this instance sends it.
// TestKeysThatMoveForLongAreRefused: whoever waits for a server or for the store to come back is told so before its time is up.
func TestKeysThatMoveForLongAreRefused(t *testing.T) {
	is := is.New(t)
	c := setup(t, startBackend(t, good))
	c.moveWait = 0
	v := c.View()
	moving := v.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "k", Moving: true},
	})
	c.SetView(time.Now(), resolver.New(v.Self, v.Table, []cataloger.Server{}, moving, nil))
	w := ask(c, "GET", "/key/x", "7", "")
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get("Retry-After"), seconds(unknownPause))
}

func TestLostFrontIsPassedOver(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, good)
	gone := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	c := setup(t, b, resolver.Member{Instance: "front", Domain: "d", Address: address})
	v := *c.view.Load()
	v.Self.Domain = "elsewhere"
	c.SetView(time.Now(), &v)
	is.Equal(ask(c, "POST", "/keyonce/x", "5", "").Code, 200)
	is.Equal(b.runs.Load(), int64(1))
}

func TestFrontThatBreaksOffMayHaveRunIt(t *testing.T) {
	is := is.New(t)
	b := startBackend(t, good)
	broken := startBackend(t, "")
	c := setup(t, b, resolver.Member{Instance: "front", Domain: "d", Address: broken.address})
	v := *c.view.Load()
	v.Self.Domain = "elsewhere"
	c.SetView(time.Now(), &v)
	is.Equal(ask(c, "POST", "/keyonce/x", "5", "").Code, 502)
	is.Equal(b.runs.Load(), int64(0))
}

// TestQueuedRequestFollowsItsKeys moves keys while a request for them waits.
func TestQueuedRequestFollowsItsKeys(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	slow := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		w.Header().Set("X-Signature", "s")
	})}
	go func() { _ = slow.Serve(listener) }()
	defer slow.Close()
	next := startBackend(t, good)
	c := setup(t, &backend{address: listener.Addr().String()})
	answers := make(chan int, 3)
	for range 3 { // two run, one waits
		go func() { answers <- ask(c, "POST", "/keyonce/x", "5", "").Code }()
	}
	waitFor(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		p := c.pools[resolver.ServerPool{Service: "keyed", Server: "k", Domain: "d"}]
		return p != nil && p.queue.Waiting() == 1
	})
	old := c.view.Load()
	servers := []cataloger.Server{
		{ID: "k", Service: "keyed", Address: listener.Addr().String(), Domain: "d", Slots: 2},
		{ID: "n", Service: "keyed", Address: next.address, Domain: "d", Slots: 2},
	}
	owners := old.Owners.With(partitioner.Version{Term: 1, Sequence: 2}, []partitioner.Segment{
		{Service: "keyed", Range: partitioner.Range{First: 0, Last: 999}, Server: "n"},
	})
	c.SetView(time.Now(), resolver.New(old.Self, old.Table, servers, owners, nil))
	is.Equal(<-answers, 200)
	is.Equal(next.runs.Load(), int64(1))
	close(release)
	is.Equal(<-answers, 200)
	is.Equal(<-answers, 200)
}

// waitFor waits for a state, with a generous bound.
func waitFor(t *testing.T, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !reached(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("state not reached")
		}
	}
}

// TestClientThatLeavesFreesItsSlot has clients leave while their requests run or wait.
func TestClientThatLeavesFreesItsSlot(t *testing.T) {
	is := is.New(t)
	arrived, gone := make(chan struct{}, 8), make(chan struct{}, 8)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	hanging := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-r.Context().Done()
		gone <- struct{}{}
	})}
	go func() { _ = hanging.Serve(listener) }()
	defer hanging.Close()
	c := setup(t, &backend{address: listener.Addr().String()})
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for range 3 {
		go func() {
			r := httptest.NewRequest("GET", "/safe/x", nil).WithContext(ctx)
			r.Host = "h"
			c.ServeHTTP(httptest.NewRecorder(), r)
			done <- struct{}{}
		}()
	}
	<-arrived
	<-arrived
	leave()
	<-gone
	<-gone
	for range 3 {
		<-done
	}
	is.True(!c.busy())
}

func TestHopFieldsSurviveTheWire(t *testing.T) {
	now := time.Unix(1000, 0)
	jobs := map[string]job{
		"keyed": {
			service: "s", route: "r", priority: 2, repeatable: true, keyed: true, key: 7, objective: now.Add(time.Second),
			limit: now.Add(2 * time.Second), pool: resolver.ServerPool{Service: "s", Server: "k", Domain: "d"},
			owners: partitioner.Version{Term: 3, Sequence: 9}, avoid: "x",
		},
		"plain": {
			service: "s", route: "r", objective: now.Add(-time.Second), limit: now, pool: resolver.ServerPool{Service: "s", Domain: "d", Shard: 3},
		},
	}
	for name, want := range jobs {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got job
			is.NoErr(got.decodeHop(now, strings.TrimSpace(want.hop(now))))
			is.Equal(got, want)
		})
	}
	results := map[string]result{
		"plain":   {outcome: answered, sent: true, server: "k"},
		"refused": {outcome: refused, retryAfter: 1500 * time.Millisecond, reason: "queue_full"},
		"moved":   {outcome: moved, server: "n", owners: partitioner.Version{Term: 3, Sequence: 9}},
		"text":    {outcome: broken, sent: true, reason: "read tcp: connection reset"},
	}
	for name, want := range results {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got result
			is.NoErr(got.decode(strings.TrimSpace(want.encode()))) // HTTP trims values
			is.Equal(got, want)
		})
	}
}

func FuzzDecodeHop(f *testing.F) {
	f.Add("s k d r 2 true 7 1000 2000 3 9 x 1", "0 true k 0 3 9 -")
	f.Add("", "")
	f.Fuzz(func(_ *testing.T, hop, outcome string) {
		var j job
		_ = j.decodeHop(time.Unix(1000, 0), hop)
		var r result
		_ = r.decode(outcome)
	})
}
