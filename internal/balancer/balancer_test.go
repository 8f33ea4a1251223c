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

// busiestOverMean simulates requests for random keys for the given duration and applies the chosen moves immediately. It
// returns the load per capacity of the busiest server, relative to the mean, in the second half of the time.
func busiestOverMean(
	seed int64, capacities []float64, drawKey func(r *rand.Rand, at time.Duration) uint16, duration time.Duration,
) float64 {
	random := rand.New(rand.NewSource(seed))
	var load Load
	var owners [partitioner.MaxKey + 1]int
	for i, r := range partitioner.Divide(len(capacities)) {
		for key := int(r.First); key <= int(r.Last); key++ {
			owners[key] = i
		}
	}
	name := func(i int) string { return fmt.Sprintf("s%02d", i) }
	capacityByName := map[string]float64{}
	indexByName := map[string]int{}
	for i, c := range capacities {
		capacityByName[name(i)], indexByName[name(i)] = c, i
	}
	counts := make([]float64, len(capacities))
	const rate = 90 // requests per second
	for at := time.Duration(0); at < duration; at += 250 * time.Millisecond {
		now := time.Unix(1000, 0).Add(at)
		for range rate / 4 {
			key := drawKey(random, at)
			load.Add(key, 1)
			if at >= duration/2 {
				counts[owners[key]]++
			}
		}
		load.Decay(now)
		var placements []granter.Placement
		for key := 0; key <= partitioner.MaxKey; {
			end := key
			for end < partitioner.MaxKey && owners[end+1] == owners[key] {
				end++
			}
			placements = append(placements, granter.Placement{
				Range: partitioner.Range{First: uint16(key), Last: uint16(end)}, Server: name(owners[key]), Movable: true,
			})
			key = end + 1
		}
		for _, m := range ChooseMoves(&load, placements, capacityByName, 4) {
			for key := int(m.Range.First); key <= int(m.Range.Last); key++ {
				owners[key] = indexByName[m.To]
			}
		}
	}
	total, capacity, highest := 0.0, 0.0, 0.0
	for i, c := range capacities {
		total += counts[i]
		capacity += c
		highest = max(highest, counts[i]/c)
	}
	return highest / (total / capacity)
}

// equalCapacities returns the same capacity for each of count servers.
func equalCapacities(count int) []float64 {
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

// TestBusiestServerStaysNearMean guards against a server that gets far more load than its capacity allows, with skewed keys
// or servers of unequal capacity. The target is at most 1.6 times the mean.
func TestBusiestServerStaysNearMean(t *testing.T) {
	const target = 1.6
	tests := map[string]struct {
		capacities []float64
		drawKey    func(r *rand.Rand, at time.Duration) uint16
	}{
		"uniform": {capacities: equalCapacities(16), drawKey: func(r *rand.Rand, _ time.Duration) uint16 {
			return uint16(r.Intn(partitioner.MaxKey + 1))
		}},
		"skewed":           {capacities: equalCapacities(16), drawKey: skewed},
		"mixed capacities": {capacities: []float64{1.4, 1.4, 1.4, 1.4, 2, 2, 2, 2, 3.2, 3.2, 3.2, 3.2}, drawKey: skewed},
		"hot range moves": {capacities: equalCapacities(16), drawKey: func(r *rand.Rand, at time.Duration) uint16 {
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
				sum += busiestOverMean(seed, test.capacities, test.drawKey, 60*time.Second)
			}
			t.Logf("busiest over mean: %.2f", sum/runs)
			is.True(sum/runs < target)
		})
	}
}

