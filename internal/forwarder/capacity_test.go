package forwarder

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/queuer"
)

// loadAnswer returns an answer in which the server names a load.
func loadAnswer(answer, load string) string {
	return strings.Replace(answer, "X-Id", "Server-Load: "+load+"\r\nX-Id", 1)
}

// TestInvalidLoadsAreCounted guards against a client that gets no answer because its server names a load that can't be true, and
// against such loads that operators can't see.
func TestInvalidLoadsAreCounted(t *testing.T) {
	tests := map[string]struct {
		answer     string
		fixed      bool // without adaptive limits
		wantStatus int
		invalid    int64
	}{
		"none":                             {answer: answerOK, wantStatus: 200},
		"valid":                            {answer: loadAnswer(answerOK, "1,0,2,100"), wantStatus: 200},
		"valid, rejection":                 {answer: loadAnswer(answerNotExecuted, "2,1,2"), wantStatus: 503},
		"no number":                        {answer: loadAnswer(answerOK, "much"), wantStatus: 200, invalid: 1},
		"negative":                         {answer: loadAnswer(answerOK, "-1,0,2"), wantStatus: 200, invalid: 1},
		"a megabyte":                       {answer: loadAnswer(answerOK, strings.Repeat("1", 1<<20)), wantStatus: 200, invalid: 1},
		"pace of 0":                        {answer: loadAnswer(answerOK, "1,0,2,0"), wantStatus: 200, invalid: 1},
		"pace of 1e9":                      {answer: loadAnswer(answerOK, "1,0,2,1e9"), wantStatus: 200, invalid: 1},
		"answer to another request":        {answer: loadAnswer(answerToOtherRequest, "1,0,2"), wantStatus: 502, invalid: 1},
		"another server at the address":    {answer: loadAnswer(answerMisdirected, "1,0,2"), wantStatus: 503, invalid: maxSends},
		"no number, adaptive limits unset": {answer: loadAnswer(answerOK, "much"), fixed: true, wantStatus: 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, test.answer))
			f.headers.Load = "Server-Load"
			f.SetQueueing(queuer.Settings{AdaptiveLimits: !test.fixed})
			w := sendRequest(f, "POST", "/once/x", "", "")
			is.Equal(w.Code, test.wantStatus)
			is.Equal(f.meter.Get(meter.InvalidServerLoads), test.invalid)
			is.True(test.invalid == 0 || w.Header().Get("Server-Load") == "")
		})
	}
}

// TestReportedTime guards against a leader that moves keys to a server which runs fewer requests than it has slots, and against
// another capacity of servers without a learned limit.
func TestReportedTime(t *testing.T) {
	tests := map[string]struct {
		state queuer.ServerState
		want  time.Duration
	}{
		"half of its slots":      {state: queuer.ServerState{Slots: 6, Limit: 3}, want: 200 * time.Millisecond},
		"all slots":              {state: queuer.ServerState{Slots: 6, Limit: 6}, want: 100 * time.Millisecond},
		"server has left a pool": {want: 100 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(reportedTime(test.state, 100*time.Millisecond), test.want)
		})
	}
}

// TestEjectionsAreCounted guards against operators who can't see that a server is ejected.
func TestEjectionsAreCounted(t *testing.T) {
	is := is.New(t)
	f := newForwarder(t, startScriptedServer(t, answerServerError))
	for range 3 {
		is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 500)
	}
	is.Equal(f.meter.Get(meter.ServerEjections), int64(1))
	is.Equal(sendRequestWithTimeLeft(f, 100*time.Millisecond, "POST", "/once/x", "", "").Code, 503)
	is.Equal(f.meter.Get(meter.ServerEjections), int64(1))
}

// TestReportsWeighClasses guards against a leader that moves keys away from a server because it gets more of the long requests, and
// against one that does not see that a server is slow, because it gets more of the short ones.
func TestReportsWeighClasses(t *testing.T) {
	tests := map[string]struct {
		slow        float64 // multiplies all service times
		long        int     // of 100 requests
		adaptive    bool
		least, most time.Duration // mean service time in the report
	}{
		"half and half":              {slow: 1, long: 50, adaptive: true, least: 550 * time.Millisecond, most: 630 * time.Millisecond},
		"few long ones":              {slow: 1, long: 10, adaptive: true, least: 550 * time.Millisecond, most: 630 * time.Millisecond},
		"few short ones":             {slow: 1, long: 90, adaptive: true, least: 550 * time.Millisecond, most: 630 * time.Millisecond},
		"few long ones, slow server": {slow: 2, long: 10, adaptive: true, least: 1100 * time.Millisecond, most: 1260 * time.Millisecond},
		"no long ones":               {slow: 1, adaptive: true, least: 180 * time.Millisecond, most: 180 * time.Millisecond},
		"without learned limits":     {slow: 1, long: 10, least: 262 * time.Millisecond, most: 262 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			q := queuer.New(&queuer.ServiceTimes{}, queuer.Settings{AdaptiveLimits: test.adaptive})
			q.SetServers(now, []queuer.Server{{ID: "a", Slots: 6}})
			var stats AnswerStats
			for round := range 4 { // the first ones teach the classes
				l := newLoads()
				for i := range 100 {
					now = now.Add(100 * time.Millisecond)
					class, took := "short", 180*time.Millisecond
					if i*test.long%100 < test.long {
						class, took = "long", time.Second
					}
					took = time.Duration(float64(took) * test.slow)
					q.Offer(now, queuer.Request{Class: class, Objective: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
					l.countServiceTime("a", took, q.Work(now, "a", class))
					q.Done(now, "a", class, queuer.Answered, took)
				}
				stats = l.Answers["a"]
				is.True(round < 3 || stats.Count == 100)
			}
			mean := stats.TotalServiceTime / time.Duration(stats.Count)
			t.Logf("mean service time in the report: %v", mean)
			is.True(mean >= test.least && mean <= test.most)
		})
	}
}
