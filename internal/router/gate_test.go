package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

var (
	gateStart     = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	gatePartition = identifier.PartitionID{Service: "desk", Index: 3}
)

func gatePermit() Permit {
	owned := map[identifier.PartitionID]identifier.Epoch{gatePartition: 7}
	return NewPermit(5, gateStart.Add(time.Second), owned)
}

func TestGateChecks(t *testing.T) {
	other := identifier.PartitionID{Service: "desk", Index: 4}
	tests := map[string]struct {
		permit    Permit
		partition identifier.PartitionID
		epoch     identifier.Epoch
		after     time.Duration
		want      string
	}{
		"allowed":         {permit: gatePermit(), partition: gatePartition, epoch: 7},
		"no permit":       {partition: gatePartition, epoch: 7, want: "not_fronting"},
		"just before end": {permit: gatePermit(), partition: gatePartition, epoch: 7, after: time.Second - 1},
		"at the end":      {permit: gatePermit(), partition: gatePartition, epoch: 7, after: time.Second, want: "lease_expired"},
		"not owned":       {permit: gatePermit(), partition: other, epoch: 7, want: "not_owned"},
		"older epoch":     {permit: gatePermit(), partition: gatePartition, epoch: 6, want: "epoch_changed"},
		"newer epoch":     {permit: gatePermit(), partition: gatePartition, epoch: 8, want: "epoch_changed"},
		"not keyed":       {permit: NewPermit(5, gateStart.Add(time.Second), nil), partition: other},
		"keyed and empty": {permit: NewPermit(5, gateStart.Add(time.Second), map[identifier.PartitionID]identifier.Epoch{}), partition: other, want: "not_owned"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var gate Gate
			gate.SetPermit(tc.permit)
			term, err := gate.Enter(tc.partition, tc.epoch, gateStart.Add(tc.after))
			is.Equal(IsErrClosed(err), tc.want != "")
			if tc.want != "" {
				is.Equal(err.(ErrClosed).Reason(), tc.want)
				is.Equal(gate.Total(), 0)
				return
			}
			is.Equal(term, identifier.Term(5))
			is.Equal(gate.InFlight(tc.partition), 1)
			gate.Leave(tc.partition)
			is.Equal(gate.Total(), 0)
		})
	}
}

// TestGateCountsWhatEnteredBefore takes the permit away while requests are in flight.
func TestGateCountsWhatEnteredBefore(t *testing.T) {
	is := is.New(t)
	var gate Gate
	gate.SetPermit(gatePermit())
	for range 2 {
		_, err := gate.Enter(gatePartition, 7, gateStart)
		is.NoErr(err)
	}
	gate.SetPermit(Permit{})
	_, err := gate.Enter(gatePartition, 7, gateStart)
	is.True(IsErrClosed(err))
	is.Equal(gate.InFlight(gatePartition), 2)
	gate.Leave(gatePartition)
	is.Equal(gate.InFlight(gatePartition), 1)
	is.Equal(gate.Total(), 1)
}

func TestAbortEndsWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	var gate Gate
	gate.Abort() // nothing is in flight
	first, second := gate.Aborted(), gate.Aborted()
	gate.Abort()
	<-first
	<-second
	select {
	case <-gate.Aborted():
		t.Fatal("a request that enters later is aborted")
	default:
		is.True(true)
	}
}
