package prover

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/loader"
)

// awaitService waits until a small load is answered whole.
func (c *cluster) awaitService() {
	c.t.Helper()
	await(c.t, "service", func() bool {
		load := c.startLoad(c.living(), 1, 60)
		<-load.done
		return load.tally.Report(nil).Answered == 60
	})
}

// load is one run of requests under way.
type load struct {
	t     *testing.T
	sent  chan int
	done  chan struct{}
	tally *loader.Tally
}

// startLoad sends count requests, of which two thirds may run at most once.
func (c *cluster) startLoad(entries []*process, seed uint64, count int) *load {
	c.runs++
	l := &load{t: c.t, sent: make(chan int, count), done: make(chan struct{})}
	settings := loader.Settings{
		Plan:     planOf(seed, count),
		Run:      "run" + strconv.Itoa(c.runs),
		Progress: func(sent int) { l.sent <- sent },
	}
	for _, p := range entries {
		settings.Entries = append(settings.Entries, p.addresses["callers"])
	}
	go func() {
		defer close(l.done)
		tally, err := loader.Run(context.Background(), settings)
		if err != nil {
			c.t.Error(err)
		}
		l.tally = tally
	}()
	return l
}

func planOf(seed uint64, count int) loader.Plan {
	return loader.Plan{
		Rate:       loadRate,
		Count:      count,
		Seed:       seed,
		Retries:    2,
		RetryPause: 100 * time.Millisecond,
		Keys:       loader.Keys{Distribution: "zipf", Count: 200, Prefix: "key-"},
		Classes: []loader.Class{
			{
				Name: "render_order", Service: service, Method: "POST", Path: "orders", Weight: 2, AtMostOnce: true,
				BodyBytes: 512, AnswerBytes: 256, Timeout: 5 * time.Second,
			},
			{Name: "preview", Service: service, Method: "GET", Path: "preview", Weight: 1, AnswerBytes: 1024, Timeout: time.Second},
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

// judge waits for the end and compares what callers were told with what the servers executed.
func (c *cluster) judge(l *load) loader.Report {
	c.t.Helper()
	<-l.done
	executions, err := loader.Fetch(context.Background(), []string{c.collector.address()})
	must(c.t, err)
	if !ownershipHolds(executions) {
		c.t.Error("the executions show no single owner")
	}
	verdict := l.tally.Judge(executions)
	return l.tally.Report(&verdict)
}
