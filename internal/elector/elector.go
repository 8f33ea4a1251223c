// Package elector decides which instance is the leader: the one whose record was appended to the store last. It does no
// I/O: its inputs are events and the current time, its output is calls to the store, one at a time. The leaders' records
// and the plans are in one topic of the store, whose next offset is the condition of each append.
//
// A leader may send orders until its leader lease expires, a fixed time after it sent the last append that the store
// acknowledged. A new leader waits for the leader leases of earlier leaders to expire only before it frees the ranges
// of backend servers that it can't reach; see Leader.Sole.
//
// The store may come back from an older copy of itself, which begins a new era: the newest records are lost, perhaps also
// those of a leader that still acts, and their offsets are given out again. A term has the era as its leading part, so that
// terms rise over eras. The acting leader continues with a new term; any other instance that is elected in a new era does
// not know what the store has lost, and says so in its Election.
package elector

import (
	"time"
)

// Settings are the settings of the leader election. All instances must use the same.
type Settings struct {
	// LeaseDuration is the duration of the leader lease: how long a leader may send orders after it sent an append that
	// was acknowledged. It is long enough to cover the times in which the store is unreachable.
	LeaseDuration time.Duration
	// RenewInterval is the interval at which a leader appends its record again.
	RenewInterval time.Duration
	// ElectionTimeout is how long an instance sees neither an answer nor a new record of the leader before it takes over.
	// It is shorter than what remains of a range lease if the leader fails just before a renewal, so that the new leader
	// can renew it in time.
	ElectionTimeout time.Duration
	// SuspicionTimeout is how long an instance sees neither an answer nor a new record of the leader before it reads the
	// leader's record from the store.
	SuspicionTimeout time.Duration
	// RetryDelay is the delay after a failed call.
	RetryDelay time.Duration
	// RefusalThreshold is how many consecutive connections the leader's machine must refuse before an instance takes over
	// without waiting for ElectionTimeout.
	RefusalThreshold int
	// MaxJitter is the longest delay before a takeover of instances with a jitterFraction of at most 1. The delays of the
	// instances differ, so that they don't all append at once.
	MaxJitter time.Duration
	// LastResortDelay is how much later an instance takes over that should lead only if no other one does.
	LastResortDelay time.Duration
}

// readJitterFactor multiplies an instance's jitter in the delay between its reads of an unreachable store: when no
// instance reaches the store, those that would take over last read least often.
const readJitterFactor = 16

// Identity identifies an incarnation of an instance.
type Identity struct {
	Instance    string
	Incarnation uint64
	Address     string // where other instances reach it
}

// Call is a call to the store.
type Call interface{ call() }

// ReadLeader reads the newest records and the next offset of the topic.
type ReadLeader struct{}

// AppendLeader appends the record of this instance if the topic ends at Offset. With it the instance becomes the leader
// or renews its leader lease.
type AppendLeader struct {
	Leader Leader
	Offset int64
}

// AppendPlan appends a plan if the topic ends at Offset.
type AppendPlan struct {
	Sequence uint64
	Offset   int64
}

func (ReadLeader) call()   {}
func (AppendLeader) call() {}
func (AppendPlan) call()   {}

