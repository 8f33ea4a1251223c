package controller

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// maxPassedLeases is the number of ranges above which the leases of a previous leader are ignored. Large systems have 10,000.
	maxPassedLeases = 1 << 17
	// maxPassedLease is the time above which they are ignored. A leader lease and a range lease last for 24.2 s together.
	maxPassedLease = time.Minute
)

// leasesToAskFor returns the term of the previous leader whose leases an instance is to be asked for, or 0.
func (l *leaderState) leasesToAskFor(instance string) uint64 {
	if instance != l.predecessor.Instance {
		return 0
	}
	return l.predecessorTerm
}

// leasesOf returns the leases that the next leader has to wait for, if this instance led in a term until now and knows them all.
// Orders that were in flight when the term ended count as answered once they are.
func (c *Controller) leasesOf(now time.Time, term uint64) *herald.Leases {
	t := c.endedTerm
	if term == 0 || c.leaderState != nil || t.granter == nil || t.granter.Term() != term || t.frozen || now.Before(t.certainAt) {
		return nil
	}
	leases, ok := t.granter.Leases(now, platform.GrantTimeout)
	if !ok {
		return nil
	}
	return encodeLeases(term, leases)
}

// passedLeases returns the leases in the answer of the previous leader, or none if they are of another term than the one before this
// leader's, are not valid, or other leaders may have granted ranges as well.
func (c *Controller) passedLeases(reply *herald.PublishReply) []granter.RangeLease {
	l := c.leaderState
	passed := reply.GetLeases()
	if passed == nil || reply.GetLeading() || reply.GetMember().GetIncarnation() != l.predecessor.Incarnation ||
		passed.GetTerm() == 0 || passed.GetTerm() != l.predecessorTerm || l.frozen || !l.certainAt.IsZero() {
		return nil
	}
	leases, ok := decodeLeases(passed)
	if !ok {
		c.options.Meter.Count(meter.InvalidLeases)
		klog.InfoS("leases of previous leader are invalid", "instance", l.predecessor.Instance, "ranges", len(passed.GetRanges()))
	}
	return leases
}

// encodeLeases returns the message form of leases.
func encodeLeases(term uint64, leases []granter.RangeLease) *herald.Leases {
	message := &herald.Leases{Term: term}
	for _, l := range leases {
		index := slices.Index(message.Services, l.Service)
		if index < 0 {
			index = len(message.Services)
			message.Services = append(message.Services, l.Service)
		}
		message.Ranges = append(message.Ranges, &herald.RangeLease{
			Service: uint32(index), First: uint32(l.Range.First), Last: uint32(l.Range.Last),
			AnsweredMs: ceilMilliseconds(l.Answered), UnansweredMs: ceilMilliseconds(l.Unanswered),
		})
	}
	return message
}

// ceilMilliseconds returns a duration in milliseconds, rounded up so that no lease is waited for too shortly.
func ceilMilliseconds(d time.Duration) int64 {
	return (d + time.Millisecond - 1).Milliseconds()
}

// decodeLeases is the inverse of encodeLeases. ok is false if anything in the message is invalid.
func decodeLeases(message *herald.Leases) (leases []granter.RangeLease, ok bool) {
	if len(message.GetRanges()) > maxPassedLeases {
		return nil, false
	}
	const maxMS = int64(maxPassedLease / time.Millisecond)
	for _, r := range message.GetRanges() {
		if int(r.GetService()) >= len(message.GetServices()) || r.GetFirst() > r.GetLast() || r.GetLast() > partitioner.MaxKey ||
			min(r.GetAnsweredMs(), r.GetUnansweredMs()) < 0 || max(r.GetAnsweredMs(), r.GetUnansweredMs()) > maxMS {
			return nil, false
		}
		leases = append(leases, granter.RangeLease{
			Service:    message.GetServices()[r.GetService()],
			Range:      partitioner.Range{First: uint16(r.GetFirst()), Last: uint16(r.GetLast())},
			Answered:   time.Duration(r.GetAnsweredMs()) * time.Millisecond,
			Unanswered: time.Duration(r.GetUnansweredMs()) * time.Millisecond,
		})
	}
	return leases, true
}
