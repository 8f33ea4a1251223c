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

// updateLeadership follows the elector: it creates the leader's state after an election and drops it after a deposition.
func (c *Controller) updateLeadership(now time.Time) {
	elected, predecessor := c.elector.NewlyElected()
	switch {
	case elected && c.elector.Term() != 0:
		c.becomeLeader(now, predecessor)
	case c.elector.Term() == 0 && c.leaderState != nil:
		klog.InfoS("leadership lost", "term", c.owners.Version().Term)
		c.leaderState = nil
		c.lastReport = time.Time{}
	}
}

// becomeLeader starts a term. predecessor is the previous leader, or empty if none may still send orders.
func (c *Controller) becomeLeader(now time.Time, predecessor elector.Identity) {
	predecessorEnd := now
	if predecessor.Instance != "" {
		predecessorEnd = now.Add(ElectionSettings.LeaseDuration)
	}
	predecessorEnd = predecessorEnd.Add(c.grantSettings.MaxLeaseLifetime())
	assignments := decodePlan(c.plan)
	if c.plan == nil {
		predecessorEnd = now
	}
	term := c.elector.Term()
	c.options.Meter.Count(meter.LeadsTaken)
	klog.InfoS("became leader", "term", term, "before", predecessor.Instance, "ranges", len(assignments))
	c.leaderState = &leaderState{
		since:   now,
		granter: granter.New(c.grantSettings, now, term, assignments, predecessorEnd),
		members: map[string]*memberState{}, membersVersion: c.membersVersion + 1, loads: map[string]*balancer.Load{},
		speeds: map[string]*serverSpeed{}, lastBalance: now, plans: map[uint64][]byte{}, predecessor: predecessor,
		affectedDispatchers: map[string]bool{},
	}
	if predecessor.Instance != "" &&
		!slices.ContainsFunc(c.members, func(m resolver.Member) bool { return m.Instance == predecessor.Instance }) {
		// The previous leader has to learn that it was replaced, whether or not it reports here.
		c.leaderState.members[predecessor.Instance] = &memberState{
			member: resolver.Member{
				Instance: predecessor.Instance, Incarnation: predecessor.Incarnation, Address: predecessor.Address,
			},
			lastReport: now,
		}
	}
	for _, m := range c.members {
		c.leaderState.members[m.Instance] = &memberState{member: m, lastReport: now}
	}
	c.setServers(now)
	c.leaderState.ownersSequence = 1
	c.owners = c.owners.With(partitioner.Version{Term: term, Sequence: 1}, c.leaderState.granter.Segments(now))
	c.leaderState.granter.ChangedSegments(now) // already part of the full map
	c.viewOutdated = true
	c.publish(now)
}

// setServers passes the servers to the granter.
func (c *Controller) setServers(now time.Time) {
	if c.table == nil || !c.catalogRead {
		return
	}
	c.leaderState.granter.SetServers(now, c.table.KeyedServices(), c.catalog.Servers())
	c.leaderState.granter.ServersEnded(c.catalog.EndedServers())
}

// runLeader runs everything that is due on the leader.
func (c *Controller) runLeader(now time.Time) {
	l := c.leaderState
	if c.viewOutdated {
		c.setServers(now) // the configuration may contain a new service
	}
	c.dropSilentMembers(now)
	c.storePlan(now)
	if c.elector.Active(now) && c.table != nil {
		for _, order := range l.granter.Tick(now) {
			c.sendOrder(now, order)
		}
		c.storePlan(now)
		// A released range waits until the store has its next owner, so none is moved while the store is slow.
		if c.elector.StoreHealthy(now, busyCallTime) {
			c.balanceLoad(now)
		}
	}
	c.publishChanges(now)
}

