package exerciser

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Latency is the time from a request's arrival at its entry to its answer.
type Latency struct {
	Class identifier.ClassName
	P50   time.Duration
	P99   time.Duration
	// Answered is the share of the class's requests that were answered.
	Answered float64
}

// TrafficResult is what one cell showed. Counts are of requests that arrived in the measured part of the run.
type TrafficResult struct {
	Offered  int
	Answered int
	NotRun   int
	Unknown  int
	// Doubled are requests that may run once and ran more often; Cut are partial answers passed off as whole;
	// FalseNotRun are requests called not run that had run or still ran.
	Doubled     int
	Cut         int
	FalseNotRun int
	// WronglyShed are refusals while a slot of the server had been free for longer than one exchange takes.
	WronglyShed int
	// Goodput is the work of the answers given in the measured part, over the work that was offered in it, or over the
	// capacity when that is less. Slots of a server that is frozen, lost or slow are no capacity for that time.
	Goodput float64
	// Late is the share of executions that ended after the deadline.
	Late float64
	// Unavailable is the time in which so many requests arrive as were not answered because of the fault.
	Unavailable time.Duration
	// Imbalance is the mean over time of the greatest load offered to a server over the mean of all.
	Imbalance float64
	// LeastEntry is the share of answers of the entry with the smallest one, over the mean of live entries.
	LeastEntry float64
	Moves      int
	Latencies  []Latency
}

// tally collects what is not kept in requests.
type tally struct {
	deployment Deployment
	windows    [][]float64 // work offered to each server, by window
	moves      int
}

// imbalanceWindow is the time over which the load of servers is compared.
const imbalanceWindow = 5 * time.Second

func newTally(d Deployment) tally {
	windows := make([][]float64, int(trafficLength/imbalanceWindow)+1)
	for i := range windows {
		windows[i] = make([]float64, d.Servers)
	}
	return tally{deployment: d, windows: windows}
}

func (t *tally) loadOn(now time.Time, server int, cost time.Duration) {
	t.windows[int(now.Sub(start)/imbalanceWindow)][server] += cost.Seconds()
}

func (t *tally) move(now time.Time) {
	if now.Sub(start) >= measureFrom {
		t.moves++
	}
}

// imbalance returns the mean imbalance of the measured windows over servers that got any load.
func (t *tally) imbalance() float64 {
	sum, n := 0.0, 0
	for i := int(measureFrom / imbalanceWindow); i < int(trafficLength/imbalanceWindow); i++ {
		top, total, live := 0.0, 0.0, 0.0
		for _, w := range t.windows[i] {
			if w > 0 {
				live++
			}
			top = max(top, w)
			total += w
		}
		if total > 0 {
			sum += top * live / total
			n++
		}
	}
	return sum / float64(n)
}

// finish adds up the run.
func (t *trafficRun) finish() TrafficResult {
	out := TrafficResult{Imbalance: t.tally.imbalance(), Moves: t.tally.moves}
	offered, answered := 0.0, 0.0
	entries := make([]float64, entryCount)
	classes := newClassTallies(t.cell.Deployment)
	for _, r := range t.requests {
		if t.answeredInWindow(r) {
			answered += r.cost.Seconds()
		}
		if !r.measured {
			continue
		}
		offered += r.cost.Seconds()
		t.count(&out, r)
		classes[r.class].count(r)
		if r.outcome == outcomeAnswered {
			entries[r.entry]++
		}
	}
	window := (trafficLength - measureFrom).Seconds()
	out.Goodput = answered / min(offered, t.cell.Deployment.capacity()*window-t.lostCapacity())
	out.Unavailable = time.Duration(out.Unavailable.Seconds() / float64(out.Offered) * window * float64(time.Second))
	out.Late = t.late()
	out.LeastEntry = t.leastEntry(entries)
	for i, c := range t.cell.Deployment.Classes {
		out.Latencies = append(out.Latencies, classes[i].latency(c.Name))
	}
	return out
}

// lostCapacity returns the work that the fault keeps the servers from doing.
func (t *trafficRun) lostCapacity() float64 {
	full := float64(t.cell.Deployment.Slots) * (faultUntil - faultFrom).Seconds()
	switch t.cell.Fault {
	case FaultServerFrozen, FaultServerLost:
		return full
	case FaultLiar:
		return full * (liarFactor - 1) / liarFactor
	}
	return 0
}

func (t *trafficRun) answeredInWindow(r *request) bool {
	since := r.concluded.Sub(start)
	return r.outcome == outcomeAnswered && since >= measureFrom && since < trafficLength
}

// classTally adds up one class.
type classTally struct {
	offered   int
	answered  int
	histogram *hdrhistogram.Histogram // microseconds
}

func newClassTallies(d Deployment) []classTally {
	out := make([]classTally, len(d.Classes))
	for i := range out {
		out[i].histogram = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	}
	return out
}

func (c *classTally) count(r *request) {
	c.offered++
	if r.outcome == outcomeAnswered {
		c.answered++
		_ = c.histogram.RecordValue(r.concluded.Sub(r.arrived).Microseconds())
	}
}

func (c *classTally) latency(name identifier.ClassName) Latency {
	return Latency{
		Class:    name,
		P50:      time.Duration(c.histogram.ValueAtQuantile(50)) * time.Microsecond,
		P99:      time.Duration(c.histogram.ValueAtQuantile(99)) * time.Microsecond,
		Answered: float64(c.answered) / float64(max(1, c.offered)),
	}
}

// count adds one request; Unavailable counts requests as seconds at first.
func (t *trafficRun) count(out *TrafficResult, r *request) {
	out.Offered++
	switch r.outcome {
	case outcomeAnswered:
		out.Answered++
	case outcomeNotRun:
		out.NotRun++
		if r.executions > 0 {
			out.FalseNotRun++
		}
	case outcomeCut:
		out.Cut++
	default:
		out.Unknown++
	}
	if r.executions > 1 && !t.cell.Deployment.Classes[r.class].Repeats {
		out.Doubled++
	}
	if r.wrongShed {
		out.WronglyShed++
	}
	if r.unavailable {
		out.Unavailable += time.Second
	}
}

func (t *trafficRun) late() float64 {
	late, executed := 0, 0
	for _, b := range t.servers {
		late += b.late
		executed += b.executed
	}
	return float64(late) / float64(max(1, executed))
}

func (t *trafficRun) leastEntry(entries []float64) float64 {
	total, live, least := 0.0, 0.0, -1.0
	for i, n := range entries {
		if !t.entries[i] {
			continue
		}
		total += n
		live++
		if least < 0 || n < least {
			least = n
		}
	}
	if total == 0 {
		return 0
	}
	return least * live / total
}
