package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// play sends requests to skewed keys for a while and carries moves out at once; it returns the load of the busiest
// server over the mean, for its capacity, in the last part of the time.
func play(seed int64, capacities []float64, draw func(r *rand.Rand, at time.Duration) uint16, length time.Duration) float64 {
	random := rand.New(rand.NewSource(seed))
	var load Load
	var owners [partitioner.MaxKey + 1]int
	for i, r := range partitioner.Divide(len(capacities)) {
		for key := int(r.First); key <= int(r.Last); key++ {
			owners[key] = i
		}
	}
	name := func(i int) string { return fmt.Sprintf("s%02d", i) }
	named := map[string]float64{}
	index := map[string]int{}
	for i, c := range capacities {
		named[name(i)], index[name(i)] = c, i
	}
	counts := make([]float64, len(capacities))
	const rate = 90 // a second
	for at := time.Duration(0); at < length; at += 250 * time.Millisecond {
		now := time.Unix(1000, 0).Add(at)
		for range rate / 4 {
			key := draw(random, at)
			load.Add(key, 1)
			if at >= length/2 {
				counts[owners[key]]++
			}
		}
		load.Decay(now)
		var held []granter.Placement
		for key := 0; key <= partitioner.MaxKey; {
			end := key
			for end < partitioner.MaxKey && owners[end+1] == owners[key] {
				end++
			}
			held = append(held, granter.Placement{
				Range: partitioner.Range{First: uint16(key), Last: uint16(end)}, Server: name(owners[key]), Movable: true,
			})
			key = end + 1
		}
		for _, m := range PlanMoves(&load, held, named, 4) {
			for key := int(m.Range.First); key <= int(m.Range.Last); key++ {
				owners[key] = index[m.To]
			}
		}
	}
	total, capacity, most := 0.0, 0.0, 0.0
	for i, c := range capacities {
		total += counts[i]
		capacity += c
		most = max(most, counts[i]/c)
	}
	return most / (total / capacity)
}

func same(count int) []float64 {
	list := make([]float64, count)
	for i := range list {
		list[i] = 2
	}
	return list
}

// skewed draws a quarter of the requests from a sixteenth of the keys.
func skewed(r *rand.Rand, _ time.Duration) uint16 {
	if r.Intn(4) == 0 {
		return uint16(20000 + r.Intn(4096))
	}
	return uint16(r.Intn(partitioner.MaxKey + 1))
}

// TestBusiestServerStaysNearTheMean holds the target of 1.6 for the busiest server over the mean.
func TestBusiestServerStaysNearTheMean(t *testing.T) {
	const target = 1.6
	tests := map[string]struct {
		capacities []float64
		draw       func(r *rand.Rand, at time.Duration) uint16
	}{
		"even":         {capacities: same(16), draw: func(r *rand.Rand, _ time.Duration) uint16 { return uint16(r.Intn(partitioner.MaxKey + 1)) }},
		"skewed":       {capacities: same(16), draw: skewed},
		"mixed speeds": {capacities: []float64{1.4, 1.4, 1.4, 1.4, 2, 2, 2, 2, 3.2, 3.2, 3.2, 3.2}, draw: skewed},
		"hot area moves": {capacities: same(16), draw: func(r *rand.Rand, at time.Duration) uint16 {
			if r.Intn(10) < 4 {
				return uint16(30000 + 5000*int(at/(30*time.Second)) + r.Intn(200))
			}
			return skewed(r, at)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sum := 0.0
			const runs = 10
			for seed := range int64(runs) {
				sum += play(seed, test.capacities, test.draw, 60*time.Second)
			}
			t.Logf("busiest over mean: %.2f", sum/runs)
			is.True(sum/runs < target)
		})
	}
}

// TestOneHotKeyIsLeftAlone: a key can't be divided, so its server is freed of everything else instead.
func TestOneHotKeyIsLeftAlone(t *testing.T) {
	is := is.New(t)
	hot := func(r *rand.Rand, at time.Duration) uint16 {
		if r.Intn(4) == 0 {
			return 12345
		}
		return uint16(r.Intn(partitioner.MaxKey + 1))
	}
	is.True(play(1, same(8), hot, 60*time.Second) < 0.25*8*1.2)
}

// TestKeyThatIsTooMuchGoesToTheFastest: one key brings more than its owner can run, and another server is twice as fast.
func TestKeyThatIsTooMuchGoesToTheFastest(t *testing.T) {
	is := is.New(t)
	var load Load
	load.Add(500, 200)
	load.Add(40000, 30)
	held := []granter.Placement{
		{Range: partitioner.Range{First: 0, Last: 32767}, Server: "slow", Movable: true},
		{Range: partitioner.Range{First: 32768, Last: partitioner.MaxKey}, Server: "fast", Movable: true},
	}
	moves := PlanMoves(&load, held, map[string]float64{"slow": 2, "fast": 4}, 4)
	is.Equal(moves, []Move{{Range: partitioner.Range{First: 500, Last: 500}, From: "slow", To: "fast"}})
	is.Equal(len(PlanMoves(&load, held, map[string]float64{"slow": 2, "fast": 2.2}, 4)), 0) // not worth the pause
}

func TestJoiningServerGetsKeysWithoutLoad(t *testing.T) {
	is := is.New(t)
	var load Load
	held := []granter.Placement{{Range: partitioner.Range{First: 0, Last: partitioner.MaxKey}, Server: "old", Movable: true}}
	moves := PlanMoves(&load, held, map[string]float64{"old": 2, "new": 2}, 4)
	is.Equal(moves, []Move{{Range: partitioner.Range{First: 32768, Last: partitioner.MaxKey}, From: "old", To: "new"}})
}

// TestLoadOnTheWayCounts: a range that is being granted or moved is part of the load of the server that has it or gets it.
func TestLoadOnTheWayCounts(t *testing.T) {
	const mid = 32768
	shares := func(coming string) []granter.Placement {
		return []granter.Placement{
			{Range: partitioner.Range{First: 0, Last: 9999}, Server: "busy", Movable: true},
			{Range: partitioner.Range{First: 10000, Last: mid - 1}, Server: coming},
			{Range: partitioner.Range{First: mid, Last: 49999}, Server: "second", Movable: true},
			{Range: partitioner.Range{First: 50000, Last: partitioner.MaxKey}, Server: "third", Movable: true},
		}
	}
	tests := map[string]struct {
		coming string
		want   []Move
	}{
		"to the least busy": {coming: "third", want: []Move{{Range: partitioner.Range{First: 0, Last: 2}, From: "busy", To: "second"}}},
		"to the second":     {coming: "second", want: []Move{{Range: partitioner.Range{First: 0, Last: 2}, From: "busy", To: "third"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var load Load
			for key := range uint16(7) {
				load.Add(key, 30)
			}
			load.Add(20000, 120)
			load.Add(mid, 30)
			load.Add(50000, 30)
			is.New(t).Equal(PlanMoves(&load, shares(test.coming), map[string]float64{"busy": 2, "second": 2, "third": 2}, 1), test.want)
		})
	}
}

func TestFade(t *testing.T) {
	is := is.New(t)
	var load Load
	now := time.Unix(1000, 0)
	load.Decay(now)
	load.Add(7, 8)
	load.Decay(now.Add(halfLife))
	is.True(math.Abs(load.Total()-4) < 0.01)
}