// publishChanges adds the granter's changes to the owner map and publishes them. Changes within publishInterval are
// batched.
func (c *Controller) publishChanges(now time.Time) {
	l := c.leaderState
	var changed []partitioner.Segment
	for _, s := range l.granter.ChangedSegments(now) {
		if c.owners.SameRouting(s) {
			continue
		}
		changed = append(changed, s)
		previous, _ := c.owners.Find(s.Service, s.Range.First)
		c.markDispatcher(previous.Server)
		c.markDispatcher(s.Server)
	}
	if len(changed) > 0 {
		partitioner.SetPausedUntil(time.Now(), changed)
		l.ownersSequence++
		l.deltas = append(l.deltas, delta{sequence: l.ownersSequence, segments: changed})
		if len(l.deltas) > maxDeltas {
			l.deltas = slices.Delete(l.deltas, 0, len(l.deltas)-maxDeltas)
		}
		c.owners = c.owners.With(partitioner.Version{Term: c.elector.Term(), Sequence: l.ownersSequence}, changed)
		c.viewOutdated = true
		l.unpublished = true
	}
	if l.unpublished && now.Sub(l.lastPublish) >= publishInterval {
		c.publish(now)
	}
}

// markDispatcher records that the next publication must reach the dispatcher of a server.
func (c *Controller) markDispatcher(server string) {
	if c.view == nil {
		return
	}
	if dispatcher := dispatcherOf(c.view, server); dispatcher != "" {
		c.leaderState.affectedDispatchers[dispatcher] = true
	}
}

// storePlan requests the append of the current plan, and tells the granter which plans are stored.
func (c *Controller) storePlan(now time.Time) {
	l := c.leaderState
	l.granter.PlanStored(c.elector.StoredPlan(), c.elector.MaybeStoredPlan())
	maps.DeleteFunc(l.plans, func(sequence uint64, _ []byte) bool { return sequence < c.elector.StoredPlan() })
	assignments, sequence, stale := l.granter.Plan()
	if !stale {
		return
	}
	if sequence != l.requestedPlan {
		if now.Sub(l.requestedAt) < planInterval {
			c.elector.RequestPlan(0) // the plan requested before is outdated
			return
		}
		l.requestedPlan, l.requestedAt = sequence, now
		l.plans[sequence] = encodePlan(c.elector.Term(), sequence, assignments)
	}
	c.elector.RequestPlan(sequence)
}

// sendOrder sends a grant or a release.
func (c *Controller) sendOrder(now time.Time, order granter.Order) {
	l := c.leaderState
	switch o := order.(type) {
	case granter.Grant:
		c.options.Meter.Count(meter.GrantsSent)
		address := c.serverAddress(o.Server)
		go func() {
			sent := time.Now()
			outcome, err := c.orders.Grant(c.context, sent, address, o)
			c.options.Meter.Observe(meter.GrantTime, time.Since(sent))
			c.post(func(now time.Time) { c.completeGrant(now, l, o, outcome, err) })
		}()
	case granter.Release:
		c.options.Meter.Count(meter.ReleasesSent)
		address := c.serverAddress(o.Server)
		klog.InfoS("release sent", "server", o.Server, "range", o.Range.String(), "fence", o.Fence)
		go func() {
			ctx, cancel := context.WithTimeout(c.context, releaseTimeout)
			defer cancel()
			outcome, handover, err := c.orders.Release(ctx, time.Now(), address, o, releaseTimeout)
			c.post(func(now time.Time) {
				klog.InfoS("release ended", "server", o.Server, "range", o.Range.String(), "fence", o.Fence,
					"outcome", outcome.String(), "handover", handover != "", "error", err)
				if c.leaderState == l {
					l.granter.CompleteRelease(now, o, outcome, handover)
				}
			})
		}()
	}
}

// serverAddress returns the address of a server, or its last known address if it is no longer registered.
func (c *Controller) serverAddress(server string) string {
	if s, ok := c.catalog.LastKnown(server); ok {
		return s.Address
	}
	return ""
}

func (c *Controller) completeGrant(now time.Time, l *leaderState, o granter.Grant, outcome granter.Outcome, err error) {
	if outcome == granter.Fenced {
		c.options.Meter.Count(meter.GrantsRefused)
	}
	if outcome != granter.Accepted {
		c.options.Meter.Count(meter.GrantsFailed)
		klog.InfoS("grant failed", "server", o.Server, "range", o.Range.String(), "fence", o.Fence,
			"outcome", outcome.String(), "error", err)
	}
	if c.leaderState != l {
		return
	}
	if outcome == granter.Fenced {
		c.elector.SuspendLease(now)
	}
	l.granter.CompleteGrant(now, o, outcome)
}

