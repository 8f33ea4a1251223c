package exerciser

import (
	"fmt"
	"io"
	"strings"
)

// verdict is a target with the worst that was measured.
type verdict struct {
	target string
	met    bool
	// safety says that the target is a promise and not a matter of degree.
	safety bool
	worst  string
}

// The targets of the traffic comparison.
const (
	leastGoodput     = 0.95
	mostLate         = 0.01
	mostWronglyShed  = 0.005
	mostOfPlainShare = 0.5
)

// judged reports whether labels are those of the policies that the targets are for.
func judged(labels []string) bool {
	last := labels[len(labels)-1]
	return last == trafficPolicyName(Fronting{}) || last == balancePolicyName(pinnedAssignment())
}

// judgeTraffic compares Fronting with the targets.
func judgeTraffic(r report[TrafficResult]) []verdict {
	return []verdict{
		worstOf(r, "goodput at load 2 at least 0.95", false, func(labels []string, t TrafficResult) (float64, bool) {
			return leastGoodput - t.Goodput, labels[2] == "2"
		}),
		worstOf(r, "at most 1 % of executions end after the deadline", false, func(_ []string, t TrafficResult) (float64, bool) {
			return t.Late - mostLate, true
		}),
		worstOf(r, "wrongly shed at most 0.5 % of requests", false, func(_ []string, t TrafficResult) (float64, bool) {
			return float64(t.WronglyShed)/float64(t.Offered) - mostWronglyShed, true
		}),
		worstOf(r, "none doubled, cut or falsely called not run", true, func(_ []string, t TrafficResult) (float64, bool) {
			return float64(t.Doubled + t.Cut + t.FalseNotRun), true
		}),
	}
}

// worstOf finds the run of a judged policy that passes a limit furthest; excess is how far, and whether it counts.
func worstOf(r report[TrafficResult], target string, safety bool, excess func([]string, TrafficResult) (float64, bool)) verdict {
	v := verdict{target: target, met: true, safety: safety}
	worst, first := 0.0, true
	for _, line := range r.rows {
		if !judged(line.labels) {
			continue
		}
		for _, result := range line.results {
			past, counts := excess(line.labels, result)
			if !counts || (!first && past <= worst) {
				continue
			}
			worst, first = past, false
			v.met = past <= 0
			v.worst = fmt.Sprintf("%s: %.4f past the limit", strings.Join(line.labels, ", "), past)
		}
	}
	return v
}

// judgeBalance compares the assigner with plain hashing.
func judgeBalance(r report[BalanceResult]) []verdict {
	var out []verdict
	plain := map[string]BalanceResult{}
	for _, line := range r.rows {
		where := strings.Join(line.labels[:2], ", hot key ")
		mean := meanBalance(line.results)
		if line.labels[2] == balancePolicyName(ModuloHashing{}) {
			plain[where] = mean
		}
		if !judged(line.labels) {
			continue
		}
		base := plain[where]
		ratio := mean.Imbalance / base.Imbalance
		above := (mean.Imbalance - mean.Floor) / (base.Imbalance - base.Floor)
		out = append(out, verdict{
			target: "imbalance at most half of plain hashing's",
			met:    ratio <= mostOfPlainShare,
			worst: fmt.Sprintf("%s: %.3f of plain; the floor alone is %.3f of plain; above the floor %.3f of plain",
				where, ratio, base.Floor/base.Imbalance, above),
		})
	}
	return out
}

func meanBalance(results []BalanceResult) BalanceResult {
	var out BalanceResult
	for _, r := range results {
		out.Imbalance += r.Imbalance / float64(len(results))
		out.Floor += r.Floor / float64(len(results))
	}
	return out
}

func printVerdicts(w io.Writer, verdicts []verdict) {
	for _, v := range verdicts {
		word := "met"
		if !v.met {
			word = "NOT MET"
		}
		fmt.Fprintf(w, "%-8s %s (%s)\n", word, v.target, v.worst)
	}
}
