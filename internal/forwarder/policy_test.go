package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blocking is a server that answers once released.
type blocking struct {
	*fakeServer
	arrived chan struct{}
	release chan struct{}
}

func newBlocking(t *testing.T) *blocking {
	b := &blocking{arrived: make(chan struct{}, 100), release: make(chan struct{})}
	b.fakeServer = newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
		b.arrived <- struct{}{}
		select {
		case <-b.release:
			ok(w, r)
		case <-r.Context().Done():
		}
	})
	return b
}

// answered is an answer that arrives later.
type answered struct {
	status  int
	outcome string
	err     error
}

// sendLater sends in the background.
func sendLater(t *testing.T, e *entry, method, path string, header ...string) <-chan answered {
	done := make(chan answered, 1)
	go func() {
		answer, _, err := send(t, e, method, path, nil, header...)
		if err != nil {
			done <- answered{err: err}
			return
		}
		done <- answered{status: answer.StatusCode, outcome: answer.Header.Get(headerOutcome)}
	}()
	return done
}

// TestRefusedByServer answers the first request with a refusal, which is proof that it was not run.
func TestRefusedByServer(t *testing.T) {
	tests := map[string]struct {
		status  int
		refused string
		again   bool // the request comes a second time
		want    int
		reason  string
	}{
		"shed":        {status: 503, refused: "shed", again: true, want: 200},
		"stale epoch": {status: 409, refused: "stale_epoch", again: true, want: 200},
		"no grant":    {status: 409, refused: "no_grant", again: true, want: 200},
		"draining":    {status: 503, refused: "draining", again: true, want: 200},
		"expired":     {status: 409, refused: "expired", want: 504, reason: "expired"},
		"other":       {status: 409, refused: "odd", want: 503, reason: "server_refused"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for _, direct := range []bool{true, false} {
				is := is.New(t)
				var came atomic.Int64
				s := newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
					if came.Add(1) == 1 {
						w.Header().Set(headerRefused, test.refused)
						w.WriteHeader(test.status)
						return
					}
					ok(w, r)
				})
				c := newCluster(t, s.address())
				e := c.b
				if direct {
					e = c.a
				}
				answer, _, err := send(t, e, "POST", "/s/desk/k/orders", strings.NewReader("o"))
				is.NoErr(err)
				is.Equal(answer.StatusCode, test.want)
				is.Equal(answer.Header.Get(headerReason), test.reason)
				is.Equal(came.Load() == 2, test.again)
				if test.want != 200 {
					is.Equal(answer.Header.Get(headerOutcome), "not_run")
				}
			}
		})
	}
}

// TestNewEpochIsFollowed moves the partitions to an epoch that the views learn only after the request came.
func TestNewEpochIsFollowed(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, ok)
	c := newCluster(t, s.address())
	c.permit(2)
	late := sendLater(t, c.b, "POST", "/s/desk/k/orders")
	await(t, "the request waits", func() bool { return c.b.InFlight() == 1 })
	c.publish(2)
	is.Equal((<-late).status, 200)
	is.Equal(s.last().Header.Get(headerEpoch), "2")
	is.Equal(s.executed.Load(), int64(1))
}

// TestOverloadIsToldAtOnce fills both slots; a request that can't start in time is not kept waiting for it.
func TestOverloadIsToldAtOnce(t *testing.T) {
	is := is.New(t)
	s := newBlocking(t)
	c := newCluster(t, s.address())
	first := sendLater(t, c.a, "GET", "/s/desk/k/1")
	second := sendLater(t, c.b, "GET", "/s/desk/k/2")
	<-s.arrived
	<-s.arrived
	await(t, "a long wait is expected", func() bool { return c.a.Loads(time.Now())[0].ExpectedWait > 500*time.Millisecond })
	answer, body, err := send(t, c.b, "GET", "/s/desk/k/3", nil, headerTimeout, "500ms")
	is.NoErr(err)
	is.Equal(answer.StatusCode, 503)
	is.Equal(answer.Header.Get(headerOutcome), "not_run")
	is.Equal(answer.Header.Get(headerReason), "overloaded")
	is.True(strings.Contains(body, `"retry_after_ms":`))
	waiting := sendLater(t, c.a, "GET", "/s/desk/k/4", headerTimeout, "1h")
	await(t, "one waits", func() bool { return c.a.Loads(time.Now())[0].Waiting == 1 })
	is.Equal(c.a.Loads(time.Now())[0].Running, 2)
	close(s.release)
	for _, done := range []<-chan answered{first, second, waiting} {
		is.Equal((<-done).status, 200)
	}
	is.Equal(s.executed.Load(), int64(3))
	is.Equal(c.a.table.Gate("s1").Total(), 0)
}

