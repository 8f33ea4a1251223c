package controller

import (
	"context"
	"maps"
	"math"
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
	"github.com/wasabibank/wasabibank/platform"
)

// updateLeadership creates the leader's state when the elector says that this instance has been elected, and drops it
// when this instance no longer leads.
func (c *Controller) updateLeadership(now time.Time) {
	election, elected := c.elector.NewlyElected()
	if exhausted := c.elector.TermsExhausted(); exhausted != c.termsExhausted {
		c.termsExhausted = exhausted
		klog.InfoS("no term is left", "exhausted", exhausted, "era", c.elector.Era())
	}
	switch {
	case elected && c.elector.Term() != 0 && election.Continued && c.leaderState != nil:
		c.continueTerm(now, election)
	case elected && c.elector.Term() != 0:
		c.becomeLeader(now, election)
	case c.elector.Term() == 0 && c.leaderState != nil:
		klog.InfoS("leadership lost", "term", c.owners.Version().Term)
		c.endedTerm, c.leaderState = c.leaderState.leaderTerm, nil
		c.lastReport = time.Time{} // report to the new leader at once
	}
}

// becomeLeader starts a term.
func (c *Controller) becomeLeader(now time.Time, election elector.Election) {
	predecessor := election.Predecessor
	plan := storedPlan{exists: c.plan != nil}
	plan.assignments, plan.err = c.readPlan()
	term := c.elector.Term()
	c.leaderState = &leaderState{
		leaderTerm: newLeaderTerm(now, c.grantSettings, term, election, plan), since: now,
		members: map[string]*memberState{}, membersVersion: 1, loads: map[string]*balancer.Load{},
		serviceTimes: map[string]*serviceTime{}, lastBalance: now, plans: map[uint64][]byte{}, predecessor: predecessor,
		predecessorTerm: election.PredecessorTerm, earlierLeaders: election.EarlierLeaders,
		affectedDispatchers: map[string]bool{}, pausedUntil: map[string]time.Time{},
	}
	l := c.leaderState
	c.options.Meter.Count(meter.LeadsTaken)
	klog.InfoS("became leader", "term", term, "before", predecessor.Instance, "ranges", len(plan.assignments),
		"era", c.elector.Era(), "certain", election.Certain, "earlier_leaders", election.EarlierLeaders, "error", plan.err)
	if !l.certainAt.IsZero() {
		klog.InfoS("plan in the store may lack changes; ranges are granted later", "term", term, "wait", l.certainAt.Sub(now))
	}
	for _, m := range c.members {
		l.members[m.Instance] = &memberState{member: m, lastReport: now}
		l.observeMember(m.Instance, m.Incarnation)
	}
	if predecessor.Instance != "" {
		l.predecessorState = l.members[predecessor.Instance]
		if l.predecessorState == nil {
			l.predecessorState = &memberState{member: resolver.Member{
				Instance: predecessor.Instance, Incarnation: predecessor.Incarnation, Address: predecessor.Address,
			}}
		}
	}
	c.leavingServers.handOver(l)
	c.handOverLimits(l)
	c.handOverQuarantine(l)
	c.setServers(now)
	c.restartOwnerMap(now)
	c.publish(now)
}

// restartOwnerMap begins the versions of the owner map with the current term.
func (c *Controller) restartOwnerMap(now time.Time) {
	l := c.leaderState
	l.ownersSequence, l.deltas = 1, nil
	c.owners = c.owners.With(partitioner.Version{Term: c.elector.Term(), Sequence: 1}, l.granter.Segments(now))
	l.granter.ChangedSegments(now) // already part of the full map
	c.viewOutdated = true
}

// continueTerm goes on with a new term of this leader.
func (c *Controller) continueTerm(now time.Time, election elector.Election) {
	l := c.leaderState
	klog.InfoS("leader continues with a new term", "term", c.elector.Term(), "era", c.elector.Era(),
		"certain", election.Certain)
	l.plans, l.requestedPlan = map[uint64][]byte{}, 0
	l.continueWith(c.grantSettings, c.elector.Term(), election)
	if l.frozen {
		klog.InfoS("another leader may have acted; ranges are only renewed", "wait", l.certainAt.Sub(now))
	}
	c.restartOwnerMap(now)
	c.publish(now)
}

