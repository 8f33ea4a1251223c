// Package balancer decides which ranges of keys to move so that each backend server carries its share of the load.
//
// It answers skewed load: a sixteenth of the keys may bring a quarter of the requests, one key several percent, and both
// change within seconds. It counts requests by key with a short half-life and moves the edge of a busy server's ranges
// to the server that is least busy for its speed.
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
	// halfLife is how fast counted requests lose weight: a hot key shows within about a second.
	halfLife = 2 * time.Second
	// excess is by how much of the mean a server must be busier than the mean before anything is moved away from it.
	excess = 0.25
	// noise is how many standard deviations of its count the excess must have.
	noise = 1.3
	// leastGain is the part of the difference between two servers that a move must even out to be worth its pause.
	leastGain = 0.1
	// faster is how much more than its owner a server must carry for a key to move there that is too much for its owner.
	faster = 1.25
	// minRate is the count of requests of a service under which nothing is moved.
	minRate = 20.0
)

// Load is the recent load of one service by key. The zero Load is empty; it is not safe for concurrent use.
type Load struct {
	counts [partitioner.MaxKey + 1]float32
	total  float64
	at     time.Time
}

// Add counts requests for a key.
func (l *Load) Add(key uint16, requests int) {
	l.counts[key] += float32(requests)
	l.total += float64(requests)
}