// TestCallerGoneCancels breaks the caller's connection while its request runs, direct and by way of a peer.
func TestCallerGoneCancels(t *testing.T) {
	for name, direct := range map[string]bool{"direct": true, "by a peer": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newBlocking(t)
			c := newCluster(t, s.address())
			e := c.b
			if direct {
				e = c.a
			}
			ctx, cancel := context.WithCancel(context.Background())
			r, err := http.NewRequestWithContext(ctx, "POST", e.callers.URL+"/s/desk/k/orders", nil)
			is.NoErr(err)
			r.Header.Set(headerRequestID, "o1")
			gone := make(chan error, 1)
			go func() {
				_, err := e.callers.Client().Do(r)
				gone <- err
			}()
			<-s.arrived
			cancel()
			is.True(<-gone != nil)
			is.Equal(s.last().Header.Get(headerRequestID), "o1")
			is.Equal(c.a.nextCancel(t), s.last().Header.Get(headerExchangeID))
			await(t, "the slot is free", func() bool { return c.a.Loads(time.Now())[0].Running == 0 })
			await(t, "the gate is left", func() bool { return c.a.table.Gate("s1").Total() == 0 })
			await(t, "the end is told", func() bool { return len(e.observer.ended()) == 1 })
			is.Equal(e.observer.ended()[0].Outcome, OutcomeUnknown)
		})
	}
}

// TestCancelNamesOneExchange lets two callers give the same request id; the one that goes must not end the other's work.
func TestCancelNamesOneExchange(t *testing.T) {
	is := is.New(t)
	s := newBlocking(t)
	c := newCluster(t, s.address())
	stays := sendLater(t, c.a, "POST", "/s/desk/k/orders", headerRequestID, "1", headerCaller, "first")
	<-s.arrived
	kept := s.last().Header.Get(headerExchangeID)
	goes := sendLater(t, c.a, "POST", "/s/desk/k/orders", headerRequestID, "1", headerCaller, "second", headerTimeout, "50ms")
	<-s.arrived
	is.Equal((<-goes).outcome, "unknown")
	is.True(c.a.nextCancel(t) != kept)
	close(s.release)
	is.Equal((<-stays).outcome, "answered")
}

// TestDeadlineEndsTheWait lets a server stay silent; the caller learns that the order may have run.
func TestDeadlineEndsTheWait(t *testing.T) {
	is := is.New(t)
	s := newBlocking(t)
	c := newCluster(t, s.address())
	for _, e := range []*entry{c.a, c.b} {
		answer, _, err := send(t, e, "POST", "/s/desk/k/orders", nil, headerTimeout, "50ms")
		is.NoErr(err)
		is.Equal(answer.StatusCode, 504)
		is.Equal(answer.Header.Get(headerOutcome), "unknown")
		c.a.nextCancel(t)
	}
}

func TestCallerLimit(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, ok)
	c := newCluster(t, s.address())
	for i, want := range []int{200, 429} {
		answer, _, err := send(t, c.a, "GET", "/s/desk/k", nil, headerCaller, "limited")
		is.NoErr(err)
		is.Equal(answer.StatusCode, want)
		is.Equal(answer.Header.Get("Retry-After") != "", i == 1)
	}
	is.Equal(s.executed.Load(), int64(1))
}

// TestDrain refuses what is new and waits for what is under way.
func TestDrain(t *testing.T) {
	is := is.New(t)
	s := newBlocking(t)
	c := newCluster(t, s.address())
	first := sendLater(t, c.a, "POST", "/s/desk/k/orders")
	<-s.arrived
	drained := make(chan error, 1)
	go func() { drained <- c.a.Drain(context.Background()) }()
	await(t, "new requests are refused", func() bool {
		answer := <-sendLater(t, c.a, "POST", "/s/desk/k2/orders", headerTimeout, "10ms")
		return answer == answered{status: 503, outcome: "not_run"}
	})
	refused := <-sendLater(t, c.b, "POST", "/s/desk/k2/orders", headerTimeout, "100ms")
	is.Equal(refused, answered{status: 503, outcome: "not_run"})
	is.Equal(len(drained), 0)
	close(s.release)
	is.Equal((<-first).status, 200)
	is.NoErr(<-drained)
	is.Equal(s.executed.Load()-1, int64(len(s.arrived)))
}

// TestUnkeyedAvoidsTheDead has one of two servers where nothing listens.
func TestUnkeyedAvoidsTheDead(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, ok)
	c := newCluster(t, "127.0.0.1:3", s.address())
	for i := range 40 {
		answer, _, err := send(t, c.b, "GET", "/s/shelf/k/"+strconv.Itoa(i), nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, 200)
	}
	is.Equal(s.executed.Load(), int64(40))
}

// TestLongBodyIsStreamedOnce sends a body that is too long to be kept.
func TestLongBodyIsStreamedOnce(t *testing.T) {
	long := strings.Repeat("x", 500_000)
	tests := map[string]struct {
		body    io.Reader
		status  int
		outcome string
	}{
		"known length": {body: strings.NewReader(long), status: 200, outcome: "answered"},
		"in chunks":    {body: io.MultiReader(strings.NewReader(long)), status: 200, outcome: "answered"},
		"too long":     {body: io.MultiReader(strings.NewReader(long + long + long)), status: 413, outcome: "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, ok)
			c := newCluster(t, s.address())
			answer, _, err := send(t, c.b, "PUT", "/s/desk/k/upload", test.body)
			is.NoErr(err)
			is.Equal(answer.StatusCode, test.status)
			is.Equal(answer.Header.Get(headerOutcome), test.outcome)
			is.True(s.executed.Load() <= 1)
			await(t, "the gate is left", func() bool { return c.a.table.Gate("s1").Total() == 0 })
		})
	}
}
