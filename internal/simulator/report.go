package simulator

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result is what the clients of one load got from one policy.
type Result struct {
	load     Load
	policy   Policy
	requests int
	inTime   int
	late     int
	refused  int
	lost     int
	latency  []time.Duration // of answers, in order
	untold   time.Duration   // total time until those without an answer were told so
	orders   [2]int          // orders, and those of them that were answered
}

// Run plays a load with a policy.
func Run(l Load, p Policy, seed uint64) Result {
	result := Result{load: l, policy: p}
	for _, r := range play(l, p, seed) {
		result.add(r)
	}
	slices.Sort(result.latency)
	return result
}

func (r *Result) add(q *request) {
	took := q.ended - q.at
	r.requests++
	if q.class.priority == 0 {
		r.orders[0]++
	}
	if q.how == answered && took <= q.class.limit {
		r.latency = append(r.latency, took)
		if q.class.priority == 0 {
			r.orders[1]++
		}
		if took <= q.class.objective {
			r.inTime++
		} else {
			r.late++
		}
		return
	}
	r.untold += min(took, q.class.limit)
	switch q.how {
	case refused, turned:
		r.refused++
	case unknown, answered, dropped, hung:
		r.lost++
	}
}

// InTime returns the part of the requests that were answered within their objective.
func (r Result) InTime() float64 { return part(r.inTime, r.requests) }

// Served returns the part that was answered at all while somebody waited.
func (r Result) Served() float64 { return part(r.inTime+r.late, r.requests) }

// TimedOut returns the part that ended without an answer when its time was up.
func (r Result) TimedOut() float64 { return part(r.lost, r.requests) }

// OrdersServed returns the part of the requests of the class of orders that was answered.
func (r Result) OrdersServed() float64 { return part(r.orders[1], r.orders[0]) }

// MeanTimeToRefusal returns the mean time until those that were not answered were told so.
func (r Result) MeanTimeToRefusal() time.Duration {
	return r.untold / time.Duration(max(1, r.refused+r.lost))
}

func part(count, of int) float64 { return float64(count) / float64(max(1, of)) }

// quantile returns the latency under which a part of the answers lies.
func (r Result) quantile(q float64) time.Duration {
	if len(r.latency) == 0 {
		return 0
	}
	return r.latency[int(q*float64(len(r.latency)-1))].Round(time.Millisecond)
}

// WriteReport simulates all loads with all policies and writes the table.
func WriteReport(w io.Writer, seed uint64) error {
	for _, l := range Loads() {
		fmt.Fprintf(w, "%s: %s\n", l.Name(), l.Description())
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(table, "policy\tin time\tserved\torders served\trefused\tlost\tp50\tp99\ttold after\t")
		for _, p := range Policies() {
			r := Run(l, p, seed)
			fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%v\t\n", p.Name(), r.InTime(), r.Served(), r.OrdersServed(),
				part(r.refused, r.requests), r.TimedOut(), r.quantile(0.5), r.quantile(0.99), r.MeanTimeToRefusal().Round(time.Millisecond))
		}
		if err := table.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}
