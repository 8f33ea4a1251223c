package reducer

import (
	"slices"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// goneLimit is how many departed instances the state remembers.
const goneLimit = 1000

func (st *State) applyJoin(origin Provenance, r recorder.Join) refusal {
	if _, ok := st.s.Members[origin.Author]; ok {
		return refusal{reason: ReasonRepeat, detail: "already on the roster"}
	}
	if _, ok := st.s.Gone[origin.Author]; ok {
		return refusal{reason: ReasonRepeat, detail: "has left the roster for good"}
	}
	st.s.Members[origin.Author] = &Member{
		ID:          origin.Author,
		Name:        r.Name,
		Domain:      r.Domain,
		PeerAddress: r.PeerAddress,
		JoinedAt:    origin.Offset,
		Witnesses:   st.activeExcept(origin.Author),
	}
	st.s.RosterVersion++
	return refusal{}
}

// activeExcept returns the members in good standing other than id, sorted.
func (st *State) activeExcept(id identifier.InstanceID) []identifier.InstanceID {
	var active []identifier.InstanceID
	for _, m := range st.s.Members {
		if m.ID != id && !m.Expelled {
			active = append(active, m.ID)
		}
	}
	slices.Sort(active)
	return active
}

func (st *State) applyLeave(origin Provenance) refusal {
	if _, ok := st.s.Members[origin.Author]; !ok {
		return refusal{reason: ReasonNotMember, detail: "not on the roster"}
	}
	st.removeMember(origin, origin.Author, true)
	return refusal{}
}

// removeMember takes an instance off the roster for good: it can act no more. Clean says that it left by its own word.
func (st *State) removeMember(origin Provenance, id identifier.InstanceID, clean bool) {
	if _, ok := st.s.Members[id]; !ok {
		return
	}
	delete(st.s.Members, id)
	delete(st.s.Snapshots, id)
	st.s.RosterVersion++
	st.rememberGone(id, origin.Offset)
	for _, server := range st.s.Servers {
		server.Front.settle(id, clean)
	}
}

func (st *State) rememberGone(id identifier.InstanceID, at identifier.Offset) {
	st.s.Gone[id] = at
	if len(st.s.Gone) <= goneLimit {
		return
	}
	var oldest identifier.InstanceID
	for other, offset := range st.s.Gone {
		if oldest == "" || offset < st.s.Gone[oldest] || offset == st.s.Gone[oldest] && other < oldest {
			oldest = other
		}
	}
	delete(st.s.Gone, oldest)
}

func (st *State) applyExpel(origin Provenance, r recorder.Expel) refusal {
	member, ok := st.s.Members[r.Instance]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: "not on the roster"}
	}
	if member.Expelled {
		return refusal{reason: ReasonRepeat, detail: "already expelled"}
	}
	if r.Instance == origin.Author {
		return refusal{reason: ReasonMalformed, detail: "an instance leaves, it does not expel itself"}
	}
	member.Expelled = true
	member.ExpelledAt = origin.Offset
	st.s.RosterVersion++
	return refusal{}
}

func (st *State) applyRelease(origin Provenance, r recorder.Release) refusal {
	member, ok := st.s.Members[r.Instance]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: "not on the roster"}
	}
	if !member.Expelled {
		return refusal{reason: ReasonStale, detail: "not expelled"}
	}
	if r.Lapsed || len(member.Witnesses) == 0 {
		st.removeMember(origin, r.Instance, false)
		return refusal{}
	}
	if no := st.checkWitness(origin, member, r.Witness); no.refused() {
		return no
	}
	member.Releases = append(member.Releases, r.Witness)
	slices.Sort(member.Releases)
	if len(member.Releases) >= member.ReleasesNeeded() {
		st.removeMember(origin, r.Instance, false)
	}
	return refusal{}
}

func (st *State) checkWitness(origin Provenance, member *Member, witness identifier.InstanceID) refusal {
	if !slices.Contains(member.Witnesses, witness) {
		return refusal{reason: ReasonNotWitness, detail: string(witness) + " does not pledge to it"}
	}
	if slices.Contains(member.Releases, witness) {
		return refusal{reason: ReasonRepeat, detail: string(witness) + " has released it"}
	}
	if _, present := st.s.Members[witness]; present && witness != origin.Author {
		return refusal{reason: ReasonHeld, detail: string(witness) + " speaks for itself"}
	}
	return refusal{}
}

func (st *State) applySetWitnesses(author *Member, r recorder.SetWitnesses) refusal {
	if r.Version != author.WitnessVersion {
		return refusal{reason: ReasonStale, detail: "the witnesses have changed since"}
	}
	for _, id := range r.Witnesses {
		if m, ok := st.s.Members[id]; !ok || m.Expelled || id == author.ID {
			return refusal{reason: ReasonUnknown, detail: string(id) + " can't be a witness"}
		}
	}
	author.WitnessVersion++
	author.Witnesses = slices.Compact(slices.Sorted(slices.Values(r.Witnesses)))
	return refusal{}
}