// Decay reduces the weight of the counts by their age at now.
func (l *Load) Decay(now time.Time) {
	if l.at.IsZero() {
		l.at = now
		return
	}
	factor := math.Exp2(-now.Sub(l.at).Seconds() / halfLife.Seconds())
	l.at = now
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

// sum returns the load of a range.
func (l *Load) sum(r partitioner.Range) float64 {
	total := 0.0
	for key := int(r.First); key <= int(r.Last); key++ {
		total += float64(l.counts[key])
	}
	return total
}

// Move is a range to take from one server to another.
type Move struct {
	Range    partitioner.Range
	From, To string
}

// server is the load of one server.
type server struct {
	id       string
	capacity float64 // relative to the others
	load     float64
	ranges   []piece // that may be moved
	owns     bool    // it has a range, or gets one
	busy     bool    // already part of a move
}

type piece struct {
	r    partitioner.Range
	load float64
}

// per returns the load for the server's capacity.
func (s *server) per() float64 { return s.load / s.capacity }

// PlanMoves returns at most limit moves. shares are all ranges, also those that are being moved or granted, whose load
// counts where it is or will be; capacities has each server that may own keys.
func PlanMoves(l *Load, shares []granter.Placement, capacities map[string]float64, limit int) []Move {
	servers := tally(l, shares, capacities)
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
	if l.total < minRate {
		return feedIdle(servers, limit)
	}
	slices.SortStableFunc(servers, func(a, b *server) int { return compare(b.per(), a.per()) })
	if m, ok := upgrade(l, servers, mean); ok {
		moves = append(moves, m)
	}
	for len(moves) < limit {
		from, to := extremes(servers)
		if from == nil || to == nil || !worthwhile(from, to, mean) {
			break
		}
		from.busy = true
		p, ok := from.choose(l, to)
		if !ok {
			continue
		}
		to.busy = true
		moves = append(moves, Move{Range: p.r, From: from.id, To: to.id})
	}
	return moves
}

// upgrade returns a move of a key that is more than a fair share for the busiest server, to the server that carries most.
// The ranges that are there already are moved away from it later, as from any busy server.
func upgrade(l *Load, servers []*server, mean float64) (Move, bool) {
	from := servers[0]
	key, load := from.hottest(l)
	if load <= mean*from.capacity || load < minRate {
		return Move{}, false
	}
	best := slices.MaxFunc(servers, func(a, b *server) int { return compare(a.capacity, b.capacity) })
	if best.capacity < faster*from.capacity {
		return Move{}, false
	}
	from.busy, best.busy = true, true
	return Move{Range: partitioner.Range{First: key, Last: key}, From: from.id, To: best.id}, true
}

// hottest returns the server's key with the most load.
func (s *server) hottest(l *Load) (key uint16, load float64) {
	for _, p := range s.ranges {
		for k := int(p.r.First); k <= int(p.r.Last); k++ {
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

// tally sums the load of each server, in order of their ids.
func tally(l *Load, shares []granter.Placement, capacities map[string]float64) []*server {
	byID := map[string]*server{}
	var servers []*server
	for id, c := range capacities {
		s := &server{id: id, capacity: max(c, 0.01)}
		byID[id] = s
		servers = append(servers, s)
	}
	slices.SortFunc(servers, func(a, b *server) int { return strings.Compare(a.id, b.id) })
	for _, share := range shares {
		s := byID[share.Server]
		if s == nil {
			continue
		}
		p := piece{r: share.Range, load: l.sum(share.Range)}
		s.load += p.load
		s.owns = true
		if share.Movable {
			s.ranges = append(s.ranges, p)
		}
	}
	return servers
}

// feedIdle gives a range to each server that has none, while there is too little load to tell more.
func feedIdle(servers []*server, limit int) []Move {
	var moves []Move
	for _, idle := range servers {
		if idle.owns || len(moves) == limit {
			continue
		}
		if m, ok := halve(servers, idle.id); ok {
			moves = append(moves, m)
		}
	}
	return moves
}

// halve returns a move of half of the longest range to the server to.
func halve(servers []*server, to string) (Move, bool) {
	var from *server
	var longest partitioner.Range
	for _, s := range servers {
		for _, p := range s.ranges {
			if !s.busy && p.r.Len() > 1 && (from == nil || p.r.Len() > longest.Len()) {
				from, longest = s, p.r
			}
		}
	}
	if from == nil {
		return Move{}, false
	}
	from.busy = true
	half := partitioner.Range{First: longest.First + uint16(longest.Len()/2), Last: longest.Last}
	return Move{Range: half, From: from.id, To: to}, true
}

// extremes returns the busiest and the least busy server that are not part of a move. servers are in order of load.
func extremes(servers []*server) (from, to *server) {
	for _, s := range servers {
		if s.busy {
			continue
		}
		if from == nil && len(s.ranges) > 0 {
			from = s
		} else {
			to = s
		}
	}
	return from, to
}

// worthwhile reports whether the difference is more than the counts' own noise.
func worthwhile(from, to *server, mean float64) bool {
	if from == to || to.per() >= mean {
		return false
	}
	over := from.load - mean*from.capacity
	return over > excess*mean*from.capacity && over > noise*math.Sqrt(mean*from.capacity)
}

// choose returns the piece at an edge of one of the server's ranges that evens out most of the difference to the other.
func (s *server) choose(l *Load, to *server) (piece, bool) {
	// The load to move so that both carry the same for their capacity.
	want := (s.load*to.capacity - to.load*s.capacity) / (s.capacity + to.capacity)
	var best piece
	for _, p := range s.ranges {
		for _, candidate := range []piece{l.prefix(p.r, want), l.suffix(p.r, want)} {
			if candidate.load > best.load {
				best = candidate
			}
		}
	}
	return best, best.load > want*leastGain && best.load > 0
}

// prefix returns the longest piece from the start of r whose load is at most want.
func (l *Load) prefix(r partitioner.Range, want float64) piece {
	sum, end := 0.0, -1
	for key := int(r.First); key <= int(r.Last); key++ {
		sum += float64(l.counts[key])
		if sum > want {
			sum -= float64(l.counts[key])
			break
		}
		end = key
	}
	if end < 0 {
		return piece{}
	}
	return piece{r: partitioner.Range{First: r.First, Last: uint16(end)}, load: sum}
}

// suffix returns the longest piece to the end of r whose load is at most want.
func (l *Load) suffix(r partitioner.Range, want float64) piece {
	sum, start := 0.0, -1
	for key := int(r.Last); key >= int(r.First); key-- {
		sum += float64(l.counts[key])
		if sum > want {
			sum -= float64(l.counts[key])
			break
		}
		start = key
	}
	if start < 0 {
		return piece{}
	}
	return piece{r: partitioner.Range{First: uint16(start), Last: r.Last}, load: sum}
}
