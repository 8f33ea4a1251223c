// Package elector decides which instance is the leader: the one whose record was appended to the store last. It is pure:
// events and the present time are its input, calls to the store its output, one at a time.
//
// A leader may act until its lease ends, which lasts for a fixed time after its last append that the store acknowledged.
// An instance that takes over waits for the end of that lease only before it acts on backend servers that it can't
// reach.
package elector

import (
	"time"
)

// Settings are the times of the leader election. Each instance must use the same.
type Settings struct {
	// LeaseDuration is how long a leader may act after it sent an append that was acknowledged. It covers outages of the
	// store.
	LeaseDuration time.Duration
	// RenewInterval is how often a leader appends its record again.
	RenewInterval time.Duration
	// ElectionTimeout is how long neither a sign of the leader nor its record may arrive before another instance takes
	// over. It is shorter than a lease of keys lasts after its last renewal.
	ElectionTimeout time.Duration
	// SuspicionTimeout is how long no sign of the leader may arrive before an instance looks for the leader's record in
	// the store.
	SuspicionTimeout time.Duration
	// RetryDelay is the pause after a call that failed.
	RetryDelay time.Duration
	// RefusalThreshold is how many connections in a row the leader's machine must refuse before the leader counts as
	// stopped.
	RefusalThreshold int
	// MaxJitter spreads the instances that want to take over.
	MaxJitter time.Duration
}

// lookSpread makes the instances whose turn to take over comes late look more rarely for a store that is lost for all.
const lookSpread = 16

// Identity tells instances and their incarnations apart.
type Identity struct {
	Instance    string
	Incarnation uint64
	Address     string
}

// Leader is the record of a leader in the store.
type Leader struct {
	Identity Identity
	Term     uint64
}

// Call is a call to the store.
type Call interface{ call() }

// ReadLeader asks for the newest records and the end of the topic.
type ReadLeader struct{}

// AppendLeader appends the record of this instance, which becomes the leader or renews its lease, where the topic ends
// at Offset.
type AppendLeader struct {
	Leader Leader
	Offset int64
}

// AppendPlan appends a plan where the topic ends at Offset.
type AppendPlan struct {
	Sequence uint64
	Offset   int64
}

func (ReadLeader) call()   {}
func (AppendLeader) call() {}
func (AppendPlan) call()   {}

// Elector is the state of one instance. Use New.
type Elector struct {
	settings Settings
	self     Identity
	offset   time.Duration // this instance's part of the jitter

	known bool // whether end and lead are those of the store, as far as this instance can tell
	end   int64
	lead  Leader
	term  uint64 // of this instance while it leads, else 0

	calling   bool
	under     Call      // the call that is under way
	called    time.Time // when it began
	next      time.Time // earliest time of the next call
	authority time.Time
	renew     time.Time
	plan      uint64 // sequence number of a plan that waits for being stored
	stored    uint64
	uncertain uint64 // highest sequence number of a plan whose append got no answer
	unfit     bool   // this instance does not know enough to lead

	heard     time.Time // last sign of life of the leader
	refusals  int
	contact   time.Time // last answer of the store
	yields    bool      // the leader wants this instance to take over
	stopped   bool      // the instance that led does not lead any more, and knew of no successor
	took      bool      // a lead was taken since the last call of NewlyElected
	waitUntil time.Time // earliest time of a takeover
	before    Identity  // the leader before this instance, where it may still give orders
}

// New returns the Elector of an instance. share, from 0 to 1, is its place in the jitter.
func New(settings Settings, now time.Time, self Identity, share float64) *Elector {
	return &Elector{
		settings: settings, self: self, offset: time.Duration(share * float64(settings.MaxJitter)),
		next: now, heard: now, contact: now,
	}
}

// Leader returns the present leader; ok is false while none is known.
func (e *Elector) Leader() (lead Leader, ok bool) { return e.lead, e.lead.Identity.Instance != "" }

// Term returns the term of this instance, or 0 while it does not lead.
func (e *Elector) Term() uint64 { return e.term }

// Active reports whether this instance leads and may give orders at now.
func (e *Elector) Active(now time.Time) bool { return e.term != 0 && now.Before(e.authority) }

