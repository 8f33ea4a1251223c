package controller

import (
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
)

// leavingServers are the backend servers that have said in an answer that they are leaving. Each instance tells the leader
// of those that it has learned of, and the leader tells all others. Only the control loop uses it.
type leavingServers struct {
	incarnations map[string]int64 // latest incarnation of each that is known to leave
	version      leavingVersion   // of what was received from the leader
	unreported   []*herald.LeavingServer
	reported     []*herald.LeavingServer // in the report in flight
	reportedTerm uint64                  // of the leader that gets the reports
}

// leavingVersion says how many of the leaving servers that the leader of a term knows were received from it.
type leavingVersion struct{ term, known uint64 }

// add records an incarnation of a server. It reports false if that or a later one is known already.
func (s *leavingServers) add(server string, incarnation int64) bool {
	if known, ok := s.incarnations[server]; ok && known >= incarnation {
		return false
	}
	if s.incarnations == nil {
		s.incarnations = map[string]int64{}
	}
	s.incarnations[server] = incarnation
	return true
}

// beginReport returns the servers for a report to the leader of a term, which are reported again if it fails. A leader may
// not know what its predecessor was told, so the first report to it has all servers.
func (s *leavingServers) beginReport(term uint64) []*herald.LeavingServer {
	if term != s.reportedTerm {
		s.reportedTerm, s.unreported = term, s.all()
	}
	s.reported, s.unreported = s.unreported, nil
	return s.reported
}

// all returns all known servers, sorted by id.
func (s *leavingServers) all() []*herald.LeavingServer {
	var list []*herald.LeavingServer
	for _, server := range slices.Sorted(maps.Keys(s.incarnations)) {
		list = append(list, &herald.LeavingServer{Server: server, Incarnation: s.incarnations[server]})
	}
	return list
}

// reportFailed records that the report in flight got no answer.
func (s *leavingServers) reportFailed() {
	s.unreported = append(s.reported, s.unreported...)
	s.reported = nil
}

// reportAnswered records that the leader has received the report in flight.
func (s *leavingServers) reportAnswered() { s.reported = nil }

// handOver passes all known servers to the state of a new leader.
func (s *leavingServers) handOver(l *leaderState) {
	l.leaving = append(l.leaving, s.all()...)
	s.reported, s.unreported = nil, nil
}

// leavingReportDelay is how soon the leader hears of a server that is leaving. Servers that leave within it share a report.
const leavingReportDelay = 100 * time.Millisecond

// serverLeaves records that an incarnation of a backend server has said that it is leaving.
func (c *Controller) serverLeaves(now time.Time, server string, incarnation int64) {
	if !c.leavingServers.add(server, incarnation) {
		return
	}
	c.options.Meter.Count(meter.ServersLeaving)
	klog.InfoS("server says that it is leaving", "server", server, "born", incarnation)
	if c.catalog.Leave(now, c.options.DrainTimeout, server, incarnation) {
		c.serversChanged(now)
	}
	entry := &herald.LeavingServer{Server: server, Incarnation: incarnation}
	if l := c.leaderState; l != nil {
		l.leaving = append(l.leaving, entry)
		l.unpublished = true
		return
	}
	c.leavingServers.unreported = append(c.leavingServers.unreported, entry)
	c.reportWithin(now, leavingReportDelay)
}

// leavingFor returns the leaving servers that an instance with the given version lacks, or nil.
func (c *Controller) leavingFor(version leavingVersion) *herald.LeavingServers {
	l := c.leaderState
	term, known := c.elector.Term(), uint64(len(l.leaving))
	if version.term != term {
		version.known = 0
	}
	if version.known >= known {
		return nil
	}
	return &herald.LeavingServers{Term: term, Known: known, Servers: l.leaving[version.known:]}
}

// applyLeaving records the leaving servers that the leader has sent.
func (c *Controller) applyLeaving(now time.Time, list *herald.LeavingServers) {
	if list == nil || c.leaderState != nil || list.GetTerm() < c.leavingServers.version.term {
		return
	}
	if list.GetTerm() > c.leavingServers.version.term {
		c.leavingServers.version = leavingVersion{term: list.GetTerm()}
	}
	for _, s := range list.GetServers() {
		if c.leavingServers.add(s.GetServer(), s.GetIncarnation()) &&
			c.catalog.Leave(now, c.options.DrainTimeout, s.GetServer(), s.GetIncarnation()) {
			c.serversChanged(now)
		}
	}
	c.leavingServers.version.known = max(c.leavingServers.version.known, list.GetKnown())
}
