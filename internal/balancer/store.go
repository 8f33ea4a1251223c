package balancer

import (
	"math"
	"time"

	"github.com/wasabibank/wasabibank/internal/granter"
)

const (
	// busyCallTime is the duration of a leader's calls to the store above which a range moves only if its requests gain more than
	// the pause costs.
	busyCallTime = 150 * time.Millisecond
	// maxCallTime is the duration of the calls above which nothing moves. A move then pauses its range for a second, which is as long
	// as requests wait for it, and the store may be about to stop answering.
	maxCallTime = 500 * time.Millisecond
	// pauseCalls is the pause of a range in calls to the store: the plan with its next owner may wait for a call that is pending.
	pauseCalls = 2
	// gainTime is the time for which the gain of a move counts. Servers that turn slow often recover within 5 to 9 s, of which 2 to
	// 3 s pass until their service times show.
	gainTime = 3 * time.Second
	// busyLoad is the load of a server, relative to what it can answer, above which requests are taken to wait for a slot.
	busyLoad = 0.7
	// minBusyRatio is the least load per capacity of the owner, relative to that of the next owner, with which a range moves while the
	// store is slow. Loads and service times of a few seconds vary, also where all servers are slow alike.
	minBusyRatio = 2
	// serversPerMove is the number of a service's servers for each of its ranges that may be ungranted at the same time, so that few
	// ranges have no owner if the store stops answering.
	serversPerMove = 4
)

// Conditions are what a move depends on besides load and capacities. The zero Conditions are those of a store that answers at once.
type Conditions struct {
	CallTime    time.Duration // of the leader's calls to the store
	ServiceTime time.Duration // a server of capacity 1 answers one request in this time; 0 if it is unknown
	Ungranted   int           // ranges of the service without an owner
}

// ChooseMoves returns the moves to start now. While the store is slow, these are those of the function ChooseMoves by which fewer
// requests wait. capacities holds each server that may own keys.
func (c Conditions) ChooseMoves(l *Load, placements []granter.Placement, capacities map[string]float64) []Move {
	maxMoves := max(1, len(capacities)/serversPerMove) - c.Ungranted
	switch {
	case maxMoves <= 0 || c.CallTime > maxCallTime:
		return nil
	case c.CallTime <= busyCallTime:
		return ChooseMoves(l, placements, capacities, maxMoves)
	case c.ServiceTime <= 0:
		return nil
	}
	servers := map[string]*server{}
	for _, s := range serverLoads(l, placements, capacities) {
		servers[s.id] = s
	}
	var moves []Move
	for _, m := range ChooseMoves(l, placements, capacities, len(capacities)) {
		if len(moves) < maxMoves && c.gains(servers[m.From], servers[m.To], l.rangeLoad(m.Range)) {
			moves = append(moves, m)
		}
	}
	return moves
}

// gains reports whether by a move of a range with a load more requests less wait for a slot within gainTime than wait for the next
// owner during the pause.
func (c Conditions) gains(from, to *server, load float64) bool {
	if from.loadPerCapacity() < minBusyRatio*to.loadPerCapacity() {
		return false
	}
	gain := c.excess(from, 0) + c.excess(to, 0) - c.excess(from, -load) - c.excess(to, load)
	return gain*gainTime.Seconds() > load*pauseCalls*c.CallTime.Seconds()
}

// excess returns by how much the load of a server, with a change of it, exceeds busyLoad.
func (c Conditions) excess(s *server, change float64) float64 {
	answered := s.capacity / c.ServiceTime.Seconds() * loadPerRate
	return max(0, s.load+change-busyLoad*answered)
}

// loadPerRate is the Load of a steady rate of one request a second.
var loadPerRate = halfLife.Seconds() / math.Ln2
