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
	// Sent counts the requests that were due, including those that were not sent. Answered, NotExecuted and Unknown count them
	// by outcome.
	Sent        int `json:"sent"`
	Answered    int `json:"answered"`
	NotExecuted int `json:"not_run"`
	Unknown     int `json:"unknown"`
	// Corrupted counts the answers that seemed complete but were truncated or altered, or that show that the request arrived
	// truncated or altered.
	Corrupted int `json:"cut"`
	// Mismatched counts the answers that belong to another request.
	Mismatched int `json:"foreign"`
	// Broken counts the answers that began but failed before their end, so that the client could tell they were incomplete.
	Broken int `json:"broken"`
	// Attempts counts the attempts of all requests, including retries. An attempt may try several entries until one accepts
	// the connection.
	Attempts int `json:"attempts"`
	// ElapsedMS is the time from the start to the last outcome, in milliseconds.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Causes counts the requests that were not answered, by outcome and reason, the most frequent first.
	Causes  []CauseCount  `json:"causes"`
	Classes []ClassReport `json:"classes"`
	// Verdict is nil if no executions were read.
	Verdict *Verdict `json:"verdict"`
}

// CauseCount counts the requests that had an outcome for a reason.
type CauseCount struct {
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason"`
	Count   int     `json:"count"`
}

// ClassReport is the result of one class. Latencies count from the scheduled send time, so that they include any delay
// before the request was sent.
type ClassReport struct {
	Class       string `json:"class"`
	Answered    int    `json:"answered"`
	NotExecuted int    `json:"not_run"`
	Unknown     int    `json:"unknown"`
	// AnsweredLatency covers the answered requests, OtherLatency all others.
	AnsweredLatency Latency `json:"answered_latency"`
	OtherLatency    Latency `json:"other_latency"`
}

// Latency summarises a distribution of latencies: the number of values, percentiles and the maximum, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P90   int64 `json:"p90_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// newLatency returns the summary of h, whose values are in microseconds.
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

// Report returns the result of the run; verdict may be nil.
func (t *Tally) Report(verdict *Verdict) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	report := Report{
		Sent:       len(t.requests),
		Corrupted:  t.corrupted,
		Mismatched: t.mismatched,
		Broken:     t.broken,
		Attempts:   t.attempts,
		ElapsedMS:  t.duration.Milliseconds(),
		Causes:     t.sortedCauses(),
		Verdict:    verdict,
	}
	for i := range t.plan.Classes {
		class := t.classReport(&t.plan.Classes[i])
		report.Answered += class.Answered
		report.NotExecuted += class.NotExecuted
		report.Unknown += class.Unknown
		report.Classes = append(report.Classes, class)
	}
	return report
}

func (t *Tally) classReport(c *Class) ClassReport {
	tally := t.classes[c]
	return ClassReport{
		Class:           c.Name,
		Answered:        tally.outcomes[OutcomeAnswered],
		NotExecuted:     tally.outcomes[OutcomeNotExecuted],
		Unknown:         tally.outcomes[OutcomeUnknown],
		AnsweredLatency: newLatency(tally.answered),
		OtherLatency:    newLatency(tally.other),
	}
}

// sortedCauses returns the causes by descending count, those of the same count by outcome and reason.
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

// AnswersIntact reports whether no answer was corrupted or mismatched. It needs no verdict.
func (r Report) AnswersIntact() bool { return r.Corrupted+r.Mismatched == 0 }

// Passed reports whether the run has a verdict and all of these hold:
//   - Every request has one of the three outcomes.
//   - No answer was corrupted or mismatched.
//   - No at-most-once request was executed more than once.
//   - No execution violated single ownership of a key.
//   - No request with the outcome not_run was executed.
//   - Every answered request was executed.
//
// Broken answers and repeated executions of idempotent requests are allowed.
func (r Report) Passed() bool {
	v := r.Verdict
	if v == nil || r.Sent != r.Answered+r.NotExecuted+r.Unknown {
		return false
	}
	return r.AnswersIntact() && v.Duplicated+v.OwnershipViolations+v.FalseNotExecuted+v.Unexecuted == 0
}

// Summary returns the result in one line, which scripts parse. It uses the names of the JSON fields: doubled is
// Verdict.Duplicated, cut is Corrupted and second owners is Verdict.OwnershipViolations. Other violations follow if there are
// any.
func (r Report) Summary() string {
	line := fmt.Sprintf("%d answered, %d not run, %d unknown", r.Answered, r.NotExecuted, r.Unknown)
	if r.Verdict == nil {
		return line + fmt.Sprintf(", %d cut", r.Corrupted) + nonZero(r.Mismatched, "foreign")
	}
	return line + fmt.Sprintf(", %d doubled, %d cut, %d second owners",
		r.Verdict.Duplicated, r.Corrupted, r.Verdict.OwnershipViolations) + nonZero(r.Mismatched, "foreign") +
		nonZero(r.Verdict.FalseNotExecuted, "executed but told not run") +
		nonZero(r.Verdict.Unexecuted, "answered but not executed")
}

// nonZero returns a count and its name for Summary, or nothing if the count is 0.
func nonZero(count int, name string) string {
	if count == 0 {
		return ""
	}
	return fmt.Sprintf(", %d %s", count, name)
}

// WriteText writes the result as text, with one line for each class, cause and server.
func (r Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "sent %d in %.1f s: %s\n", r.Sent, float64(r.ElapsedMS)/1000, r.Summary())
	fmt.Fprintf(w, "mismatched answers %d, broken answers %d, attempts %d\n", r.Mismatched, r.Broken, r.Attempts)
	for _, c := range r.Classes {
		fmt.Fprintf(w, "%s: %d answered, %d not run, %d unknown; answered in %s; others in %s\n",
			c.Class, c.Answered, c.NotExecuted, c.Unknown, c.AnsweredLatency, c.OtherLatency)
	}
	for _, c := range r.Causes {
		fmt.Fprintf(w, "%s %s: %d\n", c.Outcome, c.Reason, c.Count)
	}
	if v := r.Verdict; v != nil {
		fmt.Fprintf(w,
			"servers: %d executions, %d idempotent requests reexecuted, %d executed but told not run, %d answered but not executed\n",
			v.Executions, v.Reexecuted, v.FalseNotExecuted, v.Unexecuted)
		for _, s := range v.Servers {
			fmt.Fprintf(w, "server %s: %d\n", s.Server, s.Executions)
		}
	}
}

// String returns the median, the 99th percentile and the maximum as text, or "-" if there are no values.
func (l Latency) String() string {
	if l.Count == 0 {
		return "-"
	}
	round := func(us int64) time.Duration {
		return (time.Duration(us) * time.Microsecond).Round(10 * time.Microsecond)
	}
	return fmt.Sprintf("p50 %s p99 %s max %s", round(l.P50), round(l.P99), round(l.Max))
}
