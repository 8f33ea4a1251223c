// Package leaser decides how long an instance may act: its lease comes from reading the log up to its tail or, while
// the log can't be read, from the pledges of its witnesses.
package leaser

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// OutagePolicy says how an instance goes on while it can't read the log.
type OutagePolicy int

// The outage policies. Majority is the product's; the others are kept to be measured beside it.
const (
	OutageMajority OutagePolicy = iota
	OutageAll
	OutageStop
)

// WitnessSet is a set of instances of which a number must pledge.
type WitnessSet struct {
	Witnesses []identifier.InstanceID
	Needed    int
}

// Lease is the authority of one instance to act. The zero Lease allows nothing.
type Lease struct {
	current     time.Time
	currentEnds time.Time
	pledges     map[identifier.InstanceID]time.Time
}

// Renew notes that a read of the log that began at readStart has shown every record up to the tail.
func (l *Lease) Renew(readStart time.Time, duration time.Duration) {
	if readStart.After(l.current) {
		l.current = readStart
	}
	if end := readStart.Add(duration); end.After(l.currentEnds) {
		l.currentEnds = end
	}
}

// Pledged notes the answer of a witness to a request sent at sentAt.
func (l *Lease) Pledged(by identifier.InstanceID, sentAt time.Time, duration time.Duration) {
	if l.pledges == nil {
		l.pledges = map[identifier.InstanceID]time.Time{}
	}
	if end := sentAt.Add(duration); end.After(l.pledges[by]) {
		l.pledges[by] = end
	}
}

// Forget drops all that the lease rests on.
func (l *Lease) Forget() { *l = Lease{} }

// Current reports whether the log's tail has been read recently enough to act on it alone.
func (l *Lease) Current(now time.Time) bool { return now.Before(l.currentEnds) }

// CurrentAt returns the beginning of the newest read that reached the tail.
func (l *Lease) CurrentAt() time.Time { return l.current }

// Until returns the time at which the lease ends. Every one of sets must have pledged where the log does not suffice;
// pledges count until outageLimit after the log's tail was last read.
func (l *Lease) Until(sets []WitnessSet, policy OutagePolicy, outageLimit time.Duration) time.Time {
	if policy == OutageStop || l.current.IsZero() {
		return l.currentEnds
	}
	ends := l.current.Add(outageLimit)
	for _, set := range sets {
		if end := l.pledgedUntil(set, policy); end.Before(ends) {
			ends = end
		}
	}
	if ends.Before(l.currentEnds) {
		return l.currentEnds
	}
	return ends
}

// pledgedUntil returns the time until which enough of the set have pledged.
func (l *Lease) pledgedUntil(set WitnessSet, policy OutagePolicy) time.Time {
	needed := set.Needed
	if policy == OutageAll {
		needed = len(set.Witnesses)
	}
	if needed < 1 || needed > len(set.Witnesses) {
		return time.Time{}
	}
	ends := make([]time.Time, 0, len(set.Witnesses))
	for _, id := range set.Witnesses {
		ends = append(ends, l.pledges[id])
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	return ends[needed-1]
}

// Promises are the pledges that an instance has given. The zero Promises has given none.
type Promises struct {
	given map[identifier.InstanceID]time.Time
}

// Give notes a pledge to an instance at now.
func (p *Promises) Give(to identifier.InstanceID, now time.Time) {
	if p.given == nil {
		p.given = map[identifier.InstanceID]time.Time{}
	}
	p.given[to] = now
}

// Drop forgets an instance that is gone.
func (p *Promises) Drop(to identifier.InstanceID) { delete(p.given, to) }

// ReleaseAt returns the time from which an instance whose expulsion was read at expelRead can't act on a lease that
// this instance's word or the log gave it.
func (p *Promises) ReleaseAt(to identifier.InstanceID, expelRead time.Time, routingLease, pledge time.Duration, drift float64) time.Time {
	release := expelRead.Add(Stretch(routingLease, drift))
	if given, ok := p.given[to]; ok {
		if end := given.Add(Stretch(pledge, drift)); end.After(release) {
			release = end
		}
	}
	return release
}

// Stretch lengthens a wait to cover a clock that runs slower by drift.
func Stretch(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) * (1 + drift))
}

// Shrink shortens a permission to cover a clock that runs faster by drift.
func Shrink(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) * (1 - drift))
}
