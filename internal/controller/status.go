package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// NotReady returns why the instance should get no requests from callers, in snake case, or "".
func (c *Controller) NotReady(now time.Time) string {
	switch {
	case c.lost:
		return "state_lost"
	case !c.loaded:
		return "loading"
	case c.stopping:
		return "stopping"
	case c.state.Bundle() == nil:
		return "no_bundle"
	case !c.Active():
		return "not_on_roster"
	case !now.Before(c.LeaseUntil()):
		return "no_lease"
	}
	return ""
}

// HeardAgo returns the time since the last heartbeat of a member; 0 for the instance itself and -1 ms for never.
func (c *Controller) HeardAgo(now time.Time, id identifier.InstanceID) time.Duration {
	if id == c.id {
		return 0
	}
	p, ok := c.peers[id]
	if !ok {
		return -time.Millisecond
	}
	return now.Sub(p.lastHeard)
}

// ServerState returns what the instance holds a server to be: up, down, leaving, no_front or unknown.
func (c *Controller) ServerState(now time.Time, name identifier.ServerName) string {
	known, _ := c.state.GetServerByName(name)
	if known.Front.Holder == "" {
		return "no_front"
	}
	if c.isDown(now, name) {
		return "down"
	}
	if c.isLeaving(name) {
		return "leaving"
	}
	if _, mine := c.sessions[name]; mine {
		return "up"
	}
	if _, ok := c.reportOf(now, name); ok {
		return "up"
	}
	return "unknown"
}

// CountOwned returns how many partitions a server owns.
func (c *Controller) CountOwned(name identifier.ServerName) int { return len(c.ownedBy(name)) }

// Report returns the load of a server that this instance fronts, or that its fronting instance has reported.
func (c *Controller) Report(now time.Time, name identifier.ServerName) ServerReport {
	if _, mine := c.sessions[name]; mine {
		return c.ownReport(now, name)
	}
	report, _ := c.reportOf(now, name)
	return report
}

// Fronted returns how many servers this instance fronts.
func (c *Controller) Fronted() int { return len(c.sessions) }
