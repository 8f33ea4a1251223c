package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

// limitReports are the changes of servers' limits that this instance has learned from answers and reports to the leader, so
// that an instance that becomes the dispatcher of a server knows its limit. The limits themselves are the Forwarder's. Only
// the control loop uses it.
type limitReports struct {
	version      limitsVersion // of what was received from the leader
	unreported   map[string]bool
	reported     map[string]bool // in the report in flight
	reportedTerm uint64          // of the leader that gets the reports
}

// limitsVersion says which changes of limits were received from the leader of a term.
type limitsVersion struct{ term, number uint64 }

// changed records that an answer has changed the limit of a server.
func (r *limitReports) changed(server string) {
	if r.unreported == nil {
		r.unreported = map[string]bool{}
	}
	r.unreported[server] = true
}

// beginReport returns the servers for a report to the leader of a term, which are reported again if it fails. A leader may not
// know what its predecessor was told, so the first report to it has all servers that are known.
func (r *limitReports) beginReport(term uint64, known []string) []string {
	if term != r.reportedTerm {
		r.reportedTerm = term
		for _, server := range known {
			r.changed(server)
		}
	}
	r.reported, r.unreported = r.unreported, nil
	return slices.Sorted(maps.Keys(r.reported))
}

// reportFailed records that the report in flight got no answer of the leader.
func (r *limitReports) reportFailed() {
	for server := range r.reported {
		r.changed(server)
	}
	r.reported = nil
}

// reportAnswered records that the leader has received the report in flight.
func (r *limitReports) reportAnswered() { r.reported = nil }

// limitLog numbers the changes of limits that a leader passes on. It keeps the latest number of each server. The zero limitLog
// is empty.
type limitLog struct {
	last    uint64
	numbers map[string]uint64 // by server
}

// record numbers a change of a server's limit.
func (l *limitLog) record(server string) {
	if l.numbers == nil {
		l.numbers = map[string]uint64{}
	}
	l.last++
	l.numbers[server] = l.last
}

// since returns the servers whose limits have changed after the change of a number.
func (l *limitLog) since(number uint64) []string {
	var servers []string
	for server, n := range l.numbers {
		if n > number {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// retain drops the servers for which keep returns false.
func (l *limitLog) retain(keep func(server string) bool) {
	maps.DeleteFunc(l.numbers, func(server string, _ uint64) bool { return !keep(server) })
}

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
		s := throttler.Statement{
			Server: m.GetServer(), Incarnation: m.GetIncarnation(), Limited: m.GetLimited(),
			Limit: throttler.Limit{Rate: m.GetRate(), Since: now.Add(-time.Duration(m.GetLimitedMs()) * time.Millisecond)},
			At:    now.Add(-time.Duration(m.GetAgeMs()) * time.Millisecond),
		}
		if c.options.Forwarder.LearnLimit(now, s) {
			changed = append(changed, s.Server)
		}
	}
	return changed
}

// limitsFor returns the limits that an instance with the given version lacks, or nil.
func (c *Controller) limitsFor(version limitsVersion) *herald.ServerLimits {
	l := c.leaderState
	term := c.elector.Term()
	if version.term != term {
		version.number = 0
	}
	if version.number >= l.limits.last {
		return nil
	}
	return &herald.ServerLimits{Term: term, Version: l.limits.last, Limits: c.encodeLimits(l.limits.since(version.number))}
}

// applyLimits records the limits that the leader has sent.
func (c *Controller) applyLimits(list *herald.ServerLimits) {
	if list == nil || c.leaderState != nil || list.GetTerm() < c.limitReports.version.term {
		return
	}
	c.learnLimits(list.GetLimits())
	version := limitsVersion{term: list.GetTerm(), number: list.GetVersion()}
	if version.term == c.limitReports.version.term {
		version.number = max(version.number, c.limitReports.version.number)
	}
	c.limitReports.version = version
}

// handOverLimits passes all known limits to the state of a new leader.
func (c *Controller) handOverLimits(l *leaderState) {
	for _, server := range c.options.Forwarder.LimitedServers() {
		l.limits.record(server)
	}
	c.limitReports.unreported, c.limitReports.reported = nil, nil
}
