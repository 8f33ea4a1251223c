package elector

import "time"

// Leader is a leader's record in the store. Term is that of TermOf for the record with which the term began, so that it is
// never 0 and grows with each election.
type Leader struct {
	Identity Identity
	Term     uint64
	// Settled says that no leader of an earlier era can have changed an owner that the plan in the store names, and that this
	// plan is of the era of Term.
	Settled bool
	// Sole says that no leader before this one can send orders any more. A successor that learns no leases from this leader has to
	// wait for the leader leases of earlier ones without it.
	Sole bool
}

// sameTerm reports whether two records are of the same leader and term.
func (l Leader) sameTerm(other Leader) bool {
	return l.Identity == other.Identity && l.Term == other.Term
}

const (
	// termOffsetBits is the number of low bits of a term that hold one more than an offset; the era takes the bits above. At
	// ten records a second they last for 6 years.
	termOffsetBits = 31
	// maxEra is the highest era that fits into a fence together with the offset and the count of package granter.
	maxEra = 1<<8 - 1
)

// TermOf returns the term that begins with the record at an offset in an era of the store. ok is false if there is no
// term for it, because the era or the offset is too high.
func TermOf(era uint64, offset int64) (term uint64, ok bool) {
	if era > maxEra || offset < 0 || offset >= 1<<termOffsetBits-1 {
		return 0, false
	}
	return era<<termOffsetBits | uint64(offset+1), true
}

// EraOf returns the era in which a term began.
func EraOf(term uint64) uint64 { return term >> termOffsetBits }

// NumberInEra returns the part of a term that rises within its era.
func NumberInEra(term uint64) uint64 { return term & (1<<termOffsetBits - 1) }

// Election describes the beginning of a term of this instance.
type Election struct {
	// Predecessor is the previous leader, if it may still send orders; it is empty if that was an earlier incarnation of this
	// instance, which has certainly stopped.
	Predecessor Identity
	// PredecessorTerm is the term of Predecessor that this one follows, without another term between; 0 if it is not known.
	PredecessorTerm uint64
	// EarlierLeaders says that leaders before the previous one may still send orders, because its record is not Sole. Those of earlier
	// eras are the subject of Certain instead.
	EarlierLeaders bool
	// Continued says that this instance led until now and goes on with a new term.
	Continued bool
	// Certain says that the stored plan or, if Continued, the state of this instance has all changes of owners. Otherwise a
	// leader whose record the store has lost may have made others. Its leader lease ends before UncertainUntil.
	Certain        bool
	UncertainUntil time.Time
}
