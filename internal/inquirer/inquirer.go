// Package inquirer decides when a backend server that does not accept orders has certainly ended, because another server holds
// its address: an address is given to another server only after the first one has ended. It keeps the questions that the leader
// asks at such addresses, and the answers.
//
// A registration alone is no evidence, since others may write to the topic, and neither is an address where nobody answers, since
// a server that is cut off or suspended looks the same. A server counts as ended only if all of this holds:
//   - Two questions, the second sent after the first was answered and each over a connection of its own, were answered at the
//     server's address in the name of the same other server, and no answer in between was in the name of another one.
//   - The other server is registered at that very address, and started later.
//   - The server is not registered, or only as a later incarnation at another address.
//   - All registrations of the server's incarnation had the same address.
//
// The package is pure: the present time is an argument, and it sends nothing.
package inquirer

import (
	"slices"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
)

const (
	// AskInterval is the least time between two questions about a server.
	AskInterval = 300 * time.Millisecond
	// maxInFlight is the number of questions that may be unanswered at the same time, and maxPerSecond how many are sent in
	// any second. With 40 servers replaced at once, eight a second took 10 s for two answers from each; no question is asked at an
	// address where no other server is registered.
	maxInFlight  = 16
	maxPerSecond = 64
	// maxAnswerAge is how old the first of the two answers may be. It is above the time in which a question about each of
	// 200 servers is answered twice.
	maxAnswerAge = 10 * time.Second
)

// Subject is the incarnation of a server that fails, with the address at which it was registered.
type Subject struct {
	Server      string
	Incarnation int64
	Address     string
}

// Question asks who holds the address of a subject. Holder is the registered server that may hold it.
type Question struct {
	Subject Subject
	Holder  cataloger.Server
	id      uint64
}

// Answer is what a question has led to: Named or Silent.
type Answer interface{ answer() }

// Named is an answer in the name of a server.
type Named struct{ Server string }

// Silent says that there was no answer, or none that names a server.
type Silent struct{}

func (Named) answer()  {}
func (Silent) answer() {}

// Outcome is what an answer says about a subject.
type Outcome int

// The outcomes of a question.
const (
	Unanswered Outcome = iota // nothing, as nobody or nobody known answered
	Alive                     // the subject itself has answered
	Doubted                   // another server has answered, which is not enough yet
	Ended                     // the subject has certainly ended
)

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"unanswered", "alive", "doubted", "ended"}[o]
}

// inquiry is what is known about a subject.
type inquiry struct {
	subject  Subject
	wanted   bool   // the subject is failing at present
	asking   uint64 // id of the question in flight, 0 if there is none
	lastSent time.Time
	holder   string    // server that has answered last at the subject's address; empty if that says nothing
	heldFrom time.Time // when the first of the answers in a row that name holder was received
}

// Inquirer keeps the questions and answers about failing servers. The zero Inquirer is ready to use. It is not safe for
// concurrent use.
type Inquirer struct {
	inquiries  map[string]*inquiry // by server
	registered []cataloger.Server
	lastID     uint64 // of the questions
	inFlight   int
	sent       []time.Time // when the questions of the last second were sent
}

// SetSubjects replaces the failing servers. registered are all registered servers, of any service. The answers about a server that
// is not failing for a while are kept until they are too old, those about another incarnation or address are dropped.
func (q *Inquirer) SetSubjects(now time.Time, subjects []Subject, registered []cataloger.Server) {
	q.registered = registered
	if q.inquiries == nil {
		q.inquiries = map[string]*inquiry{}
	}
	for _, i := range q.inquiries {
		i.wanted = false
	}
	for _, s := range subjects {
		i := q.inquiries[s.Server]
		if i == nil || i.subject != s {
			i = &inquiry{subject: s}
			q.inquiries[s.Server] = i
		}
		i.wanted = true
	}
	for id, i := range q.inquiries {
		if !i.wanted && i.asking == 0 && now.Sub(i.lastSent) >= maxAnswerAge {
			delete(q.inquiries, id)
		}
	}
}

