package reducer

import (
	"slices"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// settle forgets an instance that can act no more; clean says that it stopped by its own word. A holder that goes ends
// its term, so that a claim which was refused while it held can't be accepted when it is repeated.
func (f *FrontState) settle(id identifier.InstanceID, clean bool) {
	f.Unsettled = slices.DeleteFunc(f.Unsettled, func(other identifier.InstanceID) bool { return other == id })
	if f.Holder == id {
		f.Holder = ""
		f.Clean = clean
		f.Term++
	}
}

// take makes id the holder at the next term.
func (f *FrontState) take(id identifier.InstanceID, origin Provenance) {
	if f.Term == 0 {
		f.Clean = true
	}
	if f.Holder != "" && f.Holder != id {
		f.Clean = false
		f.Unsettled = append(f.Unsettled, f.Holder)
		slices.Sort(f.Unsettled)
		f.Unsettled = slices.Compact(f.Unsettled)
	}
	f.Holder = id
	f.Term++
	f.Provenance = origin
}

func (st *State) applyClaimFronts(origin Provenance, r recorder.ClaimFronts) refusal {
	seen := map[identifier.ServerName]bool{}
	for _, claim := range r.Claims {
		if no := st.checkClaim(claim); no.refused() {
			return no
		}
		seen[claim.Server] = true
	}
	if len(seen) == 0 || len(seen) != len(r.Claims) {
		return refusal{reason: ReasonMalformed, detail: "no server, or one is named twice"}
	}
	for _, claim := range r.Claims {
		front := &st.s.Servers[claim.Server].Front
		front.take(origin.Author, origin)
	}
	return refusal{}
}

// checkClaim allows a claim when the front is free, or when its holder is expelled and the server itself turns away
// an older term, or has no exclusive keys.
func (st *State) checkClaim(claim recorder.FrontClaim) refusal {
	server, ok := st.s.Servers[claim.Server]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: string(claim.Server) + " is not declared"}
	}
	if server.Front.Term != claim.Term {
		return refusal{reason: ReasonStale, detail: string(claim.Server) + " is fronted at a later term"}
	}
	if server.Front.Holder == "" {
		return refusal{}
	}
	holder, present := st.s.Members[server.Front.Holder]
	if present && !holder.Expelled {
		return refusal{reason: ReasonHeld, detail: string(claim.Server) + " is fronted by " + string(holder.ID)}
	}
	if present && !server.Checks && st.exclusive(claim.Server) {
		return refusal{reason: ReasonHeld, detail: string(holder.ID) + " may still send to " + string(claim.Server)}
	}
	return refusal{}
}

// exclusive reports whether the server belongs to a keyed service, or to one that is no longer declared.
func (st *State) exclusive(server identifier.ServerName) bool {
	if st.bundle == nil {
		return true
	}
	_, name, ok := st.bundle.GetServerByName(server)
	if !ok {
		return true
	}
	_, keyed := st.s.Services[name]
	return keyed
}

func (st *State) applyHandFronts(origin Provenance, r recorder.HandFronts) refusal {
	seen := map[identifier.ServerName]bool{}
	for _, hand := range r.Hands {
		if no := st.checkHand(origin, hand); no.refused() {
			return no
		}
		seen[hand.Server] = true
	}
	if len(seen) == 0 || len(seen) != len(r.Hands) {
		return refusal{reason: ReasonMalformed, detail: "no server, or one is named twice"}
	}
	for _, hand := range r.Hands {
		front := &st.s.Servers[hand.Server].Front
		front.settle(origin.Author, true)
		front.take(hand.To, origin)
	}
	return refusal{}
}

func (st *State) checkHand(origin Provenance, hand recorder.FrontHand) refusal {
	if no := st.checkFront(hand.Server, origin.Author, hand.Term); no.refused() {
		return no
	}
	next, ok := st.s.Members[hand.To]
	if !ok || next.Expelled {
		return refusal{reason: ReasonUnknown, detail: string(hand.To) + " is not in good standing"}
	}
	return refusal{}
}

// checkFront refuses unless holder fronts server at term.
func (st *State) checkFront(name identifier.ServerName, holder identifier.InstanceID, term identifier.Term) refusal {
	server, ok := st.s.Servers[name]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: string(name) + " is not declared"}
	}
	if server.Front.Holder != holder || server.Front.Term != term {
		return refusal{reason: ReasonNotFront, detail: string(holder) + " does not front " + string(name) + " at that term"}
	}
	return refusal{}
}

func (st *State) applyMeetServer(r recorder.MeetServer) refusal {
	server, ok := st.s.Servers[r.Server]
	if !ok {
		return refusal{reason: ReasonUnknown, detail: string(r.Server) + " is not declared"}
	}
	if server.Version != r.Version {
		return refusal{reason: ReasonStale, detail: "the server has been met since"}
	}
	server.Met = true
	server.Checks = r.Checks
	server.Version++
	return refusal{}
}
