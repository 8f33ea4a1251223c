package controller

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/balancer"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// follow takes up or lays down the lead.
func (c *Controller) follow(now time.Time) {
	taken, predecessor := c.elector.NewlyElected()
	switch {
	case taken && c.elector.Term() != 0:
		c.takeUp(now, predecessor)
	case c.elector.Term() == 0 && c.lead != nil:
		klog.InfoS("lead lost", "term", c.owners.Version().Term)
		c.lead = nil
		c.reported = time.Time{}
	}
}

// takeUp starts to lead after another leader, or after none that may still give orders.
func (c *Controller) takeUp(now time.Time, before elector.Identity) {
	predecessor := now
	if before.Instance != "" {
		predecessor = now.Add(ElectionSettings.LeaseDuration)
	}
	predecessor = predecessor.Add(c.grants.MaxLeaseLifetime())
	holdings := decodePlan(c.plan)
	if c.plan == nil {
		predecessor = now
	}
	term := c.elector.Term()
	c.options.Meter.Count(meter.LeadsTaken)
	klog.InfoS("lead taken", "term", term, "before", before.Instance, "ranges", len(holdings))
	c.lead = &lead{
		since:   now,
		granter: granter.New(c.grants, now, term, holdings, predecessor),
		members: map[string]*registered{}, version: c.version + 1, loads: map[string]*balancer.Load{},
		speeds: map[string]*speed{}, balanced: now, plans: map[uint64][]byte{}, predecessor: before, concerned: map[string]bool{},
	}
	if before.Instance != "" && !slices.ContainsFunc(c.members, func(m resolver.Member) bool { return m.Instance == before.Instance }) {
		// It has to learn that it was replaced, whether it reports here or not.
		c.lead.members[before.Instance] = &registered{
			member: resolver.Member{Instance: before.Instance, Incarnation: before.Incarnation, Address: before.Address}, seen: now,
		}
	}
	for _, m := range c.members {
		c.lead.members[m.Instance] = &registered{member: m, seen: now}
	}
	c.setServers(now)
	c.lead.sequence = 1
	c.owners = c.owners.With(partitioner.Version{Term: term, Sequence: 1}, c.lead.granter.Segments(now))
	c.lead.granter.ChangedSegments(now) // part of the whole map
	c.dirty = true
	c.publish(now)
}

// setServers hands the servers to the granter.
func (c *Controller) setServers(now time.Time) {
	if c.table == nil || !c.readable {
		return
	}
	c.lead.granter.SetServers(now, c.table.KeyedServices(), c.catalog.Servers())
	c.lead.granter.ServersEnded(c.catalog.EndedServers())
}

// rule does what is due at a leader.
func (c *Controller) rule(now time.Time) {
	l := c.lead
	if c.dirty {
		c.setServers(now) // the configuration may have a new service
	}
	c.dropMembers(now)
	c.storePlan(now)
	if c.elector.Active(now) && c.table != nil {
		for _, order := range l.granter.Tick(now) {
			c.order(now, order)
		}
		c.storePlan(now)
		if c.elector.StoreHealthy(now, storeBusy) {
			c.balance(now) // or released ranges would wait for the store
		}
	}
	c.show(now)
}

// show publishes what has changed for traffic. Changes shortly after one another go out together.
func (c *Controller) show(now time.Time) {
	l := c.lead
	var changed []partitioner.Segment
	for _, s := range l.granter.ChangedSegments(now) {
		if c.owners.SameRouting(s) {
			continue
		}
		changed = append(changed, s)
		before, _ := c.owners.Find(s.Service, s.Range.First)
		c.concern(before.Server)
		c.concern(s.Server)
	}
	if len(changed) > 0 {
		partitioner.SetPausedUntil(time.Now(), changed)
		l.sequence++
		l.deltas = append(l.deltas, delta{sequence: l.sequence, segments: changed})
		if len(l.deltas) > kept {
			l.deltas = slices.Delete(l.deltas, 0, len(l.deltas)-kept)
		}
		c.owners = c.owners.With(partitioner.Version{Term: c.elector.Term(), Sequence: l.sequence}, changed)
		c.dirty = true
		l.unpublished = true
	}
	if l.unpublished && now.Sub(l.published) >= together {
		c.publish(now)
	}
}

// concern notes that the front of a server has to be told at once.
func (c *Controller) concern(server string) {
	if c.view == nil {
		return
	}
	if front := frontOf(c.view, server); front != "" {
		c.lead.concerned[front] = true
	}
}

// storePlan asks for the present plan to be stored, and tells the granter what is.
func (c *Controller) storePlan(now time.Time) {
	l := c.lead
	l.granter.PlanStored(c.elector.StoredPlan(), c.elector.MaybeStoredPlan())
	maps.DeleteFunc(l.plans, func(sequence uint64, _ []byte) bool { return sequence < c.elector.StoredPlan() })
	holdings, sequence, stale := l.granter.Plan()
	if !stale {
		return
	}
	if sequence != l.wanted {
		if now.Sub(l.wantedAt) < planGather {
			c.elector.RequestPlan(0) // what was wanted before is out of date
			return
		}
		l.wanted, l.wantedAt = sequence, now
		l.plans[sequence] = encodePlan(c.elector.Term(), sequence, holdings)
	}
	c.elector.RequestPlan(sequence)
}

