package assigner

import (
	"sort"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Defaults of RebalanceInput.
const (
	DefaultHigh   = 1.25
	DefaultLow    = 1.1
	DefaultBudget = 8
)

// A move must lower the hotter of its two servers by at least this share of the mean.
const leastGain = 0.02

// Move takes a partition from one backend server to another.
type Move struct {
	Partition identifier.PartitionIndex
	From      identifier.ServerName
	To        identifier.ServerName
}

// RebalanceInput is what Rebalance decides from. The slices are indexed by partition.
type RebalanceInput struct {
	Service identifier.ServiceName
	Servers []Candidate
	Owners  []identifier.ServerName
	// Loads are in slots kept busy; without any, every partition weighs the same.
	Loads []float64
	// Settling marks partitions that must stay, as they are moving or have moved lately; it may be short.
	Settling []bool
	// Budget is the greatest number of moves of this call; 0 means DefaultBudget, less than 0 none.
	Budget int
	// High is the imbalance above which moves start, Low the one below which they stop; 0 means the default.
	High float64
	Low  float64
	// Running says that the last call returned moves, so that the imbalance is still to go below Low.
	Running bool
}

// Rebalance returns the moves that lower the greatest load per slot most, the greatest gain first. It returns none
// while the imbalance is under the bound, and no move that would only carry the hot spot elsewhere: a partition that
// alone fills its server stays, and its neighbours move away from it.
func Rebalance(in RebalanceInput) []Move {
	in = in.withDefaults()
	b := newBoard(in.Service, in.Servers)
	if len(b.servers) < 2 {
		return nil
	}
	r := newRebalancing(in, b)
	if !r.start() {
		return nil
	}
	var moves []Move
	for len(moves) < in.Budget {
		m, ok := r.next()
		if !ok {
			break
		}
		moves = append(moves, r.apply(m))
	}
	return moves
}

func (in RebalanceInput) withDefaults() RebalanceInput {
	if in.Budget == 0 {
		in.Budget = DefaultBudget
	}
	if in.High == 0 {
		in.High = DefaultHigh
	}
	if in.Low == 0 {
		in.Low = DefaultLow
	}
	return in
}

// rebalancing is the state of one call of Rebalance.
type rebalancing struct {
	in      RebalanceInput
	board   *board
	weights []float64
	// owned lists the partitions of each server that may move, the heaviest first.
	owned [][]int
}

func newRebalancing(in RebalanceInput, b *board) *rebalancing {
	r := &rebalancing{in: in, board: b, weights: weights(in.Loads, len(in.Owners), 0), owned: make([][]int, len(b.servers))}
	for p, owner := range in.Owners {
		i, ok := b.at(owner)
		if !ok {
			continue
		}
		b.add(i, r.weights[p])
		if p >= len(in.Settling) || !in.Settling[p] {
			r.owned[i] = append(r.owned[i], p)
		}
	}
	for _, ps := range r.owned {
		sort.SliceStable(ps, func(i, j int) bool { return r.weights[ps[i]] > r.weights[ps[j]] })
	}
	return r
}

func (r *rebalancing) start() bool {
	threshold := r.in.High
	if r.in.Running {
		threshold = r.in.Low
	}
	return r.board.weight > 0 && r.board.highest() > threshold*r.board.mean()
}

// shift is a possible move, from server to server of the board.
type shift struct {
	partition int
	from      int
	to        int
	// peak is the weight per slot of the hotter of the two servers after the move.
	peak float64
}

// next returns the best move off the hottest server that has a useful one.
func (r *rebalancing) next() (shift, bool) {
	for _, from := range r.hottest() {
		if r.board.perSlot(from, 0) <= r.in.Low*r.board.mean() {
			break
		}
		if m, ok := r.best(from); ok {
			return m, true
		}
	}
	return shift{}, false
}

// hottest returns the servers, the one with the greatest weight per slot first.
func (r *rebalancing) hottest() []int {
	order := make([]int, len(r.board.servers))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		return r.board.perSlot(order[i], 0) > r.board.perSlot(order[j], 0)
	})
	return order
}

// best returns the move off from that leaves the lowest peak; of equal ones the lightest partition's.
func (r *rebalancing) best(from int) (shift, bool) {
	before := r.board.perSlot(from, 0)
	limit := before - leastGain*r.board.mean()
	found := shift{peak: limit}
	ok := false
	for _, p := range r.owned[from] {
		w := r.weights[p]
		after := r.board.perSlot(from, -w)
		to := r.coolest(from, p, w)
		peak := max(after, r.board.perSlot(to, w))
		if peak < limit && peak <= found.peak {
			found = shift{partition: p, from: from, to: to, peak: peak}
			ok = true
		}
	}
	return found, ok
}

// coolest returns the server other than from that carries least once the partition is added.
func (r *rebalancing) coolest(from, partition int, w float64) int {
	others := make([]int, 0, len(r.board.servers)-1)
	for i := range r.board.servers {
		if i != from {
			others = append(others, i)
		}
	}
	return r.board.leastLoaded(others, w)
}

func (r *rebalancing) apply(m shift) Move {
	w := r.weights[m.partition]
	r.board.add(m.from, -w)
	r.board.add(m.to, w)
	r.owned[m.from] = without(r.owned[m.from], m.partition)
	return Move{
		Partition: identifier.PartitionIndex(m.partition),
		From:      r.board.servers[m.from].Name,
		To:        r.board.servers[m.to].Name,
	}
}

// without returns ps less p, in order.
func without(ps []int, p int) []int {
	out := ps[:0]
	for _, q := range ps {
		if q != p {
			out = append(out, q)
		}
	}
	return out
}
