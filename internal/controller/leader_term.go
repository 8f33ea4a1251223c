package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
)

// leaderTerm decides from an election what a leader may grant, and when. It is pure: the current time is an argument.
type leaderTerm struct {
	granter *granter.Granter
	// certainAt is when all leaders of earlier eras of the store, and the range leases that they granted, have ended; zero if
	// this leader knows all changes of owners.
	certainAt time.Time
	// frozen says that this leader only renews leases until certainAt.
	frozen bool
}

// storedPlan is the plan that a new leader has read from the store.
type storedPlan struct {
	assignments []granter.Assignment
	exists      bool
	err         error // why it can't be decoded
}

// newLeaderTerm returns the leaderTerm of a new leader.
func newLeaderTerm(
	now time.Time, settings granter.Settings, term uint64, election elector.Election, plan storedPlan,
) leaderTerm {
	predecessorExpiry := now // when the range leases that earlier leaders granted have expired
	if plan.exists {         // without a plan no range was ever granted
		if election.Predecessor.Instance != "" {
			predecessorExpiry = now.Add(ElectionSettings.LeaseDuration)
		}
		predecessorExpiry = predecessorExpiry.Add(settings.MaxLeaseLifetime())
	}
	t := leaderTerm{granter: granter.New(settings, now, term, plan.assignments, predecessorExpiry)}
	switch {
	case !election.Certain:
		t.certainAt = election.UncertainUntil.Add(settings.MaxLeaseLifetime())
	case plan.err != nil: // any server may have any range
		t.certainAt = now.Add(ElectionSettings.LeaseDuration).Add(settings.MaxLeaseLifetime())
	}
	if !t.certainAt.IsZero() {
		t.granter.DistrustPlan(t.certainAt)
	}
	return t
}

// continueWith goes on with a new term of the same leader. If the leader may have been replaced for a while by one whose
// record the store has lost, it only renews leases until that one and its leases have certainly ended.
func (t *leaderTerm) continueWith(settings granter.Settings, term uint64, election elector.Election) {
	if election.Certain {
		t.frozen, t.certainAt = false, time.Time{}
		t.granter.ContinueTerm(term)
		return
	}
	t.frozen, t.certainAt = true, election.UncertainUntil.Add(settings.MaxLeaseLifetime())
	t.granter.Freeze()
	t.granter.StorePlanAgain()
}

// advance ends the wait for leaders of earlier eras when it is over. It reports whether the plan of this term is complete
// and stored, so that a successor may rely on it.
func (t *leaderTerm) advance(now time.Time, term, storedSequence uint64) (settled bool) {
	if now.Before(t.certainAt) {
		return false
	}
	if t.frozen {
		t.frozen = false
		t.granter.ContinueTerm(term)
	}
	_, sequence, unstored := t.granter.Plan()
	return !unstored && storedSequence >= sequence
}
