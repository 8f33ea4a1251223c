package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// balance is this instance's memory of the placement of one service.
type balance struct {
	plannedAt time.Time
	running   bool
	// tokens is how many moves the churn budget allows at refilledAt.
	tokens     float64
	refilledAt time.Time
	movedAt    map[identifier.PartitionIndex]time.Time
}

// planOwners gives partitions that no server owns their first owner, and moves load between servers.
func (c *Controller) planOwners(now time.Time) {
	b := c.state.Bundle()
	if b == nil {
		return
	}
	for _, service := range b.Services() {
		if service.Keyed() {
			c.assignUnowned(now, service)
			c.rebalance(now, service)
		}
	}
}

func (c *Controller) assignUnowned(now time.Time, service bundler.Service) {
	state, ok := c.state.GetServiceByName(service.Name())
	step := "assign/" + string(service.Name())
	if !ok || !hasUnowned(state) {
		c.done(step)
		return
	}
	if !c.myTurn(now, step) || c.pending(step) {
		return
	}
	targets := c.place(now, service, state)
	var moves []recorder.PartitionMove
	for i, partition := range state.Partitions {
		if partition.Owner != "" || targets[i] == "" || isFreePin(state, i) || len(moves) == reassignLimit {
			continue
		}
		moves = append(moves, recorder.PartitionMove{
			Index: identifier.PartitionIndex(i),
			Epoch: partition.Epoch,
			To:    targets[i],
		})
	}
	if len(moves) > 0 {
		c.propose(now, step, recorder.Assign{Service: service.Name(), Moves: moves})
	}
}

func hasUnowned(state reducer.ServiceState) bool {
	for i, partition := range state.Partitions {
		if partition.Owner == "" && !isFreePin(state, i) {
			return true
		}
	}
	return false
}

// isFreePin reports whether partition i belongs to a pin that no key uses.
func isFreePin(state reducer.ServiceState, i int) bool {
	return i >= state.Base && state.Pins[i-state.Base].Key == ""
}

// place returns the owner that each partition should have.
func (c *Controller) place(now time.Time, service bundler.Service, state reducer.ServiceState) []identifier.ServerName {
	return assigner.Place(assigner.PlaceInput{
		Service: service.Name(),
		Servers: c.candidates(now, service),
		Owners:  ownersOf(state),
		Loads:   c.loadsOf(now, service.Name(), len(state.Partitions)),
		Bound:   service.ImbalanceBound(),
	})
}

func ownersOf(state reducer.ServiceState) []identifier.ServerName {
	owners := make([]identifier.ServerName, len(state.Partitions))
	for i, partition := range state.Partitions {
		owners[i] = partition.Owner
	}
	return owners
}

// targetOf returns the owner that the partition should have next.
func (c *Controller) targetOf(now time.Time, partition identifier.PartitionID) (identifier.ServerName, bool) {
	b := c.state.Bundle()
	service, ok := b.GetServiceByName(partition.Service)
	if !ok {
		return "", false
	}
	state, _ := c.state.GetServiceByName(partition.Service)
	to := c.place(now, service, state)[partition.Index]
	return to, to != ""
}

// candidates returns the servers of a service with what is known of them.
func (c *Controller) candidates(now time.Time, service bundler.Service) []assigner.Candidate {
	var all []assigner.Candidate
	for _, server := range service.Servers() {
		all = append(all, assigner.Candidate{
			Name:   server.Name(),
			Domain: server.Domain(),
			Slots:  server.Slots(),
			Usable: !server.Leaving() && !c.isDown(now, server.Name()),
		})
	}
	return all
}

// isDown reports whether the fronting instance of the server, as far as it is heard, finds the server lost.
func (c *Controller) isDown(now time.Time, name identifier.ServerName) bool {
	if s, ok := c.sessions[name]; ok {
		return s.down
	}
	report, ok := c.reportOf(now, name)
	return ok && report.Down
}

// reportOf returns the newest word of the instance that fronts the server.
func (c *Controller) reportOf(now time.Time, name identifier.ServerName) (ServerReport, bool) {
	known, _ := c.state.GetServerByName(name)
	p, ok := c.peers[known.Front.Holder]
	if !ok || now.Sub(p.reported) > 2*c.timings().Detection {
		return ServerReport{}, false
	}
	report, ok := p.reports[name]
	return report, ok
}

// serverReports returns what this instance tells the others of the servers that it fronts.
func (c *Controller) serverReports(now time.Time) []ServerReport {
	var reports []ServerReport
	for _, s := range c.sortedSessions() {
		reports = append(reports, c.ownReport(now, s.server))
	}
	return reports
}

// ownReport returns the report of a server that this instance fronts.
func (c *Controller) ownReport(now time.Time, name identifier.ServerName) ServerReport {
	report := ServerReport{}
	if c.opts.Load != nil {
		report = c.opts.Load(now, name)
	}
	report.Server = name
	report.Down = c.sessions[name].down
	return report
}

// loadsOf returns the load of each partition of a service, 0 where it is not known.
func (c *Controller) loadsOf(now time.Time, service identifier.ServiceName, partitions int) []float64 {
	loads := make([]float64, partitions)
	take := func(report ServerReport) {
		for _, load := range report.Partitions {
			if load.Partition.Service == service && int(load.Partition.Index) < partitions {
				loads[load.Partition.Index] = load.Load
			}
		}
	}
	for _, name := range c.state.ServerNames() {
		if _, ok := c.sessions[name]; ok {
			take(c.ownReport(now, name))
			continue
		}
		if report, ok := c.reportOf(now, name); ok {
			take(report)
		}
	}
	return loads
}
