package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/throttler"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// warmingServer is a backend server that answers health checks.
type warmingServer struct {
	instance, warmup string // in the answers to health checks
	status           int    // of these answers
	mu               sync.Mutex
	arrivals         []time.Time // of requests
	checks           int
}

// ServeHTTP implements http.Handler.
func (s *warmingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.URL.Path == "/health" {
		s.checks++
		w.Header().Set("X-Instance", s.instance)
		if s.warmup != "" {
			w.Header().Set("X-Warmup", s.warmup)
		}
		w.WriteHeader(s.status)
		return
	}
	s.arrivals = append(s.arrivals, time.Now())
	w.Header().Set(testHeaders.Signature, "s")
	w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
}

// mostInASecond returns the most requests within a second, and all.
func (s *warmingServer) mostInASecond() (most, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, at := range s.arrivals {
		count := 0
		for _, other := range s.arrivals[i:] {
			if other.Sub(at) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most, len(s.arrivals)
}

// newColdForwarder returns a Forwarder with a server of a service whose servers are cold for up to 8 s.
func newColdForwarder(t *testing.T, s *warmingServer, change func(*cataloger.Server)) *Forwarder {
	t.Helper()
	backend := httptest.NewServer(s)
	t.Cleanup(backend.Close)
	headers := testHeaders
	headers.Instance, headers.Warmup = "X-Instance", "X-Warmup"
	f := New(headers, limiter.New(limiter.Settings{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}), meter.New())
	f.SetColdRule(throttler.ColdRule{Overage: 1.5, Tolerance: 8})
	service := bundler.Service{Name: "plain", HealthPath: "/health", WarmupTime: 8 * time.Second, WarmupRate: 5.1}
	route := bundler.Route{
		Name: "r", Host: "h", Prefix: "/", Timeout: 3 * time.Second, Objective: 3 * time.Second, MaxAttempts: 1,
		Services: []bundler.WeightedService{{Service: "plain", Weight: 1}},
	}
	table := matcher.NewTable(bundler.New(1, []bundler.Service{service}, []bundler.Route{route}, bundler.Limits{HeaderBytes: 1000, BodyBytes: 100}))
	now := time.Now()
	server := cataloger.Server{
		ID: "p", Service: "plain", Address: backend.Listener.Addr().String(), Domain: "d", Slots: 20,
		Incarnation: now.Add(-time.Hour).UnixMilli(), WarmupReadAt: now,
	}
	change(&server)
	f.SetView(now, resolver.New(resolver.Member{Instance: "self", Domain: "d"}, table, []cataloger.Server{server},
		(*partitioner.Map)(nil).With(partitioner.Version{Term: 1, Sequence: 1}, nil), nil))
	return f
}

// TestColdServerGetsWhatItTolerates guards against more requests to a cold server than it tolerates, and against a server that stays
// idle although it is cold only for a while.
func TestColdServerGetsWhatItTolerates(t *testing.T) {
	cold := func(s *cataloger.Server) { s.WarmupLeft = 7 * time.Second }
	for name, test := range map[string]struct {
		change      func(*cataloger.Server)
		contact     bool // with a leader
		most, least int  // requests
	}{
		"warm":                                {change: func(*cataloger.Server) {}, contact: true, most: 40, least: 40},
		"cold":                                {change: cold, contact: true, most: 6, least: 7},
		"cold, by an instance without leader": {change: cold, most: 1, least: 1},
		"young, and answers that it is warm": {
			change: func(s *cataloger.Server) { s.Incarnation = time.Now().UnixMilli() }, contact: true, most: 40, least: 40,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &warmingServer{instance: "p", status: http.StatusOK}
			f := newColdForwarder(t, s, test.change)
			stop := make(chan struct{})
			var running sync.WaitGroup
			step := func() {
				f.ProbePaths(time.Now())
				if silence := 10 * time.Millisecond; test.contact {
					f.ShareLimits(time.Now(), silence)
				} else {
					f.ShareLimits(time.Now(), time.Hour)
				}
			}
			step()
			time.Sleep(30 * time.Millisecond)
			step()
			running.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						step()
					}
				}
			})
			var requests sync.WaitGroup
			for range 40 {
				requests.Go(func() { sendRequestWithTimeLeft(f, 2*time.Second, "POST", "/x", "", "") })
			}
			requests.Wait()
			close(stop)
			running.Wait()
			most, all := s.mostInASecond()
			is.True(most <= test.most)
			is.True(all >= test.least)
		})
	}
}

// TestWarmupAnswers guards against an answer to a health check that is misread: of another server, or without a valid time.
func TestWarmupAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		instance, warmup string
		status           int
		cold             bool
		invalid          int64
	}{
		"warm":                    {instance: "p", warmup: "0", status: http.StatusOK},
		"cold":                    {instance: "p", warmup: "4500.5", status: http.StatusOK, cold: true},
		"cold and not healthy":    {instance: "p", warmup: "4500", status: http.StatusServiceUnavailable, cold: true},
		"names no time":           {instance: "p", status: http.StatusOK},
		"another server":          {instance: "q", warmup: "0", status: http.StatusMisdirectedRequest, cold: true},
		"another server, healthy": {instance: "q", warmup: "0", status: http.StatusOK, cold: true},
		"no time":                 {instance: "p", warmup: "soon", status: http.StatusOK, cold: true, invalid: 1},
		"negative":                {instance: "p", warmup: "-4", status: http.StatusOK, cold: true, invalid: 1},
		"a year":                  {instance: "p", warmup: "31536000000", status: http.StatusOK, cold: true, invalid: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &warmingServer{instance: test.instance, warmup: test.warmup, status: test.status}
			f := newColdForwarder(t, s, func(s *cataloger.Server) {})
			now := time.Now()
			f.suspectCold(now, "p")
			server, _ := f.View().Server("p")
			is.True(now.Before(f.ColdUntil("p", server.Incarnation)))
			f.checkWarmup(server, "/health")
			until := f.ColdUntil("p", server.Incarnation)
			is.Equal(time.Now().Before(until), test.cold)
			is.True(until.Before(time.Now().Add(9*time.Second + 1))) // the longest warm-up and a second
			is.Equal(f.meter.Get(meter.InvalidWarmups), test.invalid)
		})
	}
}

// TestLostConnectionMakesServerSuspect guards against a server that has ended and starts again, cold, before its registration is
// read.
func TestLostConnectionMakesServerSuspect(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, answerOK, "")
	f := newColdForwarder(t, &warmingServer{}, func(s *cataloger.Server) { s.Address = b.address })
	server, _ := f.View().Server("p")
	is.Equal(sendRequest(f, "POST", "/x", "", "").Code, http.StatusOK)
	is.True(!time.Now().Before(f.ColdUntil("p", server.Incarnation)))
	sendRequest(f, "POST", "/x", "", "")
	is.True(time.Now().Before(f.ColdUntil("p", server.Incarnation)))
}
