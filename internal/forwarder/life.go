package forwarder

import (
	"fmt"

	"github.com/pkg/errors"
)

// Outcome is what a caller is told of its request.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered" // the server's answer, whole
	OutcomeNotRun   Outcome = "not_run"  // certainly not run
	OutcomeUnknown  Outcome = "unknown"  // may have run
)

// State is where a request stands: Admitted, Queued, Connecting, Written, Answering or Done.
type State interface{ state() }

// Admitted is a valid request that is not on its way to a server.
type Admitted struct{}

// Queued is a request that waits for a slot of its server, here or at the fronting instance.
type Queued struct{}

// Connecting is a request that has a slot and of which no byte has left.
type Connecting struct{}

// Written is a request of which a byte may have left.
type Written struct{}

// Answering is a request whose answer has begun.
type Answering struct{}

// Done is the end of a request.
type Done struct {
	Outcome Outcome
}

func (Admitted) state()   {}
func (Queued) state()     {}
func (Connecting) state() {}
func (Written) state()    {}
func (Answering) state()  {}
func (Done) state()       {}

// Step is what happens to a request.
type Step interface{ step() }

// The steps. An attempt is one try to send the request; a request whose attempt failed is Admitted again.
type (
	// Wait puts the request in the queue of a server.
	Wait struct{}
	// TakeSlot gives the request a slot.
	TakeSlot struct{}
	// Write comes before the first byte leaves.
	Write struct{}
	// Withdraw ends an attempt of which no byte has left.
	Withdraw struct{}
	// RefuseUnrun is the server's or the fronting instance's proof that the attempt was not run.
	RefuseUnrun struct{}
	// Break ends an attempt that may have run, without an answer.
	Break struct{}
	// Answer is the head of the server's answer.
	Answer struct{}
	// Complete is the end of a whole answer.
	Complete struct{}
	// Cut is the end of an answer that is not whole.
	Cut struct{}
	// GiveUp ends a request that is not under way.
	GiveUp struct{}
)

func (Wait) step()        {}
func (TakeSlot) step()    {}
func (Write) step()       {}
func (Withdraw) step()    {}
func (RefuseUnrun) step() {}
func (Break) step()       {}
func (Answer) step()      {}
func (Complete) step()    {}
func (Cut) step()         {}
func (GiveUp) step()      {}

// ErrStep reports a step that is impossible in the state of the request.
type ErrStep struct {
	state State
	step  Step
}

// Error implements error.
func (e ErrStep) Error() string {
	return fmt.Sprintf("step %T is impossible in state %T", e.step, e.state)
}

// IsErrStep reports whether err is an ErrStep.
func IsErrStep(err error) bool {
	var impossible ErrStep
	return errors.As(err, &impossible)
}

// Life is the life of one request. The zero Life is Admitted and idempotent.
type Life struct {
	state      State
	atMostOnce bool
	mayHaveRun bool
}

// NewLife returns the Life of a request that was admitted.
func NewLife(idempotent bool) Life { return Life{atMostOnce: !idempotent} }

// State returns where the request stands.
func (l Life) State() State {
	if l.state == nil {
		return Admitted{}
	}
	return l.state
}

// MayHaveRun reports whether a byte of an attempt left that was not proved unrun.
func (l Life) MayHaveRun() bool { return l.mayHaveRun }

// MaySend reports whether another attempt is allowed: not once an at-most-once request may have run.
func (l Life) MaySend() bool { return !l.atMostOnce || !l.mayHaveRun }

// Apply returns the Life after s. The error is an ErrStep and leaves the Life as it was.
func (l Life) Apply(s Step) (Life, error) {
	next, mayHaveRun, ok := l.follow(s)
	if !ok {
		return l, ErrStep{state: l.State(), step: s}
	}
	l.state = next
	l.mayHaveRun = l.mayHaveRun || mayHaveRun
	return l, nil
}

// follow returns the state after s and whether s leaves it open that the request ran.
func (l Life) follow(s Step) (next State, mayHaveRun, ok bool) {
	switch l.State().(type) {
	case Admitted:
		return l.fromAdmitted(s)
	case Queued:
		return fromQueued(s)
	case Connecting:
		return fromConnecting(s)
	case Written:
		return fromWritten(s)
	case Answering:
		return fromAnswering(s)
	}
	return nil, false, false
}

func (l Life) fromAdmitted(s Step) (State, bool, bool) {
	switch s.(type) {
	case Wait:
		return Queued{}, false, l.MaySend()
	case GiveUp:
		return Done{Outcome: l.withoutAnswer()}, false, true
	}
	return nil, false, false
}

// withoutAnswer returns the outcome of a request that ends without an answer.
func (l Life) withoutAnswer() Outcome {
	if l.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func fromQueued(s Step) (State, bool, bool) {
	switch s.(type) {
	case TakeSlot:
		return Connecting{}, false, true
	case Withdraw:
		return Admitted{}, false, true
	}
	return nil, false, false
}

func fromConnecting(s Step) (State, bool, bool) {
	switch s.(type) {
	case Write:
		return Written{}, false, true
	case Withdraw:
		return Admitted{}, false, true
	}
	return nil, false, false
}

func fromWritten(s Step) (State, bool, bool) {
	switch s.(type) {
	case Withdraw, RefuseUnrun:
		return Admitted{}, false, true
	case Break:
		return Admitted{}, true, true
	case Answer:
		return Answering{}, false, true
	}
	return nil, false, false
}

func fromAnswering(s Step) (State, bool, bool) {
	switch s.(type) {
	case Complete:
		return Done{Outcome: OutcomeAnswered}, false, true
	case Break:
		return Admitted{}, true, true
	case Cut:
		return Done{Outcome: OutcomeUnknown}, true, true
	}
	return nil, false, false
}
