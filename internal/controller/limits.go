package controller

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

// maxLimitedMS bounds the time since a server first named a limit in a message, in milliseconds: a year.
const maxLimitedMS = 365 * 24 * 60 * 60 * 1000

// limitChanged records that an answer to this instance has changed the limit of a server.
func (c *Controller) limitChanged(server string) {
	if l := c.leaderState; l != nil {
		l.limits.record(server)
		return
	}
	c.limitReports.changed(server)
}

// encodeLimits returns the message form of the limits of servers. The Forwarder's times are of time.Now, not of timekeeper.
func (c *Controller) encodeLimits(servers []string) []*herald.ServerLimit {
	now := time.Now()
	var list []*herald.ServerLimit
	for _, server := range servers {
		s, ok := c.options.Forwarder.LimitStatement(server)
		if !ok {
			continue
		}
		list = append(list, &herald.ServerLimit{
			Server: server, Incarnation: s.Incarnation, Limited: s.Limited, Rate: s.Limit.Rate,
			AgeMs: uint32(max(0, now.Sub(s.At)).Milliseconds()), LimitedMs: uint64(max(0, now.Sub(s.Limit.Since)).Milliseconds()),
		})
	}
	return list
}

// learnLimits records the limits in a message, and returns the servers for which they are a change.
func (c *Controller) learnLimits(limits []*herald.ServerLimit) []string {
	now := time.Now()
	var changed []string
	for _, m := range limits {
		if err := throttler.CheckRate(m.GetRate()); err != nil {
			klog.InfoS("limit that another instance passed on is invalid", "server", m.GetServer(), "error", err)
			continue
		}
		s := throttler.Statement{
			Server: m.GetServer(), Incarnation: m.GetIncarnation(), Limited: m.GetLimited(),
			Limit: throttler.Limit{Rate: m.GetRate(), Since: now.Add(-time.Duration(min(m.GetLimitedMs(), maxLimitedMS)) * time.Millisecond)},
			At:    now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		}
		if c.options.Forwarder.LearnLimit(now, s) {
			changed = append(changed, s.Server)
		}
	}
	return changed
}

// limitsFor returns the limits that an instance with the given version lacks, or nil.
func (c *Controller) limitsFor(version changeVersion) *herald.ServerLimits {
	servers, changed := c.leaderState.limits.since(c.elector.Term(), version)
	if !changed {
		return nil
	}
	return &herald.ServerLimits{
		Term: c.elector.Term(), Version: c.leaderState.limits.last, Limits: c.encodeLimits(servers),
	}
}

// applyLimits records the limits that the leader has sent.
func (c *Controller) applyLimits(list *herald.ServerLimits) {
	if list == nil || c.leaderState != nil || list.GetTerm() < c.limitReports.version.term {
		return
	}
	c.learnLimits(list.GetLimits())
	c.limitReports.received(changeVersion{term: list.GetTerm(), number: list.GetVersion()})
}

// handOverLimits passes all known limits to the state of a new leader.
func (c *Controller) handOverLimits(l *leaderState) {
	for _, server := range c.options.Forwarder.LimitedServers() {
		l.limits.record(server)
	}
	c.limitReports.unreported, c.limitReports.reported = nil, nil
}
