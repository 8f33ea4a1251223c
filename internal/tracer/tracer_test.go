package tracer

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

var start = time.Date(2026, 12, 3, 22, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time { return start.Add(offset) }

func TestRingKeepsTheNewest(t *testing.T) {
	tests := map[string]struct {
		capacity, added int
		first           identifier.Offset
		overwritten     uint64
	}{
		"empty":         {capacity: 3, added: 0},
		"not full":      {capacity: 3, added: 2, first: 0},
		"full":          {capacity: 3, added: 3, first: 0},
		"overwritten":   {capacity: 3, added: 8, first: 5, overwritten: 5},
		"one place":     {capacity: 1, added: 4, first: 3, overwritten: 3},
		"default bound": {capacity: 0, added: DefaultCapacity + 1, first: 1, overwritten: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ring := NewRing("a", tc.capacity)
			for i := range tc.added {
				ring.Add(at(0), identifier.Offset(i), KindMoveStarted, "desk/1", "")
			}
			page := ring.Page()
			is.Equal(page.Overwritten, tc.overwritten)
			is.Equal(ring.Overwritten(), tc.overwritten)
			is.Equal(len(page.Events), tc.added-int(tc.overwritten))
			for i, e := range page.Events {
				is.Equal(e.Offset, tc.first+identifier.Offset(i))
			}
		})
	}
}

func TestRingBoundsTextsAndNeverGoesBack(t *testing.T) {
	is := is.New(t)
	ring := NewRing("a", 4)
	ring.Add(at(0), 9, KindLogLost, strings.Repeat("é", maxTextBytes), "")
	ring.Add(at(-time.Hour), 3, KindLogBack, "", "")
	events := ring.Page().Events
	is.True(len(events[0].Subject) <= maxTextBytes+len("…"))
	is.Equal(events[1].Offset, identifier.Offset(9))
	is.True(events[0].Clock.Compare(events[1].Clock) < 0)
}

func TestRingCountsBurstsOfRequests(t *testing.T) {
	is := is.New(t)
	ring := NewRing("a", 3)
	for i := range 100 {
		now := at(time.Duration(i) * 25 * time.Millisecond)
		ring.Add(now, 1, KindRequestUnknown, "desk", "broken")
		ring.Add(now, 1, KindAnswerCut, "desk", "")
		if i == 50 {
			ring.Add(now, 1, KindLeaseLapsed, "a", "")
		}
	}
	page := ring.Page()
	is.Equal(page.Overwritten, uint64(4))
	is.Equal(page.Events[0].Kind, KindLeaseLapsed)
	is.Equal(page.Events[1].Text(), "broken (and 19 more within 1s)")
	is.Equal(page.Events[2].Text(), "(and 19 more within 1s)")
}

func TestObserve(t *testing.T) {
	ms := start.UnixMilli()
	tests := map[string]struct {
		remote, want HybridTime
	}{
		"older reading":           {remote: HybridTime{WallMS: ms - 5}, want: HybridTime{WallMS: ms}},
		"newer reading":           {remote: HybridTime{WallMS: ms + 5, Count: 2}, want: HybridTime{WallMS: ms + 5, Count: 3}},
		"reading far in advance":  {remote: HybridTime{WallMS: ms + 3_600_000}, want: HybridTime{WallMS: ms}},
		"largest reading allowed": {remote: HybridTime{WallMS: ms + 60_000}, want: HybridTime{WallMS: ms + 60_000, Count: 1}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ring := NewRing("a", 1)
			ring.Observe(at(0), tc.remote)
			is.Equal(ring.Read(at(0)), tc.want)
		})
	}
}

func TestRingFromManyGoroutines(t *testing.T) {
	is := is.New(t)
	ring := NewRing("a", 100)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 50 {
				ring.Add(at(0), 1, KindLeaseGained, "b", "")
				ring.Observe(at(0), ring.Read(at(0)))
				ring.Page()
			}
		})
	}
	group.Wait()
	events := ring.Page().Events
	is.Equal(len(events), 100)
	is.Equal(ring.Overwritten(), uint64(300))
	for i := 1; i < len(events); i++ {
		is.True(events[i-1].Clock.Compare(events[i].Clock) < 0)
	}
}

func TestKindsAreUniqueAndExplained(t *testing.T) {
	is := is.New(t)
	seen := map[Kind]bool{}
	for _, d := range Kinds() {
		is.True(!seen[d.Kind])
		is.True(strings.HasSuffix(d.Help, "."))
		is.Equal(d.Kind.Group(), d.Group)
		seen[d.Kind] = true
	}
	is.Equal(Kind("nonsense").Group(), GroupOther)
}
