package verifier

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/loadtester"
)

// checkLoadRequests is the number of requests in a check load, a small load that shows whether all requests are answered
// again.
const checkLoadRequests = 60

// requestsPerSecond is the mean rate of a load.
const requestsPerSecond = 60

// awaitAllAnswered sends check loads until every request of one of them is answered.
func (c *cluster) awaitAllAnswered() {
	c.t.Helper()
	await(c.t, "all requests of a check load are answered", func() bool {
		load := c.startLoad(c.entries, 1, checkLoadRequests)
		<-load.done
		return load.tally.Report(nil).Answered == checkLoadRequests
	})
}

// load is a load that has been started.
type load struct {
	t        *testing.T
	progress chan int      // the number of requests so far, after each request that was due
	done     chan struct{} // closed when every request has its outcome; tally is set then
	tally    *loadtester.Tally
}

// startLoad starts sending count requests to the entries; on average half of them must run at most once.
func (c *cluster) startLoad(entries []*entry, seed uint64, count int) *load {
	return c.startPlan(entries, newPlan(seed, count))
}

// startPlan starts sending the requests of a plan to the entries.
func (c *cluster) startPlan(entries []*entry, plan loadtester.Plan) *load {
	c.loadCount++
	l := &load{t: c.t, progress: make(chan int, plan.Count), done: make(chan struct{})}
	settings := loadtester.Settings{
		Plan: plan, RunID: "run" + strconv.Itoa(c.loadCount),
		Progress: func(sent int) { l.progress <- sent },
	}
	for _, e := range entries {
		settings.Entries = append(settings.Entries, e.ip+":"+clientPort)
	}
	go func() {
		defer close(l.done)
		tally, err := loadtester.Run(context.Background(), settings)
		if err != nil {
			c.t.Error(err)
		}
		l.tally = tally
	}()
	return l
}

// newPlan returns a plan of keyed at-most-once requests, keyed idempotent ones and ones without keys, by weight 3, 2 and 1.
func newPlan(seed uint64, count int) loadtester.Plan {
	return loadtester.Plan{
		Rate: requestsPerSecond, Count: count, Seed: seed, Retries: 2, RetryDelay: 100 * time.Millisecond,
		Keys: loadtester.Keys{Distribution: "zipf", Count: 200},
		Classes: []loadtester.Class{
			{
				Name: "render_order", Host: "render.shashat.example", Path: "/orders/", Keyed: true, Method: "POST",
				Weight: 3, AtMostOnce: true, BodyBytes: 512, AnswerBytes: 256, Timeout: 2500 * time.Millisecond,
			},
			{
				Name: "preview", Host: "render.shashat.example", Path: "/previews/", Keyed: true, Weight: 2,
				AnswerBytes: 1024, Timeout: 2 * time.Second,
			},
			{
				Name: "template_pull", Host: "shelf.shashat.example", Path: "/frames/", Weight: 1, AnswerBytes: 4096,
				Timeout: 4 * time.Second,
			},
		},
	}
}

// awaitSent waits until count requests have been sent.
func (l *load) awaitSent(count int) {
	l.t.Helper()
	for sent := 0; sent < count; {
		select {
		case sent = <-l.progress:
		case <-l.done:
			l.t.Fatalf("the load ended before %d requests were sent", count)
		}
	}
}

// verifyLoad waits for the end of a load and compares what clients were told with what the servers executed. It requires
// that every request has one outcome, no at-most-once request is executed twice, no request reported as not run is executed,
// no answer is corrupted or belongs to another request, and no key has two owners.
func (c *cluster) verifyLoad(l *load) loadtester.Report {
	c.t.Helper()
	<-l.done
	executions := c.fetchExecutions()
	if !isOwnershipExclusive(executions) {
		c.t.Error("the executions violate the exclusive ownership of keys")
	}
	verdict := l.tally.Verify(executions)
	report := l.tally.Report(&verdict)
	if !report.Passed() {
		c.t.Errorf("the load report shows a violation: %s", report.Summary())
	}
	c.t.Logf("%d answered, %d not run, %d unknown; %+v; %+v",
		report.Answered, report.NotExecuted, report.Unknown, report.Causes, *report.Verdict)
	return report
}
