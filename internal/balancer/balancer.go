// Package balancer decides which key ranges to move so that each backend server carries load in proportion to its
// capacity.
//
// It handles skewed load: a sixteenth of the keys may receive a quarter of the requests, one key several percent, and both
// change within seconds. It counts requests by key with a short half-life, and moves the start or end of a busy server's
// range to the server that is least busy for its capacity.
package balancer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

const (
	// halfLife is the half-life of request counts. It is short, so that a hot key shows within about a second.
	halfLife = 2 * time.Second
	// minExcess is the fraction by which a server's load must exceed the mean before ranges are moved away from it.
	minExcess = 0.25
	// minExcessDeviations is how many standard deviations of a server's expected request count its excess must have, so
	// that random variation moves nothing.
	minExcessDeviations = 1.3
	// minGain is the fraction of the load difference between two servers that a move must even out to be worth the pause of
	// its range.
	minGain = 0.1
	// minCapacityRatio is the ratio of another server's capacity to that of a key's owner from which on the key moves to
	// the other server if it alone overloads its owner. With less the gain is not worth the pause of the key.
	minCapacityRatio = 1.25
	// minServiceCount is the decayed request count of a service below which ranges move only to servers that have none.
	minServiceCount = 20.0
	// minKeyCount is the decayed request count of a key below which it does not move alone.
	minKeyCount = 20.0
)

// Load is the recent load of one service by key. The zero Load is empty; it is not safe for concurrent use.
type Load struct {
	counts    [partitioner.MaxKey + 1]float32
	total     float64
	decayedAt time.Time
}

// Add counts requests for a key.
func (l *Load) Add(key uint16, requests int) {
	l.counts[key] += float32(requests)
	l.total += float64(requests)
}

// Decay reduces the weight of the counts by their age at now.
func (l *Load) Decay(now time.Time) {
	if l.decayedAt.IsZero() {
		l.decayedAt = now
		return
	}
	factor := math.Exp2(-now.Sub(l.decayedAt).Seconds() / halfLife.Seconds())
	l.decayedAt = now
	l.total = 0
	for key, count := range l.counts {
		if count == 0 {
			continue
		}
		count *= float32(factor)
		if count < 0.01 {
			count = 0
		}
		l.counts[key] = count
		l.total += float64(count)
	}
}

// Total returns the sum of all counts.
func (l *Load) Total() float64 { return l.total }

// rangeLoad returns the load of a range.
func (l *Load) rangeLoad(r partitioner.Range) float64 {
	total := 0.0
	for key := int(r.First); key <= int(r.Last); key++ {
		total += float64(l.counts[key])
	}
	return total
}

// Move is a range to move from one server to another.
type Move struct {
	Range    partitioner.Range
	From, To string
}

// server is a backend server with its load and its ranges.
type server struct {
	id        string
	capacity  float64 // relative to the other servers
	load      float64
	movable   []weightedRange // its ranges that may be moved
	ownsRange bool            // has a range, or is going to get one
	inMove    bool            // is already part of a chosen move
}

// weightedRange is a range and its load.
type weightedRange struct {
	r    partitioner.Range
	load float64
}

// loadPerCapacity returns the server's load divided by its capacity.
func (s *server) loadPerCapacity() float64 { return s.load / s.capacity }

// ChooseMoves returns at most maxMoves moves. placements are all ranges of the service, including those that are being moved
// or granted, whose load counts for the server that has or will have it. capacities holds each server that may own keys.
func ChooseMoves(l *Load, placements []granter.Placement, capacities map[string]float64, maxMoves int) []Move {
	servers := serverLoads(l, placements, capacities)
	if len(servers) < 2 {
		return nil
	}
	total, capacity := 0.0, 0.0
	for _, s := range servers {
		total += s.load
		capacity += s.capacity
	}
	mean := total / capacity
	var moves []Move
	if l.total < minServiceCount {
		return moveToEmpty(servers, maxMoves)
	}
	slices.SortStableFunc(servers, func(a, b *server) int { return compare(b.loadPerCapacity(), a.loadPerCapacity()) })
	if m, ok := moveHottestKey(l, servers, mean); ok {
		moves = append(moves, m)
	}
	for len(moves) < maxMoves {
		from, to := busiestAndLeastBusy(servers)
		if from == nil || to == nil || !imbalanced(from, to, mean) {
			break
		}
		from.inMove = true
		w, ok := from.chooseEdge(l, to)
		if !ok {
			continue
		}
		to.inMove = true
		moves = append(moves, Move{Range: w.r, From: from.id, To: to.id})
	}
	return moves
}

// moveHottestKey returns a move of the busiest server's hottest key to the server with the most capacity, if this key alone
// exceeds the mean load for its owner's capacity. The ranges that the other server already has are moved away from it
// later, as from any busy server.
func moveHottestKey(l *Load, servers []*server, mean float64) (Move, bool) {
	from := servers[0]
	key, load := from.hottestKey(l)
	if load <= mean*from.capacity || load < minKeyCount {
		return Move{}, false
	}
	largest := slices.MaxFunc(servers, func(a, b *server) int { return compare(a.capacity, b.capacity) })
	if largest.capacity < minCapacityRatio*from.capacity {
		return Move{}, false
	}
	from.inMove, largest.inMove = true, true
	return Move{Range: partitioner.Range{First: key, Last: key}, From: from.id, To: largest.id}, true
}

