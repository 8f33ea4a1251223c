package forwarder

import (
	"testing"

	"pgregory.net/rapid"
)

var allSteps = []Step{Wait{}, TakeSlot{}, Write{}, Withdraw{}, RefuseUnrun{}, Break{}, Answer{}, Complete{}, Cut{}, GiveUp{}}

// TestOutcomesAreTrue walks lives at random and compares their ends with what left the process.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		life := NewLife(idempotent)
		unproved := false // an attempt left that was not proved unrun
		for range 40 {
			step := rapid.SampledFrom(allSteps).Draw(t, "step")
			before := life.State()
			next, err := life.Apply(step)
			if err != nil {
				if !IsErrStep(err) || next != life {
					t.Fatalf("a refused step changed the life: %v", err)
				}
				continue
			}
			life = next
			switch step.(type) {
			case Write:
				if unproved && !idempotent {
					t.Fatal("an at-most-once request that may have run was written again")
				}
			case Break, Cut:
				unproved = true
			}
			if _, sent := before.(Written); sent {
				if _, withdrawn := step.(GiveUp); withdrawn {
					t.Fatal("given up while under way")
				}
			}
			checkEnd(t, life, step, unproved)
		}
	})
}

func checkEnd(t *rapid.T, life Life, step Step, unproved bool) {
	end, done := life.State().(Done)
	if !done {
		return
	}
	_, complete := step.(Complete)
	want := OutcomeNotRun
	switch {
	case complete:
		want = OutcomeAnswered
	case unproved:
		want = OutcomeUnknown
	}
	if end.Outcome != want {
		t.Fatalf("outcome %s, want %s", end.Outcome, want)
	}
}
