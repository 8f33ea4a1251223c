package faulter

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/controller"
)

// TestListedLeavingInstanceHandsItsFrontsOn gives the platform's list to every instance; requests go on meanwhile.
func TestListedLeavingInstanceHandsItsFrontsOn(t *testing.T) {
	is := is.New(t)
	w := NewWorld(standardSetup())
	w.Settle()
	w.StartCallers()
	w.Run(2 * time.Second)
	leaving := w.instances[1]
	is.True(leaving.control.Fronted() > 0)
	for _, i := range w.alive() {
		i.step(controller.InstancesListed{Leaving: []string{leaving.name}})
	}
	w.Run(3 * time.Second)
	is.Equal(leaving.control.Fronted(), 0)
	w.StopCallers()
	w.Run(3 * time.Second)
	tally := w.Tally()
	is.Equal(tally.Answered, tally.Sent)
	is.Equal(len(w.Breaches()), 0)
}
