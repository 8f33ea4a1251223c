package controller

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

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
		partitioner.SetPausedUntil(time.Now(), changed) // the forwarder compares these with time.Now, not with timekeeper
		l.ownersSequence++
		l.deltas = append(l.deltas, delta{sequence: l.ownersSequence, segments: changed})
		if len(l.deltas) > maxDeltas {
			l.deltas = slices.Delete(l.deltas, 0, len(l.deltas)-maxDeltas)
		}
		c.owners = c.owners.With(partitioner.Version{Term: c.elector.Term(), Sequence: l.ownersSequence}, changed)
		c.ownersOutdated = true
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

// publish sends changes of the owner map and the members. In a small cluster each instance gets them, else only the
// affected dispatchers and the previous leader; the others get them in the answers to their reports.
func (c *Controller) publish(now time.Time) {
	c.leaderState.lastPublish, c.leaderState.unpublished = now, false
	for name, m := range c.leaderState.members {
		if len(c.leaderState.members) < smallClusterSize || c.leaderState.affectedDispatchers[name] ||
			m.member.Instance == c.leaderState.predecessor.Instance {
			c.publishTo(now, m)
		}
	}
	clear(c.leaderState.affectedDispatchers)
}

// publishTo sends an instance the changes that it lacks. Only one publication to an instance is in flight at a time; if
// there are changes meanwhile, another one follows. After a failed one, the answer to the next report of the instance
// contains what it lacks.
func (c *Controller) publishTo(now time.Time, m *memberState) {
	if m.publishing {
		m.publishAgain = true
		return
	}
	l := c.leaderState
	owners, members := c.changesFor(now, m.ownerMapVersion, m.membersVersion)
	leaving := c.leavingFor(m.leavingVersion)
	crashes := c.crashRecordsFor(m.crashesVersion)
	leasesOfTerm := l.leasesToAskFor(m.member.Instance)
	if owners == nil && members == nil && leaving == nil && crashes == nil && leasesOfTerm == 0 {
		return
	}
	m.publishing, m.publishAgain = true, false
	limits := c.limitsFor(m.limitsVersion) // they alone can wait for the next report
	request := &herald.PublishRequest{
		Lead: c.knownLeader(), Owners: owners, Members: members, Leaving: leaving, Limits: limits,
		CrashRecords: crashes, LeasesOfTerm: leasesOfTerm,
	}
	peer := c.peers.get(m.member.Address)
	go func() {
		ctx, cancel := context.WithTimeout(c.context, peerCallTimeout)
		defer cancel()
		reply, err := peer.Publish(ctx, request)
		c.post(func(now time.Time) {
			if c.leaderState != l {
				return
			}
			m.publishing = false
			if err != nil {
				klog.InfoS("publishing changes to instance failed", "instance", m.member.Instance, "error", err)
				return // the answer to its next report contains the changes
			}
			c.handlePublishReply(now, reply)
			if owners != nil {
				m.ownerMapVersion = partitioner.Version{Term: owners.GetTerm(), Sequence: owners.GetSequence()}
			}
			if members != nil {
				m.membersVersion = membersVersion{term: members.GetTerm(), number: members.GetVersion()}
			}
			if leaving != nil {
				m.leavingVersion = leavingVersion{term: leaving.GetTerm(), known: leaving.GetKnown()}
			}
			if crashes != nil {
				m.crashesVersion = changeVersion{term: crashes.GetTerm(), number: crashes.GetVersion()}
			}
			if limits != nil {
				m.limitsVersion = changeVersion{term: limits.GetTerm(), number: limits.GetVersion()}
			}
			if m.publishAgain {
				c.publishTo(now, m)
			}
		})
	}()
}

// handlePublishReply checks whether the previous leader has stopped: once it answers that it no longer leads, or a new
// incarnation of it answers, it sends no more orders. Leases that it passes on include those of earlier leaders, which may still act.
func (c *Controller) handlePublishReply(now time.Time, reply *herald.PublishReply) {
	l := c.leaderState
	member := reply.GetMember()
	fromPredecessor := member.GetInstance() == l.predecessor.Instance
	if fromPredecessor && (!reply.GetLeading() || member.GetIncarnation() != l.predecessor.Incarnation) {
		inherited := l.granter.PredecessorStopped(now, c.passedLeases(reply), l.earlierLeaders)
		c.options.Meter.Add(meter.LeasesInherited, inherited)
		klog.InfoS("previous leader has stopped", "instance", l.predecessor.Instance, "leases_inherited", inherited)
		l.predecessor = elector.Identity{}
		if !l.earlierLeaders && l.certainAt.IsZero() {
			c.elector.RecordSole()
		}
	}
}

// changesFor returns the changes that an instance with the given versions lacks.
func (c *Controller) changesFor(
	now time.Time, ownerMapVersion partitioner.Version, known membersVersion,
) (*herald.Owners, *herald.Members) {
	l := c.leaderState
	var members *herald.Members
	if current := (membersVersion{term: c.elector.Term(), number: l.membersVersion}); known != current {
		members = &herald.Members{
			Term: current.term, Version: current.number, Members: []*herald.Member{c.encodeSelf()},
		}
		for _, m := range l.members {
			members.Members = append(members.Members, encodeMember(m.member))
		}
	}
	term := c.elector.Term()
	if ownerMapVersion == (partitioner.Version{Term: term, Sequence: l.ownersSequence}) {
		return nil, members
	}
	owners := &herald.Owners{Term: term, Sequence: l.ownersSequence, Base: ownerMapVersion.Sequence}
	var segments []partitioner.Segment
	if ownerMapVersion.Term == term && len(l.deltas) > 0 && ownerMapVersion.Sequence+1 >= l.deltas[0].sequence {
		for _, d := range l.deltas {
			if d.sequence > ownerMapVersion.Sequence {
				segments = append(segments, d.segments...)
			}
		}
	} else {
		owners.Whole = true
		segments = c.owners.All()
	}
	owners.Services, owners.Segments = herald.EncodeSegments(segments)
	return owners, members
}
