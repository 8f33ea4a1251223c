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
//     has not expired.
//   - A release ends the leases at once only if the server has certainly accepted the newest grant. Otherwise it may still apply an
//     earlier one afterwards.
//   - The store records who may own a range before the grant is sent.
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

	orderInFlight    bool      // an order has been sent and its outcome is not known yet
	nextOrderAt      time.Time // when the next order is due
	leaseExpiry      time.Time // when the leases of answered grants are known to have expired
	unansweredExpiry time.Time // when the leases of unanswered grants are known to have expired
	inherited        bool      // granted by an earlier leader and not yet by this one; the server serves it without a pause
	failing          bool      // the latest order failed, a grant or a release
	failingSince     time.Time // when the first of consecutive failed grants failed; only valid if a grant set failing
	released         bool      // the server has answered the release, but may still apply a grant that it has not answered
	unconfirmed      bool      // the answer to the latest grant may have been one to an earlier order; see Grant.Confirmed
	confirmFailed    bool      // during a release: the grant that was to confirm the lease has not been accepted
}

// previousOwner is the server that has just released a range. The plan in the store names it until the plan with the next
// owner is stored.
type previousOwner struct {
	server      string
	incarnation int64
	releasedAt  time.Time
}

// latestExpiry returns when all leases that have been granted for the range are known to have expired.
func (o *ownership) latestExpiry() time.Time {
	if o.unansweredExpiry.After(o.leaseExpiry) {
		return o.unansweredExpiry
	}
	return o.leaseExpiry
}

// Order is a call to a backend server: a Grant or a Release.
type Order interface{ order() }

// Grant gives a server the lease of a range, or renews it.
type Grant struct {
	ID            int // id of the range, for CompleteGrant
	Server        string
	Range         partitioner.Range
	Fence         uint64 // fencing token: the server refuses fences lower than the highest that it has seen for a key
	LeaseDuration time.Duration
	// Handover is the previous owner's answer to its release, an opaque text that lets the new owner serve the keys without
	// a warm-up. It is empty if there was no answered release, and for a renewal.
	Handover string
	// Confirmed demands an answer that can't be a late one to an earlier order. Without it, Accepted may come before the server has
	// applied this grant. Once a confirmed grant is accepted, the server refuses all earlier ones, whose fences are lower.
	Confirmed bool
}

// Release ends a server's lease of a range.
type Release struct {
	ID     int // id of the range, for CompleteRelease
	Server string
	Range  partitioner.Range
	Fence  uint64 // not lower than the fence of any grant of the range to this server
}

func (Grant) order()   {}
func (Release) order() {}

// Outcome is the result of an order.
type Outcome int

// The outcomes of an order.
const (
	Accepted   Outcome = iota // the server has applied the order
	Fenced                    // refused: the server has seen a higher fence
	NotSent                   // the server has certainly not received it
	Unanswered                // the server may have applied it, or may apply it later
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"accepted", "fenced", "not_sent", "unanswered"}[o]
}

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
	changed             map[int]bool                // ids of ranges that changed since the last call of ChangedSegments
}

// New returns the Granter of a new leader with the given term. assignments is the stored plan. Leases that an earlier
// leader granted may last until predecessorExpiry.
func New(settings Settings, now time.Time, term uint64, assignments []Assignment, predecessorExpiry time.Time) *Granter {
	g := &Granter{
		settings: settings, term: term, ranges: map[int]*ownership{}, servers: map[string]cataloger.Server{},
		exclusions: map[string]exclusion{}, changed: map[int]bool{},
	}
	for _, a := range assignments {
		if a.Server == "" {
			g.addRange(&ownership{Assignment: a, state: free})
			continue
		}
		g.addRange(&ownership{
			Assignment: a, state: granting, fence: g.nextFence(), inherited: true, leaseExpiry: predecessorExpiry,
			nextOrderAt: now,
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
		o.leaseExpiry, o.inherited = until, false
		if o.state != free {
			o.state, o.planSequence = planned, g.planSequence
		}
	}
}

// Freeze makes the granter renew the leases of ranges and do nothing else, until ContinueTerm is called: another leader,
// whose record the store has lost, may have moved ranges. The servers refuse the renewals of those that it has moved,
// because it has granted them with a higher fence first.
func (g *Granter) Freeze() { g.frozen = true }

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
			}
		}
	}
	g.unreachable = services
}

// StorePlanAgain records that the store has lost the plan.
func (g *Granter) StorePlanAgain() {
	g.storedSequence, g.maybeStoredSequence = 0, 0
	g.planSequence++
}

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