// Idle reports whether nothing is known or asked about any server.
func (q *Inquirer) Idle() bool { return len(q.inquiries) == 0 }

// Forget drops what is known about a server, because it has accepted an order.
func (q *Inquirer) Forget(server string) { delete(q.inquiries, server) }

// Due returns the questions to send now. Each must be completed. None is asked about a server that could not count as ended whatever
// the answer; servers about which one answer is known come first, then those that have waited longest.
func (q *Inquirer) Due(now time.Time) []Question {
	q.sent = slices.DeleteFunc(q.sent, func(at time.Time) bool { return now.Sub(at) >= time.Second })
	var candidates []*inquiry
	for _, i := range q.inquiries {
		if i.wanted && i.asking == 0 && (i.lastSent.IsZero() || now.Sub(i.lastSent) >= AskInterval) {
			candidates = append(candidates, i)
		}
	}
	slices.SortFunc(candidates, func(a, b *inquiry) int {
		if (a.holder != "") != (b.holder != "") {
			if a.holder != "" {
				return -1
			}
			return 1
		}
		if c := a.lastSent.Compare(b.lastSent); c != 0 {
			return c
		}
		return strings.Compare(a.subject.Server, b.subject.Server)
	})
	var due []Question
	for _, i := range candidates {
		if q.inFlight >= maxInFlight || len(q.sent) >= maxPerSecond {
			break
		}
		holder, ok := q.possibleHolder(i.subject)
		if !ok {
			continue
		}
		q.lastID++
		q.inFlight++
		i.asking, i.lastSent = q.lastID, now
		q.sent = append(q.sent, now)
		due = append(due, Question{Subject: i.subject, Holder: holder, id: q.lastID})
	}
	return due
}

// possibleHolder returns the server that started last of those that may hold the address of a subject that has ended. ok is false
// if the registrations alone rule out that the subject has ended.
func (q *Inquirer) possibleHolder(s Subject) (holder cataloger.Server, ok bool) {
	for _, r := range q.registered {
		switch {
		case r.ID == s.Server:
			if r.Incarnation <= s.Incarnation || r.Address == s.Address {
				return cataloger.Server{}, false
			}
		case r.Address == s.Address && r.Incarnation > s.Incarnation && (!ok || r.Incarnation > holder.Incarnation):
			holder, ok = r, true
		}
	}
	return holder, ok
}

// Complete records the answer to a question and returns what it says. evidenceFrom is when the first of the answers was received on
// which Doubted and Ended rest. Ended holds by the registrations that SetSubjects got last.
func (q *Inquirer) Complete(now time.Time, question Question, answer Answer) (o Outcome, evidenceFrom time.Time) {
	q.inFlight--
	i := q.inquiries[question.Subject.Server]
	if i == nil || i.asking != question.id {
		return Unanswered, time.Time{}
	}
	i.asking = 0
	switch a := answer.(type) {
	case Named:
		switch {
		case a.Server == i.subject.Server:
			i.holder = ""
			return Alive, time.Time{}
		case !q.canHold(a.Server, i.subject):
			i.holder = ""
			return Unanswered, time.Time{}
		case a.Server != i.holder || now.Sub(i.heldFrom) > maxAnswerAge:
			i.holder, i.heldFrom = a.Server, now
			return Doubted, now
		default:
			return Ended, i.heldFrom
		}
	case Silent:
	}
	return Unanswered, time.Time{}
}

// canHold reports whether the registrations allow that a subject has ended and the named server holds its address.
func (q *Inquirer) canHold(server string, s Subject) bool {
	if _, ok := q.possibleHolder(s); !ok {
		return false
	}
	return slices.ContainsFunc(q.registered, func(r cataloger.Server) bool {
		return r.ID == server && r.Address == s.Address && r.Incarnation > s.Incarnation
	})
}