// Elector is the state of the election as one instance knows it. Use New.
type Elector struct {
	settings Settings
	self     Identity
	jitter   time.Duration // delay of this instance before a takeover

	firstStart bool      // the whole system starts for the first time
	eraKnown   bool      // the store has answered
	eraRose    bool      // the store came back from an older copy since it answered first
	era        uint64    // of the store
	eraSeenAt  time.Time // when this instance learned of the era

	synced     bool   // nextOffset and stored match the store, as far as this instance knows
	nextOffset int64  // offset after the last record of the topic
	offsetEra  uint64 // era of nextOffset
	stored     Leader // record in the store
	replaced   Leader // record in the store before the takeover that was sent last
	leader     Leader // the one with the highest term that is known
	term       uint64 // of this instance while it leads, else 0
	lastLed    uint64 // the last term in which this instance led

	callPending    bool
	pendingCall    Call          // valid while callPending
	pendingSince   time.Time     // when the pending call was sent
	lastCallTime   time.Duration // of the last call that was answered
	pendingEra     uint64        // era of the store when it was sent
	nextCallAt     time.Time     // earliest time of the next call
	leaseExpiry    time.Time     // of this instance's leader lease
	renewAt        time.Time
	requestedPlan  uint64 // sequence number of the plan that has to be stored
	storedPlan     uint64 // highest sequence number of a plan of this term known to be stored
	unansweredPlan uint64 // highest sequence number of a plan whose append got no answer
	ineligible     bool   // this instance does not know enough to lead
	lastResort     bool   // see SetLastResort

	leaderKnownAt     time.Time // when this instance learned of the leader
	contact           Leader    // the last leader that answered this instance or called it
	leaderSeenAt      time.Time // last sign that the leader is alive: an answer, or an append to the topic
	refusals          int       // consecutive connections that the leader's machine refused
	storeAnsweredAt   time.Time
	leaderReplaceable bool      // the leader asks this instance to take over, or can't reach the store
	leaderStopped     bool      // the known leader answered that it does not lead; cleared when a successor is known
	takeoverAt        time.Time // earliest time of a takeover; zero while none is needed

	election       *Election // of the current term; nil after NewlyElected has returned it
	lastAckSent    time.Time // when the last append of this term that was acknowledged was sent
	yielded        bool      // this leader has asked another instance to take over
	certain        bool      // this leader knows all changes of owners
	settled        bool      // Leader.Settled of this leader
	sole           bool      // Leader.Sole of this leader
	ledSince       time.Time // when this leader's term began; later terms count if another instance may have led before them
	wantsNewTerm   bool      // this leader needs a new term
	termsExhausted bool      // the store's era or offset is too high for a term
}

// New returns the Elector of an instance. firstStart says that the whole system starts for the first time, so that no leader
// can have acted before the first record. The instance delays a takeover by jitterFraction times MaxJitter. With a fraction
// above 1 it takes over later than all instances with 0 to 1 would.
func New(settings Settings, now time.Time, self Identity, jitterFraction float64, firstStart bool) *Elector {
	return &Elector{
		settings: settings, self: self, firstStart: firstStart, jitter: time.Duration(jitterFraction * float64(settings.MaxJitter)),
		nextCallAt: now, leaderSeenAt: now, storeAnsweredAt: now,
	}
}

// DeferCalls keeps the instance from calling the store before until, so also from becoming the leader.
func (e *Elector) DeferCalls(until time.Time) { e.nextCallAt = until }

// Leader returns the current leader; ok is false while none is known.
func (e *Elector) Leader() (leader Leader, ok bool) {
	return e.leader, e.leader.Identity.Instance != ""
}

// Term returns the term of this instance, or 0 while it does not lead.
func (e *Elector) Term() uint64 { return e.term }

// LastLed returns the last term in which this instance led, or 0 if it never did.
func (e *Elector) LastLed() uint64 { return e.lastLed }

// Active reports whether this instance leads and its leader lease is valid at now, so that it may send orders.
func (e *Elector) Active(now time.Time) bool { return e.term != 0 && now.Before(e.leaseExpiry) }

// StoreUnreachable reports whether the store has not answered this instance for longer than ElectionTimeout. It does not
// check whether any call was sent in this time.
func (e *Elector) StoreUnreachable(now time.Time) bool {
	return now.Sub(e.storeAnsweredAt) > e.settings.ElectionTimeout
}

// NewlyElected returns, once for each term of this instance, how the term began; elected is false if no term has begun
// since the last call.
func (e *Elector) NewlyElected() (election Election, elected bool) {
	if e.election == nil {
		return Election{}, false
	}
	election, e.election = *e.election, nil
	return election, true
}

// RequestPlan requests that the plan with a sequence number is stored, instead of any requested before. 0 withdraws the
// request.
func (e *Elector) RequestPlan(sequence uint64) { e.requestedPlan = sequence }

// StoredPlan returns the sequence number of the newest plan of this term that is in the store.
func (e *Elector) StoredPlan() uint64 { return e.storedPlan }

// MaybeStoredPlan returns the highest sequence number of a plan of this term that may be in the store, now or later: its
// append was acknowledged, is pending, or got no answer.
func (e *Elector) MaybeStoredPlan() uint64 {
	pending := uint64(0)
	if appendPlan, ok := e.pendingCall.(AppendPlan); ok && e.callPending {
		pending = appendPlan.Sequence
	}
	return max(e.storedPlan, e.unansweredPlan, pending)
}

// CallTime returns how long this leader's calls to the store take: the greatest of the duration of the last call that was answered,
// that of the pending call so far, and the time by which an answer is overdue.
func (e *Elector) CallTime(now time.Time) time.Duration {
	return max(e.lastCallTime, e.PendingCallTime(now), now.Sub(e.storeAnsweredAt)-e.settings.RenewInterval)
}

