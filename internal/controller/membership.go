package controller

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// patience is how many detection times of silence let a member expel another without the agreement of a majority.
const patience = 10

// The purposes of an instance's own records.
const (
	purposeJoin      = "join"
	purposeLeave     = "leave"
	purposeWitnesses = "witnesses"
)

func (c *Controller) proposeJoin(now time.Time) {
	if c.stopping {
		c.stop()
		return
	}
	if !c.lease.Current(now) {
		return
	}
	c.propose(now, purposeJoin, recorder.Join{
		Name:        c.opts.Name,
		Domain:      c.opts.Domain,
		PeerAddress: c.opts.PeerAddress,
	})
}

func (c *Controller) onExpel(now time.Time, id identifier.InstanceID) {
	c.expelSeen[id] = now
	c.rosterSince = now
	c.done("expel/" + string(id))
	if id != c.id {
		return
	}
	c.expelled = true
	c.closeAll()
}

func (c *Controller) onGone(now time.Time, id identifier.InstanceID) {
	c.rosterSince = now
	c.goneSeen[id] = now
	delete(c.expelSeen, id)
	delete(c.peers, id)
	c.promises.Drop(id)
	if id != c.id {
		return
	}
	c.closeAll()
	if c.stopping {
		c.stop()
		return
	}
	c.beginGeneration()
	for _, m := range c.state.Members() {
		c.meetMember(now, m)
		if m.Expelled {
			c.expelSeen[m.ID] = now
		}
	}
}

func (c *Controller) stop() {
	if c.stopped {
		return
	}
	c.stopped = true
	c.do(Stopped{})
}

// leaveWhenIdle takes an expelled instance off the roster by its own word once nothing of it is in flight.
func (c *Controller) leaveWhenIdle(now time.Time) {
	for _, name := range c.state.ServerNames() {
		if c.opts.Table.Gate(name).Total() > 0 {
			return
		}
	}
	c.propose(now, purposeLeave, recorder.Leave{})
}

// proposeExpulsions proposes to expel the members that are lost.
func (c *Controller) proposeExpulsions(now time.Time) {
	for _, m := range c.state.Members() {
		step := "expel/" + string(m.ID)
		if m.Expelled || m.ID == c.id || !c.isLost(now, m.ID) {
			c.done(step)
			continue
		}
		if !c.myTurn(now, step) || c.pending(step) {
			continue
		}
		c.note(tracer.KindPeerSilent, string(m.ID), "")
		c.propose(now, step, recorder.Expel{Instance: m.ID})
	}
}

// isLost reports whether a member has been silent for the detection time to most of the others, or much longer to
// this instance.
func (c *Controller) isLost(now time.Time, id identifier.InstanceID) bool {
	p, ok := c.peers[id]
	if !ok {
		return false
	}
	silence := now.Sub(p.lastHeard)
	detection := c.timings().Detection
	if silence <= detection {
		return false
	}
	return silence > patience*detection || c.mostMiss(now, id)
}

// mostMiss reports whether more than half of the other members in good standing say that they do not hear id.
func (c *Controller) mostMiss(now time.Time, id identifier.InstanceID) bool {
	others, missing := 1, 1
	heard := c.heard(now)
	for _, m := range c.state.Members() {
		if m.Expelled || m.ID == c.id || m.ID == id {
			continue
		}
		others++
		if slices.Contains(heard, m.ID) && c.peers[m.ID].hears != nil && !slices.Contains(c.peers[m.ID].hears, id) {
			missing++
		}
	}
	return 2*missing > others
}

// proposeReleases records which promises to expelled members have run out.
func (c *Controller) proposeReleases(now time.Time) {
	for _, m := range c.state.Members() {
		if !m.Expelled || m.ID == c.id {
			continue
		}
		c.releaseOwn(now, m)
		c.releaseForGone(now, m)
		c.releaseLapsed(now, m)
	}
}

func (c *Controller) releaseOwn(now time.Time, m reducer.Member) {
	if !slices.Contains(m.Witnesses, c.id) || slices.Contains(m.Releases, c.id) {
		return
	}
	widest := c.state.Widest()
	due := c.promises.ReleaseAt(m.ID, c.expelSeen[m.ID], widest.RoutingLease, widest.Pledge, widest.ClockDrift)
	if now.Before(due) {
		return
	}
	c.propose(now, "release/"+string(m.ID), recorder.Release{Instance: m.ID, Witness: c.id})
}

// releaseForGone releases for the witnesses that are gone themselves, whose promises have run out with their leases.
func (c *Controller) releaseForGone(now time.Time, m reducer.Member) {
	widest := c.state.Widest()
	wait := leaser.Stretch(max(widest.RoutingLease, widest.Pledge), widest.ClockDrift)
	if now.Sub(c.expelSeen[m.ID]) < wait {
		return
	}
	for _, witness := range c.witnessesOf(m) {
		if witness != "" && !c.goneFor(now, witness, wait) || slices.Contains(m.Releases, witness) {
			continue
		}
		step := "release/" + string(m.ID) + "/" + string(witness)
		if c.myTurn(now, step) {
			c.propose(now, step, recorder.Release{Instance: m.ID, Witness: witness})
		}
	}
}

// witnessesOf returns the witnesses of m; one empty id stands for a member without any.
func (c *Controller) witnessesOf(m reducer.Member) []identifier.InstanceID {
	if len(m.Witnesses) == 0 {
		return []identifier.InstanceID{""}
	}
	return m.Witnesses
}

// goneFor reports whether this instance has known for the time wait that id is off the roster.
func (c *Controller) goneFor(now time.Time, id identifier.InstanceID, wait time.Duration) bool {
	if _, present := c.state.GetMemberByID(id); present {
		return false
	}
	since, ok := c.goneSeen[id]
	if !ok {
		since = c.loadedAt
	}
	return now.Sub(since) >= wait
}

// releaseLapsed releases without witnesses once the longest time on pledges has passed.
func (c *Controller) releaseLapsed(now time.Time, m reducer.Member) {
	widest := c.state.Widest()
	if now.Sub(c.expelSeen[m.ID]) < leaser.Stretch(widest.OutageLimit, widest.ClockDrift) {
		return
	}
	step := "lapse/" + string(m.ID)
	if c.myTurn(now, step) {
		c.propose(now, step, recorder.Release{Instance: m.ID, Lapsed: true})
	}
}

// proposeWitnesses makes the members in good standing the witnesses of this instance once the roster is steady.
func (c *Controller) proposeWitnesses(now time.Time) {
	if c.pending(purposeWitnesses) || now.Sub(c.rosterSince) < c.timings().Detection {
		return
	}
	member, _ := c.state.GetMemberByID(c.id)
	var others []identifier.InstanceID
	for _, m := range c.state.Members() {
		if m.ID != c.id && !m.Expelled {
			others = append(others, m.ID)
		}
	}
	if slices.Equal(others, member.Witnesses) {
		return
	}
	c.propose(now, purposeWitnesses, recorder.SetWitnesses{Version: member.WitnessVersion, Witnesses: others})
}

// pendingWitnesses returns the witnesses of a change that is under way.
func (c *Controller) pendingWitnesses() ([]identifier.InstanceID, bool) {
	p, ok := c.proposals[purposeWitnesses]
	if !ok {
		return nil, false
	}
	change, ok := p.record.(recorder.SetWitnesses)
	return change.Witnesses, ok
}
