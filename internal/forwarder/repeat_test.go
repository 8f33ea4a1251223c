package forwarder

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/router"
)

// TestRepeatIsNotRunAgain sends the same order a second time, in each state of the first.
func TestRepeatIsNotRunAgain(t *testing.T) {
	tests := map[string]struct {
		serve       http.HandlerFunc
		outcome     string // of the first and the second
		firstStatus int
	}{
		"answered": {serve: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(201) }, outcome: "answered", firstStatus: 201},
		"unknown":  {serve: func(w http.ResponseWriter, _ *http.Request) { hijack(w, "") }, outcome: "unknown"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newFakeServer(t, test.serve)
			c := newCluster(t, s.address())
			first, _, err := send(t, c.a, "POST", "/s/desk/k/orders", nil, headerRequestID, "o1")
			is.NoErr(err)
			is.Equal(first.Header.Get(headerOutcome), test.outcome)
			for _, e := range []*entry{c.a, c.b} {
				second, _, err := send(t, e, "POST", "/s/desk/k/orders", nil, headerRequestID, "o1")
				is.NoErr(err)
				is.Equal(second.StatusCode, 409)
				is.Equal(second.Header.Get(headerReason), "repeat")
				is.Equal(second.Header.Get(headerOutcome), test.outcome)
				got, _ := strconv.Atoi(second.Header.Get(headerFirstStatus))
				is.Equal(got, test.firstStatus)
			}
			is.Equal(s.executed.Load(), int64(1))
		})
	}
}

func TestRepeatWhileTheFirstRuns(t *testing.T) {
	is := is.New(t)
	s := newBlocking(t)
	c := newCluster(t, s.address())
	first := sendLater(t, c.a, "POST", "/s/desk/k/orders", headerRequestID, "o1")
	<-s.arrived
	second := <-sendLater(t, c.b, "POST", "/s/desk/k/orders", headerRequestID, "o1")
	is.Equal(second, answered{status: 409, outcome: "unknown"})
	close(s.release)
	is.Equal((<-first).status, 200)
	is.Equal(s.executed.Load(), int64(1))
}

// TestNotRunMayRunAgain refuses the first try of an order; the caller's own second try runs.
func TestNotRunMayRunAgain(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, ok)
	c := newCluster(t, s.address())
	c.a.table.Gate("s1").SetPermit(router.Permit{})
	answer, _, err := send(t, c.b, "POST", "/s/desk/k/orders", nil, headerRequestID, "o1", headerTimeout, "200ms")
	is.NoErr(err)
	is.Equal(answer.StatusCode, 503)
	is.Equal(answer.Header.Get(headerOutcome), "not_run")
	is.True(answer.Header.Get("Retry-After") != "")
	is.Equal(s.executed.Load(), int64(0))
	c.permit(1)
	answer, _, err = send(t, c.b, "POST", "/s/desk/k/orders", nil, headerRequestID, "o1")
	is.NoErr(err)
	is.Equal(answer.StatusCode, 200)
	is.Equal(s.executed.Load(), int64(1))
}
