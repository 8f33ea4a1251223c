// Package granter decides which backend server owns which key ranges. It runs on the leader only. It does no I/O and
// reads no clock: its inputs are events and the current time, its output is the orders to send to backend servers.
//
// The pause of keys that move is kept short: the owner serves a range until the release is sent, requests wait while the
// owner finishes those in flight, and the next owner serves the range as soon as it has answered its grant.
//
// Exclusive ownership rests on four rules:
//   - A range is granted to another server only after its previous owner has answered a release, or after every lease that
//     the previous owner may have has expired.
//   - These leases include those of grants that got no answer, and those of grants by an earlier leader whose leader lease
//     has not expired. The previous leader may say until when these last; see PredecessorStopped.
//   - A release ends the leases at once only if the server has certainly accepted the newest grant. Otherwise it may still apply an
//     earlier one afterwards.
//   - The store records who may own a range before the grant is sent, with the server's incarnation.
//
// Leases of an incarnation that has ended are over at once; see ServerEnded.
//
// After the store came back from an older copy, its record may name an earlier owner. DistrustPlan and Freeze then make the
// leader wait until every leader that may have changed it has stopped.
//
// A lease is always a range lease here; that of the leader is called leader lease.
//
// Besides the orders, four types name a range and a server: an Assignment is the record in the store, an ownership the
// leader's state, a Segment what instances route by, and a Placement what the balancer sees.
package granter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// Settings are the durations of leases and of the retries of orders. All instances must use the same settings.
type Settings struct {
	LeaseDuration time.Duration // how long a lease lasts from the arrival of its grant
	RenewInterval time.Duration // time between renewals of a lease
	// TransitMargin is added to the time after which a lease is known to have expired. It covers the time that a grant
	// needs to reach the server after it was sent.
	TransitMargin time.Duration
	// RetryDelay is the delay before an order is sent again after a failure.
	RetryDelay time.Duration
	// PersistTimeout is how long after its release a range waits for the plan with its next owner to be stored. If it is not
	// stored by then, the range may return to its previous owner, until 2*PersistTimeout after the release. With 0 it never
	// returns.
	PersistTimeout time.Duration
}

// maxClockErrorPercent is by how many percent a server's clock may run slow according to the platform's rules.
// MaxLeaseLifetime adds as many percent of the lease duration.
const maxClockErrorPercent = 2

// MaxLeaseLifetime returns how long a lease may last by the leader's clock, counted from the latest time at which its grant
// may have been sent.
func (s Settings) MaxLeaseLifetime() time.Duration {
	return s.LeaseDuration + s.LeaseDuration*maxClockErrorPercent/100 + s.TransitMargin
}

// Assignment is the server that may own a range, as recorded in the store. Server is empty if there is none.
type Assignment struct {
	Service string
	Range   partitioner.Range
	Server  string
	// Incarnation is the latest incarnation of Server that may have a lease of the range, or 0 if it is not known: earlier builds do
	// not record it.
	Incarnation int64
}

// state is the state of a range's ownership.
type state int

const (
	free      state = iota // no server owns the range
	planned                // the next owner is chosen; the grant waits until the plan is stored
	granting               // the owner has not answered its first grant yet
	granted                // the owner has answered a grant
	releasing              // the owner was sent a release, or a release is due
)

// ownership is a range, its owner and the leases that the owner may have.
type ownership struct {
	Assignment
	id            int
	state         state
	fence         uint64        // highest fence of the range, sent with its orders
	handover      string        // the previous owner's answer to its release, for the next owner; see Grant
	nextOwner     string        // owner after the release; planOwner chooses one if empty
	previousOwner previousOwner // server to which a released range may return
	planSequence  uint64        // sequence number of the plan that must be stored before the grant is sent
	// incarnationSequence is the sequence number of the plan that must be stored before an order may give Incarnation a lease;
	// 0 if it is stored.
	incarnationSequence uint64

	orderInFlight    bool      // an order has been sent and its outcome is not known yet
	nextOrderAt      time.Time // when the next order is due
	leaseExpiry      time.Time // when the leases of answered grants are known to have expired
	unansweredExpiry time.Time // when the leases of unanswered grants are known to have expired
	// inheritedExpiry is when the leases of grants by earlier leaders are known to have expired. Once the server has accepted a
	// grant of this leader, that is of grants which it had received before and may still apply.
	inheritedExpiry time.Time
	// inheritedUnanswered is when the leases of those grants by earlier leaders are known to have expired that were not answered;
	// zero if the previous leader has not said so.
	inheritedUnanswered time.Time
	inherited           bool      // granted by an earlier leader and not yet by this one; the server serves it without a pause
	failing             bool      // the latest order failed, a grant or a release
	failingSince        time.Time // when the first of consecutive failed grants failed; only valid if a grant set failing
	acceptedSince       time.Time // when the first of consecutive accepted grants was accepted; only valid if granted and not failing
	released            bool      // the server has answered the release, but may still apply a grant that it has not answered
	unconfirmed         bool      // the answer to the latest grant may have been one to an earlier order; see Grant.Confirmed
	confirmFailed       bool      // during a release: the grant that was to confirm the lease has not been accepted
}

// previousOwner is the server that has just released a range. The plan in the store names it until the plan with the next
// owner is stored.
type previousOwner struct {
	server      string
	incarnation int64
	releasedAt  time.Time
}