// TestServerOfHotKeyLosesItsOtherKeys guards against a hot key's server that keeps other keys too: a single key can't be
// divided, so all other keys of its server must be moved away instead.
func TestServerOfHotKeyLosesItsOtherKeys(t *testing.T) {
	is := is.New(t)
	hot := func(r *rand.Rand, at time.Duration) uint16 {
		if r.Intn(4) == 0 {
			return 12345
		}
		return uint16(r.Intn(partitioner.MaxKey + 1))
	}
	// The hot key alone is a quarter of the load of 8 servers; 20 % more is allowed.
	is.True(busiestOverMean(1, equalCapacities(8), hot, 60*time.Second) < 0.25*8*1.2)
}

// TestKeyThatOverloadsItsOwnerMovesToLargestServer guards against a key that stays at a server that can't carry its load
// while another server has twice the capacity.
func TestKeyThatOverloadsItsOwnerMovesToLargestServer(t *testing.T) {
	is := is.New(t)
	var load Load
	load.Add(500, 200)
	load.Add(40000, 30)
	placements := []granter.Placement{
		{Range: partitioner.Range{First: 0, Last: 32767}, Server: "small", Movable: true},
		{Range: partitioner.Range{First: 32768, Last: partitioner.MaxKey}, Server: "large", Movable: true},
	}
	moves := ChooseMoves(&load, placements, map[string]float64{"small": 2, "large": 4}, 4)
	is.Equal(moves, []Move{{Range: partitioner.Range{First: 500, Last: 500}, From: "small", To: "large"}})
	// The larger server has too little more capacity to be worth the pause of the key.
	is.Equal(len(ChooseMoves(&load, placements, map[string]float64{"small": 2, "large": 2.2}, 4)), 0)
}

// TestNewServerGetsRangeWhenThereIsNoLoad guards against new servers that get no keys because there is no load to balance.
func TestNewServerGetsRangeWhenThereIsNoLoad(t *testing.T) {
	is := is.New(t)
	var load Load
	placements := []granter.Placement{
		{Range: partitioner.Range{First: 0, Last: partitioner.MaxKey}, Server: "old", Movable: true},
	}
	moves := ChooseMoves(&load, placements, map[string]float64{"old": 2, "new": 2}, 4)
	is.Equal(moves, []Move{{Range: partitioner.Range{First: 32768, Last: partitioner.MaxKey}, From: "old", To: "new"}})
}

// TestLoadOfMovingRangesCounts guards against a further range that moves to a server which is about to get one: a range that
// is being granted or moved must count as load of the server that has it or gets it.
func TestLoadOfMovingRangesCounts(t *testing.T) {
	const mid = 32768
	placements := func(nextOwner string) []granter.Placement {
		return []granter.Placement{
			{Range: partitioner.Range{First: 0, Last: 9999}, Server: "busy", Movable: true},
			{Range: partitioner.Range{First: 10000, Last: mid - 1}, Server: nextOwner},
			{Range: partitioner.Range{First: mid, Last: 49999}, Server: "second", Movable: true},
			{Range: partitioner.Range{First: 50000, Last: partitioner.MaxKey}, Server: "third", Movable: true},
		}
	}
	tests := map[string]struct {
		nextOwner string
		want      []Move
	}{
		"range moves to third": {
			nextOwner: "third", want: []Move{{Range: partitioner.Range{First: 0, Last: 2}, From: "busy", To: "second"}},
		},
		"range moves to second": {
			nextOwner: "second", want: []Move{{Range: partitioner.Range{First: 0, Last: 2}, From: "busy", To: "third"}},
		},
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
			is.New(t).Equal(
				ChooseMoves(&load, placements(test.nextOwner), map[string]float64{"busy": 2, "second": 2, "third": 2}, 1),
				test.want,
			)
		})
	}
}

// TestDecayHalvesCountsPerHalfLife guards against moves that are chosen by outdated load.
func TestDecayHalvesCountsPerHalfLife(t *testing.T) {
	is := is.New(t)
	var load Load
	now := time.Unix(1000, 0)
	load.Decay(now)
	load.Add(7, 8)
	load.Decay(now.Add(halfLife))
	is.True(math.Abs(load.Total()-4) < 0.01)
}
