// Package controller is the control decider of an entry instance: it takes events with the present time and returns
// actions. It has no goroutine, clock or socket; one thread of its shell owns it. Traffic reads what it publishes in a
// router.Table.
package controller

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Options are what an instance is told at its start.
type Options struct {
	// Run is unique for each start of the process.
	Run identifier.InstanceID
	// Name, Domain and PeerAddress go on the roster.
	Name        string
	Domain      identifier.DomainName
	PeerAddress string
	Genesis     reducer.Genesis
	Policy      leaser.OutagePolicy
	// Table is where the view and the permits are published.
	Table *router.Table
	// Load returns the load of a backend server that this instance fronts; nil is no load.
	Load func(now time.Time, server identifier.ServerName) ServerReport
	// Hot returns the keys that take a large share of a server, as this instance's traffic shows; nil is none.
	Hot func(now time.Time) []detector.HotKey
}

// Controller is the control state of one instance. It is not safe for concurrent use.
type Controller struct {
	opts       Options
	id         identifier.InstanceID
	generation int
	sequence   int

	state    *reducer.State
	backlog  []reducer.Entry
	loaded   bool
	lost     bool
	relay    []reducer.Entry
	lease    leaser.Lease
	promises leaser.Promises

	proposals map[string]*proposal
	peers     map[identifier.InstanceID]*peer
	sessions  map[identifier.ServerName]*session
	expelSeen map[identifier.InstanceID]time.Time
	goneSeen  map[identifier.InstanceID]time.Time
	placing   map[identifier.ServiceName]*balance
	needs     map[string]time.Time
	// owners caches which partitions each server owns, until the next record.
	owners map[identifier.ServerName]owned
	// ownerChanges counts the records that changed owners.
	ownerChanges int
	// planFrontsAt is when the fronts are to be planned again.
	planFrontsAt time.Time

	// leaving are the names of the instances that the platform lists as leaving.
	leaving []string
	// closed says that the instance leaves and nobody is left to take its fronts.
	closed     bool
	planPinsAt time.Time
	// pinSeen is since when this instance has seen a pin on a server that it fronts.
	pinSeen      map[pinnedKey]time.Time
	lastTick     time.Time
	loadedAt     time.Time
	rosterSince  time.Time
	outage       bool
	leaseHeld    bool
	expelled     bool
	stopping     bool
	stopped      bool
	snapshotTime time.Time

	actions []Action
}

// New returns a Controller that has read nothing yet.
func New(opts Options) *Controller {
	c := &Controller{opts: opts, state: reducer.NewState(opts.Genesis)}
	c.beginGeneration()
	return c
}

// beginGeneration starts over under a new instance id, as a new member of the roster would.
func (c *Controller) beginGeneration() {
	c.generation++
	c.id = identifier.InstanceID(fmt.Sprintf("%s.%d", c.opts.Run, c.generation))
	c.proposals = map[string]*proposal{}
	c.peers = map[identifier.InstanceID]*peer{}
	c.sessions = map[identifier.ServerName]*session{}
	c.expelSeen = map[identifier.InstanceID]time.Time{}
	c.goneSeen = map[identifier.InstanceID]time.Time{}
	c.placing = map[identifier.ServiceName]*balance{}
	c.needs = map[string]time.Time{}
	c.pinSeen = map[pinnedKey]time.Time{}
	c.expelled = false
	c.promises = leaser.Promises{}
}

// Start returns the first actions.
func (c *Controller) Start(now time.Time) []Action {
	c.lastTick = now
	return []Action{ReadLog{From: 0}}
}

// ID returns the id under which the instance is, or will be, on the roster.
func (c *Controller) ID() identifier.InstanceID { return c.id }

// State returns the folded state. The caller must not keep or change it.
func (c *Controller) State() *reducer.State { return c.state }

// Loaded reports whether the state has been read up to the log's tail once.
func (c *Controller) Loaded() bool { return c.loaded }

// Active reports whether the instance is on the roster in good standing.
func (c *Controller) Active() bool {
	member, ok := c.state.GetMemberByID(c.id)
	return ok && !member.Expelled
}

