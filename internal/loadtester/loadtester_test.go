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

// testEntry is an entry that forwards requests to a stand-in server, except those that its intercept function answers.
type testEntry struct {
	server *emulator.Server
	// intercept answers a request itself and returns true, or returns false to let the server answer it. number counts the
	// requests from 1.
	intercept func(w http.ResponseWriter, r *http.Request, number int64) bool
	count     atomic.Int64
}

func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.intercept(w, r, e.count.Add(1)) {
		return
	}
	e.server.ServeHTTP(w, r)
}

// testPlan sends 40 requests of an at-most-once class and an idempotent one.
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

// answerNotExecuted answers that the request was not executed.
func answerNotExecuted(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "0.01")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runPlan sends the test plan to a testEntry with intercept and to an address that refuses connections, and returns the
// result.
func runPlan(t *testing.T, retries int, intercept func(*testEntry, http.ResponseWriter, *http.Request, int64) bool) Report {
	t.Helper()
	server := emulator.NewServer(emulator.ServerSettings{ID: "render-1", Slots: 8, QueueLimit: 1000}, time.UnixMilli(1))
	entry := &testEntry{server: server}
	entry.intercept = func(w http.ResponseWriter, r *http.Request, n int64) bool { return intercept(entry, w, r, n) }
	running := httptest.NewServer(entry)
	defer running.Close()
	closed := httptest.NewServer(entry)
	closed.Close()
	plan := testPlan()
	plan.Retries = retries
	entries := []string{strings.TrimPrefix(running.URL, "http://"), strings.TrimPrefix(closed.URL, "http://")}
	tally, err := Run(context.Background(), Settings{Plan: plan, Entries: entries, RunID: "t"})
	if err != nil {
		t.Fatal(err)
	}
	verdict := tally.Verify(server.Executions())
	return tally.Report(&verdict)
}

// TestRunCountsOutcomesAndViolations guards against a load tester that misses a fault of the entries or the servers.
func TestRunCountsOutcomesAndViolations(t *testing.T) {
	type interceptor func(e *testEntry, w http.ResponseWriter, r *http.Request, number int64) bool
	tests := map[string]struct {
		intercept interceptor
		retries   int
		check     func(is *is.I, r Report)
	}{
		"all answered despite an entry that refuses connections": {
			intercept: func(*testEntry, http.ResponseWriter, *http.Request, int64) bool { return false },
			check: func(is *is.I, r Report) {
				is.Equal(r.Answered, 40)
				is.Equal(r.Verdict.Executions, 40)
				is.True(r.Passed())
				is.Equal(r.Summary(), "40 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners")
			},
		},
		"all not run": {
			intercept: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, _ int64) bool {
				answerNotExecuted(w)
				return true
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.NotExecuted, 40)
				is.Equal(r.Causes, []CauseCount{{Outcome: OutcomeNotExecuted, Reason: "503 Service Unavailable", Count: 40}})
				is.True(r.Passed())
			},
		},
		"not run at first, answered on retry": {
			retries: 20,
			intercept: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, n int64) bool {
				if n%3 == 0 {
					answerNotExecuted(w)
				}
				return n%3 == 0
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Answered, 40)
				is.True(r.Attempts > 40)
				is.True(r.Passed())
			},
		},
		"not run although executed": {
			intercept: func(e *testEntry, w http.ResponseWriter, r *http.Request, _ int64) bool {
				e.server.ServeHTTP(httptest.NewRecorder(), r)
				answerNotExecuted(w)
				return true
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Verdict.FalseNotExecuted, 40)
				is.True(!r.Passed())
			},
		},
		"executed twice": {
			intercept: func(e *testEntry, _ http.ResponseWriter, r *http.Request, _ int64) bool {
				clone := r.Clone(context.Background())
				clone.Body = http.NoBody
				e.server.ServeHTTP(httptest.NewRecorder(), clone)
				return false
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Verdict.Duplicated+r.Verdict.Reexecuted, 40)
				is.True(r.Verdict.Duplicated > 0 && r.Verdict.Reexecuted > 0)
				is.True(!r.Passed())
			},
		},
		"truncated answer that seems complete": {
			intercept: func(e *testEntry, w http.ResponseWriter, r *http.Request, _ int64) bool {
				complete := httptest.NewRecorder()
				e.server.ServeHTTP(complete, r)
				w.Header().Set(platform.HeaderSignature, "render-1.1")
				w.Header().Set(emulator.HeaderBodySum, complete.Header().Get(emulator.HeaderBodySum))
				_, _ = w.Write(complete.Body.Bytes()[:complete.Body.Len()/2])
				return true
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Corrupted, 40)
				is.True(!r.Passed())
			},
		},
		"answer to another request": {
			intercept: func(_ *testEntry, _ http.ResponseWriter, r *http.Request, _ int64) bool {
				r.Header.Set(platform.HeaderRequestID, "other")
				return false
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Mismatched, 40)
				is.Equal(r.Verdict.Unexecuted, 40) // the server recorded the executions under the id "other"
				is.True(!r.Passed())
			},
		},
		"answer with a broken connection": {
			intercept: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, _ int64) bool {
				w.Header().Set("Content-Length", "100")
				_, _ = w.Write([]byte("part"))
				_ = http.NewResponseController(w).Flush()
				panic(http.ErrAbortHandler)
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Unknown, 40)
				is.Equal(r.Broken, 40)
				is.Equal(r.Corrupted, 0)
				is.True(r.Passed())
			},
		},
		"connection broken before the answer": {
			retries: 5,
			intercept: func(*testEntry, http.ResponseWriter, *http.Request, int64) bool {
				panic(http.ErrAbortHandler)
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Unknown, 40)
				is.Equal(r.Attempts, 40) // a request whose outcome is unknown is not retried
			},
		},
		"bad gateway without server signature": {
			intercept: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, _ int64) bool {
				w.WriteHeader(http.StatusBadGateway)
				return true
			},
			check: func(is *is.I, r Report) { is.Equal(r.Unknown, 40) },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			report := runPlan(t, tc.retries, tc.intercept)
			is.Equal(report.Sent, 40)
			tc.check(is, report)
		})
	}
}

// TestRefusedConnectionsMeanNotExecuted guards against requests that were never sent but count as unknown.
func TestRefusedConnectionsMeanNotExecuted(t *testing.T) {
	is := is.New(t)
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	entries := []string{strings.TrimPrefix(closed.URL, "http://")}
	tally, err := Run(context.Background(), Settings{Plan: testPlan(), Entries: entries, RunID: "t"})
	is.NoErr(err)
	is.Equal(tally.Report(nil).NotExecuted, 40)
}

// TestConnectTimeoutOnlyWithSeveralEntries guards against a client with a single entry that stops connecting before the
// deadline of the request, although it has no other entry to try.
func TestConnectTimeoutOnlyWithSeveralEntries(t *testing.T) {
	tests := map[string]struct {
		entries int
		want    time.Duration
	}{
		"one entry":       {entries: 1, want: 0},
		"several entries": {entries: 2, want: connectTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(connectTimeoutFor(test.entries), test.want)
		})
	}
}
