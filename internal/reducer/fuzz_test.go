package reducer

import (
	"testing"

	"github.com/wasabibank/wasabibank/internal/recorder"
)

// FuzzApply folds arbitrary bytes into a state with members, fronts, owners and a pin: it never panics, the offset
// goes on by one, a refused record changes nothing else, and the state can always be written and read.
func FuzzApply(f *testing.F) {
	seeds := newFeed(f)
	for _, record := range []recorder.Record{
		recorder.PublishBundle{Signed: testBundle{}.signed()},
		recorder.Join{Name: "g"},
		recorder.Leave{},
		recorder.Expel{Instance: "c"},
		recorder.Release{Instance: "b", Witness: "a"},
		recorder.SetWitnesses{Version: 1},
		claim("s3", 0),
		handTo("s1", 1, "c"),
		assign(1, 0, "s2"),
		reassign("s1", 1, moveOf(0, 1, "s2")),
		recorder.MeetServer{Server: "s1", Checks: true},
		recorder.Pin{Service: desk, Key: "new", Base: 0, Epoch: 1, Term: 1, Version: 1},
		recorder.Unpin{Service: desk, Key: "hot", Base: 0, Epoch: 1, Term: 1, Version: 1},
		recorder.Snapshot{AsOf: 5, Part: 0, Parts: 1, Data: []byte("{}")},
	} {
		f.Add(seeds.encode("a", record))
	}
	base := ruleFeed(f)
	before, next := bytesOf(f, base.st), base.st.Next()
	f.Fuzz(func(t *testing.T, data []byte) {
		st := NewState(testGenesis())
		if err := st.Unmarshal(before); err != nil {
			t.Fatal(err)
		}
		verdict, err := st.Apply(next, data)
		if err != nil || st.Next() != next+1 {
			t.Fatalf("the offset went from %d to %d: %v", next, st.Next(), err)
		}
		after := bytesOf(t, st)
		if _, refused := verdict.(Refused); refused && !sameBut(t, before, after) {
			t.Fatal("a refused record changed the state")
		}
		if err := NewState(testGenesis()).Unmarshal(after); err != nil {
			t.Fatal(err)
		}
	})
}
