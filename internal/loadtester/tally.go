package loadtester

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and precision of the latency histograms.
const (
	minLatency         = time.Microsecond
	maxLatency         = 10 * time.Minute
	significantFigures = 3
)

// finishedRequest is a request whose outcome is known.
type finishedRequest struct {
	class   *Class
	outcome Outcome
}

// cause is an outcome with its reason.
type cause struct {
	outcome Outcome
	reason  string
}

// Tally counts the outcomes of the requests of one Run, as the load tester saw them.
type Tally struct {
	plan     Plan
	duration time.Duration

	mu         sync.Mutex
	requests   map[string]finishedRequest // by request id
	classes    map[*Class]*classTally
	causes     map[cause]int
	corrupted  int
	mismatched int
	broken     int
	attempts   int
}

// classTally counts the outcomes of one class.
type classTally struct {
	outcomes map[Outcome]int
	// answered holds the latencies of the answered requests, other those of the rest.
	answered *hdrhistogram.Histogram
	other    *hdrhistogram.Histogram
}

func newTally(plan Plan) *Tally {
	t := &Tally{
		plan: plan, requests: map[string]finishedRequest{}, classes: map[*Class]*classTally{}, causes: map[cause]int{},
	}
	for i := range plan.Classes {
		t.classes[&plan.Classes[i]] = &classTally{
			outcomes: map[Outcome]int{},
			answered: newHistogram(),
			other:    newHistogram(),
		}
	}
	return t
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantFigures)
}

// add counts the result of a request. Latencies outside the range of the histograms count as its nearest end.
func (t *Tally) add(r request, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r.id] = finishedRequest{class: r.class, outcome: res.outcome}
	t.attempts += res.attempts
	class := t.classes[r.class]
	class.outcomes[res.outcome]++
	histogram := class.other
	if res.outcome == OutcomeAnswered {
		histogram = class.answered
	} else {
		t.causes[cause{outcome: res.outcome, reason: res.reason}]++
	}
	_ = histogram.RecordValue(min(max(res.latency, minLatency), maxLatency).Microseconds())
	t.addFault(res)
}

func (t *Tally) addFault(res result) {
	switch res.fault {
	case faultCorrupted:
		t.corrupted++
	case faultMismatched:
		t.mismatched++
	}
	if res.broken {
		t.broken++
	}
}
