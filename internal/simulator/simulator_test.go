package simulator

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seeds are what each comparison is played with.
var seeds = []uint64{1, 2}

// TestWhatClientsGetFromTheFront plays each load with the present policy and the earlier ones: nobody waits in vain, whoever
// is refused is told at once, the urgent class is served at least as often, and no fewer answers come in time than from
// any other way of queueing at entries.
func TestWhatClientsGetFromTheFront(t *testing.T) {
	const (
		soon      = 300 * time.Millisecond // the shortest objective: a refusal after it came too late to be of use
		nearlyAll = 0.99
	)
	for _, l := range Loads() {
		t.Run(l.Name(), func(t *testing.T) {
			is := is.New(t)
			for _, seed := range seeds {
				front := Run(l, Dispatcher{}, seed)
				is.Equal(front.TimedOut(), 0.0)
				is.True(front.MeanTimeToRefusal() < soon || front.Served() > nearlyAll) // of a few, one may have waited for long
				naive := Run(l, Direct{}, seed)
				is.True(front.OrdersServed() >= naive.OrdersServed())
				is.True(front.InTime() >= Run(l, FixedShare{}, seed).InTime())
				is.True(front.TimedOut() <= naive.TimedOut())
			}
		})
	}
}

// TestFirstComeLosesUnderLoad shows what order and refusal are for: without them answers come late or never.
func TestFirstComeLosesUnderLoad(t *testing.T) {
	is := is.New(t)
	for _, l := range Loads() {
		if l.Name() != "burst" {
			continue
		}
		for _, seed := range seeds {
			first, front := Run(l, FirstComeFirstServed{}, seed), Run(l, Dispatcher{}, seed)
			is.True(front.InTime() > first.InTime())
			is.True(first.TimedOut() > 0)
		}
	}
}

func TestTheSameSeedPlaysTheSame(t *testing.T) {
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

// TestEveryRequestEnds: no policy forgets a request.
func TestEveryRequestEnds(t *testing.T) {
	is := is.New(t)
	for _, l := range Loads() {
		for _, p := range Policies() {
			for _, r := range play(l, p, 1) {
				is.True(r.how != unknown)
			}
		}
	}
}
