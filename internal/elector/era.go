package elector

import "time"

// Era returns the era of the store, as far as this instance knows.
func (e *Elector) Era() uint64 { return e.era }

// EraRose reports whether the store came back from an older copy since it first answered this instance.
func (e *Elector) EraRose() bool { return e.eraRose }

// TermsExhausted reports whether this instance could not be elected because the store's era or offset is too high for a
// term.
func (e *Elector) TermsExhausted() bool { return e.termsExhausted }

// continuationMargin is subtracted from ElectionTimeout to get the age of the last acknowledged append up to which a leader
// knows that it was not replaced: another instance takes over at the earliest when it has seen no append of the leader for
// ElectionTimeout, and clocks may run at slightly different rates.
const continuationMargin = 200 * time.Millisecond

// ObserveEra records the era of the store, from any of its answers or as another instance knows it. In a new era nothing
// that was read before counts. A leader goes on sending orders with its leader lease, and continues with a new term as soon
// as the store acknowledges it; a leader whose lease has expired ends its term.
func (e *Elector) ObserveEra(now time.Time, era uint64) {
	if e.eraKnown && era <= e.era {
		return
	}
	rose := e.eraKnown
	e.eraKnown, e.era, e.eraSeenAt = true, era, now
	if !rose {
		return
	}
	e.eraRose, e.synced, e.stored = true, false, Leader{}
	if e.term == 0 {
		return
	}
	if !e.Active(now) {
		e.term = 0
		return
	}
	e.certain = e.certain && !e.yielded && now.Sub(e.lastAckSent) < e.settings.ElectionTimeout-continuationMargin
	e.renewAt = now
}

// Settle records that this leader's plan is in the store and that no leader of an earlier era can send orders any more. The
// leader's record says so from the next append on, which is due at once.
func (e *Elector) Settle(now time.Time) {
	if e.term != 0 && EraOf(e.term) == e.era && !e.settled {
		e.settled, e.certain, e.renewAt = true, true, now
	}
}

// Settled reports whether Settle was called, or was not necessary, in the current term of this leader.
func (e *Elector) Settled() bool { return e.settled }

// RequestNewTerm makes this leader begin a new term with its next append, for example because it runs out of fences.
func (e *Elector) RequestNewTerm() { e.wantsNewTerm = e.term != 0 }

// RecordYield records that this leader has asked another instance to take over.
func (e *Elector) RecordYield() { e.yielded = true }

// followsSettledPlan reports whether a leader that replaces the record previous in the store knows all changes of owners
// from the stored plan.
func (e *Elector) followsSettledPlan(previous Leader) bool {
	switch {
	case e.era == 0:
		return true // a store that does not report its era does not come back from older copies
	case previous.Term == 0:
		return e.firstStart && !e.eraRose
	case EraOf(previous.Term) == 0 && !previous.Settled:
		return !e.eraRose // the record of a version without eras
	}
	return EraOf(previous.Term) == e.era && previous.Settled
}

// mayReplaceSilentLeader reports whether this instance may replace a leader only because it gives no sign. A leader that goes
// on after the store has come back from an older copy asks all instances that it knows whether they replaced it meanwhile.
// So one that it may not know waits until its leader lease has expired, if the store can come back from copies.
func (e *Elector) mayReplaceSilentLeader(now time.Time) bool {
	return e.era == 0 || e.contact.sameTerm(e.leader) ||
		now.Sub(e.leaderKnownAt) > e.settings.LeaseDuration+e.settings.ElectionTimeout
}