// order sends a grant or a release.
func (c *Controller) order(now time.Time, order granter.Order) {
	l := c.lead
	switch o := order.(type) {
	case granter.Grant:
		c.options.Meter.Count(meter.GrantsSent)
		address := c.address(o.Server)
		go func() {
			sent := time.Now()
			outcome, err := c.orders.Grant(c.context, sent, address, o)
			c.options.Meter.Observe(meter.GrantTime, time.Since(sent))
			c.post(func(now time.Time) { c.granted(now, l, o, outcome, err) })
		}()
	case granter.Release:
		c.options.Meter.Count(meter.ReleasesSent)
		address := c.address(o.Server)
		klog.InfoS("range released", "server", o.Server, "range", o.Range.String(), "fence", o.Fence)
		go func() {
			ctx, cancel := context.WithTimeout(c.context, releaseLimit)
			defer cancel()
			outcome, handover, err := c.orders.Release(ctx, time.Now(), address, o, releaseLimit)
			c.post(func(now time.Time) {
				klog.InfoS("release ended", "server", o.Server, "range", o.Range.String(), "fence", o.Fence,
					"outcome", outcome.String(), "handover", handover != "", "error", err)
				if c.lead == l {
					l.granter.CompleteRelease(now, o, outcome, handover)
				}
			})
		}()
	}
}

// address returns where a server is reached; a server without an entry is reached where it was last.
func (c *Controller) address(server string) string {
	if s, ok := c.catalog.LastKnown(server); ok {
		return s.Address
	}
	return ""
}

func (c *Controller) granted(now time.Time, l *lead, o granter.Grant, outcome granter.Outcome, err error) {
	if outcome == granter.Fenced {
		c.options.Meter.Count(meter.GrantsRefused)
	}
	if outcome != granter.Accepted {
		c.options.Meter.Count(meter.GrantsFailed)
		klog.InfoS("grant failed", "server", o.Server, "range", o.Range.String(), "fence", o.Fence,
			"outcome", outcome.String(), "error", err)
	}
	if c.lead != l {
		return
	}
	if outcome == granter.Fenced {
		c.elector.SuspendLease(now)
	}
	l.granter.CompleteGrant(now, o, outcome)
}

// balance moves ranges away from busy servers.
func (c *Controller) balance(now time.Time) {
	l := c.lead
	if now.Sub(l.balanced) < balance {
		return
	}
	l.balanced = now
	c.learn(c.options.Forwarder.CollectLoads())
	for _, service := range c.table.KeyedServices() {
		load := l.load(service)
		load.Decay(now)
		ready := l.granter.AssignableServers(now, service)
		limit := max(1, len(ready)/movesAtOnce) - l.granter.MovesInProgress()
		if limit <= 0 {
			continue
		}
		for _, m := range balancer.PlanMoves(load, l.granter.Placements(now, service), c.capacities(ready), limit) {
			started := l.granter.StartMove(now, service, m.Range, m.To)
			c.options.Meter.Count(meter.MovesStarted)
			klog.InfoS("range to move", "service", service, "range", m.Range.String(), "from", m.From, "to", m.To,
				"started", started, "requests", int(load.Total()))
		}
	}
}

func (l *lead) load(service string) *balancer.Load {
	if l.loads[service] == nil {
		l.loads[service] = &balancer.Load{}
	}
	return l.loads[service]
}

// learn adds what an instance has measured.
func (c *Controller) learn(loads forwarder.Loads) {
	l := c.lead
	for service, keys := range loads.Keys {
		load := l.load(service)
		for key, requests := range keys {
			load.Add(key, requests)
		}
	}
	for server, a := range loads.Answers {
		s := l.speeds[server]
		if s == nil {
			s = &speed{}
			l.speeds[server] = s
		}
		s.learn(a)
	}
}

// memory is how many answers a server's measured speed reflects.
const memory = 40

func (s *speed) learn(a forwarder.AnswerStats) {
	if a.Count == 0 {
		return
	}
	count := float64(a.Count)
	s.answers = min(s.answers+count, memory)
	s.mean += (a.TotalTime.Seconds()/count - s.mean) * min(1, count/s.answers)
}

// prior is how many answers of mean speed are added to a server's own, so that few answers tell little.
const prior = 8

// capacities returns how much each server can carry, relative to the others.
func (c *Controller) capacities(servers []string) map[string]float64 {
	total, count := 0.0, 0.0
	for _, id := range servers {
		if s := c.lead.speeds[id]; s != nil {
			total += s.mean
			count++
		}
	}
	mean := total / max(count, 1)
	capacities := map[string]float64{}
	for _, id := range servers {
		entry, _ := c.catalog.LastKnown(id)
		speed := 1.0
		if s := c.lead.speeds[id]; s != nil && s.mean > 0 {
			speed = mean * (s.answers + prior) / (s.mean*s.answers + mean*prior)
		}
		capacities[id] = float64(entry.Slots) * speed
	}
	return capacities
}

// dropMembers forgets instances that have not reported for a while.
func (c *Controller) dropMembers(now time.Time) {
	l := c.lead
	changed := false
	for name, r := range l.members {
		if now.Sub(r.seen) > missedReports*c.interval() {
			klog.InfoS("instance lost", "instance", name, "silent", now.Sub(r.seen))
			delete(l.members, name)
			changed = true
		}
	}
	if changed {
		c.membersChanged(now)
	}
}

// membersChanged makes a new list of members.
func (c *Controller) membersChanged(now time.Time) {
	l := c.lead
	l.version++
	c.version = l.version
	c.members = nil
	for _, r := range l.members {
		c.members = append(c.members, r.member)
	}
	slices.SortFunc(c.members, func(a, b resolver.Member) int { return strings.Compare(a.Instance, b.Instance) })
	c.dirty = true
	c.publish(now)
}
