package loadtester

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a Run.
type Report struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
	// Truncated are the answers that looked complete and were not, or that show a truncated request.
	Truncated int `json:"cut"`
	// Mismatched are the answers to another request.
	Mismatched int `json:"foreign"`
	// Broken are the answers that began and visibly did not end.
	Broken int `json:"broken"`
	// Attempts are all sendings, with those of requests that were sent again.
	Attempts int `json:"attempts"`
	// Elapsed is the time from the start to the last outcome, in milliseconds.
	Elapsed int64         `json:"elapsed_ms"`
	Causes  []CauseCount  `json:"causes"`
	Classes []ClassReport `json:"classes"`
	// Verdict is nil where no executions were read.
	Verdict *Verdict `json:"verdict"`
}

// CauseCount is how many requests had an outcome for a reason.
type CauseCount struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Count   int     `json:"count"`
}

// ClassReport is the result of one class. Latencies count from the intended send time.
type ClassReport struct {
	Class    string `json:"class"`
	Answered int    `json:"answered"`
	NotRun   int    `json:"not_run"`
	Unknown  int    `json:"unknown"`
	// AnsweredLatency is that of answered requests, OtherLatency that of the others.
	AnsweredLatency Latency `json:"answered_latency"`
	OtherLatency    Latency `json:"other_latency"`
}

// Latency is a distribution of latencies in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50),
		P90:   h.ValueAtQuantile(90),
		P99:   h.ValueAtQuantile(99),
		P999:  h.ValueAtQuantile(99.9),
		Max:   h.Max(),
	}
}

// Report returns the result so far; verdict may be nil.
func (t *Tally) Report(verdict *Verdict) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{
		Sent:       len(t.requests),
		Truncated:  t.cut,
		Mismatched: t.foreign,
		Broken:     t.broken,
		Attempts:   t.attempts,
		Elapsed:    t.duration.Milliseconds(),
		Causes:     t.sortedCauses(),
		Verdict:    verdict,
	}
	for i := range t.plan.Classes {
		class := t.classReport(&t.plan.Classes[i])
		report.Answered += class.Answered
		report.NotRun += class.NotRun
		report.Unknown += class.Unknown
		report.Classes = append(report.Classes, class)
	}
	return report
}

func (t *Tally) classReport(c *Class) ClassReport {
	counted := t.classes[c]
	return ClassReport{
		Class:           c.Name,
		Answered:        counted.outcomes[OutcomeAnswered],
		NotRun:          counted.outcomes[OutcomeNotRun],
		Unknown:         counted.outcomes[OutcomeUnknown],
		AnsweredLatency: newLatency(counted.answered),
		OtherLatency:    newLatency(counted.other),
	}
}

func (t *Tally) sortedCauses() []CauseCount {
	causes := []CauseCount{}
	for c, n := range t.causes {
		causes = append(causes, CauseCount{Outcome: c.outcome, Reason: c.reason, Count: n})
	}
	slices.SortFunc(causes, func(a, b CauseCount) int {
		if a.Count != b.Count {
			return b.Count - a.Count
		}
		return strings.Compare(string(a.Outcome)+a.Reason, string(b.Outcome)+b.Reason)
	})
	return causes
}

// Passed reports whether every request has one of the three outcomes and nothing was doubled, cut, mixed up, executed by
// a second owner, or told not_run and executed. Without a verdict it is false.
func (r Report) Passed() bool {
	v := r.Verdict
	if v == nil || r.Sent != r.Answered+r.NotRun+r.Unknown {
		return false
	}
	return r.Truncated+r.Mismatched+v.Doubled+v.SecondOwners+v.FalseNotRun+v.Unexecuted == 0
}

// Summary returns the result in one line.
func (r Report) Summary() string {
	line := fmt.Sprintf("%d answered, %d not run, %d unknown", r.Answered, r.NotRun, r.Unknown)
	if r.Verdict == nil {
		return line + fmt.Sprintf(", %d cut", r.Truncated)
	}
	return line + fmt.Sprintf(", %d doubled, %d cut, %d second owners", r.Verdict.Doubled, r.Truncated, r.Verdict.SecondOwners)
}

// WriteText writes the result for people.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "sent %d in %.1f s: %s\n", r.Sent, float64(r.Elapsed)/1000, r.Summary())
	fmt.Fprintf(w, "answers to another request %d, visibly broken %d, attempts %d\n", r.Mismatched, r.Broken, r.Attempts)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s: %d answered, %d not run, %d unknown; answered in %s; others in %s\n",
			c.Class, c.Answered, c.NotRun, c.Unknown, c.AnsweredLatency, c.OtherLatency)
	}
	for _, c := range r.Causes {
		fmt.Fprintf(w, "%s %s: %d\n", c.Outcome, c.Reason, c.Count)
	}
	if v := r.Verdict; v != nil {
		fmt.Fprintf(w, "servers: %d executions, %d repeated, %d told not run and executed, %d answered and not executed\n",
			v.Executions, v.Repeated, v.FalseNotRun, v.Unexecuted)
		for _, s := range v.Servers {
			fmt.Fprintf(w, "server %s: %d\n", s.Server, s.Effects)
		}
	}
}

// String returns the latency for people.
func (l Latency) String() string {
	if l.Count == 0 {
		return "-"
	}
	us := func(v int64) time.Duration { return (time.Duration(v) * time.Microsecond).Round(10 * time.Microsecond) }
	return fmt.Sprintf("p50 %s p99 %s max %s", us(l.P50), us(l.P99), us(l.Max))
}