// hottestKey returns the key with the most load in the server's movable ranges.
func (s *server) hottestKey(l *Load) (key uint16, load float64) {
	for _, w := range s.movable {
		for k := int(w.r.First); k <= int(w.r.Last); k++ {
			if c := float64(l.counts[k]); c > load {
				key, load = uint16(k), c
			}
		}
	}
	return key, load
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// serverLoads returns the load and the movable ranges of each server, sorted by id.
func serverLoads(l *Load, placements []granter.Placement, capacities map[string]float64) []*server {
	byID := map[string]*server{}
	var servers []*server
	for id, c := range capacities {
		s := &server{id: id, capacity: max(c, 0.01)} // loads are divided by the capacity, so it must not be 0
		byID[id] = s
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	for _, placement := range placements {
		s := byID[placement.Server]
		if s == nil {
			continue
		}
		w := weightedRange{r: placement.Range, load: l.rangeLoad(placement.Range)}
		s.load += w.load
		s.ownsRange = true
		if placement.Movable {
			s.movable = append(s.movable, w)
		}
	}
	return servers
}

// moveToEmpty returns moves of a range to each server without one. It is used while there is too little load to choose
// ranges by their load.
func moveToEmpty(servers []*server, maxMoves int) []Move {
	var moves []Move
	for _, empty := range servers {
		if empty.ownsRange || len(moves) == maxMoves {
			continue
		}
		if m, ok := splitLongest(servers, empty.id); ok {
			moves = append(moves, m)
		}
	}
	return moves
}

// splitLongest returns a move of the upper half of the longest movable range to the server to.
func splitLongest(servers []*server, to string) (Move, bool) {
	var from *server
	var longest partitioner.Range
	for _, s := range servers {
		for _, w := range s.movable {
			if !s.inMove && w.r.Len() > 1 && (from == nil || w.r.Len() > longest.Len()) {
				from, longest = s, w.r
			}
		}
	}
	if from == nil {
		return Move{}, false
	}
	from.inMove = true
	upper := partitioner.Range{First: longest.First + uint16(longest.Len()/2), Last: longest.Last}
	return Move{Range: upper, From: from.id, To: to}, true
}

// busiestAndLeastBusy returns the busiest server with a movable range and the least busy server, without those that are
// part of a move. servers are sorted by load per capacity, highest first.
func busiestAndLeastBusy(servers []*server) (from, to *server) {
	for _, s := range servers {
		if s.inMove {
			continue
		}
		if from == nil && len(s.movable) > 0 {
			from = s
		} else {
			to = s
		}
	}
	return from, to
}

// imbalanced reports whether from exceeds the mean load by more than random variation explains, and to is below the mean.
func imbalanced(from, to *server, mean float64) bool {
	if from == to || to.loadPerCapacity() >= mean {
		return false
	}
	excess := from.load - mean*from.capacity
	return excess > minExcess*mean*from.capacity && excess > minExcessDeviations*math.Sqrt(mean*from.capacity)
}

// chooseEdge returns the prefix or suffix of one of the server's movable ranges with the most load that does not exceed what
// evens out the load per capacity of the server and to.
func (s *server) chooseEdge(l *Load, to *server) (weightedRange, bool) {
	// target is the load to move so that both servers carry the same load per capacity.
	target := (s.load*to.capacity - to.load*s.capacity) / (s.capacity + to.capacity)
	var best weightedRange
	for _, w := range s.movable {
		for _, candidate := range []weightedRange{l.prefix(w.r, target), l.suffix(w.r, target)} {
			if candidate.load > best.load {
				best = candidate
			}
		}
	}
	return best, best.load > target*minGain && best.load > 0
}

// prefix returns the longest range from the start of r whose load is at most maxLoad.
func (l *Load) prefix(r partitioner.Range, maxLoad float64) weightedRange {
	sum, end := 0.0, -1
	for key := int(r.First); key <= int(r.Last); key++ {
		sum += float64(l.counts[key])
		if sum > maxLoad {
			sum -= float64(l.counts[key])
			break
		}
		end = key
	}
	if end < 0 {
		return weightedRange{}
	}
	return weightedRange{r: partitioner.Range{First: r.First, Last: uint16(end)}, load: sum}
}

// suffix returns the longest range to the end of r whose load is at most maxLoad.
func (l *Load) suffix(r partitioner.Range, maxLoad float64) weightedRange {
	sum, start := 0.0, -1
	for key := int(r.Last); key >= int(r.First); key-- {
		sum += float64(l.counts[key])
		if sum > maxLoad {
			sum -= float64(l.counts[key])
			break
		}
		start = key
	}
	if start < 0 {
		return weightedRange{}
	}
	return weightedRange{r: partitioner.Range{First: uint16(start), Last: r.Last}, load: sum}
}
