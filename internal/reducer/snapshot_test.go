package reducer

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// parts returns the state's snapshot in n parts.
func parts(t testing.TB, st *State, n int) []recorder.Record {
	data := bytesOf(t, st)
	size := (len(data) + n - 1) / n
	var all []recorder.Record
	for i := range n {
		part := data[i*size : min((i+1)*size, len(data))]
		all = append(all, recorder.Snapshot{AsOf: st.Next(), Part: i, Parts: n, Data: part})
	}
	return all
}

// TestLoadFromParts leaves only what follows the first record of the snapshots.
func TestLoadFromParts(t *testing.T) {
	type step struct {
		author identifier.InstanceID
		part   int
	}
	tests := map[string]struct {
		steps []step
		lost  bool
	}{
		"one author":                {steps: []step{{"a", 0}, {"a", 1}, {"a", 2}}},
		"two authors, interleaved":  {steps: []step{{"a", 0}, {"b", 0}, {"b", 1}, {"a", 1}, {"a", 2}, {"b", 2}}},
		"one of two is whole":       {steps: []step{{"a", 0}, {"b", 0}, {"b", 1}, {"b", 2}, {"a", 1}}},
		"parts of two make no one":  {steps: []step{{"a", 0}, {"b", 1}, {"a", 2}}, lost: true},
		"first part missing":        {steps: []step{{"a", 1}, {"a", 2}}, lost: true},
		"middle part missing":       {steps: []step{{"a", 0}, {"a", 2}}, lost: true},
		"last part missing":         {steps: []step{{"a", 0}, {"a", 1}}, lost: true},
		"a part twice":              {steps: []step{{"a", 0}, {"a", 0}, {"a", 1}, {"a", 1}, {"a", 2}}},
		"missing part came at last": {steps: []step{{"a", 1}, {"a", 2}, {"a", 0}, {"a", 1}, {"a", 2}}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := ruleFeed(t)
			all := parts(t, f.st, 3)
			cut := len(f.entries)
			for _, s := range tc.steps {
				f.add(s.author, all[s.part])
			}
			f.accept("a", assign(2, 0, "s2"))
			st, err := Load(testGenesis(), f.entries[cut:])
			is.Equal(IsErrStateLost(err), tc.lost)
			if !tc.lost {
				is.NoErr(err)
				is.True(bytes.Equal(bytesOf(t, st), bytesOf(t, f.st)))
			}
		})
	}
}

// TestSnapshotAtNamesAWholeSnapshot loses one part on its way to the log; the author repeats it later. What the state
// then calls its newest snapshot must be one from which the log can be read.
func TestSnapshotAtNamesAWholeSnapshot(t *testing.T) {
	tests := map[string][]int{
		"in order":              {0, 1, 2},
		"first repeated later":  {1, 2, 0},
		"middle repeated later": {0, 2, 1},
		"first lost":            {1, 2},
		"last lost":             {0, 1},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := ruleFeed(t)
			before := f.st.SnapshotAt()
			all := parts(t, f.st, 3)
			cut := len(f.entries)
			for _, part := range order {
				f.add("a", all[part])
			}
			if f.st.SnapshotAt() == before {
				return
			}
			_, err := Load(testGenesis(), f.entries[cut:])
			is.NoErr(err) // the state counts on a snapshot that the log doesn't hold
		})
	}
}

func TestLoadWithoutSnapshot(t *testing.T) {
	tests := map[string]struct {
		keep func(f *feed) []Entry
		lost bool
	}{
		"nothing at all":           {keep: func(*feed) []Entry { return nil }},
		"the whole log":            {keep: func(f *feed) []Entry { return f.entries }},
		"the first record expired": {keep: func(f *feed) []Entry { return f.entries[1:] }, lost: true},
		"garbage":                  {keep: func(*feed) []Entry { return []Entry{{Offset: 7, Data: []byte("x")}} }, lost: true},
		"snapshot of expired records": {keep: func(f *feed) []Entry {
			record := parts(t, f.st, 1)[0]
			f.accept("a", assign(2, 0, "s2"))
			f.add("a", record)
			return f.entries[len(f.entries)-1:]
		}, lost: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Load(testGenesis(), tc.keep(ruleFeed(t)))
			is.Equal(IsErrStateLost(err), tc.lost)
			is.Equal(err != nil, tc.lost)
		})
	}
}

// TestLoadAfterAGap offers a whole snapshot and a tail from which a record is missing.
func TestLoadAfterAGap(t *testing.T) {
	is := is.New(t)
	f := ruleFeed(t)
	record := parts(t, f.st, 1)[0]
	cut := len(f.entries)
	f.add("a", record)
	f.accept("a", assign(2, 0, "s2"))
	f.accept("a", assign(3, 0, "s2"))
	entries := append(f.entries[cut:cut+1:cut+1], f.entries[cut+2])
	_, err := Load(testGenesis(), entries)
	is.True(err != nil)
}
