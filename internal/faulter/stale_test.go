package faulter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// TestPausedBetweenGateAndSend pauses the holder of a front just before it sends, within the pause bound, while the
// server is moved on without it.
func TestPausedBetweenGateAndSend(t *testing.T) {
	tests := map[string]struct {
		unchecking int
		// found makes the server stop checking after the next front has taken over.
		found bool
	}{
		"server checks":                {},
		"server does not check":        {unchecking: 6},
		"server is found not to check": {found: true},
	}
	for name, tc := range tests {
		for seed := range int64(6) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				is := is.New(t)
				setup := standardSetup()
				setup.Seed = seed
				setup.Unchecking = tc.unchecking
				w := NewWorld(setup)
				w.Run(2500 * time.Millisecond)
				w.StartCallers()
				w.Run(2 * time.Second)
				struck := pauseBeforeSend(w)
				w.Run(900 * time.Millisecond)
				if tc.found {
					w.servers[struck].checks = false
				}
				w.Run(300 * time.Millisecond)
				w.Leave(struck)
				w.Run(20 * time.Second)
				w.StopCallers()
				w.Run(5 * time.Second)
				is.Equal(len(w.Breaches()), 0)
			})
		}
	}
}

// pauseBeforeSend pauses the next instance that sends, and returns the server that it sends to.
func pauseBeforeSend(w *World) identifier.ServerName {
	f := &Fault{Step: StepWrite, Break: func(_ *World, at *instance, _ identifier.ServerName) { at.halt(breakTime) }}
	w.Inject(f)
	for !f.fired {
		w.Run(10 * time.Millisecond)
	}
	return f.strike.subject
}