// StoreUnreachable reports whether the store has not answered this instance for a while, in which it was asked.
func (e *Elector) StoreUnreachable(now time.Time) bool {
	return now.Sub(e.contact) > e.settings.ElectionTimeout
}

// NewlyElected reports, once for each term, that this instance has become the leader, and which leader before it may
// still give orders. An earlier incarnation of this instance has surely stopped.
func (e *Elector) NewlyElected() (taken bool, before Identity) {
	taken, e.took = e.took, false
	return taken, e.before
}

// RequestPlan asks for the plan with a sequence number to be stored.
func (e *Elector) RequestPlan(sequence uint64) { e.plan = sequence }

// StoredPlan returns the sequence number of the newest plan of this term that is in the store.
func (e *Elector) StoredPlan() uint64 { return e.stored }

// MaybeStoredPlan returns the highest sequence number of a plan of this term that may be in the store, now or later: its
// append was acknowledged, is under way, or got no answer.
func (e *Elector) MaybeStoredPlan() uint64 {
	sent := uint64(0)
	if store, ok := e.under.(AppendPlan); ok && e.calling {
		sent = store.Sequence
	}
	return max(e.stored, e.uncertain, sent)
}

// StoreHealthy reports whether the store has answered this leader lately, and keeps it waiting for no longer than slow.
func (e *Elector) StoreHealthy(now time.Time, slow time.Duration) bool {
	return e.PendingCallTime(now) <= slow && now.Sub(e.contact) <= e.settings.RenewInterval+slow
}

// SetEligible sets whether this instance knows enough to lead, which is assumed at first.
func (e *Elector) SetEligible(fit bool) { e.unfit = !fit }

// SuspendLease withdraws the right to act until the next append is acknowledged: after this process was suspended, or
// after a server knew of a higher fence.
func (e *Elector) SuspendLease(now time.Time) {
	if e.term == 0 {
		return
	}
	e.authority = time.Time{}
	e.renew = now
}

// ReportAnswered records an answer of the last known leader to a report. leading says that it still leads; yields that
// it wants this instance to take over, or can't reach the store.
func (e *Elector) ReportAnswered(now time.Time, leading, yields bool) {
	e.refusals = 0
	if !leading {
		e.known = false // the record that this instance knows is old
		e.stopped = true
		return
	}
	e.heard = now
	e.yields = yields
}

// ObserveLeader records a leader that another instance knows of. A newer one than this instance itself ends its own term
// at once, also while it can't reach the store.
func (e *Elector) ObserveLeader(now time.Time, lead Leader) {
	if lead.Term <= e.lead.Term || lead.Identity == e.self {
		return
	}
	e.lead, e.term = lead, 0
	e.known = false // the end of the topic has moved
	e.heard, e.refusals, e.yields, e.stopped, e.waitUntil = now, 0, false, false, time.Time{}
}

// ReportFailed records that the leader did not answer a report. refused says that its machine refused the connection.
func (e *Elector) ReportFailed(refused bool) {
	if refused {
		e.refusals++
	} else {
		e.refusals = 0
	}
}

// Tick returns the call that is due, or nil.
func (e *Elector) Tick(now time.Time) Call {
	if e.calling || now.Before(e.next) {
		return nil
	}
	call := e.due(now)
	e.calling = call != nil
	e.called, e.under = now, call
	return call
}

// PendingCallTime returns how long the call that is under way has taken so far.
func (e *Elector) PendingCallTime(now time.Time) time.Duration {
	if !e.calling {
		return 0
	}
	return now.Sub(e.called)
}

func (e *Elector) due(now time.Time) Call {
	switch {
	case !e.known && (e.term != 0 || e.quiet(now)):
		return ReadLeader{}
	case e.term != 0:
		return e.serve(now)
	case e.yields && e.StoreUnreachable(now):
		return ReadLeader{} // whether this instance reaches the store that the leader does not reach
	case e.vacant(now) && !e.known:
		return ReadLeader{}
	case e.vacant(now) && !e.unfit:
		return e.contend(now)
	case e.quiet(now):
		return ReadLeader{}
	}
	e.waitUntil = time.Time{}
	return nil
}

// quiet reports whether no leader is known that was heard of just now.
func (e *Elector) quiet(now time.Time) bool {
	return e.lead.Identity.Instance == "" || now.Sub(e.heard) > e.settings.SuspicionTimeout
}