// observeAnswer records that the store answered the pending call.
func (e *Elector) observeAnswer(now time.Time) {
	if e.callPending {
		e.lastCallTime = now.Sub(e.pendingSince)
	}
	e.callPending, e.storeAnsweredAt = false, now
}

// SetEligible sets whether this instance knows enough to lead. It is eligible by default.
func (e *Elector) SetEligible(eligible bool) { e.ineligible = !eligible }

// SetLastResort sets whether this instance should lead only if no other one does: it has lost its paths to backend servers, so that it
// could not grant, or it is leaving. It then replaces only a leader that is gone, and LastResortDelay later than others.
func (e *Elector) SetLastResort(lastResort bool) { e.lastResort = lastResort }

// InvalidateLease ends the leader lease until the next append is acknowledged. It is called after this process was
// suspended, or after a server reported a higher fence.
func (e *Elector) InvalidateLease(now time.Time) {
	if e.term == 0 {
		return
	}
	e.leaseExpiry = time.Time{}
	e.renewAt = now
}

// ReportAnswered records that a leader answered a report. leading says that it still leads; replaceable that it asks this
// instance to take over, or can't reach the store. An answer of a leader that was replaced meanwhile changes nothing.
func (e *Elector) ReportAnswered(now time.Time, leader Leader, leading, replaceable bool) {
	if !leader.sameTerm(e.leader) {
		return
	}
	e.refusals = 0
	if !leading {
		e.synced = false // the known record is outdated
		e.leaderStopped = true
		return
	}
	e.leaderSeenAt, e.contact = now, leader
	e.leaderReplaceable = replaceable
}

// ObserveContact records that a leader has called this instance, so that it knows of it.
func (e *Elector) ObserveContact(leader Leader) {
	if leader.sameTerm(e.leader) {
		e.contact = leader
	}
}

// ObserveLeader records a leader that is known to another instance. A leader with a newer term ends the term of this
// instance immediately, even while it can't reach the store.
func (e *Elector) ObserveLeader(now time.Time, leader Leader) {
	if leader.Term <= e.leader.Term || leader.Identity == e.self {
		return
	}
	e.ObserveEra(now, EraOf(leader.Term))
	e.leader, e.term = leader, 0
	e.leaderKnownAt = now
	e.synced = false // the end of the topic has moved
	e.leaderSeenAt, e.refusals, e.leaderReplaceable, e.leaderStopped, e.takeoverAt = now, 0, false, false, time.Time{}
}

// ReportFailed records that a leader did not answer a report. refused says that its machine refused the connection. It
// changes nothing if the leader was replaced meanwhile.
func (e *Elector) ReportFailed(leader Leader, refused bool) {
	if !leader.sameTerm(e.leader) {
		return
	}
	if refused {
		e.refusals++
	} else {
		e.refusals = 0
	}
}

// Tick returns the call that is due, or nil.
func (e *Elector) Tick(now time.Time) Call {
	if e.callPending || now.Before(e.nextCallAt) {
		return nil
	}
	call := e.dueCall(now)
	e.callPending = call != nil
	e.pendingSince, e.pendingCall, e.pendingEra = now, call, e.era
	return call
}

// PendingCallTime returns how long the pending call has taken so far, or 0 without one.
func (e *Elector) PendingCallTime(now time.Time) time.Duration {
	if !e.callPending {
		return 0
	}
	return now.Sub(e.pendingSince)
}

// dueCall returns the call to send at now, or nil.
func (e *Elector) dueCall(now time.Time) Call {
	switch {
	case !e.synced && (e.term != 0 || e.leaderSuspected(now)):
		return ReadLeader{}
	case e.term != 0:
		return e.leaderCall(now)
	case e.leaderReplaceable && !e.lastResort && e.StoreUnreachable(now):
		return ReadLeader{} // checks whether this instance reaches the store, which the leader does not
	case e.needsTakeover(now) && !e.synced:
		return ReadLeader{}
	case e.needsTakeover(now) && !e.ineligible:
		return e.takeoverCall(now)
	case e.leaderSuspected(now):
		return ReadLeader{}
	}
	e.takeoverAt = time.Time{}
	return nil
}

// leaderSuspected reports whether no leader is known, or there was no sign of it within the suspicion timeout.
func (e *Elector) leaderSuspected(now time.Time) bool {
	return e.leader.Identity.Instance == "" || now.Sub(e.leaderSeenAt) > e.settings.SuspicionTimeout
}

