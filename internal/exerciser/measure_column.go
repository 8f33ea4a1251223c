package exerciser

import "time"

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// balanceColumns returns the measures of the balance comparison.
func balanceColumns() []column[BalanceResult] {
	return []column[BalanceResult]{
		{"imbalance", "%.3f", func(r BalanceResult) float64 { return r.Imbalance }},
		{"imbalance_p95", "%.3f", func(r BalanceResult) float64 { return r.ImbalanceP95 }},
		{"floor", "%.3f", func(r BalanceResult) float64 { return r.Floor }},
		{"moves_per_min", "%.1f", func(r BalanceResult) float64 { return r.Moves }},
		{"keys_moved_percent_per_min", "%.2f", func(r BalanceResult) float64 { return 100 * r.KeyMoves }},
		{"unavailable_ppm", "%.0f", func(r BalanceResult) float64 { return 1e6 * r.Unavailable }},
		{"gap_s", "%.0f", func(r BalanceResult) float64 { return r.Gap.Seconds() }},
	}
}

// trafficColumns returns the measures of the traffic comparison. Class 1 is previews and lookups, class 2 is render
// orders and sign-offs.
func trafficColumns() []column[TrafficResult] {
	out := []column[TrafficResult]{
		{"offered", "%.0f", func(r TrafficResult) float64 { return float64(r.Offered) }},
		{"goodput", "%.3f", func(r TrafficResult) float64 { return r.Goodput }},
	}
	for class, name := range []string{"class_1", "class_2"} {
		out = append(out, latencyColumns(class, name)...)
	}
	return append(out, []column[TrafficResult]{
		{"not_run", "%.0f", func(r TrafficResult) float64 { return float64(r.NotRun) }},
		{"unknown", "%.0f", func(r TrafficResult) float64 { return float64(r.Unknown) }},
		{"doubled", "%.0f", func(r TrafficResult) float64 { return float64(r.Doubled) }},
		{"cut", "%.0f", func(r TrafficResult) float64 { return float64(r.Cut) }},
		{"false_not_run", "%.0f", func(r TrafficResult) float64 { return float64(r.FalseNotRun) }},
		{"wrongly_shed", "%.0f", func(r TrafficResult) float64 { return float64(r.WronglyShed) }},
		{"late_percent", "%.2f", func(r TrafficResult) float64 { return 100 * r.Late }},
		{"unavailable_s", "%.3f", func(r TrafficResult) float64 { return r.Unavailable.Seconds() }},
		{"imbalance", "%.2f", func(r TrafficResult) float64 { return r.Imbalance }},
		{"least_entry", "%.2f", func(r TrafficResult) float64 { return r.LeastEntry }},
		{"moves", "%.0f", func(r TrafficResult) float64 { return float64(r.Moves) }},
	}...)
}

func latencyColumns(class int, name string) []column[TrafficResult] {
	return []column[TrafficResult]{
		{name + "_answered_percent", "%.1f", func(r TrafficResult) float64 { return 100 * r.Latencies[class].Answered }},
		{name + "_p50_ms", "%.0f", func(r TrafficResult) float64 { return milliseconds(r.Latencies[class].P50) }},
		{name + "_p99_ms", "%.0f", func(r TrafficResult) float64 { return milliseconds(r.Latencies[class].P99) }},
	}
}