// settle ends the wait for leaders of earlier eras of the store, and tells the elector once this leader's plan is stored.
func (c *Controller) settle(now time.Time) {
	if !c.elector.Settled() && c.leaderState.advance(now, c.elector.Term(), c.elector.StoredPlan()) {
		klog.InfoS("plan is complete and stored", "term", c.elector.Term(), "era", c.elector.Era())
		c.elector.Settle(now)
	}
}

// predecessorPublishInterval is the time between two attempts to tell the previous leader that it was replaced.
const predecessorPublishInterval = 500 * time.Millisecond

// notifyPredecessor tells the previous leader that it was replaced until it has answered or its leader lease has expired,
// whether or not it reports here.
func (c *Controller) notifyPredecessor(now time.Time) {
	l := c.leaderState
	if l.predecessor.Instance == "" || now.Before(l.nextPredecessorPublish) ||
		now.Sub(l.since) > ElectionSettings.LeaseDuration {
		return
	}
	l.nextPredecessorPublish = now.Add(predecessorPublishInterval)
	c.publishTo(now, l.predecessorState)
}

// applyEra adapts to a new era of the store: the reads that wait for records of an earlier era end, the registrations that
// the store has lost may reappear, and a leader moves no ranges until it continues with a new term.
func (c *Controller) applyEra(now time.Time) {
	era := c.elector.Era()
	if era == c.eraApplied {
		return
	}
	before := c.eraApplied
	c.eraApplied = era
	c.era.Store(era)
	if !c.elector.EraRose() {
		return // the first answer of the store
	}
	c.options.Meter.Count(meter.StoreRestores)
	klog.InfoS("store came back from an older copy", "era", era, "before", before, "leading", c.leaderState != nil)
	c.lastUnreachable[platform.TopicServers] = now
	if c.leaderState != nil {
		c.leaderState.granter.Freeze()
	}
	c.interruptReads()
}

// setServers passes the servers to the granter.
func (c *Controller) setServers(now time.Time) {
	if !c.recordsRead() {
		return
	}
	c.leaderState.granter.SetServers(now, c.table.KeyedServices(), c.servers())
}

// runLeader runs everything that is due on the leader.
func (c *Controller) runLeader(now time.Time) {
	l := c.leaderState
	if c.viewOutdated || c.ownersOutdated {
		c.setServers(now) // the configuration may contain a new service
	}
	c.dropUnresponsiveMembers(now)
	c.notifyPredecessor(now)
	c.settle(now)
	if l.granter.NeedsNewTerm() {
		c.elector.RequestNewTerm()
	}
	c.requestPlan(now)
	if c.elector.Active(now) && c.table != nil {
		l.granter.SetUnreachable(now, c.held)
		for _, order := range l.granter.Tick(now) {
			c.sendOrder(now, order)
		}
		c.askHolders(now)
		c.requestPlan(now)
		c.balanceLoad(now)
	}
	c.publishChanges(now)
}

// requestPlan requests the append of the current plan if it is not stored yet, and tells the granter which plans are.
func (c *Controller) requestPlan(now time.Time) {
	l := c.leaderState
	l.granter.SetStoredPlans(c.elector.StoredPlan(), c.elector.MaybeStoredPlan())
	maps.DeleteFunc(l.plans, func(sequence uint64, _ []byte) bool { return sequence < c.elector.StoredPlan() })
	sequence, unstored := l.granter.UnstoredPlan()
	if !unstored {
		return
	}
	if sequence != l.requestedPlan {
		if now.Sub(l.requestedAt) < planInterval {
			c.elector.RequestPlan(0) // withdraws the request for the plan before, which is outdated
			return
		}
		assignments, _, _ := l.granter.Plan()
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
		s, known := c.catalog.LastKnown(o.Server)
		if known && o.Incarnation != 0 && s.Incarnation > o.Incarnation {
			l.granter.CompleteGrant(now, o, granter.NotSent) // the plan does not name this incarnation
			return
		}
		go c.sendGrant(time.Now(), l, s.Address, o)
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
				if c.leaderState == l && outcome == granter.Accepted {
					l.forgetInquiry(o.Server)
				}
				l.granter.CompleteRelease(now, o, outcome, handover) // also after the term, see leasesOf
			})
		}()
	}
}