// leaderCall returns the append that is due while this instance leads, or nil.
func (e *Elector) leaderCall(now time.Time) Call {
	if e.wantsNewTerm || EraOf(e.term) != e.era {
		return e.newTermCall(false, e.sole && e.certain)
	}
	if e.requestedPlan > e.storedPlan && e.Active(now) {
		return AppendPlan{Sequence: e.requestedPlan, Offset: e.nextOffset}
	}
	if !e.sole && now.Sub(e.ledSince) >= e.settings.LeaseDuration {
		e.sole = true // the leader leases of all earlier leaders have expired
	}
	if !now.Before(e.renewAt) || e.sole && !e.stored.Sole {
		return AppendLeader{Leader: Leader{Identity: e.self, Term: e.term, Settled: e.settled, Sole: e.sole}, Offset: e.nextOffset}
	}
	return nil
}

// newTermCall returns the append with which a term of this instance begins, or nil if there is no term for it.
func (e *Elector) newTermCall(settled, sole bool) Call {
	term, ok := TermOf(e.era, e.nextOffset)
	e.termsExhausted = !ok
	if !ok {
		return nil
	}
	return AppendLeader{Leader: Leader{Identity: e.self, Term: term, Settled: settled, Sole: sole}, Offset: e.nextOffset}
}

// needsTakeover reports whether another instance must replace the known leader.
func (e *Elector) needsTakeover(now time.Time) bool {
	switch {
	case e.leader.Identity.Instance == "", e.restarted():
		return true
	case e.refusals >= e.settings.RefusalThreshold:
		return true
	case e.leaderStopped, e.leaderReplaceable && !e.lastResort:
		return true
	}
	return now.Sub(e.leaderSeenAt) > e.settings.ElectionTimeout && e.mayReplaceSilentLeader(now)
}

// takeoverCall returns the append that makes this instance the leader, or nil until its jitter has passed.
func (e *Elector) takeoverCall(now time.Time) Call {
	if e.takeoverAt.IsZero() {
		e.takeoverAt = now.Add(e.jitter)
		if e.restarted() {
			e.takeoverAt = now
		}
		if e.lastResort {
			e.takeoverAt = e.takeoverAt.Add(e.settings.LastResortDelay)
		}
	}
	if now.Before(e.takeoverAt) {
		return nil
	}
	e.replaced = e.stored
	return e.newTermCall(e.followsSettledPlan(e.stored), e.soleFromStart(e.stored))
}

// CompleteRead records the result of a ReadLeader: the era of the store, the next offset of the topic, the leader's record,
// whose Term is 0 if there is none, and the sequence number of the stored plan of the leader's term, or 0.
func (e *Elector) CompleteRead(now time.Time, era uint64, nextOffset int64, leader Leader, storedPlan uint64) {
	e.observeAnswer(now)
	e.nextCallAt = now
	e.ObserveEra(now, era)
	if era < e.era {
		return // the answer was sent before the store came back from an older copy
	}
	unchanged := e.synced && nextOffset == e.nextOffset
	appended := e.offsetEra == era && nextOffset != e.nextOffset
	e.synced, e.nextOffset, e.offsetEra, e.stored = true, nextOffset, era, leader
	if EraOf(leader.Term) != era {
		e.completeReadWithoutLeader(now, leader)
		return
	}
	if !unchanged {
		if !leader.sameTerm(e.leader) {
			e.refusals, e.leaderReplaceable, e.leaderStopped = 0, false, false
			e.takeoverAt = time.Time{}
			e.leaderSeenAt, e.leaderKnownAt = now, now
		}
		if appended {
			e.leaderSeenAt = now
		}
	}
	predecessor := e.leader.Identity
	e.leader = leader
	if leader.Term != 0 && leader.Identity.Instance == e.self.Instance && leader.Identity.Incarnation == e.self.Incarnation {
		e.confirmTerm(now, predecessor, storedPlan)
		return
	}
	e.term = 0
	if !e.restarted() {
		e.nextCallAt = now.Add(e.settings.RetryDelay)
	}
}

// restarted reports whether the known leader is an earlier incarnation of this instance. No other instance knows as soon that it has ended.
func (e *Elector) restarted() bool {
	return e.leader.Identity.Instance == e.self.Instance && e.term == 0
}

