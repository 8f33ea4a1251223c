package controller

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// maxPathDoubt is how long a leader that has lost a service, but reaches some of its servers, takes failed grants for its own fault. If
// another instance reached the others, it would have taken over by then.
const maxPathDoubt = 4 * time.Second

// updatePaths starts due probes of backend servers, and tells the other instances when this one has lost its path to the
// servers of a service or has regained it, so that others dispatch in its place.
func (c *Controller) updatePaths(now time.Time) {
	contactNow := time.Now() // the Forwarder's times are of time.Now, not of timekeeper
	c.options.Forwarder.ProbePaths(contactNow)
	c.offerTakeover()
	var list []resolver.LostService
	c.held = nil
	for _, s := range c.options.Forwarder.LostServices(contactNow) {
		since, known := c.lostSince[s.Service]
		if !known {
			since = s.Since
			klog.InfoS("paths to the servers of a service are lost", "service", s.Service, "lost", s.Lost, "reached", s.Reached,
				"for", contactNow.Sub(s.Since))
		}
		list = append(list, resolver.LostService{Service: s.Service, Since: since})
		if s.Reached == 0 || contactNow.Sub(since) < maxPathDoubt {
			c.held = append(c.held, s.Service)
		}
	}
	lost := resolver.NewLostServices(list)
	if lost == c.lost {
		return
	}
	for _, s := range c.lost.All() {
		if !lost.Contains(s.Service) {
			klog.InfoS("paths to the servers of a service are back", "service", s.Service, "after", contactNow.Sub(s.Since))
		}
	}
	c.lost, c.lostSince = lost, map[string]time.Time{}
	for _, s := range list {
		c.lostSince[s.Service] = s.Since
	}
	c.options.Meter.Set(meter.LostServices, int64(len(list)))
	c.elector.SetLastResort(c.leaving || c.isCutOff())
	c.announceSelf(now)
}

// isCutOff reports whether this instance has lost a keyed service, so that it can't renew the leases of most of its ranges.
func (c *Controller) isCutOff() bool {
	return slices.ContainsFunc(c.table.KeyedServices(), c.lost.Contains)
}

// maxUnreachedServers bounds the servers that a leader names to others so that they try to reach them.
const maxUnreachedServers = 8

// unreachedServersFor returns, on a leader that has lost keyed services, some of their servers for a member that has not lost
// these, so that it tries to reach them and takes over.
func (c *Controller) unreachedServersFor(member resolver.Member) []string {
	var servers []string
	for _, service := range c.table.KeyedServices() {
		if c.lost.Contains(service) && !member.Lost.Contains(service) && !member.Leaving {
			servers = append(servers, c.options.Forwarder.UnreachedServers(time.Now(), service, maxUnreachedServers-len(servers))...)
		}
	}
	if len(servers) > 0 {
		c.elector.RecordYield()
	}
	return servers
}

// cutOffLeader is what a leader that has lost keyed services said last: some servers that it does not reach.
type cutOffLeader struct {
	leader  elector.Leader
	servers []string
	since   time.Time // when it first named any, by time.Now
	offered bool      // this instance has reported at once because it reaches most of them
}

// observeCutOffLeader records which servers a leader says it does not reach, and probes them.
func (c *Controller) observeCutOffLeader(leader elector.Leader, servers []string) {
	if len(servers) == 0 {
		c.cutOffLeader = cutOffLeader{}
		return
	}
	now := time.Now() // the Forwarder's times are of time.Now, not of timekeeper
	if c.cutOffLeader.leader != leader {
		c.cutOffLeader = cutOffLeader{leader: leader, since: now}
	}
	c.cutOffLeader.servers = servers
	c.options.Forwarder.CheckPaths(now, servers)
}

// reachesMoreThanLeader reports whether this instance reaches most of the servers that the leader said it does not reach. Contacts
// from before may be older than the cut.
func (c *Controller) reachesMoreThanLeader() bool {
	return len(c.cutOffLeader.servers) > 0 && c.options.Forwarder.ReachesMost(time.Now(), c.cutOffLeader.since, c.cutOffLeader.servers)
}

// offerTakeover reports to the leader at once when this instance has found that it reaches servers which the leader does not. The
// leader's answer says whether that still holds.
func (c *Controller) offerTakeover() {
	if c.leaderState == nil && !c.cutOffLeader.offered && c.reachesMoreThanLeader() {
		c.cutOffLeader.offered = true
		c.lastReport = time.Time{}
	}
}

// checkServicesLostBy checks the services that other instances have newly lost, so that this one knows whether it can dispatch in
// their place.
func (c *Controller) checkServicesLostBy(members []resolver.Member, before []resolver.Member) {
	known := map[string]bool{}
	for _, m := range before {
		for _, service := range m.Lost.Names() {
			known[m.Instance+" "+service] = true
		}
	}
	for _, m := range members {
		for _, service := range m.Lost.Names() {
			if !known[m.Instance+" "+service] {
				c.options.Forwarder.CheckService(time.Now(), service)
			}
		}
	}
}

// announceSelf tells the other instances about a change of this one.
func (c *Controller) announceSelf(now time.Time) {
	c.viewOutdated = true      // its own view may name other dispatchers as well
	c.lastReport = time.Time{} // report at once
	if c.leaderState != nil {
		c.leaderState.membersVersion++
		c.publish(now)
	}
}

// encodeLostServices returns the message form of lost services.
func encodeLostServices(lost resolver.LostServices) []*herald.LostService {
	var list []*herald.LostService
	for _, s := range lost.All() {
		list = append(list, &herald.LostService{Service: s.Service, SinceMs: s.Since.UnixMilli()})
	}
	return list
}

// decodeLostServices is the inverse of encodeLostServices.
func decodeLostServices(list []*herald.LostService) resolver.LostServices {
	var lost []resolver.LostService
	for _, s := range list {
		lost = append(lost, resolver.LostService{Service: s.GetService(), Since: time.UnixMilli(s.GetSinceMs())})
	}
	return resolver.NewLostServices(lost)
}
