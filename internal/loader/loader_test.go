package loader

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// testEntry is an entry that hands requests to a stand-in server that does not check, with faults of its own.
type testEntry struct {
	server *faker.Server
	// act answers a request itself and returns true, or leaves it to the server.
	act   func(w http.ResponseWriter, r *http.Request, number int64) bool
	count atomic.Int64
}

func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.act(w, r, e.count.Add(1)) {
		return
	}
	r.URL.Path = strings.TrimPrefix(r.URL.Path, "/s")
	w.Header().Set("Wasabibank-Outcome", "answered")
	e.server.ServeHTTP(w, r)
}

func testPlan() Plan {
	return Plan{
		Rate:  5000,
		Count: 40,
		Seed:  7,
		Classes: []Class{
			{Name: "order", Service: "render_desk", Method: "POST", Path: "orders", AtMostOnce: true, BodyBytes: 300, AnswerBytes: 700},
			{Name: "preview", Service: "render_desk", Method: "GET", Path: "preview"},
		},
	}
}

func notRun(w http.ResponseWriter) {
	w.Header().Set("Wasabibank-Outcome", "not_run")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"outcome":"not_run","reason":"queue_full"}`))
}

// runAgainst sends the test plan to an entry with act and returns the result.
func runAgainst(t *testing.T, retries int, act func(*testEntry, http.ResponseWriter, *http.Request, int64) bool) Report {
	t.Helper()
	server := faker.NewServer(faker.ServerSettings{Name: "render-1", Slots: 8, QueueBound: 1000})
	server.SetFaults(faker.ServerFaults{UncheckedFence: true})
	entry := &testEntry{server: server}
	entry.act = func(w http.ResponseWriter, r *http.Request, n int64) bool { return act(entry, w, r, n) }
	listener := httptest.NewServer(entry)
	defer listener.Close()
	closed := httptest.NewServer(entry)
	closed.Close()
	plan := testPlan()
	plan.Retries = retries
	entries := []string{strings.TrimPrefix(listener.URL, "http://"), strings.TrimPrefix(closed.URL, "http://")}
	tally, err := Run(context.Background(), Settings{Plan: plan, Entries: entries, Run: "t"})
	if err != nil {
		t.Fatal(err)
	}
	verdict := tally.Judge(server.Executions(0).Executions)
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
				is.True(r.Kept())
				is.Equal(r.Line(), "40 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners")
			},
		},
		"not run": {
			act: func(_ *testEntry, w http.ResponseWriter, _ *http.Request, _ int64) bool { notRun(w); return true },
			check: func(is *is.I, r Report) {
				is.Equal(r.NotRun, 40)
				is.Equal(r.Causes, []CauseCount{{Outcome: OutcomeNotRun, Reason: "queue_full", Count: 40}})
				is.True(r.Kept())
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
				is.True(r.Kept())
			},
		},
		"told not run and executed": {
			act: func(e *testEntry, w http.ResponseWriter, r *http.Request, _ int64) bool {
				r.URL.Path = strings.TrimPrefix(r.URL.Path, "/s")
				e.server.ServeHTTP(httptest.NewRecorder(), r)
				notRun(w)
				return true
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Verdict.FalseNotRun, 40)
				is.True(!r.Kept())
			},
		},
		"executed twice": {
			act: func(e *testEntry, _ http.ResponseWriter, r *http.Request, _ int64) bool {
				again := r.Clone(context.Background())
				again.Body = http.NoBody
				again.URL.Path = strings.TrimPrefix(r.URL.Path, "/s")
				e.server.ServeHTTP(httptest.NewRecorder(), again)
				return false
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Verdict.Doubled+r.Verdict.Repeated, 40)
				is.True(r.Verdict.Doubled > 0 && r.Verdict.Repeated > 0)
				is.True(!r.Kept())
			},
		},
		"answer that looks whole and is cut": {
			act: func(e *testEntry, w http.ResponseWriter, r *http.Request, _ int64) bool {
				r.URL.Path = strings.TrimPrefix(r.URL.Path, "/s")
				whole := httptest.NewRecorder()
				e.server.ServeHTTP(whole, r)
				w.Header().Set("Wasabibank-Outcome", "answered")
				w.Header().Set(faker.HeaderBodySum, whole.Header().Get(faker.HeaderBodySum))
				_, _ = w.Write(whole.Body.Bytes()[:whole.Body.Len()/2])
				return true
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Cut, 40)
				is.True(!r.Kept())
			},
		},
		"answer to another request": {
			act: func(_ *testEntry, _ http.ResponseWriter, r *http.Request, _ int64) bool {
				r.Header.Set("Wasabibank-Request-Id", "other")
				return false
			},
			check: func(is *is.I, r Report) {
				is.Equal(r.Foreign, 40)
				is.Equal(r.Verdict.Unexecuted, 40)
				is.True(!r.Kept())
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
				is.Equal(r.Cut, 0)
				is.True(r.Kept())
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
		"no outcome": {
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
	tally, err := Run(context.Background(), Settings{Plan: testPlan(), Entries: entries, Run: "t"})
	is.NoErr(err)
	is.Equal(tally.Report(nil).NotRun, 40)
}

func TestCountSecondOwners(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	effect := func(server string, epoch uint64, start, end int) faker.Execution {
		e := faker.Execution{Service: "d", Key: "k", Start: at(start), End: at(end), State: faker.StateEffect}
		e.Server, e.Epoch = identifier.ServerName(server), identifier.Epoch(epoch)
		return e
	}
	pending := effect("a", 1, 5, 0)
	pending.End = time.Time{}
	tests := map[string]struct {
		effects []faker.Execution
		want    int
	}{
		"one owner":            {effects: []faker.Execution{effect("a", 1, 0, 5), effect("a", 1, 2, 6)}},
		"moved":                {effects: []faker.Execution{effect("a", 1, 0, 5), effect("b", 2, 5, 9)}},
		"moved back":           {effects: []faker.Execution{effect("a", 1, 0, 5), effect("b", 2, 5, 9), effect("a", 3, 9, 12)}},
		"overlapping":          {effects: []faker.Execution{effect("a", 1, 0, 5), effect("b", 2, 4, 9)}, want: 1},
		"older epoch after":    {effects: []faker.Execution{effect("b", 2, 0, 3), effect("a", 1, 4, 6)}, want: 1},
		"same epoch":           {effects: []faker.Execution{effect("a", 2, 0, 3), effect("b", 2, 4, 6)}, want: 1},
		"not keyed":            {effects: []faker.Execution{effect("a", 0, 0, 3), effect("b", 0, 1, 6)}},
		"killed, then moved":   {effects: []faker.Execution{pending, effect("b", 2, 9, 12)}},
		"given in wrong order": {effects: []faker.Execution{effect("b", 2, 5, 9), effect("a", 1, 0, 5)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(countSecondOwners(tc.effects), tc.want)
		})
	}
}

func TestDecodePlan(t *testing.T) {
	tests := map[string]struct {
		raw  string
		good bool
	}{
		"whole":             {raw: "rate: 10\ncount: 5\nretry_pause: 50ms\nkeys: {distribution: hot, hot_every: 2s}\nclasses:\n- {name: a, service: s, timeout: 2s}\n", good: true},
		"unknown key":       {raw: "rate: 10\ncount: 5\nclases: []\n"},
		"no rate":           {raw: "count: 5\nclasses: [{name: a, service: s}]\n"},
		"neither end":       {raw: "rate: 5\nclasses: [{name: a, service: s}]\n"},
		"both ends":         {raw: "rate: 5\ncount: 5\nduration: 2s\nclasses: [{name: a, service: s}]\n"},
		"no class":          {raw: "rate: 5\ncount: 5\n"},
		"no service":        {raw: "rate: 5\ncount: 5\nclasses: [{name: a}]\n"},
		"wrong share":       {raw: "rate: 5\ncount: 5\nkeys: {hot_share: 2}\nclasses: [{name: a, service: s}]\n"},
		"wrong kind of key": {raw: "rate: 5\ncount: 5\nkeys: {distribution: normal}\nclasses: [{name: a, service: s}]\n"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan, err := DecodePlan([]byte(tc.raw))
			if err == nil {
				_, err = plan.complete()
			}
			is.Equal(err == nil, tc.good)
		})
	}
}

func TestSequence(t *testing.T) {
	tests := map[string]struct {
		keys Keys
		hot  string
	}{
		"uniform":   {keys: Keys{Count: 50}},
		"zipf":      {keys: Keys{Distribution: DistributionZipf, Count: 50}, hot: "key-0"},
		"hot":       {keys: Keys{Distribution: DistributionHot, Count: 50}, hot: "key-0"},
		"hot moves": {keys: Keys{Distribution: DistributionHot, Count: 50, HotEvery: 100 * time.Millisecond}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := testPlan()
			plan.Count, plan.Keys, plan.Rate = 2000, tc.keys, 1000
			plan, err := plan.complete()
			is.NoErr(err)
			counts := map[string]int{}
			first, second := newSequence(plan, "t"), newSequence(plan, "t")
			for {
				r, ok := first.next()
				again, _ := second.next()
				is.Equal(r.id+r.key, again.id+again.key) // the same seed, the same requests
				if !ok {
					break
				}
				counts[r.key]++
			}
			most := ""
			for key, n := range counts {
				if n > counts[most] {
					most = key
				}
			}
			if tc.hot != "" {
				is.Equal(most, tc.hot)
				return
			}
			is.True(counts[most] < 200)
		})
	}
}
