package controller

import (
	"maps"
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

	began       uint64            // the last term of this leader whose state was certain
	known       map[string]uint64 // incarnation of each instance that has reported in this or an earlier term
	unconfirmed map[string]uint64 // those that may have replaced this leader while it is frozen
	confirmedAt time.Time         // when the leases have ended that confirmed instances may have granted
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
		if election.Predecessor.Instance != "" || election.EarlierLeaders {
			predecessorExpiry = now.Add(ElectionSettings.LeaseDuration)
		}
		predecessorExpiry = predecessorExpiry.Add(settings.MaxLeaseLifetime())
	}
	t := leaderTerm{granter: granter.New(settings, now, term, plan.assignments, predecessorExpiry), began: term}
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
		t.frozen, t.certainAt, t.began = false, time.Time{}, term
		t.granter.ContinueTerm(term)
		return
	}
	t.frozen, t.certainAt = true, election.UncertainUntil.Add(settings.MaxLeaseLifetime())
	t.unconfirmed, t.confirmedAt = maps.Clone(t.known), time.Time{}
	t.granter.Freeze()
	t.granter.StorePlanAgain()
}

// advance ends the wait for leaders of earlier eras when it is over. It reports whether the plan of this term is complete
// and stored, so that a successor may rely on it.
func (t *leaderTerm) advance(now time.Time, term, storedSequence uint64) (settled bool) {
	if t.frozen && len(t.unconfirmed) == 0 && !now.Before(t.confirmedAt) {
		t.certainAt = time.Time{}
	}
	if now.Before(t.certainAt) {
		return false
	}
	if t.frozen {
		t.frozen, t.began = false, term
		t.granter.ContinueTerm(term)
	}
	sequence, unstored := t.granter.UnstoredPlan()
	return !unstored && storedSequence >= sequence
}

// observeMember records that an instance may take over from this leader if the leader is silent.
func (t *leaderTerm) observeMember(instance string, incarnation uint64) {
	if t.known == nil {
		t.known = map[string]uint64{}
	}
	t.known[instance] = incarnation
}

// observeReport records a report of an instance that has noticed the current era of the store. lastLed is the last term in
// which this incarnation of it led. If it did not replace this leader, it can't have changed owners; if it has restarted,
// its previous incarnation may have, and the leases of that end soon.
func (t *leaderTerm) observeReport(now time.Time, settings granter.Settings, instance string, incarnation, lastLed uint64) {
	before, awaited := t.unconfirmed[instance]
	if !t.frozen || !awaited || lastLed > t.began {
		return
	}
	delete(t.unconfirmed, instance)
	if incarnation != before {
		t.confirmedAt = now.Add(settings.MaxLeaseLifetime())
	}
}