// SetServers replaces the known servers by those of servers that belong to keyedServices. A keyed service without
// assignments gets them. A server with a new incarnation is granted its ranges anew. A range whose first grant has not been
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
		if previous, existed := previousServers[o.Server]; known && existed && s.Incarnation > previous.Incarnation {
			delete(g.exclusions, o.Server)
			g.regrantAfterRestart(now, o)
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
	o.state, o.inherited, o.handover = granting, false, ""
	o.fence = g.nextFence()
	o.nextOrderAt = now
	g.changed[o.id] = true
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
			Assignment: Assignment{Service: service, Range: r, Server: assignable[i]}, state: planned,
			planSequence: g.planSequence, fence: g.nextFence(), leaseExpiry: g.uncertainUntil,
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

// sortedRanges returns the ranges sorted by id, so that the same events always result in the same orders. The caller must not
// change the slice; ranges that are added or removed later do not show in it.
func (g *Granter) sortedRanges() []*ownership { return g.sorted }

// PredecessorStopped records that no earlier leader sends orders from now on. Orders that were sent before may still arrive,
// so the leases of earlier leaders are waited for as if they had been granted now.
func (g *Granter) PredecessorStopped(now time.Time) {
	expiry := now.Add(g.settings.MaxLeaseLifetime())
	for _, o := range g.ranges {
		if o.inherited && expiry.Before(o.leaseExpiry) {
			o.leaseExpiry = expiry
		}
	}
}

// StartMove starts to move a range, which must lie within one assignment, to nextOwner. It reports whether the
// move has started. A range is not moved while an order for it is in flight or failing, or while the lease of an unanswered
// grant may be valid.
func (g *Granter) StartMove(now time.Time, service string, r partitioner.Range, nextOwner string) bool {
	for _, o := range g.ranges {
		if g.frozen || o.Service != service || !o.stable() || o.Server == nextOwner || now.Before(o.unansweredExpiry) {
			continue
		}
		if o.Range.First <= r.First && r.Last <= o.Range.Last {
			g.startRelease(now, g.splitRange(o, r), nextOwner)
			return true
		}
	}
	return false
}

// splitRange splits o so that r has a separate ownership, and returns that. All parts keep the fence, the leases and the
// due time of o.
func (g *Granter) splitRange(o *ownership, r partitioner.Range) *ownership {
	if o.Range.First < r.First {
		left := *o
		left.Range.Last = r.First - 1
		g.addRange(&left)
	}
	if o.Range.Last > r.Last {
		right := *o
		right.Range.First = r.Last + 1
		g.addRange(&right)
	}
	o.Range = r
	g.changed[o.id] = true
	return o
}

// startRelease starts the release of a range. Its next owner is nextOwner, or chosen by planOwner if nextOwner is empty.
func (g *Granter) startRelease(now time.Time, o *ownership, nextOwner string) {
	o.state, o.nextOwner, o.nextOrderAt, o.failing, o.released, o.handover = releasing, nextOwner, now, false, false, ""
	o.confirmFailed = false
	g.changed[o.id] = true
}

// UnstoredPlan returns the sequence number of the current plan, and whether it is not stored yet.
func (g *Granter) UnstoredPlan() (sequence uint64, unstored bool) {
	return max(g.planSequence, g.storedSequence), g.planSequence > g.storedSequence
}

// Plan returns the plan to store and its sequence number. If the current plan is stored already, unstored is false and
// there are no assignments. A range that is being released is recorded with its present owner, which may still have a lease.
func (g *Granter) Plan() (assignments []Assignment, sequence uint64, unstored bool) {
	sequence, unstored = g.UnstoredPlan()
	if !unstored {
		return nil, sequence, false
	}
	ranges := g.sortedRanges()
	assignments = make([]Assignment, 0, len(ranges))
	for _, o := range ranges {
		assignment := o.Assignment
		if o.state == free {
			assignment.Server = ""
		}
		assignments = append(assignments, assignment)
	}
	return assignments, sequence, true
}

// SetStoredPlans records the sequence numbers of the newest plan that is known to be in the store, and of the newest one
// that may be there: no plan after maybeStored is in the store or can get there unless it is sent again.
func (g *Granter) SetStoredPlans(sequence, maybeStored uint64) {
	g.storedSequence = max(g.storedSequence, sequence)
	g.maybeStoredSequence = max(g.storedSequence, maybeStored) // unlike storedSequence, it may fall
}

// ChangedSegments returns the segments that have changed since the last call.
func (g *Granter) ChangedSegments(now time.Time) []partitioner.Segment {
	if len(g.changed) == 0 {
		return nil
	}
	var segments []partitioner.Segment
	for _, o := range g.sortedRanges() {
		if g.changed[o.id] {
			segments = append(segments, g.segment(now, o))
		}
	}
	clear(g.changed)
	return segments
}

// Segments returns the segments of all ranges.
func (g *Granter) Segments(now time.Time) []partitioner.Segment {
	var segments []partitioner.Segment
	for _, o := range g.sortedRanges() {
		segments = append(segments, g.segment(now, o))
	}
	return segments
}

// segment returns the segment of a range for the owner map.
func (g *Granter) segment(now time.Time, o *ownership) partitioner.Segment {
	s := partitioner.Segment{Service: o.Service, Range: o.Range, Server: o.Server}
	s.Moving = o.state != granted && !(o.state == granting && o.inherited)
	// Other pauses are short or of unknown length.
	if (o.state == releasing && (o.failing || o.released)) || o.state == planned {
		s.PauseMS = uint32(max(0, o.latestExpiry().Sub(now).Milliseconds()))
	}
	return s
}

// Placement is a range and the server that carries its load, or will carry it after a move in progress.
type Placement struct {
	Range   partitioner.Range
	Server  string
	Movable bool // no order or move is in progress, and no lease of an unanswered grant may be valid
}

// Placements returns the ranges of a service, except those whose next owner is not chosen yet.
func (g *Granter) Placements(now time.Time, service string) []Placement {
	var list []Placement
	for _, o := range g.sortedRanges() {
		server := o.Server
		if o.state == releasing || o.state == free {
			server = o.nextOwner
		}
		if o.Service == service && server != "" {
			list = append(list, Placement{
				Range: o.Range, Server: server, Movable: o.stable() && !now.Before(o.unansweredExpiry),
			})
		}
	}
	return list
}

// UngrantedRanges returns the number of ranges of a service that are not granted: those that move, that have no owner, or
// whose owner has not answered this leader's first grant yet.
func (g *Granter) UngrantedRanges(service string) int {
	count := 0
	for _, o := range g.ranges {
		if o.Service == service && o.state != granted {
			count++
		}
	}
	return count
}
