package reducer

import (
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Verdict is what the fold made of one record: Accepted or Refused.
type Verdict interface {
	verdict()
}

// Accepted says that the record changed the state.
type Accepted struct {
	Envelope recorder.Envelope
	Offset   identifier.Offset
}

// Refused says that the record changed nothing, and why.
type Refused struct {
	Envelope recorder.Envelope
	Offset   identifier.Offset
	Reason   Reason
	// Detail tells a person what the record lost to.
	Detail string
}

func (Accepted) verdict() {}
func (Refused) verdict()  {}

// Reason is the cause of a refusal, in snake case.
type Reason string

// The reasons of refusals.
const (
	ReasonMalformed    Reason = "malformed"
	ReasonNotMember    Reason = "not_member"
	ReasonExpelled     Reason = "expelled"
	ReasonRepeat       Reason = "repeat"
	ReasonStale        Reason = "stale"
	ReasonUnknown      Reason = "unknown_subject"
	ReasonNotFront     Reason = "not_front"
	ReasonHeld         Reason = "held"
	ReasonNotWitness   Reason = "not_witness"
	ReasonBadBundle    Reason = "bad_bundle"
	ReasonBadSignature Reason = "bad_signature"
	ReasonNotSuccessor Reason = "not_successor"
)

// refusal is how the rules of an aggregate say no; the zero refusal is a yes.
type refusal struct {
	reason Reason
	detail string
}

func (r refusal) refused() bool { return r.reason != "" }

// ErrGap reports that records between the state and the one offered are missing.
type ErrGap struct {
	Want identifier.Offset
	Got  identifier.Offset
}

// Error implements error.
func (e ErrGap) Error() string { return "records are missing before the offered one" }

// Apply folds the record at offset. A record already folded is passed over with a nil Verdict.
// The error is an ErrGap, and then the state is unchanged.
func (st *State) Apply(offset identifier.Offset, data []byte) (Verdict, error) {
	if offset < st.s.Next {
		return nil, nil
	}
	if offset > st.s.Next {
		return nil, ErrGap{Want: st.s.Next, Got: offset}
	}
	st.s.Next = offset + 1
	st.sorted = sortedNames{}
	envelope, err := recorder.Decode(data)
	if err != nil {
		return Refused{Offset: offset, Reason: ReasonMalformed, Detail: err.Error()}, nil
	}
	if no := st.applyEnvelope(offset, envelope); no.refused() {
		return Refused{Envelope: envelope, Offset: offset, Reason: no.reason, Detail: no.detail}, nil
	}
	return Accepted{Envelope: envelope, Offset: offset}, nil
}

func (st *State) applyEnvelope(offset identifier.Offset, e recorder.Envelope) refusal {
	origin := Provenance{Offset: offset, Record: e.ID(), Author: e.Author(), WallMS: e.Wall().UnixMilli()}
	switch r := e.Record().(type) {
	case recorder.PublishBundle:
		return st.applyPublishBundle(origin, r)
	case recorder.Join:
		return st.applyJoin(origin, r)
	case recorder.Leave:
		return st.applyLeave(origin)
	default:
		return st.applyByMember(origin, r)
	}
}

// applyByMember folds the records that only an instance in good standing may append.
func (st *State) applyByMember(origin Provenance, record recorder.Record) refusal {
	author, ok := st.s.Members[origin.Author]
	if !ok {
		return refusal{reason: ReasonNotMember, detail: string(origin.Author) + " is not on the roster"}
	}
	if author.Expelled {
		return refusal{reason: ReasonExpelled, detail: string(origin.Author) + " has been expelled"}
	}
	switch r := record.(type) {
	case recorder.Expel:
		return st.applyExpel(origin, r)
	case recorder.Release:
		return st.applyRelease(origin, r)
	case recorder.SetWitnesses:
		return st.applySetWitnesses(author, r)
	case recorder.ClaimFronts:
		return st.applyClaimFronts(origin, r)
	case recorder.HandFronts:
		return st.applyHandFronts(origin, r)
	case recorder.Assign:
		return st.applyAssign(origin, r)
	case recorder.Reassign:
		return st.applyReassign(origin, r)
	case recorder.MeetServer:
		return st.applyMeetServer(r)
	case recorder.Pin:
		return st.applyPin(origin, r)
	case recorder.Unpin:
		return st.applyUnpin(origin, r)
	case recorder.Snapshot:
		return st.applySnapshot(origin, r)
	default:
		return refusal{reason: ReasonMalformed, detail: "no rule for this record"}
	}
}