// completeReadWithoutLeader records the result of a read in an era in which no leader was elected yet. old is the leader's
// record of an earlier era that the store has kept. The known leader, whose record the store may have lost, stays known.
func (e *Elector) completeReadWithoutLeader(now time.Time, old Leader) {
	if old.Term > e.leader.Term {
		e.leader, e.term, e.leaderKnownAt = old, 0, now
		e.refusals, e.leaderReplaceable, e.leaderStopped = 0, false, false
		e.takeoverAt = time.Time{}
	}
	if e.term == 0 {
		e.nextCallAt = now.Add(e.settings.RetryDelay)
	}
}

// confirmTerm continues or begins the term of a record of this instance that was read from the store after its append
// got no answer. The leader lease begins with the next acknowledged append.
func (e *Elector) confirmTerm(now time.Time, predecessor Identity, storedPlan uint64) {
	if e.term != e.leader.Term {
		e.beginTerm(now, e.leader, predecessor)
	}
	e.storedPlan = max(e.storedPlan, storedPlan)
	e.renewAt = now
}

// beginTerm begins a term of this instance after that of predecessor, or continues its own.
func (e *Elector) beginTerm(now time.Time, record Leader, predecessor Identity) {
	continued := e.term != 0
	if !continued {
		e.certain = e.followsSettledPlan(e.replaced)
	}
	if !continued || !e.certain {
		e.ledSince = now
	}
	earlierLeaders := !continued && e.earlierLeadersMayAct(predecessor)
	if continued || predecessor.Instance == e.self.Instance {
		predecessor = Identity{}
	}
	predecessorTerm := uint64(0)
	if predecessor.Instance != "" && predecessor == e.replaced.Identity {
		predecessorTerm = e.replaced.Term
	}
	e.election = &Election{
		Predecessor: predecessor, PredecessorTerm: predecessorTerm, Continued: continued, Certain: e.certain,
		UncertainUntil: e.eraSeenAt.Add(e.settings.LeaseDuration), EarlierLeaders: earlierLeaders,
	}
	e.term, e.lastLed = record.Term, record.Term
	e.settled, e.sole, e.yielded, e.wantsNewTerm = record.Settled || e.era == 0, record.Sole, false, false
	e.requestedPlan, e.storedPlan, e.unansweredPlan = 0, 0, 0
}

// AppendAcknowledged records that the store acknowledged an append that was sent at sent. era and offset are those of the
// record. If the store came back from an older copy since the append was sent, the record counts for nothing: it is lost,
// or the condition of the append held by coincidence.
func (e *Elector) AppendAcknowledged(now, sent time.Time, call Call, era uint64, offset int64) {
	e.observeAnswer(now)
	e.nextCallAt = now
	e.ObserveEra(now, era)
	if era != e.pendingEra || era != e.era {
		e.synced = false
		return
	}
	e.nextOffset = offset + 1
	switch c := call.(type) {
	case AppendLeader:
		if e.term != c.Leader.Term {
			e.beginTerm(now, c.Leader, e.leader.Identity)
		}
		e.leader, e.stored = c.Leader, c.Leader
		e.refusals, e.leaderReplaceable, e.leaderStopped = 0, false, false
	case AppendPlan:
		e.storedPlan = max(e.storedPlan, c.Sequence)
	case ReadLeader:
	}
	e.lastAckSent = sent
	e.leaseExpiry = sent.Add(e.settings.LeaseDuration)
	e.renewAt = sent.Add(e.settings.RenewInterval)
}

// CallFailed records a failed call. refused says that the store refused it, so that it had no effect; conflict that it
// refused an append because the topic does not end at the append's Offset. If both are false, the call got no answer and
// may have taken effect; else era is that of the answer.
func (e *Elector) CallFailed(now time.Time, call Call, era uint64, refused, conflict bool) {
	if conflict {
		e.observeAnswer(now)
	}
	e.callPending = false
	if refused || conflict {
		e.ObserveEra(now, era)
	}
	if conflict {
		e.synced = false
		e.nextCallAt = now
		return
	}
	e.nextCallAt = now.Add(e.settings.RetryDelay)
	if _, read := call.(ReadLeader); read && e.synced {
		// This read only checks whether the store is reachable again.
		e.nextCallAt = now.Add(e.settings.SuspicionTimeout + readJitterFactor*e.jitter)
	}
	if _, read := call.(ReadLeader); !read && !refused {
		e.synced = false
	}
	if appendPlan, ok := call.(AppendPlan); ok && !refused {
		e.unansweredPlan = max(e.unansweredPlan, appendPlan.Sequence)
	}
}