// latestExpiry returns when all leases that have been granted for the range are known to have expired.
func (o *ownership) latestExpiry() time.Time { return later(o.leaseExpiry, o.pendingExpiry()) }

// pendingExpiry returns when the leases are known to have expired of grants that the server may still apply after it has answered
// a release: those without an answer, and those of earlier leaders.
func (o *ownership) pendingExpiry() time.Time { return later(o.unansweredExpiry, o.inheritedExpiry) }

// Granter is the leader's state of all ranges and servers. Use New to create one. It is not safe for concurrent use.
type Granter struct {
	settings            Settings
	term                uint64
	fenceCount          uint64                      // number of fences used in this term
	lastID              int                         // id of the range that was added last
	ranges              map[int]*ownership          // by id
	sorted              []*ownership                // the ranges, sorted by id
	lastMerge           time.Time                   // when mergeNeighbours ran last
	servers             map[string]cataloger.Server // by id, those of keyed services
	exclusions          map[string]exclusion        // by server id
	uncertainUntil      time.Time                   // until then servers that no plan names may have leases; see DistrustPlan
	frozen              bool                        // see Freeze
	unreachable         []string                    // see SetUnreachable
	planSequence        uint64                      // sequence number of the current plan
	storedSequence      uint64                      // sequence number of the newest plan known to be stored
	maybeStoredSequence uint64                      // sequence number of the newest plan that may be in the store, now or later
	planRenewed         bool                        // the plan of an earlier leader is to be stored again, or has been
	endExpected         map[string]time.Time        // by server id; see ExpectEnd
	changed             map[int]bool                // ids of ranges that changed since the last call of ChangedSegments
}

// New returns the Granter of a new leader with the given term. assignments is the stored plan. Leases that an earlier
// leader granted may last until predecessorExpiry.
func New(settings Settings, now time.Time, term uint64, assignments []Assignment, predecessorExpiry time.Time) *Granter {
	g := &Granter{
		settings: settings, term: term, ranges: map[int]*ownership{}, servers: map[string]cataloger.Server{},
		exclusions: map[string]exclusion{}, changed: map[int]bool{}, endExpected: map[string]time.Time{},
	}
	for _, a := range assignments {
		if a.Server == "" {
			g.addRange(&ownership{Assignment: a, state: free})
			continue
		}
		g.addRange(&ownership{
			Assignment: a, state: granting, fence: g.nextFence(), inherited: true,
			inheritedExpiry: predecessorExpiry, nextOrderAt: now,
		})
	}
	return g
}

// DistrustPlan records that the assignments passed to New may be outdated, because the store has lost records: another leader
// may have granted any range to any server, by leases that have expired at until. Nothing is granted before, not even to
// the servers that the plan names. It must be called before anything else.
func (g *Granter) DistrustPlan(until time.Time) {
	g.uncertainUntil = until
	g.planSequence++
	for _, o := range g.ranges {
		o.leaseExpiry, o.inheritedExpiry, o.inherited = until, time.Time{}, false
		if o.state != free {
			o.state, o.planSequence = planned, g.planSequence
		}
	}
}

// Freeze makes the granter renew the leases of ranges and do nothing else, until ContinueTerm is called: another leader,
// whose record the store has lost, may have moved ranges. The servers refuse the renewals of those that it has moved,
// because it has granted them with a higher fence first.
func (g *Granter) Freeze() { g.frozen = true }

// ContinueTerm continues with a higher term, whose plan has to be stored. It ends Freeze.
func (g *Granter) ContinueTerm(term uint64) {
	g.term, g.fenceCount, g.frozen = term, 0, false
	g.StorePlanAgain()
	for _, o := range g.sortedRanges() {
		o.fence = g.nextFence()
	}
}

// addRange adds a range under a new id.
func (g *Granter) addRange(o *ownership) *ownership {
	g.lastID++
	o.id = g.lastID
	g.ranges[o.id] = o
	g.sorted = append(g.sorted, o) // ids rise
	g.changed[o.id] = true
	return o
}

// removeRange removes a range.
func (g *Granter) removeRange(o *ownership) {
	delete(g.ranges, o.id)
	delete(g.changed, o.id)
	g.sorted = slices.DeleteFunc(slices.Clone(g.sorted), func(other *ownership) bool { return other == o })
}

const (
	// fenceCountBits is the number of low bits of a fence that count the fences of a term; the term takes the bits above.
	fenceCountBits = 24
	maxFenceCount  = 1<<fenceCountBits - 1
	// fenceReserve is how many fences are left when a leader asks for a new term, for which it needs the store. At 300 grants
	// a second they last for 58 minutes.
	fenceReserve = 1 << 20
)

// nextFence returns a fence that is higher than all that this or an earlier leader has used. After maxFenceCount fences in
// one term it returns the last one again; Tick sends no orders then.
func (g *Granter) nextFence() uint64 {
	g.fenceCount = min(g.fenceCount+1, maxFenceCount)
	return g.term<<fenceCountBits | g.fenceCount
}

// NeedsNewTerm reports whether this term soon runs out of fences. ContinueTerm ends that.
func (g *Granter) NeedsNewTerm() bool { return g.fenceCount >= maxFenceCount-fenceReserve }

// sortedRanges returns the ranges sorted by id, so that the same events always result in the same orders. The caller must not
// change the slice; ranges that are added or removed later do not show in it.
func (g *Granter) sortedRanges() []*ownership { return g.sorted }
