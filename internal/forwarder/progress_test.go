package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInFlightKnowsStages guards against a request that the exit of an instance cuts and no log line names.
func TestInFlightKnowsStages(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	var f requestSet
	second := f.begin(start.Add(time.Second), "second")
	first := f.begin(start, "first")
	third := f.begin(start.Add(2*time.Second), "third")
	second.enter(pending)
	third.enter(answering)
	var got []string
	for _, p := range f.oldestFirst() {
		got = append(got, p.id+" "+stage(p.stage.Load()).String())
	}
	is.Equal(got, []string{"first reading", "second pending", "third answering"})
	for _, p := range []*requestProgress{first, second, third} {
		f.end(p)
	}
	is.Equal(len(f.oldestFirst()), 0)
}
