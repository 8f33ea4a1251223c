package granter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// SetUnreachable replaces the services whose servers this leader does not reach for a reason of its own. Their ranges stay with
// their owners, and the grants are sent again and again: failed ones say nothing about a server. Once a service is reachable
// again, its ranges are granted at once.
func (g *Granter) SetUnreachable(now time.Time, services []string) {
	for _, service := range g.unreachable {
		if slices.Contains(services, service) {
			continue
		}
		for _, o := range g.ranges {
			if o.Service == service && (o.state == granting || o.state == granted) {
				o.failing, o.nextOrderAt = false, now
				g.changed[o.id] = true // see ownerLost
			}
		}
	}
	g.unreachable = services
}

// SetServers replaces the known servers by those of servers that belong to keyedServices. A keyed service without
// assignments gets them. A server with a new incarnation is granted its ranges anew, once the plan that names it is stored. A range whose first grant has not been
// answered is released if its server is draining or Gone, or is no longer registered; Tick does so for ranges whose grant
// has been answered.
//
// A range that an earlier leader granted is granted by this leader before it is released: until then the server would
// accept that leader's renewals, even after a release, because only grants raise the lowest fence that it accepts (see
// package emulator).
func (g *Granter) SetServers(now time.Time, keyedServices []string, servers []cataloger.Server) {
	previousServers := g.servers
	g.servers = map[string]cataloger.Server{}
	for _, s := range servers {
		if slices.Contains(keyedServices, s.Service) {
			g.servers[s.ID] = s
		}
	}
	for _, service := range keyedServices {
		g.assignNewService(now, service)
	}
	for _, o := range g.sortedRanges() {
		s, known := g.servers[o.Server]
		previous, existed := previousServers[o.Server]
		if known && o.state != free {
			g.recordIncarnation(o, s.Incarnation)
		}
		if known && existed && s.Incarnation > previous.Incarnation {
			delete(g.exclusions, o.Server)
			g.regrantAfterRestart(now, o)
		}
		if o.failing && g.takesRequests(o.Server) != (existed && previous.State != cataloger.Gone) {
			g.changed[o.id] = true // see ownerLost
		}
		if (!known || s.State != cataloger.Ready) && o.state == granting && !o.inherited && !g.frozen {
			g.startRelease(now, o, "")
		}
	}
}

// regrantAfterRestart schedules a first grant for o after its server has restarted: the new incarnation owns nothing until
// it gets a grant, which has a higher fence than those of the previous incarnation.
func (g *Granter) regrantAfterRestart(now time.Time, o *ownership) {
	if o.state != granted && o.state != granting {
		return
	}
	if o.inherited {
		// Leases of earlier leaders' grants are waited for unless the new incarnation answers a release.
		o.leaseExpiry, o.inheritedExpiry = later(o.leaseExpiry, o.inheritedExpiry), time.Time{}
	}
	o.state, o.inherited, o.handover = granting, false, ""
	o.fence = g.nextFence()
	o.nextOrderAt = now
	g.changed[o.id] = true
}

// recordIncarnation records that a later incarnation of the owner of o, or of its next owner, is known. It gets no lease before the
// plan that names it is stored: a leader that has been replaced can't store one, and the next leader relies on the plan when an
// earlier incarnation has ended.
func (g *Granter) recordIncarnation(o *ownership, incarnation int64) {
	if o.Incarnation == 0 || o.Incarnation >= incarnation {
		return // unknown until a grant has been accepted, see CompleteGrant
	}
	g.planSequence++
	o.Incarnation, o.incarnationSequence = incarnation, g.planSequence
}

// incarnationStored reports whether orders may give the known incarnation of the owner of o a lease.
func (g *Granter) incarnationStored(o *ownership) bool {
	if o.incarnationSequence <= g.storedSequence {
		o.incarnationSequence = 0
	}
	return o.incarnationSequence == 0
}

// assignNewService plans equal ranges for the assignable servers of a service that has no assignments. No server can have a
// lease of these ranges, unless the plan is distrusted.
func (g *Granter) assignNewService(now time.Time, service string) {
	for _, o := range g.ranges {
		if o.Service == service {
			return
		}
	}
	assignable := g.AssignableServers(now, service)
	if len(assignable) == 0 {
		return
	}
	g.planSequence++
	for i, r := range partitioner.Divide(len(assignable)) {
		g.addRange(&ownership{
			Assignment: Assignment{
				Service: service, Range: r, Server: assignable[i], Incarnation: g.servers[assignable[i]].Incarnation,
			},
			state: planned, planSequence: g.planSequence, fence: g.nextFence(), leaseExpiry: g.uncertainUntil,
		})
	}
}

// AssignableServers returns the sorted ids of the servers of a service that may get new ranges. Excluded servers are
// left out unless there are no others.
func (g *Granter) AssignableServers(now time.Time, service string) []string {
	var ids, excluded []string
	for id, s := range g.servers {
		switch {
		case s.Service != service || s.State != cataloger.Ready: // gets no new ranges
		case now.Before(g.exclusions[id].until):
			excluded = append(excluded, id)
		default:
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		ids = excluded
	}
	slices.Sort(ids)
	return ids
}

const (
	// minExclusionLeases is how long a server is excluded the first time, in lease durations. The time doubles with each
	// further exclusion, up to maxExclusionLeases, because keys that are granted to a server that still fails are not
	// served for two lease durations.
	minExclusionLeases = 2
	maxExclusionLeases = 16
)

// exclusion is the time during which a server gets no new ranges because its answers to grants did not arrive.
type exclusion struct {
	until    time.Time
	duration time.Duration
}

// excludeServer excludes a server from new ranges for a while.
func (g *Granter) excludeServer(now time.Time, server string) {
	e := g.exclusions[server]
	if now.Before(e.until) {
		return // already excluded because of another of its ranges
	}
	lease := g.settings.LeaseDuration
	e.duration = min(max(minExclusionLeases*lease, 2*e.duration), maxExclusionLeases*lease)
	e.until = now.Add(e.duration)
	g.exclusions[server] = e
}
