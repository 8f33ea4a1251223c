package reducer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// TestRepeatAfterReturn repeats a record once the state that it supposes seems to have come back. Each later step is
// folded between the two; the second of the equal records must be refused.
func TestRepeatAfterReturn(t *testing.T) {
	tests := map[string]struct {
		record recorder.Record
		later  []recorder.Record
	}{
		"pin, unpinned since": {
			record: recorder.Pin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1},
			later:  []recorder.Record{recorder.Unpin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1, Version: 1}},
		},
		"pin, unpinned and pinned otherwise since": {
			record: recorder.Pin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1},
			later: []recorder.Record{
				recorder.Unpin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1, Version: 1},
				recorder.Pin{Service: desk, Key: "warm", Base: 0, Epoch: 1, Term: 1, Version: 2},
			},
		},
		"assign, moved away and given up since": {
			record: assign(1, 0, "s1"),
			later:  []recorder.Record{reassign("s1", 1, moveOf(1, 1, "s9"))},
		},
		"reassign, moved back since": {
			record: reassign("s1", 1, moveOf(0, 1, "s2")),
			later:  []recorder.Record{reassign("s2", 1, moveOf(0, 2, "s1"))},
		},
		"hand to itself": {
			record: handTo("s1", 1, "a"),
		},
		"meet, met otherwise since": {
			record: recorder.MeetServer{Server: "s1", Checks: true},
			later:  []recorder.Record{recorder.MeetServer{Server: "s1", Version: 1, Checks: false}},
		},
		"witnesses, changed back since": {
			record: recorder.SetWitnesses{Version: 0},
			later:  []recorder.Record{recorder.SetWitnesses{Version: 1, Witnesses: []identifier.InstanceID{"b"}}},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFeed(t).begin("a", "b")
			f.claim("a", "s1", "s2")
			f.accept("a", assign(0, 0, "s1"))
			data := f.encode("a", tc.record)
			_, ok := f.addBytes(data).(Accepted)
			is.True(ok)
			for _, record := range tc.later {
				f.accept("a", record)
			}
			before := bytesOf(t, f.st)
			_, again := f.addBytes(data).(Accepted)
			is.True(!again)                               // accepted twice
			is.True(sameBut(t, before, bytesOf(t, f.st))) // the repeat changed the state
		})
	}
}

// TestRefusedClaimStaysRefused repeats a claim that lost to a server found not to check, after its holder is gone.
func TestRefusedClaimStaysRefused(t *testing.T) {
	is := is.New(t)
	f := newFeed(t).begin("a", "b", "c")
	f.claim("b", "s1")
	f.accept("a", recorder.MeetServer{Server: "s1", Checks: true})
	f.accept("a", recorder.Expel{Instance: "b"})
	f.accept("c", recorder.MeetServer{Server: "s1", Version: 1, Checks: false})
	data := f.encode("a", claim("s1", 1)) // decided before the last record was read
	_, refused := f.addBytes(data).(Refused)
	is.True(refused)
	f.accept("a", recorder.Release{Instance: "b", Lapsed: true})
	_, accepted := f.addBytes(data).(Accepted)
	is.True(!accepted) // refused and then accepted
}
