package simulator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds are the seeds of the loads in each comparison.
var seeds = []uint64{1, 2}

// TestDispatcherIsNoWorseForClients guards against changes of the queue that make clients worse off than other policies do.
// Under each load no request may time out, refusals must come early, paid orders must be answered at least as often as
// without a queue, and answers must be within their objective at least as often as with queues at the entry instances.
// FirstComeFirstServed is compared in TestFirstComeFirstServedFailsDuringBurst.
func TestDispatcherIsNoWorseForClients(t *testing.T) {
	const (
		// A refusal after the shortest latency objective comes too late to be useful.
		shortestObjective = 300 * time.Millisecond
		// If nearly all requests are served, refusals are so few that a single long wait can dominate their mean time.
		nearlyAll = 0.99
	)
	for _, l := range Loads() {
		t.Run(l.Name(), func(t *testing.T) {
			is := is.New(t)
			for _, seed := range seeds {
				dispatcher := Run(l, Dispatcher{}, seed)
				is.Equal(dispatcher.TimedOut(), 0.0)
				is.True(dispatcher.MeanTimeToFailure() < shortestObjective || dispatcher.Answered() > nearlyAll)
				noQueue := Run(l, NoQueue{}, seed)
				is.True(dispatcher.PaidOrdersAnswered() >= noQueue.PaidOrdersAnswered())
				is.True(dispatcher.InTime() >= Run(l, FixedShare{}, seed).InTime())
				is.True(dispatcher.TimedOut() <= noQueue.TimedOut())
			}
		})
	}
}

// TestFirstComeFirstServedFailsDuringBurst shows why the dispatcher orders and refuses requests: without this, answers
// during a burst are late or never come.
func TestFirstComeFirstServedFailsDuringBurst(t *testing.T) {
	is := is.New(t)
	for _, l := range Loads() {
		if l.Name() != "burst" {
			continue
		}
		for _, seed := range seeds {
			fifo, dispatcher := Run(l, FirstComeFirstServed{}, seed), Run(l, Dispatcher{}, seed)
			is.True(dispatcher.InTime() > fifo.InTime())
			is.True(fifo.TimedOut() > 0)
		}
	}
}

// TestReportIsReproducibleBySeed guards against comparisons that depend on anything but the seed.
func TestReportIsReproducibleBySeed(t *testing.T) {
	is := is.New(t)
	var first, second, other bytes.Buffer
	is.NoErr(WriteReport(&first, 1))
	is.NoErr(WriteReport(&second, 1))
	is.NoErr(WriteReport(&other, 2))
	is.Equal(first.String(), second.String())
	is.True(first.String() != other.String())
	for _, p := range Policies() {
		is.Equal(strings.Count(first.String(), p.Name()), len(Loads()))
	}
}

// TestEveryRequestEnds guards against policies that lose a request in a queue.
func TestEveryRequestEnds(t *testing.T) {
	is := is.New(t)
	for _, l := range Loads() {
		for _, p := range Policies() {
			for _, r := range simulate(l, p, 1) {
				is.True(r.outcome != pending)
			}
		}
	}
}
