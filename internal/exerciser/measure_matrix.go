package exerciser

import (
	"strconv"

	"golang.org/x/sync/errgroup"
)

// MeasureOptions says how much is measured.
type MeasureOptions struct {
	// Seed is the first seed; BalanceSeeds and TrafficSeeds are how many are used from it on.
	Seed         uint64
	BalanceSeeds int
	TrafficSeeds int
	// Workers is how many runs go on at a time; the results don't depend on it.
	Workers int
}

// hotLoads are the loads of the moving hot key, over the mean load of a server.
func hotLoads() []float64 {
	return []float64{0.5, 1, 2}
}

// measureBalance runs all policies of the balance comparison.
func measureBalance(o MeasureOptions) report[BalanceResult] {
	out := report[BalanceResult]{labels: []string{"deployment", "hot_key", "policy"}, columns: balanceColumns()}
	var group errgroup.Group
	group.SetLimit(max(1, o.Workers))
	for _, d := range Deployments() {
		for _, hot := range hotLoads() {
			for _, p := range BalancePolicies() {
				results := make([]BalanceResult, o.BalanceSeeds)
				labels := []string{d.Name, strconv.FormatFloat(hot, 'g', -1, 64), balancePolicyName(p)}
				out.rows = append(out.rows, row[BalanceResult]{labels: labels, results: results})
				for i, seed := range seedsFrom(o.Seed, o.BalanceSeeds) {
					group.Go(func() error {
						results[i] = RunBalance(d, p, hot, seed)
						return nil
					})
				}
			}
		}
	}
	_ = group.Wait()
	return out
}

// measureTraffic runs all cells of the traffic comparison.
func measureTraffic(o MeasureOptions) report[TrafficResult] {
	out := report[TrafficResult]{labels: []string{"deployment", "fault", "load", "policy"}, columns: trafficColumns()}
	var group errgroup.Group
	group.SetLimit(max(1, o.Workers))
	for _, c := range cells() {
		results := make([]TrafficResult, o.TrafficSeeds)
		out.rows = append(out.rows, row[TrafficResult]{labels: c.labels(), results: results})
		for i, seed := range seedsFrom(o.Seed, o.TrafficSeeds) {
			c.Seed = seed
			group.Go(func() error {
				results[i] = RunTraffic(c)
				return nil
			})
		}
	}
	_ = group.Wait()
	return out
}

// cells returns all cells of the traffic comparison, without seeds.
func cells() []Cell {
	var out []Cell
	for _, d := range Deployments() {
		for _, f := range Faults() {
			for _, load := range Loads() {
				for _, p := range TrafficPolicies() {
					out = append(out, Cell{Deployment: d, Policy: p, Load: load, Fault: f})
				}
			}
		}
	}
	return out
}

func (c Cell) labels() []string {
	return []string{c.Deployment.Name, c.Fault.String(), strconv.FormatFloat(c.Load, 'g', -1, 64), trafficPolicyName(c.Policy)}
}
