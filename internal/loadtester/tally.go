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

// sent is what one request was told.
type sent struct {
	class   *Class
	outcome Outcome
}

// cause names an outcome together with its reason.
type cause struct {
	outcome Outcome
	reason  string
}

// Tally counts what the callers of one Run were told.
type Tally struct {
	plan     Plan
	duration time.Duration

	mu       sync.Mutex
	requests map[string]sent
	classes  map[*Class]*classTally
	causes   map[cause]int
	cut      int
	foreign  int
	broken   int
	attempts int
}

// classTally counts one class.
type classTally struct {
	outcomes map[Outcome]int
	answered *hdrhistogram.Histogram
	other    *hdrhistogram.Histogram
}

func newTally(plan Plan) *Tally {
	t := &Tally{plan: plan, requests: map[string]sent{}, classes: map[*Class]*classTally{}, causes: map[cause]int{}}
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

func (t *Tally) add(r request, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.requests[r.id] = sent{class: r.class, outcome: res.outcome}
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
	case faultCut:
		t.cut++
	case faultForeign:
		t.foreign++
	}
	if res.broken {
		t.broken++
	}
}