// LeaseUntil returns the time until which the instance may act.
func (c *Controller) LeaseUntil() time.Time {
	if !c.Active() {
		return time.Time{}
	}
	return c.lease.Until(c.witnessSets(), c.opts.Policy, c.state.Widest().OutageLimit)
}

// Current reports whether the log has been read up to its tail recently.
func (c *Controller) Current(now time.Time) bool { return c.lease.Current(now) }

// timings returns the protocol times in force.
func (c *Controller) timings() bundler.Timings {
	if b := c.state.Bundle(); b != nil {
		return b.Timings()
	}
	return bundler.DefaultTimings()
}

// Step decides what follows from event at now.
func (c *Controller) Step(now time.Time, event Event) []Action {
	c.actions = nil
	c.noticePause(now)
	switch e := event.(type) {
	case Tick:
		c.tick(now)
	case LogRead:
		c.onLogRead(now, e)
	case LogExpired:
		c.onLogExpired(e)
	case LogUnavailable:
		c.do(ReadLog{From: c.readFrom(), After: c.timings().Heartbeat})
	case PeerAnswered:
		c.onPeerAnswered(now, e)
	case PeerSilent:
		c.onPeerSilent(e)
	case GrantAnswered:
		c.onGrantAnswered(now, e)
	case GrantFailed:
		c.onGrantFailed(e)
	case RevokeAnswered:
		c.onRevokeAnswered(e)
	case InstancesListed:
		c.leaving = e.Leaving
	case StopRequested:
		c.onStopRequested()
	}
	c.advance(now)
	return c.actions
}

// noticePause keeps the instance from taking its own pause for the silence of others.
func (c *Controller) noticePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < c.timings().Detection/2 {
		return
	}
	c.note(tracer.KindPauseNoticed, "", gap.String())
	for _, p := range c.peers {
		p.lastHeard = p.lastHeard.Add(gap)
		p.hears = nil
	}
	for _, s := range c.sessions {
		s.lastAnswer = s.lastAnswer.Add(gap)
	}
}

// tick does what is due with time alone.
func (c *Controller) tick(now time.Time) {
	if !c.loaded {
		return
	}
	c.exchangeAll(now)
}

// advance takes every step that the state, the lease and the time allow.
func (c *Controller) advance(now time.Time) {
	if !c.loaded || c.stopped {
		return
	}
	c.watchLease(now)
	c.syncSessions(now)
	if c.expelled {
		c.leaveWhenIdle(now)
	} else if !c.Active() {
		c.proposeJoin(now)
	} else {
		c.advanceMember(now)
	}
	c.publishPermits(now)
	c.repeatProposals(now)
}

// advanceMember takes the steps of a member in good standing.
func (c *Controller) advanceMember(now time.Time) {
	c.proposeReleases(now)
	c.advanceSessions(now)
	c.advanceHandovers(now)
	if !c.lease.Current(now) {
		return
	}
	if c.stopping {
		c.advanceStop(now)
		return
	}
	c.proposeExpulsions(now)
	c.proposeWitnesses(now)
	c.planFronts(now)
	c.planOwners(now)
	c.planPins(now)
	c.proposeSnapshot(now)
}

// watchLease notes when the lease or the log's currency begins or ends.
func (c *Controller) watchLease(now time.Time) {
	held := now.Before(c.LeaseUntil())
	if held != c.leaseHeld {
		c.leaseHeld = held
		if held {
			c.note(tracer.KindLeaseGained, string(c.id), "")
		} else {
			c.note(tracer.KindLeaseLapsed, string(c.id), "")
		}
	}
	outage := !c.lease.Current(now)
	if outage == c.outage {
		return
	}
	c.outage = outage
	if outage {
		c.note(tracer.KindLogLost, "log", "")
	} else {
		c.note(tracer.KindLogBack, "log", "")
	}
}

func (c *Controller) do(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) note(kind tracer.Kind, subject, detail string) {
	c.do(Note{Kind: kind, Offset: c.state.Next(), Subject: subject, Detail: detail})
}
