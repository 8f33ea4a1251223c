package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// TestEvacuatedServersGetNothing guards against requests that reach servers of an evacuated failure domain, and against clients that
// wait for them.
func TestEvacuatedServersGetNothing(t *testing.T) {
	for name, test := range map[string]struct {
		state cataloger.State
		path  string
		sent  bool
	}{
		"keyed, draining":   {state: cataloger.Draining, path: "/keyonce/x", sent: true},
		"keyed, gone":       {state: cataloger.Gone, path: "/keyonce/x"},
		"without key":       {state: cataloger.Draining, path: "/once/x"},
		"without key, gone": {state: cataloger.Gone, path: "/idempotent/x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := startScriptedServer(t, answerOK)
			f := newForwarder(t, b)
			v := f.View()
			var servers []cataloger.Server
			for _, id := range []string{"k", "p"} {
				s, _ := v.Server(id)
				s.State, s.Evacuated = test.state, true
				servers = append(servers, s)
			}
			f.SetView(time.Now(), resolver.New(v.Self, v.Table, servers, v.Owners, nil))
			start := time.Now()
			answer := sendRequest(f, "POST", test.path, "5", "")
			is.Equal(answer.Code == http.StatusOK, test.sent)
			is.Equal(b.requests.Load() > 0, test.sent)
			if !test.sent {
				is.Equal(answer.Code, http.StatusServiceUnavailable)
				is.True(answer.Header().Get("Retry-After") != "")
				is.True(time.Since(start) < f.moveTimeout/2) // it is refused at once
				is.Equal(f.meter.GetRefusalCount(reasonEvacuated), int64(1))
			}
		})
	}
}

// TestServersAreColdAfterEvacuation guards against servers that get all requests as soon as their failure domain is used again.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	is := is.New(t)
	s := &warmingServer{instance: "p", status: http.StatusOK}
	f := newColdForwarder(t, s, func(*cataloger.Server) {})
	v := f.View()
	server, _ := v.Server("p")
	for _, evacuated := range []bool{true, false} {
		is.True(!time.Now().Before(f.ColdUntil("p", server.Incarnation)))
		changed := server
		if evacuated {
			changed.State, changed.Evacuated = cataloger.Gone, true
		}
		f.SetView(time.Now(), resolver.New(v.Self, v.Table, []cataloger.Server{changed}, v.Owners, nil))
	}
	is.True(time.Now().Before(f.ColdUntil("p", server.Incarnation)))
}