// sendGrant sends a grant that was due at now, a time of time.Now, and posts its outcome. The time of its end counts from then, also if
// this process was suspended before it could send the grant: the leases that this leader passes on cover no later grant.
func (c *Controller) sendGrant(now time.Time, l *leaderState, address string, o granter.Grant) {
	outcome, err := c.orders.Grant(c.context, now, address, o)
	end := time.Now()
	c.options.Meter.Observe(meter.GrantTime, end.Sub(now))
	c.options.Forwarder.ObserveGrant(end, o.Server, outcome == granter.Unanswered, err)
	c.post(func(now time.Time) { c.completeGrant(now, l, o, outcome, err) })
}

// serverAddress returns the address of a server, or its last known address if it is no longer registered.
func (c *Controller) serverAddress(server string) string {
	if s, ok := c.catalog.LastKnown(server); ok {
		return s.Address
	}
	return ""
}

// completeGrant passes the outcome of a grant to the granter. After Fenced this leader may have been replaced, so its
// lease ends until the next append is acknowledged.
func (c *Controller) completeGrant(now time.Time, l *leaderState, o granter.Grant, outcome granter.Outcome, err error) {
	if outcome == granter.Fenced {
		c.options.Meter.Count(meter.GrantsRefused)
	}
	if outcome != granter.Accepted {
		c.options.Meter.Count(meter.GrantsFailed)
		klog.InfoS("grant failed", "server", o.Server, "range", o.Range.String(), "fence", o.Fence,
			"outcome", outcome.String(), "error", err)
	}
	l.granter.CompleteGrant(now, o, outcome) // also after the term, see leasesOf
	if c.leaderState != l {
		return
	}
	if outcome == granter.Fenced {
		c.elector.InvalidateLease(now)
	}
	if outcome == granter.Accepted {
		l.forgetInquiry(o.Server)
	}
}

// balanceLoad collects the load that this instance has measured, and starts the moves that the balancer chooses. An instance that is
// leaving starts none: a release that it does not see answered delays the next owner by a range lease.
func (c *Controller) balanceLoad(now time.Time) {
	l := c.leaderState
	if now.Sub(l.lastBalance) < balanceInterval {
		return
	}
	l.lastBalance = now
	c.addLoads(now, c.options.Forwarder.CollectLoads(time.Now()))
	for _, service := range c.table.KeyedServices() {
		load := l.load(service)
		load.Decay(now)
		if c.leaving || slices.Contains(c.held, service) {
			continue // a release might not be answered in time, or would not arrive
		}
		assignable := l.granter.AssignableServers(now, service)
		conditions := balancer.Conditions{
			CallTime: c.elector.CallTime(now), ServiceTime: l.meanServiceTime(assignable), Ungranted: l.granter.UngrantedRanges(service),
		}
		for _, m := range conditions.ChooseMoves(load, l.granter.Placements(now, service), c.capacities(now, assignable)) {
			started := l.granter.StartMove(now, service, m.Range, m.To)
			c.options.Meter.Count(meter.MovesStarted) // also if an order for the range is in flight, so that it does not start
			klog.InfoS("range move chosen", "service", service, "range", m.Range.String(), "from", m.From, "to", m.To,
				"started", started, "requests", int(load.Total()), "store", conditions.CallTime)
		}
	}
}

// load returns the load of a service.
func (l *leaderState) load(service string) *balancer.Load {
	if l.loads[service] == nil {
		l.loads[service] = &balancer.Load{}
	}
	return l.loads[service]
}

// addLoads adds the load that an instance has measured.
func (c *Controller) addLoads(now time.Time, loads forwarder.Loads) {
	l := c.leaderState
	for service, keys := range loads.Keys {
		load := l.load(service)
		for key, requests := range keys {
			load.Add(key, requests)
		}
	}
	for server, a := range loads.Answers {
		s := l.serviceTimes[server]
		if s == nil {
			s = &serviceTime{}
			l.serviceTimes[server] = s
		}
		s.add(now, a)
		if a.PausedFor > 0 {
			l.pausedUntil[server] = now.Add(a.PausedFor)
		}
	}
}

