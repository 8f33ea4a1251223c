package exerciser

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// plannedGap is the time for which a partition that moves as planned has no owner.
const plannedGap = 50 * time.Millisecond

// lossGap returns the time for which the partitions of a lost server have no owner.
func lossGap() time.Duration {
	return bundler.DefaultTimings().MoveTime()
}

// BalanceResult is what one policy did to one deployment in one run.
type BalanceResult struct {
	// Imbalance is the greatest load per slot over the mean: its mean over time and its 95th percentile.
	Imbalance    float64
	ImbalanceP95 float64
	// Floor is the mean of the least imbalance possible, as one key can't be split.
	Floor float64
	// Moves are the partitions that changed owner, a minute; KeyMoves the keys, as a share of all, a minute.
	Moves    float64
	KeyMoves float64
	// Unavailable is the share of requests that came while their partition had no owner.
	Unavailable float64
	// Gap is the time that moved partitions had no owner, summed over partitions.
	Gap time.Duration
}

// balanceRun is one run of one policy.
type balanceRun struct {
	deployment Deployment
	keys       *keySpace
	balancer   *balancer
	hotShare   float64 // of all requests
	hotKeys    []int
	requests   *rand.Rand
	base       []float64   // share of each partition without hot key and pins
	away       []time.Time // until when each partition has no owner
	lost       map[identifier.ServerName]bool
	samples    []float64
	floors     float64
	gapLoad    float64
	result     BalanceResult
}

// RunBalance runs policy p for deployment d with a hot key of hot times the mean load of a server.
func RunBalance(d Deployment, p BalancePolicy, hot float64, seed uint64) BalanceResult {
	return newBalanceRun(d, p, hot, seed).run(balanceLength)
}

// run goes through the timetable for a time.
func (r *balanceRun) run(length time.Duration) BalanceResult {
	changes := serverChanges()
	r.step(start, true)
	for now := start; now.Before(start.Add(length)); now = now.Add(balanceStep) {
		changed := false
		for len(changes) > 0 && !now.Before(start.Add(changes[0].after)) {
			r.change(changes[0])
			changes = changes[1:]
			changed = true
		}
		r.arrive(now)
		r.step(now, changed)
		r.sample(now)
	}
	return r.finish(length)
}

func newBalanceRun(d Deployment, p BalancePolicy, hot float64, seed uint64) *balanceRun {
	keys := newKeySpace(balanceKeys, balancePartitions, balanceExponent)
	r := &balanceRun{
		deployment: d,
		keys:       keys,
		balancer:   newBalancer(p, d, keys),
		hotShare:   hot / float64(d.Servers),
		hotKeys:    keys.hotKeys(rand.New(rand.NewPCG(seed, 1)), int(balanceLength/hotKeyPeriod)),
		requests:   rand.New(rand.NewPCG(seed, 2)),
		base:       make([]float64, balancePartitions),
		away:       make([]time.Time, balancePartitions),
		lost:       map[identifier.ServerName]bool{},
	}
	for i, share := range keys.shares {
		r.base[keys.partitions[i]] += share
	}
	return r
}

// hotKey returns the extra hot key at now.
func (r *balanceRun) hotKey(now time.Time) int {
	return r.hotKeys[int(now.Sub(start)/hotKeyPeriod)]
}

func (r *balanceRun) change(c change) {
	server := &r.balancer.servers[c.server]
	server.Usable = c.usable
	r.lost[server.Name] = c.lost
}

// arrive lets the requests of one step arrive; only measuring policies see them.
func (r *balanceRun) arrive(now time.Time) {
	rate := balanceLoad * r.deployment.capacity() / r.deployment.cost().Seconds()
	for range poisson(r.requests, rate*balanceStep.Seconds()) {
		key := r.hotKey(now)
		if r.requests.Float64() >= r.hotShare {
			key = r.keys.draw(r.requests)
		}
		weight := r.requests.ExpFloat64() * r.deployment.cost().Seconds()
		r.balancer.observe(key, weight, now)
	}
}

// step asks the policy for owners and counts what moves. The first placement is not counted.
func (r *balanceRun) step(now time.Time, changed bool) {
	before := append([]identifier.ServerName(nil), r.balancer.owners...)
	after := r.balancer.decide(now, changed)
	for len(r.away) < len(after) {
		r.away = append(r.away, time.Time{})
	}
	for p, owner := range after {
		if p < len(before) && before[p] != "" && owner != "" && owner != before[p] {
			r.move(p, before[p], now)
		}
	}
	r.balancer.owners = after
}

func (r *balanceRun) move(p int, from identifier.ServerName, now time.Time) {
	gap := plannedGap
	if r.lost[from] {
		gap = lossGap()
	}
	r.away[p] = now.Add(gap)
	r.balancer.moved[p] = now
	r.result.Moves++
	r.result.KeyMoves += r.population(p) / float64(len(r.keys.names))
	r.result.Gap += gap
	r.gapLoad += r.share(p, now) * gap.Seconds()
}

// population returns the keys of a partition; a pin holds one.
func (r *balanceRun) population(p int) float64 {
	if p >= len(r.keys.population) {
		return 1
	}
	return float64(r.keys.population[p])
}

// share returns the true share of all requests that goes to partition p.
func (r *balanceRun) share(p int, now time.Time) float64 {
	return r.shares(now)[p]
}

// shares returns the true share of each partition.
func (r *balanceRun) shares(now time.Time) []float64 {
	out := make([]float64, len(r.balancer.owners))
	for p, s := range r.base {
		out[p] = s * (1 - r.hotShare)
	}
	for i, p := range r.balancer.pins {
		if p.key < 0 {
			continue
		}
		s := r.keys.shares[p.key] * (1 - r.hotShare)
		out[len(r.base)+i] += s
		out[r.keys.partitions[p.key]] -= s
	}
	out[r.balancer.partition(r.hotKey(now))] += r.hotShare
	return out
}

// sample takes the imbalance of the true load.
func (r *balanceRun) sample(now time.Time) {
	carried := map[identifier.ServerName]float64{}
	total := 0.0
	for p, s := range r.shares(now) {
		carried[r.balancer.owners[p]] += s
		total += s
	}
	top, live := 0.0, 0.0
	for _, c := range r.balancer.usable() {
		top = max(top, carried[c.Name])
		live++
	}
	r.samples = append(r.samples, top*live/total)
	heaviest := max(r.hotShare, r.keys.shares[0]*(1-r.hotShare))
	r.floors += max(1, heaviest*live)
}

func (r *balanceRun) finish(length time.Duration) BalanceResult {
	out := r.result
	n := float64(len(r.samples))
	for _, s := range r.samples {
		out.Imbalance += s / n
	}
	sort.Float64s(r.samples)
	out.ImbalanceP95 = r.samples[len(r.samples)*95/100]
	out.Floor = r.floors / n
	out.Moves /= length.Minutes()
	out.KeyMoves /= length.Minutes()
	out.Unavailable = r.gapLoad / length.Seconds()
	return out
}
