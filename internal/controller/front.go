package controller

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// purposeClaim is the purpose of the record that claims free fronts.
const purposeClaim = "claim"

// planFronts claims the free fronts that fall to this instance, and passes on those that fall to another.
func (c *Controller) planFronts(now time.Time) {
	c.advanceHands(now)
	if c.state.Bundle() == nil || now.Before(c.planFrontsAt) {
		return
	}
	c.planFrontsAt = now.Add(c.timings().Heartbeat)
	var claims []recorder.FrontClaim
	for _, target := range c.frontTargets(now, true) {
		known, _ := c.state.GetServerByName(target.Server)
		mine := known.Front.Holder == c.id
		switch {
		case target.Instance == c.id && !mine && c.claimable(target.Server, known):
			claims = append(claims, recorder.FrontClaim{Server: target.Server, Term: known.Front.Term})
		case mine && target.Instance != c.id && target.Instance != "":
			c.considerHand(now, target)
		}
	}
	if len(claims) > 0 {
		c.propose(now, purposeClaim, recorder.ClaimFronts{Claims: claims})
	}
}

// frontTargets returns which instance should front which server; self says whether this instance may front any.
func (c *Controller) frontTargets(now time.Time, self bool) []assigner.FrontTarget {
	in := assigner.FrontsInput{Instances: c.frontInstances(now, self)}
	for _, name := range c.state.ServerNames() {
		if !c.needsFront(name) {
			continue
		}
		known, _ := c.state.GetServerByName(name)
		in.Servers = append(in.Servers, assigner.FrontServer{
			Name:    name,
			Domain:  c.domainOf(name),
			Current: known.Front.Holder,
		})
	}
	return assigner.Fronts(in)
}

func (c *Controller) frontInstances(now time.Time, self bool) []assigner.FrontInstance {
	self = self && !slices.Contains(c.leaving, c.opts.Name)
	instances := []assigner.FrontInstance{{ID: c.id, Domain: c.opts.Domain, Usable: self}}
	for _, id := range c.heard(now) {
		m, _ := c.state.GetMemberByID(id)
		usable := !slices.Contains(c.leaving, m.Name)
		instances = append(instances, assigner.FrontInstance{ID: id, Domain: m.Domain, Usable: usable})
	}
	return instances
}

// needsFront reports whether the server is declared, or still owns partitions that must be moved away.
func (c *Controller) needsFront(name identifier.ServerName) bool {
	if _, _, ok := c.state.Bundle().GetServerByName(name); ok {
		return true
	}
	return len(c.ownedBy(name)) > 0
}

func (c *Controller) domainOf(name identifier.ServerName) identifier.DomainName {
	server, _, ok := c.state.Bundle().GetServerByName(name)
	if !ok {
		return ""
	}
	return server.Domain()
}

// claimable reports whether the fold would let this instance take the front now.
func (c *Controller) claimable(name identifier.ServerName, known reducer.ServerState) bool {
	if known.Front.Holder == "" {
		return true
	}
	holder, present := c.state.GetMemberByID(known.Front.Holder)
	if !present {
		return true
	}
	return holder.Expelled && (known.Checks || !c.exclusive(name))
}

// considerHand begins to pass a front on for balance while the roster is steady, one server at a time.
func (c *Controller) considerHand(now time.Time, target assigner.FrontTarget) {
	if now.Sub(c.rosterSince) < 2*c.timings().Detection {
		return
	}
	for _, s := range c.sessions {
		if s.handing != "" {
			return
		}
	}
	s, ok := c.sessions[target.Server]
	if ok && !s.down && len(s.closing) == 0 {
		c.hand(now, s, target.Instance)
	}
}

// hand closes a server to traffic, so that its front can be passed on when nothing is in flight.
func (c *Controller) hand(now time.Time, s *session, to identifier.InstanceID) {
	s.handing = to
	c.publishPermit(now, s)
}

// advanceHands records the fronts that can be passed on, and keeps those whose record was refused.
func (c *Controller) advanceHands(now time.Time) {
	for _, s := range c.sortedSessions() {
		if s.handing == "" || c.pending(handPurpose(s.server)) {
			continue
		}
		if next, ok := c.state.GetMemberByID(s.handing); !ok || next.Expelled {
			s.handing = ""
			continue
		}
		if c.opts.Table.Gate(s.server).Total() > 0 {
			continue
		}
		hand := recorder.FrontHand{Server: s.server, Term: s.term, To: s.handing}
		c.propose(now, handPurpose(s.server), recorder.HandFronts{Hands: []recorder.FrontHand{hand}})
	}
}

func handPurpose(server identifier.ServerName) string { return "hand/" + string(server) }

func (c *Controller) onStopRequested() {
	if c.stopping {
		return
	}
	c.stopping = true
	c.note(tracer.KindInstanceStopping, string(c.id), "")
	if !c.loaded {
		c.stop()
	}
}

// advanceStop passes every front on, and leaves the roster when none is left.
func (c *Controller) advanceStop(now time.Time) {
	if len(c.sessions) == 0 {
		c.leaveWhenIdle(now)
		return
	}
	targets := c.frontTargets(now, false)
	for _, target := range targets {
		s, ok := c.sessions[target.Server]
		if ok && s.handing == "" && target.Instance != "" && target.Instance != c.id {
			c.hand(now, s, target.Instance)
		}
	}
	if len(c.heard(now)) > 0 {
		c.advanceHands(now)
		return
	}
	c.closed = true
	c.leaveWhenIdle(now)
}
