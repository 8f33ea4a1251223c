package simulator

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result holds what clients got from a policy under a load.
type Result struct {
	load           Load
	policy         Policy
	requests       int
	inTime         int             // answered within the objective
	afterObjective int             // answered after the objective, but before the deadline
	refused        int             // by the policy or the server
	timedOut       int             // neither answered before the deadline nor refused
	latency        []time.Duration // of answered requests, sorted
	failureTime    time.Duration   // total time until requests without an answer failed
	paidOrders     [2]int          // indexed by ordersTotal and ordersAnswered
}

// The indexes of Result.paidOrders: all paid orders, and those answered before their deadline.
const (
	ordersTotal    = 0
	ordersAnswered = 1
)

// Run simulates a load with a policy.
func Run(l Load, p Policy, seed uint64) Result {
	result := Result{load: l, policy: p}
	for _, r := range simulate(l, p, seed) {
		result.add(r)
	}
	slices.Sort(result.latency)
	return result
}

// add counts a request that has ended; simulate returns none that is still pending.
func (r *Result) add(req *request) {
	latency := req.ended - req.at
	r.requests++
	if req.class.priority == orderPriority {
		r.paidOrders[ordersTotal]++
	}
	if req.outcome == answered && latency <= req.class.timeout {
		r.latency = append(r.latency, latency)
		if req.class.priority == orderPriority {
			r.paidOrders[ordersAnswered]++
		}
		if latency <= req.class.objective {
			r.inTime++
		} else {
			r.afterObjective++
		}
		return
	}
	r.failureTime += min(latency, req.class.timeout)
	switch req.outcome {
	case refused, rejected:
		r.refused++
	case pending, answered, expired, hung:
		r.timedOut++
	}
}

// InTime returns the fraction of requests that were answered within their latency objective.
func (r Result) InTime() float64 { return ratio(r.inTime, r.requests) }

// Answered returns the fraction of requests that were answered before their deadline.
func (r Result) Answered() float64 { return ratio(r.inTime+r.afterObjective, r.requests) }

// TimedOut returns the fraction of requests that got neither an answer before their deadline nor a refusal.
func (r Result) TimedOut() float64 { return ratio(r.timedOut, r.requests) }

// PaidOrdersAnswered returns the fraction of paid orders that were answered before their deadline.
func (r Result) PaidOrdersAnswered() float64 {
	return ratio(r.paidOrders[ordersAnswered], r.paidOrders[ordersTotal])
}

// MeanTimeToFailure returns the mean time after which requests without an answer failed: by a refusal or, at the latest,
// at the deadline.
func (r Result) MeanTimeToFailure() time.Duration {
	return r.failureTime / time.Duration(max(1, r.refused+r.timedOut))
}

// ratio returns count as a fraction of total; a total of 0 counts as 1.
func ratio(count, total int) float64 { return float64(count) / float64(max(1, total)) }

// quantile returns approximately the latency that the fraction q of the answered requests does not exceed: the index of the
// latency is rounded down. The latency is rounded to milliseconds; it is 0 if no request was answered.
func (r Result) quantile(q float64) time.Duration {
	if len(r.latency) == 0 {
		return 0
	}
	return r.latency[int(q*float64(len(r.latency)-1))].Round(time.Millisecond)
}

// WriteReport simulates all loads with all policies and writes a table for each load.
func WriteReport(w io.Writer, seed uint64) error {
	var text bytes.Buffer // its writes can't fail
	for _, l := range Loads() {
		fmt.Fprintf(&text, "%s: %s\n", l.Name(), l.Description())
		table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(table,
			"policy\twithin objective\tanswered\tpaid orders answered\trefused\ttimed out\tp50\tp99\tmean time to failure\t")
		for _, p := range Policies() {
			r := Run(l, p, seed)
			fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%v\t\n", p.Name(),
				r.InTime(), r.Answered(), r.PaidOrdersAnswered(), ratio(r.refused, r.requests), r.TimedOut(),
				r.quantile(0.5), r.quantile(0.99), r.MeanTimeToFailure().Round(time.Millisecond))
		}
		if err := table.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(&text)
	}
	_, err := text.WriteTo(w)
	return err
}
