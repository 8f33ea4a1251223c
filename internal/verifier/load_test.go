package verifier

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/loadtester"
)

// probeCount is the requests of a small load that shows whether service is whole.
const probeCount = 60

// awaitService waits until a small load is answered whole.
func (c *cluster) awaitService() {
	c.t.Helper()
	await(c.t, "service", func() bool {
		load := c.startLoad(c.entries, 1, probeCount)
		<-load.done
		return load.tally.Report(nil).Answered == probeCount
	})
}

// load is one run of requests under way.
type load struct {
	t     *testing.T
	sent  chan int
	done  chan struct{}
	tally *loadtester.Tally
}

// startLoad sends count requests, of which half may run at most once.
func (c *cluster) startLoad(entries []*entry, seed uint64, count int) *load {
	c.runs++
	l := &load{t: c.t, sent: make(chan int, count), done: make(chan struct{})}
	settings := loadtester.Settings{
		Plan: planOf(seed, count), RunID: "run" + strconv.Itoa(c.runs), Progress: func(sent int) { l.sent <- sent },
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

func planOf(seed uint64, count int) loadtester.Plan {
	return loadtester.Plan{
		Rate: loadRate, Count: count, Seed: seed, Retries: 2, RetryDelay: 100 * time.Millisecond,
		Keys: loadtester.Keys{Distribution: "zipf", Count: 200},
		Classes: []loadtester.Class{
			{
				Name: "render_order", Host: "render.shashat.example", Path: "/orders/", Keyed: true, Method: "POST", Weight: 3,
				AtMostOnce: true, BodyBytes: 512, AnswerBytes: 256, Timeout: 2500 * time.Millisecond,
			},
			{
				Name: "preview", Host: "render.shashat.example", Path: "/previews/", Keyed: true, Weight: 2, AnswerBytes: 1024,
				Timeout: 2 * time.Second,
			},
			{Name: "template_pull", Host: "shelf.shashat.example", Path: "/frames/", Weight: 1, AnswerBytes: 4096, Timeout: 4 * time.Second},
		},
	}
}

// loadRate is the requests a second of a load.
const loadRate = 60

// awaitSent waits until that many requests have been sent.
func (l *load) awaitSent(count int) {
	l.t.Helper()
	for sent := 0; sent < count; {
		select {
		case sent = <-l.sent:
		case <-l.done:
			l.t.Fatalf("the load ended before %d requests", count)
		}
	}
}

// judge waits for the end and compares what clients were told with what the servers ran. In all of it every request has
// one outcome, none that may run once runs twice, none that was told not to have run has run, no answer is cut or
// another's, and no key has two owners.
func (c *cluster) judge(l *load) loadtester.Report {
	c.t.Helper()
	<-l.done
	executions := c.executions()
	if !ownershipHolds(executions) {
		c.t.Error("the executions show no single owner")
	}
	verdict := l.tally.Verify(executions)
	report := l.tally.Report(&verdict)
	if !report.Passed() {
		c.t.Errorf("a promise is broken: %s", report.Summary())
	}
	c.t.Logf("%d answered, %d not run, %d unknown; %+v; %+v", report.Answered, report.NotExecuted, report.Unknown, report.Causes, *report.Verdict)
	return report
}