const (
	// maxServiceTimeAnswers limits the number of service times that a server's mean service time reflects.
	maxServiceTimeAnswers = 40
	// A server's mean service time reflects only those of about the last serviceTimeWindow, but at least minServiceTimeAnswers of them,
	// while their mean differs by the factor speedChange. A server that has become 12 times slower ends 2 or 3 requests a second, so that 40
	// of them would take longer than most of such faults. Smaller differences within a few seconds are mostly random.
	serviceTimeWindow     = 3000 * time.Millisecond
	minServiceTimeAnswers = 5
	speedChange           = 1.3
)

// add adds service times to the means.
func (s *serviceTime) add(now time.Time, a forwarder.AnswerStats) {
	if a.Count == 0 {
		return
	}
	count := float64(a.Count)
	mean := a.TotalServiceTime.Seconds() / count
	s.answers = min(s.answers+count, maxServiceTimeAnswers)
	s.recent = s.recent*math.Exp(-max(0, now.Sub(s.at).Seconds())/serviceTimeWindow.Seconds()) + count
	s.at = now
	s.longSeconds += (mean - s.longSeconds) * min(1, count/s.answers)
	reflected := min(s.answers, max(s.recent, minServiceTimeAnswers))
	s.recentSeconds += (mean - s.recentSeconds) * min(1, count/reflected)
}

// mean returns the mean service time in seconds.
func (s *serviceTime) mean() float64 {
	if s.recentSeconds > speedChange*s.longSeconds || s.longSeconds > speedChange*s.recentSeconds {
		return s.recentSeconds
	}
	return s.longSeconds
}

// priorAnswers is the number of answers with the mean service time of all servers that are added to a server's own, so
// that its first few answers have little weight.
const priorAnswers = 8

// pausedCapacityRatio multiplies the capacity of a server that wants no requests for a while, so that ranges move away from
// it, but not all at once.
const pausedCapacityRatio = 0.5

// minLimitedCapacity is the least capacity of a server that names a limit or is cold, in slots.
const minLimitedCapacity = 0.01

// meanServiceTime returns the mean of the mean service times of servers, or 0 if none was reported.
func (l *leaderState) meanServiceTime(servers []string) time.Duration {
	total, count := 0.0, 0.0
	for _, id := range servers {
		if s := l.serviceTimes[id]; s != nil {
			total += s.mean()
			count++
		}
	}
	return time.Duration(total / max(count, 1) * float64(time.Second))
}

// capacities returns the relative capacity of each server: its slots, weighted by its speed, or the slots that its limit
// lets it use, or that it may use while it is cold.
func (c *Controller) capacities(now time.Time, servers []string) map[string]float64 {
	mean := c.leaderState.meanServiceTime(servers).Seconds()
	capacities := map[string]float64{}
	for _, id := range servers {
		registration, _ := c.catalog.LastKnown(id)
		speed := 1.0
		if s := c.leaderState.serviceTimes[id]; s != nil && s.mean() > 0 {
			speed = mean * (s.answers + priorAnswers) / (s.mean()*s.answers + mean*priorAnswers)
		}
		capacities[id] = float64(registration.Slots) * speed
		if now.Before(c.leaderState.pausedUntil[id]) {
			capacities[id] *= pausedCapacityRatio
		}
		if limit, limited := c.options.Forwarder.Limit(id, registration.Incarnation); limited && mean > 0 {
			capacities[id] = min(capacities[id], max(limit.Rate*mean, minLimitedCapacity))
		}
		if rate, cold := c.options.Forwarder.ColdRate(time.Now(), id); cold && mean > 0 {
			capacities[id] = min(capacities[id], max(rate*mean, minLimitedCapacity))
		}
	}
	return capacities
}

// dropUnresponsiveMembers removes the instances that have missed too many reports.
func (c *Controller) dropUnresponsiveMembers(now time.Time) {
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
	c.membersVersion = membersVersion{term: c.elector.Term(), number: l.membersVersion}
	before := c.members
	c.members = nil
	for _, m := range l.members {
		c.members = append(c.members, m.member)
	}
	slices.SortFunc(c.members, func(a, b resolver.Member) int { return strings.Compare(a.Instance, b.Instance) })
	c.checkServicesLostBy(c.members, before)
	c.viewOutdated = true
	c.publish(now)
}
