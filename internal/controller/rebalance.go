package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// rebalanceEvery is the time between two plans of one service.
	rebalanceEvery = time.Second
	// steadyTime is how long the roster must have been steady before load is moved.
	steadyTime = 10 * time.Second
	// settleTime is how long a partition stays after a move.
	settleTime = time.Minute
)

// rebalance moves load away from the servers that this instance fronts, as the plan for the whole service says.
// Every instance makes the same kind of plan and carries out its own part of it.
func (c *Controller) rebalance(now time.Time, service bundler.Service) {
	memory, ok := c.placing[service.Name()]
	if !ok {
		memory = &balance{plannedAt: now, movedAt: map[identifier.PartitionIndex]time.Time{}}
		c.placing[service.Name()] = memory
	}
	if now.Sub(memory.plannedAt) < rebalanceEvery || now.Sub(c.rosterSince) < steadyTime {
		return
	}
	memory.plannedAt = now
	state, _ := c.state.GetServiceByName(service.Name())
	loads := c.loadsOf(now, service.Name(), len(state.Partitions))
	if !anyLoad(loads) {
		return
	}
	moves := assigner.Rebalance(assigner.RebalanceInput{
		Service:  service.Name(),
		Servers:  c.candidates(now, service),
		Owners:   ownersOf(state),
		Loads:    loads,
		Settling: memory.settling(now, state),
		Budget:   memory.budget(now, service),
		High:     service.ImbalanceBound() + highMargin,
		Low:      service.ImbalanceBound(),
		Running:  memory.running,
	})
	memory.running = len(moves) > 0
	memory.tokens -= float64(len(moves))
	c.carryOut(now, service.Name(), memory, moves)
}

// highMargin is how far above its bound the imbalance must be before moves begin.
const highMargin = 0.15

// budget refills the service's allowance of moves, which is its churn budget a minute, and returns how many one plan may
// make; less than 0 is none.
func (b *balance) budget(now time.Time, service bundler.Service) int {
	allowance := float64(service.ChurnBudget())
	if b.refilledAt.IsZero() {
		b.tokens = allowance
	} else {
		b.tokens = min(allowance, b.tokens+allowance*now.Sub(b.refilledAt).Minutes())
	}
	b.refilledAt = now
	if b.tokens < 1 {
		return -1
	}
	return int(b.tokens)
}

func anyLoad(loads []float64) bool {
	for _, load := range loads {
		if load > 0 {
			return true
		}
	}
	return false
}

// settling marks the partitions that have moved lately.
func (b *balance) settling(now time.Time, state reducer.ServiceState) []bool {
	marks := make([]bool, len(state.Partitions))
	for i, at := range b.movedAt {
		if now.Sub(at) >= settleTime {
			delete(b.movedAt, i)
			continue
		}
		marks[i] = true
	}
	return marks
}

func (c *Controller) carryOut(now time.Time, service identifier.ServiceName, memory *balance, moves []assigner.Move) {
	for _, move := range moves {
		memory.movedAt[move.Partition] = now
		s, ok := c.sessions[move.From]
		if !ok || s.down || s.handing != "" {
			continue
		}
		partition := identifier.PartitionID{Service: service, Index: move.Partition}
		if _, moving := s.closing[partition]; !moving {
			c.close(now, s, partition, move.To, true)
		}
	}
}
