package controller

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// closing is a partition on its way off a backend server: closed to traffic, then proven to be out of the server's
// hands, then appended as moved.
type closing struct {
	to    identifier.ServerName
	since time.Time
	// lapse is when the server's grant of the partition has run out if it can't be revoked.
	lapse     time.Time
	planned   bool
	revokedAt time.Time
	proven    bool
	appended  bool
}

// reassignLimit is the largest number of partitions in one record.
const reassignLimit = 512

// advanceHandovers begins and advances the moves away from the servers that this instance fronts.
func (c *Controller) advanceHandovers(now time.Time) {
	for _, s := range c.sortedSessions() {
		if !s.exclusive {
			continue
		}
		c.dropSettled(s)
		c.beginEvacuation(now, s)
		c.sendRevoke(now, s)
		c.proveByLapse(now, s)
		c.appendMoves(now, s)
	}
}

// dropSettled forgets the moves that the fold has accepted, and reopens those that it has refused.
func (c *Controller) dropSettled(s *session) {
	held := c.ownedBy(s.server)
	for partition, move := range s.closing {
		_, mine := held[partition]
		refused := move.appended && !c.pending(reassignPurpose(s.server, partition.Service))
		recovered := !move.planned && !s.down && !c.isLeaving(s.server) && move.revokedAt.IsZero() && !move.proven
		if !mine || refused || recovered {
			delete(s.closing, partition)
			s.dirty = true
		}
	}
}

func reassignPurpose(server identifier.ServerName, service identifier.ServiceName) string {
	return "reassign/" + string(server) + "/" + string(service)
}

// isLeaving reports whether the bundle in force takes the server out of service.
func (c *Controller) isLeaving(name identifier.ServerName) bool {
	b := c.state.Bundle()
	if b == nil {
		return false
	}
	server, _, ok := b.GetServerByName(name)
	return !ok || server.Leaving()
}

// beginEvacuation closes the partitions of a lost server at once, and those of a leaving one as each falls idle.
func (c *Controller) beginEvacuation(now time.Time, s *session) {
	leaving := c.isLeaving(s.server)
	step := "drain/" + string(s.server)
	if !s.down && !leaving {
		c.done(step)
		return
	}
	if !c.lease.Current(now) {
		return
	}
	if _, ok := c.needs[step]; !ok {
		c.needs[step] = now
		c.note(tracer.KindMoveStarted, string(s.server), "")
	}
	forced := s.down || now.Sub(c.needs[step]) >= c.timings().DrainNotice/2
	gate := c.opts.Table.Gate(s.server)
	for _, partition := range c.ownedBy(s.server).sorted() {
		if _, ok := s.closing[partition]; ok {
			continue
		}
		if !forced && gate.InFlight(partition) > 0 {
			continue
		}
		to, ok := c.targetOf(now, partition)
		if ok && to != s.server {
			c.close(now, s, partition, to, leaving)
		}
	}
}

// close takes a partition from traffic; its permit ends with the next publication.
func (c *Controller) close(now time.Time, s *session, partition identifier.PartitionID, to identifier.ServerName, planned bool) {
	lapse := s.lapse
	if !s.checks {
		widest := c.state.Widest()
		pause := now.Add(leaser.Stretch(widest.PauseBound, widest.ClockDrift))
		if pause.After(lapse) {
			lapse = pause
		}
	}
	s.closing[partition] = &closing{to: to, since: now, lapse: lapse, planned: planned}
	c.publishPermit(now, s)
}

// sendRevoke asks the server to give up the closed partitions that have nothing in flight.
func (c *Controller) sendRevoke(now time.Time, s *session) {
	if s.down || s.busy || !s.fenced {
		return
	}
	timeout := c.timings().Detection / 2
	gate := c.opts.Table.Gate(s.server)
	var due []identifier.PartitionID
	for partition, move := range s.closing {
		waiting := !move.revokedAt.IsZero() && now.Sub(move.revokedAt) < timeout
		if move.proven || waiting || gate.InFlight(partition) > 0 {
			continue
		}
		move.revokedAt = now
		due = append(due, partition)
	}
	if len(due) == 0 {
		return
	}
	sortPartitions(due)
	c.do(SendRevoke{
		Server:  s.server,
		Address: s.address,
		Timeout: timeout,
		Revoke:  commander.Revoke{Issuer: c.id, Term: s.term, Partitions: due},
	})
}

func (c *Controller) onRevokeAnswered(e RevokeAnswered) {
	s, ok := c.sessions[e.Server]
	if !ok || s.term != e.Term || !e.Accepted {
		return
	}
	gate := c.opts.Table.Gate(s.server)
	for _, partition := range e.Partitions {
		move, ok := s.closing[partition]
		if ok && gate.InFlight(partition) == 0 && !c.lastTick.Before(s.uncertainUntil) && !c.lastTick.Before(s.openAt) {
			move.proven = true
		}
	}
}

// proveByLapse takes a partition for out of the server's hands once its grant has run out. Until earlier holders of the
// front are settled, the server must have taken this instance's term.
func (c *Controller) proveByLapse(now time.Time, s *session) {
	known, _ := c.state.GetServerByName(s.server)
	if !s.fenced && len(known.Front.Unsettled) > 0 {
		return
	}
	for _, move := range s.closing {
		if !now.Before(move.lapse) && !now.Before(s.openAt) && s.down {
			move.proven = true
		}
	}
}

// appendMoves records the moves that are proven.
func (c *Controller) appendMoves(now time.Time, s *session) {
	if !c.lease.Current(now) {
		return
	}
	for _, name := range c.state.ServiceNames() {
		purpose := reassignPurpose(s.server, name)
		if c.pending(purpose) {
			continue
		}
		moves := c.provenMoves(s, name)
		if len(moves) == 0 {
			continue
		}
		c.propose(now, purpose, recorder.Reassign{Service: name, From: s.server, Term: s.term, Moves: moves})
	}
}

func (c *Controller) provenMoves(s *session, name identifier.ServiceName) []recorder.PartitionMove {
	held := c.ownedBy(s.server)
	var moves []recorder.PartitionMove
	for _, partition := range held.sorted() {
		move, ok := s.closing[partition]
		if !ok || partition.Service != name || !move.proven || len(moves) == reassignLimit {
			continue
		}
		move.appended = true
		moves = append(moves, recorder.PartitionMove{Index: partition.Index, Epoch: held[partition], To: move.to})
	}
	return slices.Clip(moves)
}
