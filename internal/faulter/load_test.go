package faulter

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestHotKeyIsIsolatedAndItsNeighboursMove(t *testing.T) {
	is := is.New(t)
	setup := standardSetup()
	setup.Partitions = 48
	w := NewWorld(setup)
	w.Settle()
	w.Heat("key_7", 1.5)
	before := w.Imbalance()
	is.True(int(w.hotPartition()) < setup.Partitions)
	w.StartCallers()
	w.Run(2 * time.Minute)
	w.StopCallers()
	w.Run(5 * time.Second)
	after := w.Imbalance()
	floor := 1.5 / ((1.5 + plainLoad*48) / 6)
	t.Logf("imbalance before %.2f, after %.2f, floor %.2f; %+v", before, after, floor, w.Tally())
	is.True(int(w.hotPartition()) >= setup.Partitions) // the key has a partition of its own
	is.True(after <= max(floor, 1.1)+0.15)             // the bound of the bundle, or what one key alone makes
	is.Equal(len(w.Breaches()), 0)
	is.Equal(w.Tally().Unknown, 0)

	w.Heat("", 0)
	w.Run(2 * time.Minute)
	service, _ := w.fold().GetServiceByName(deskService)
	is.Equal(service.Pins[0].Key, "") // a key that has long been cool goes back
}
