package cataloger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEvacuations guards against servers of an evacuated failure domain that get new requests, or stay unused after its end.
func TestEvacuations(t *testing.T) {
	const drain = 2 * time.Second
	for name, test := range map[string]struct {
		act              func(*Evacuations)
		want, ofDraining State // of a ready and of a draining server in domain a
		evacuated        bool
	}{
		"none": {act: func(*Evacuations) {}, ofDraining: Draining},
		"just begun": {
			act: func(e *Evacuations) { e.Begin(start, drain, "a") }, want: Draining, ofDraining: Draining, evacuated: true,
		},
		"drained": {
			act: func(e *Evacuations) {
				e.Begin(start, drain, "a")
				e.Expire(start.Add(drain))
			},
			want: Gone, ofDraining: Gone, evacuated: true,
		},
		"begun twice": {
			act: func(e *Evacuations) {
				e.Begin(start, drain, "a")
				e.Begin(start.Add(time.Second), drain, "a")
				e.Expire(start.Add(drain))
			},
			want: Gone, ofDraining: Gone, evacuated: true,
		},
		"ended": {
			act: func(e *Evacuations) {
				e.Begin(start, drain, "a")
				e.Expire(start.Add(drain))
				e.End("a")
			},
			ofDraining: Draining,
		},
		"of another domain": {act: func(e *Evacuations) { e.Begin(start, 0, "unknown") }, ofDraining: Draining},
		"without a time to drain": {
			act: func(e *Evacuations) { e.Begin(start, 0, "a") }, want: Gone, ofDraining: Gone, evacuated: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var e Evacuations
			test.act(&e)
			got := e.Apply([]Server{{ID: "1", Domain: "a"}, {ID: "2", Domain: "a", State: Draining}, {ID: "3", Domain: "b"}})
			is.Equal(got[0].State, test.want)
			is.Equal(got[0].Evacuated, test.evacuated)
			is.Equal(got[1].State, test.ofDraining)
			is.Equal(got[2], Server{ID: "3", Domain: "b"})
		})
	}
}

// TestEvacuationsAreListed guards against operators who can't see what is evacuated, and since when.
func TestEvacuationsAreListed(t *testing.T) {
	is := is.New(t)
	var e Evacuations
	is.True(e.Begin(start.Add(time.Second), time.Second, "b"))
	is.True(e.Begin(start, time.Second, "a"))
	is.True(!e.Begin(start.Add(time.Minute), time.Second, "a"))
	is.Equal(e.All(), []Evacuation{{Domain: "a", Since: start}, {Domain: "b", Since: start.Add(time.Second)}})
	is.True(e.Expire(start.Add(time.Second)))
	is.True(!e.Expire(start.Add(time.Second)))
	is.True(e.End("a"))
	is.True(!e.End("a"))
	is.Equal(len(e.All()), 1)
}
