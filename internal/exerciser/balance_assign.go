package exerciser

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// assign runs package assigner for one step.
func (b *balancer) assign(p Assignment, now time.Time, changed bool) []identifier.ServerName {
	hot := b.hot.Hot(now)
	if !changed && !b.due(now, p.Period) {
		return b.owners
	}
	if p.Pins {
		b.isolate(hot, now)
	}
	loads := b.measured(now)
	target := assigner.Place(assigner.PlaceInput{Service: b.service, Servers: b.servers, Owners: b.owners, Loads: loads})
	b.release(target)
	b.sendHome(target)
	moves := assigner.Rebalance(assigner.RebalanceInput{
		Service:  b.service,
		Servers:  b.servers,
		Owners:   target,
		Loads:    loads,
		Settling: b.settling(target, p.Settling, now),
		Budget:   b.budget(p),
		High:     p.High,
		Low:      p.Low,
		Running:  b.running,
	})
	b.running = len(moves) > 0
	b.allowance -= float64(len(moves))
	for _, m := range moves {
		target[m.Partition] = m.To
	}
	return target
}

// budget returns the moves that the churn budget allows in this period, -1 for none.
func (b *balancer) budget(p Assignment) int {
	if p.PerMinute == 0 {
		return p.Budget
	}
	b.allowance = min(p.PerMinute, b.allowance+p.PerMinute*p.Period.Minutes())
	if b.allowance < 1 {
		return -1
	}
	return min(p.Budget, int(b.allowance))
}

// settling marks the partitions that have moved lately or move now.
func (b *balancer) settling(target []identifier.ServerName, lasting time.Duration, now time.Time) []bool {
	out := make([]bool, len(target))
	for p := range out {
		out[p] = target[p] != b.owners[p] || (!b.moved[p].IsZero() && now.Sub(b.moved[p]) < lasting)
	}
	return out
}

// release takes the unused pins out of the placement.
func (b *balancer) release(target []identifier.ServerName) {
	for i, pin := range b.pins {
		if pin.key < 0 {
			target[len(b.keys.population)+i] = ""
		}
	}
}

// sendHome moves the pins that are no longer needed to the servers of their bases.
func (b *balancer) sendHome(target []identifier.ServerName) {
	for _, p := range b.returning {
		target[p] = target[b.keys.partitions[b.pins[p-len(b.keys.population)].key]]
	}
	b.returning = nil
}

// isolate pins hot keys where they lie and returns cool ones to their base.
func (b *balancer) isolate(hot []detector.HotKey, now time.Time) {
	in := assigner.IsolateInput{}
	rates := map[string]float64{}
	for _, k := range hot {
		in.Hot = append(in.Hot, assigner.HeavyKey{Key: k.Key, Load: k.Rate})
		rates[k.Key] = k.Rate
	}
	for _, p := range b.pins {
		if p.key >= 0 {
			in.Pinned = append(in.Pinned, assigner.PinnedKey{Key: b.keys.names[p.key], Since: p.since})
		}
	}
	plan := assigner.Isolate(in, now)
	for _, key := range plan.Unpin {
		b.unpin(key, now)
	}
	for _, key := range plan.Pin {
		b.pin(key, rates[key], now)
	}
}

func (b *balancer) pin(name string, rate float64, now time.Time) {
	var key int
	for i, n := range b.keys.names {
		if n == name {
			key = i
		}
	}
	base := b.keys.partitions[key]
	index := b.freePin()
	b.pins[index-len(b.keys.population)] = pin{key: key, since: now}
	b.pinIndex[name] = index
	b.owners[index] = b.owners[base]
	b.moved[index] = time.Time{}
	b.loads.Transfer(b.id(base), b.id(index), rate, now)
}

// freePin returns the index of an unused pin, making one if there is none.
func (b *balancer) freePin() int {
	for i, p := range b.pins {
		if p.key < 0 {
			return len(b.keys.population) + i
		}
	}
	b.pins = append(b.pins, pin{key: -1})
	b.owners = append(b.owners, "")
	b.moved = append(b.moved, time.Time{})
	return len(b.owners) - 1
}

// unpin moves a pin to the server of its base, or drops it when it is there.
func (b *balancer) unpin(name string, now time.Time) {
	index := b.pinIndex[name]
	i := index - len(b.keys.population)
	base := b.keys.partitions[b.pins[i].key]
	if b.owners[index] != b.owners[base] {
		b.returning = append(b.returning, index)
		return
	}
	b.loads.Transfer(b.id(index), b.id(base), b.loads.Load(b.id(index), now), now)
	b.loads.Forget(b.id(index))
	delete(b.pinIndex, name)
	b.pins[i] = pin{key: -1}
	b.owners[index] = ""
}
