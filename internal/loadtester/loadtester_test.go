package loadtester

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/platform"
)

// testEntry is an entry that hands requests to a stand-in server, with faults of its own.
type testEntry struct {
	server *emulator.Server
	// act answers a request itself and returns true, or leaves it to the server.
	act   func(w http.ResponseWriter, r *http.Request, number int64) bool
	count atomic.Int64
}

func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.act(w, r, e.count.Add(1)) {
		return
	}
	e.server.ServeHTTP(w, r)
}

func testPlan() Plan {
	return Plan{
		Rate:  5000,
		Count: 40,
		Seed:  7,
		Classes: []Class{
			{Name: "order", Host: "a.example", Method: "POST", Path: "/orders/", AtMostOnce: true, BodyBytes: 300, AnswerBytes: 700},
			{Name: "preview", Host: "a.example", Method: "GET", Path: "/previews/"},
		},
	}
}

func notRun(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "0.01")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runAgainst sends the test plan to an entry with act and returns the result.
func runAgainst(t *testing.T, retries int, act func(*testEntry, http.ResponseWriter, *http.Request, int64) bool) Report {
	t.Helper()
	server := emulator.NewServer(emulator.ServerSettings{ID: "render-1", Slots: 8, QueueLimit: 1000}, time.UnixMilli(1))
	entry := &testEntry{server: server}
	entry.act = func(w http.ResponseWriter, r *http.Request, n int64) bool { return act(entry, w, r, n) }
	listener := httptest.NewServer(entry)
	defer listener.Close()
	closed := httptest.NewServer(entry)
	closed.Close()
	plan := testPlan()
	plan.Retries = retries
	entries := []string{strings.TrimPrefix(listener.URL, "http://"), strings.TrimPrefix(closed.URL, "http://")}
	tally, err := Run(context.Background(), Settings{Plan: plan, Entries: entries, RunID: "t"})
	if err != nil {
		t.Fatal(err)
	}
	verdict := tally.Verify(server.Executions())
	return tally.Report(&verdict)
}

func TestRunCounts(t *testing.T) {
	type act func(e *testEntry, w http.ResponseWriter, r *http.Request, number int64) bool
	tests := map[string]struct {
		act     act
		retries int
		check   func(is *is.I, r Report)
	}{
		"all answered, past an entry that refuses": {
			act: func(*testEntry, http.ResponseWriter, *http.Request, int64) bool { return false },
			check: func(is *is.I, r Report) {
				is.Equal(r.Answered, 40)
				is.Equal(r.Verdict.Executions, 40)
				is.True(r.Passed())
				is.Equal(r.Summary(), "40 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners")
			},
		},
		"not run": {
			act: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, _ int64) bool { notRun(w); return true },
			check: func(is *is.I, r Report) {
				is.Equal(r.NotRun, 40)
				is.Equal(r.Causes, []CauseCount{{Outcome: OutcomeNotRun, Reason: "503 Service Unavailable", Count: 40}})
				is.True(r.Passed())
			},
		},
		"not run once, sent again": {
			retries: 20,
			act: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, n int64) bool {
				if n%3 == 0 {
					notRun(w)
				}
				return n%3 == 0
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Answered, 40)
				is.True(r.Attempts > 40)
				is.True(r.Passed())
			},
		},
		"told not run and executed": {
			act: func(e *testEntry, w http.ResponseWriter, r *http.Request, _ int64) bool {
				e.server.ServeHTTP(httptest.NewRecorder(), r)
				notRun(w)
				return true
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Verdict.FalseNotRun, 40)
				is.True(!r.Passed())
			},
		},
		"executed twice": {
			act: func(e *testEntry, _ http.ResponseWriter, r *http.Request, _ int64) bool {
				again := r.Clone(context.Background())
				again.Body = http.NoBody
				e.server.ServeHTTP(httptest.NewRecorder(), again)
				return false
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Verdict.Doubled+r.Verdict.Repeated, 40)
				is.True(r.Verdict.Doubled > 0 && r.Verdict.Repeated > 0)
				is.True(!r.Passed())
			},
		},
		"answer that looks whole and is cut": {
			act: func(e *testEntry, w http.ResponseWriter, r *http.Request, _ int64) bool {
				whole := httptest.NewRecorder()
				e.server.ServeHTTP(whole, r)
				w.Header().Set(platform.HeaderSignature, "render-1.1")
				w.Header().Set(emulator.HeaderBodySum, whole.Header().Get(emulator.HeaderBodySum))
				_, _ = w.Write(whole.Body.Bytes()[:whole.Body.Len()/2])
				return true
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Truncated, 40)
				is.True(!r.Passed())
			},
		},
		"answer to another request": {
			act: func(_ *testEntry, _ http.ResponseWriter, r *http.Request, _ int64) bool {
				r.Header.Set(platform.HeaderRequestID, "other")
				return false
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Mismatched, 40)
				is.Equal(r.Verdict.Unexecuted, 40)
				is.True(!r.Passed())
			},
		},
		"answer visibly broken": {
			act: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, _ int64) bool {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("part"))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Unknown, 40)
				is.Equal(r.Broken, 40)
				is.Equal(r.Truncated, 0)
				is.True(r.Passed())
			},
		},
		"broken before an answer": {
			retries: 5,
			act: func(*testEntry, http.ResponseWriter, *http.Request, int64) bool {
				panic(http.ErrAbortHandler)
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Unknown, 40)
				is.Equal(r.Attempts, 40) // never sent again
			},
		},
		"no promise": {
			act: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, _ int64) bool {
				w.WriteHeader(http.StatusBadGateway)
				return true
			},
			check: func(is *is.I, r Report) { is.Equal(r.Unknown, 40) },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report := runAgainst(t, tc.retries, tc.act)
			is.Equal(report.Sent, 40)
			tc.check(is, report)
		})
	}
}

func TestNoEntryMeansNotRun(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	entries := []string{strings.TrimPrefix(closed.URL, "http://")}
	tally, err := Run(context.Background(), Settings{Plan: testPlan(), Entries: entries, RunID: "t"})
	is.NoErr(err)
	is.Equal(tally.Report(nil).NotRun, 40)
}

// TestConnectLimit: a client with one entry has no other to turn to, so that only the request's own time bounds its connect.
func TestConnectLimit(t *testing.T) {
	tests := map[string]struct {
		entries int
		want    time.Duration
	}{
		"one entry":       {entries: 1, want: 0},
		"several entries": {entries: 2, want: connectTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(connectLimit(test.entries), test.want)
		})
	}
}