// serve returns the leader's next append.
func (e *Elector) serve(now time.Time) Call {
	if e.plan > e.stored && e.Active(now) {
		return AppendPlan{Sequence: e.plan, Offset: e.end}
	}
	if !now.Before(e.renew) {
		return AppendLeader{Leader: Leader{Identity: e.self, Term: e.term}, Offset: e.end}
	}
	return nil
}

// vacant reports whether the lead is to be taken over.
func (e *Elector) vacant(now time.Time) bool {
	switch {
	case e.lead.Identity.Instance == "":
		return true
	case e.lead.Identity.Instance == e.self.Instance:
		return true // an earlier incarnation of this instance
	case e.refusals >= e.settings.RefusalThreshold:
		return true
	case e.yields, e.stopped:
		return true
	}
	return now.Sub(e.heard) > e.settings.ElectionTimeout
}

func (e *Elector) contend(now time.Time) Call {
	if e.waitUntil.IsZero() {
		e.waitUntil = now.Add(e.offset)
	}
	if now.Before(e.waitUntil) {
		return nil
	}
	return AppendLeader{Leader: Leader{Identity: e.self, Term: uint64(e.end) + 1}, Offset: e.end}
}

// LeaderRead takes the answer to a ReadLeader: the end of the topic, the record of the leader, whose Term is 0 where
// there is none, and the sequence number of the plan of this instance's term.
func (e *Elector) LeaderRead(now time.Time, end int64, lead Leader, plan uint64) {
	e.calling, e.contact = false, now
	e.next = now
	if end != e.end || !e.known {
		if lead.Term != e.lead.Term {
			e.refusals, e.yields, e.stopped = 0, false, false
			e.waitUntil = time.Time{}
		}
		if lead.Term != e.lead.Term || end != e.end {
			e.heard = now
		}
	}
	before := e.lead.Identity
	e.known, e.end, e.lead = true, end, lead
	if lead.Term != 0 && lead.Identity.Instance == e.self.Instance && lead.Identity.Incarnation == e.self.Incarnation {
		e.adopt(now, before, plan)
		return
	}
	e.term = 0
	e.next = now.Add(e.settings.RetryDelay)
}

// adopt takes up a lead whose append got no answer. The right to act begins with the next append that gets one.
func (e *Elector) adopt(now time.Time, before Identity, plan uint64) {
	if e.term != e.lead.Term {
		e.begin(e.lead.Term, before)
	}
	e.stored = max(e.stored, plan)
	e.renew = now
}

// begin starts to lead after another leader.
func (e *Elector) begin(term uint64, before Identity) {
	e.term, e.took, e.before = term, true, before
	if before.Instance == e.self.Instance {
		e.before = Identity{}
	}
	e.plan, e.stored, e.uncertain = 0, 0, 0
}

// AppendAcknowledged records that the store acknowledged an append that was sent at sent.
func (e *Elector) AppendAcknowledged(now, sent time.Time, call Call, offset int64) {
	e.calling, e.contact = false, now
	e.end = offset + 1
	switch c := call.(type) {
	case AppendLeader:
		if e.term != c.Leader.Term {
			e.begin(c.Leader.Term, e.lead.Identity)
		}
		e.lead = c.Leader
		e.refusals, e.yields, e.stopped = 0, false, false
	case AppendPlan:
		e.stored = max(e.stored, c.Sequence)
	case ReadLeader:
	}
	e.authority = sent.Add(e.settings.LeaseDuration)
	e.renew = sent.Add(e.settings.RenewInterval)
	e.next = now
}

// CallFailed records a call that failed. answered says that the store refused it, so that it took no effect.
func (e *Elector) CallFailed(now time.Time, call Call, answered, conflict bool) {
	e.calling = false
	if conflict {
		e.contact = now
		e.known = false
		e.next = now
		return
	}
	e.next = now.Add(e.settings.RetryDelay)
	if _, read := call.(ReadLeader); read && e.known {
		e.next = now.Add(e.settings.SuspicionTimeout + lookSpread*e.offset) // it only looks whether the store is back
	}
	if _, read := call.(ReadLeader); !read && !answered {
		e.known = false
	}
	if store, ok := call.(AppendPlan); ok && !answered {
		e.uncertain = max(e.uncertain, store.Sequence)
	}
}
