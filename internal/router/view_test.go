package router

import (
	"testing"

	"github.com/matryer/is"
)

func TestEmptyViewHasNoRoute(t *testing.T) {
	is := is.New(t)
	var table Table
	_, err := table.View().GetServiceByName("desk")
	is.True(IsErrNoRoute(err))
	is.Equal(err.(ErrNoRoute).Reason(), "no_bundle")
	is.Equal(table.View().GetOwnerByPartition(gatePartition), Owner{})
	first, second := table.Gate("s1"), table.Gate("s1")
	is.True(first == second) // one gate for one server
}

// TestChangedMissesNothing takes the channel before it reads the view, as those who wait do.
func TestChangedMissesNothing(t *testing.T) {
	is := is.New(t)
	var table Table
	changed := table.Changed()
	is.Equal(table.View().Offset(), NewView(Picture{}).Offset())
	table.Publish(NewView(Picture{Offset: 9}))
	<-changed
	is.Equal(int(table.View().Offset()), 9)
	select {
	case <-table.Changed():
		t.Fatal("nothing was published since")
	default:
	}
}
