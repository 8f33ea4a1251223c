package tracer

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// twoPages has instance b, whose clock runs behind and which learns of record 4 late.
func twoPages() []Page {
	a := NewRing("a", 10)
	b := NewRing("b", 10)
	a.Add(at(0), 4, KindMoveStarted, "desk/1", "first")
	b.Add(at(-time.Second), 4, KindLeaseGained, "", "second by clock order")
	b.Observe(at(-time.Second), a.Read(at(0)))
	a.Add(at(time.Second), 5, KindMoveDone, "desk/1", "")
	b.Add(at(2*time.Second), 4, KindLeaseLapsed, "", "")
	b.Add(at(3*time.Second), 5, KindLogBack, "", "<script>alert(1)</script>")
	return []Page{b.Page(), a.Page()}
}

func TestMergeOrders(t *testing.T) {
	tests := map[string]struct {
		order Order
		want  []Kind
	}{
		"by offset": {OrderOffset, []Kind{KindLeaseGained, KindMoveStarted, KindLeaseLapsed, KindMoveDone, KindLogBack}},
		"by clock":  {OrderClock, []Kind{KindLeaseGained, KindMoveStarted, KindMoveDone, KindLeaseLapsed, KindLogBack}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pages := twoPages()
			merged := Merge(tc.order, append(pages, pages[0])...)
			var kinds []Kind
			for _, e := range merged.Events {
				kinds = append(kinds, e.Kind)
			}
			is.Equal(kinds, tc.want)
			is.Equal(merged.Instances, []identifier.InstanceID{"a", "b"})
		})
	}
}

func TestMergeKeepsEachProcessInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rings := []*Ring{NewRing("a", 20), NewRing("b", 20), NewRing("c", 20)}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now := at(time.Duration(rapid.IntRange(0, 50).Draw(t, "now")) * time.Millisecond)
			ring := rings[rapid.IntRange(0, 2).Draw(t, "ring")]
			other := rings[rapid.IntRange(0, 2).Draw(t, "other")]
			ring.Add(now, identifier.Offset(rapid.IntRange(0, 9).Draw(t, "offset")), KindLogLost, "", "")
			other.Observe(now, ring.Read(now))
		}
		order := rapid.SampledFrom([]Order{OrderOffset, OrderClock}).Draw(t, "order")
		merged := Merge(order, rings[0].Page(), rings[1].Page(), rings[2].Page())
		total := 0
		for _, ring := range rings {
			own := ring.Page()
			total += len(own.Events)
			var kept []Event
			for _, e := range merged.Events {
				if e.Instance == own.Instance {
					kept = append(kept, e)
				}
			}
			if len(kept) != len(own.Events) {
				t.Fatalf("%d events of %s, want %d", len(kept), own.Instance, len(own.Events))
			}
			for i := range kept {
				if kept[i] != own.Events[i] {
					t.Fatalf("event %d of %s is out of order", i, own.Instance)
				}
			}
		}
		if total != len(merged.Events) {
			t.Fatalf("%d events, want %d", len(merged.Events), total)
		}
	})
}

func TestWriters(t *testing.T) {
	tests := map[string]struct {
		write func(Timeline, *bytes.Buffer) error
		want  []string
	}{
		"text": {func(tl Timeline, b *bytes.Buffer) error { return tl.WriteText(b) }, []string{"lease_lapsed", "5 events of 2 instances"}},
		"html": {func(tl Timeline, b *bytes.Buffer) error { return tl.WriteHTML(b) }, []string{"lease_lapsed", "&lt;script&gt;alert", "g-ownership"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.NoErr(tc.write(Merge(OrderOffset, twoPages()...), &out))
			for _, want := range tc.want {
				is.True(strings.Contains(out.String(), want))
			}
			is.NoErr(tc.write(Timeline{}, &out))
		})
	}
}

func TestWriteHTMLNeedsNothingFromElsewhere(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(Merge(OrderClock, twoPages()...).WriteHTML(&out))
	is.True(!regexp.MustCompile(`(?i)(src|href)="?(https?:)?//|@import|url\(|ZgotmplZ`).Match(out.Bytes()))
	is.Equal(strings.Count(out.String(), "<tr id="), 5)
	is.Equal(strings.Count(out.String(), "<circle"), 5)
}

func TestWriteJSONIsReadBack(t *testing.T) {
	is := is.New(t)
	want := Merge(OrderOffset, twoPages()...)
	var out bytes.Buffer
	is.NoErr(want.WriteJSON(&out))
	var got Timeline
	is.NoErr(json.Unmarshal(out.Bytes(), &got))
	is.Equal(got, want)
}