// balanceLoad moves ranges away from busy servers.
func (c *Controller) balanceLoad(now time.Time) {
	l := c.leaderState
	if now.Sub(l.lastBalance) < balanceInterval {
		return
	}
	l.lastBalance = now
	c.addLoads(c.options.Forwarder.CollectLoads())
	for _, service := range c.table.KeyedServices() {
		load := l.load(service)
		load.Decay(now)
		ready := l.granter.AssignableServers(now, service)
		maxMoves := max(1, len(ready)/serversPerMove) - l.granter.UngrantedRanges()
		if maxMoves <= 0 {
			continue
		}
		for _, m := range balancer.ChooseMoves(load, l.granter.Placements(now, service), c.capacities(ready), maxMoves) {
			started := l.granter.StartMove(now, service, m.Range, m.To)
			c.options.Meter.Count(meter.MovesStarted)
			klog.InfoS("range move chosen", "service", service, "range", m.Range.String(), "from", m.From, "to", m.To,
				"started", started, "requests", int(load.Total()))
		}
	}
}

func (l *leaderState) load(service string) *balancer.Load {
	if l.loads[service] == nil {
		l.loads[service] = &balancer.Load{}
	}
	return l.loads[service]
}

// addLoads adds the load that an instance has measured.
func (c *Controller) addLoads(loads forwarder.Loads) {
	l := c.leaderState
	for service, keys := range loads.Keys {
		load := l.load(service)
		for key, requests := range keys {
			load.Add(key, requests)
		}
	}
	for server, a := range loads.Answers {
		s := l.speeds[server]
		if s == nil {
			s = &serverSpeed{}
			l.speeds[server] = s
		}
		s.add(a)
	}
}

// maxSpeedAnswers bounds the number of answers that a server's mean service time reflects.
const maxSpeedAnswers = 40

func (s *serverSpeed) add(a forwarder.AnswerStats) {
	if a.Count == 0 {
		return
	}
	count := float64(a.Count)
	s.answers = min(s.answers+count, maxSpeedAnswers)
	s.meanServiceSeconds += (a.TotalServiceTime.Seconds()/count - s.meanServiceSeconds) * min(1, count/s.answers)
}

// priorAnswers is the number of answers with the mean service time of all servers that are added to a server's own, so
// that its first few answers have little weight.
const priorAnswers = 8

// capacities returns the relative capacity of each server: its slots, weighted by its speed.
func (c *Controller) capacities(servers []string) map[string]float64 {
	total, count := 0.0, 0.0
	for _, id := range servers {
		if s := c.leaderState.speeds[id]; s != nil {
			total += s.meanServiceSeconds
			count++
		}
	}
	mean := total / max(count, 1)
	capacities := map[string]float64{}
	for _, id := range servers {
		registration, _ := c.catalog.LastKnown(id)
		speed := 1.0
		if s := c.leaderState.speeds[id]; s != nil && s.meanServiceSeconds > 0 {
			speed = mean * (s.answers + priorAnswers) / (s.meanServiceSeconds*s.answers + mean*priorAnswers)
		}
		capacities[id] = float64(registration.Slots) * speed
	}
	return capacities
}

// dropSilentMembers removes the instances that have missed too many reports.
func (c *Controller) dropSilentMembers(now time.Time) {
	l := c.leaderState
	changed := false
	for name, m := range l.members {
		if now.Sub(m.lastReport) > maxMissedReports*c.reportInterval() {
			klog.InfoS("instance lost", "instance", name, "silent", now.Sub(m.lastReport))
			delete(l.members, name)
			changed = true
		}
	}
	if changed {
		c.updateMembers(now)
	}
}

// updateMembers rebuilds the list of members and publishes it.
func (c *Controller) updateMembers(now time.Time) {
	l := c.leaderState
	l.membersVersion++
	c.membersVersion = l.membersVersion
	c.members = nil
	for _, m := range l.members {
		c.members = append(c.members, m.member)
	}
	slices.SortFunc(c.members, func(a, b resolver.Member) int { return strings.Compare(a.Instance, b.Instance) })
	c.viewOutdated = true
	c.publish(now)
}
