package reducer

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// drawnRecords bounds the records of one drawn log.
const drawnRecords = 80

// restoreEvery is how many records lie between two restores of a fold.
const restoreEvery = 3

// TestFoldsAgree folds one log three times: twice record by record, and with a restore after every few records.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		second := NewState(testGenesis())
		third := NewState(testGenesis())
		compare := func(f *feed) {
			for int(second.Next()) < len(f.entries) {
				entry := f.entries[second.Next()]
				_, err := second.Apply(entry.Offset, entry.Data)
				is.NoErr(err)
				_, err = third.Apply(entry.Offset, entry.Data)
				is.NoErr(err)
				want := bytesOf(t, f.st)
				if int(second.Next()) == len(f.entries) && !bytes.Equal(bytesOf(t, second), want) {
					rt.Fatalf("two folds differ at offset %d", f.st.Next())
				}
				if third.Next()%restoreEvery == 0 {
					is.NoErr(third.Unmarshal(bytesOf(t, third)))
				}
				if int(third.Next()) == len(f.entries) && !bytes.Equal(bytesOf(t, third), want) {
					rt.Fatalf("a restored fold differs at offset %d", f.st.Next())
				}
			}
		}
		drawLog(rt, t, drawnRecords, func(f *feed, _ Verdict) { compare(f) })
	})
}

func TestRefusedRecordChangesNothing(t *testing.T) {
	reached := map[Reason]int{}
	rapid.Check(t, func(rt *rapid.T) {
		var before []byte
		drawLog(rt, t, drawnRecords, func(f *feed, verdict Verdict) {
			after := bytesOf(t, f.st)
			if refused, ok := verdict.(Refused); ok {
				reached[refused.Reason]++
				if before != nil && !sameBut(t, before, after) {
					rt.Fatalf("%s changed the state", refused.Reason)
				}
			} else {
				reached[""]++
			}
			before = after
		})
	})
	t.Logf("verdicts by reason: %v", reached)
	is.New(t).True(reached[""] > 500) // the drawn records do something
}

// TestRestoreEqualsWholeFold cuts a log with snapshots anywhere: what is left gives the same state, or ErrStateLost
// when no whole snapshot of what is left is in it.
func TestRestoreEqualsWholeFold(t *testing.T) {
	restored, lost := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		f := newFeed(t).begin("a", "b", "c")
		newest := identifier.Offset(0)
		some := func() {
			for range rapid.IntRange(0, 8).Draw(rt, "records") {
				author, record := drawing{t: rt, st: f.st}.next()
				if _, ok := record.(recorder.Snapshot); !ok {
					f.add(author, record)
				}
			}
		}
		for range rapid.IntRange(1, 6).Draw(rt, "rounds") {
			some()
			records, err := f.st.SnapshotRecords()
			if err != nil {
				rt.Fatal(err)
			}
			newest = f.st.Next()
			for _, record := range records {
				f.add("a", record)
			}
		}
		some()
		cut := len(f.entries) - rapid.IntRange(1, min(len(f.entries), 20)).Draw(rt, "kept")
		st, err := Load(testGenesis(), f.entries[cut:])
		if cut > int(newest) {
			lost++
			if !IsErrStateLost(err) {
				rt.Fatalf("cut at %d after the newest snapshot of %d: %v", cut, newest, err)
			}
			return
		}
		restored++
		if err != nil {
			rt.Fatal(err)
		}
		if !bytes.Equal(bytesOf(t, st), bytesOf(t, f.st)) {
			rt.Fatalf("cut at %d gives another state", cut)
		}
	})
	t.Logf("restored %d, lost %d", restored, lost)
	is.New(t).True(restored > 10 && lost > 0)
}

// TestRepeatIsNeverAcceptedTwice appends the bytes of accepted records again, any number of records later. The parts
// of a snapshot before its last are left out: accepting one changes nothing.
func TestRepeatIsNeverAcceptedTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var accepted [][]byte
		f := newFeed(t).begin("a", "b", "c")
		for range rapid.IntRange(0, 4*drawnRecords).Draw(rt, "records") {
			if len(accepted) > 0 && rapid.IntRange(0, 2).Draw(rt, "repeat") == 0 {
				again := rapid.SampledFrom(accepted).Draw(rt, "which")
				if _, ok := f.addBytes(again).(Accepted); ok {
					rt.Fatalf("accepted twice: %s", again)
				}
				continue
			}
			author, record := drawing{t: rt, st: f.st}.next()
			data := f.encode(author, record)
			_, ok := f.addBytes(data).(Accepted)
			part, isPart := record.(recorder.Snapshot)
			if ok && !(isPart && part.Part < part.Parts-1) {
				accepted = append(accepted, data)
			}
		}
	})
}

// TestRefusedIsNeverAcceptedLater appends records that fitted an earlier state of the log, as an instance that lags
// behind would, and the refused ones again later.
func TestRefusedIsNeverAcceptedLater(t *testing.T) {
	stale := 0
	rapid.Check(t, func(rt *rapid.T) {
		var refused [][]byte
		f := newFeed(t).begin("a", "b", "c")
		states := [][]byte{bytesOf(t, f.st)}
		for range rapid.IntRange(0, drawnRecords).Draw(rt, "records") {
			if len(refused) > 0 && rapid.IntRange(0, 2).Draw(rt, "repeat") == 0 {
				again := rapid.SampledFrom(refused).Draw(rt, "which")
				if _, ok := f.addBytes(again).(Accepted); ok {
					rt.Fatalf("refused and then accepted: %s", again)
				}
				continue
			}
			lag := min(rapid.SampledFrom([]int{0, 0, 1, 2, 4}).Draw(rt, "lag"), len(states)-1)
			data, ok := f.drawFitting(rt, states[len(states)-1-lag])
			if !ok {
				continue
			}
			if _, no := f.addBytes(data).(Refused); no {
				stale++
				refused = append(refused, data)
			}
			states = append(states, bytesOf(t, f.st))
		}
	})
	t.Logf("refused records appended: %d", stale)
	is.New(t).True(stale > 50)
}

// drawFitting draws a record that the state of the given bytes accepts.
func (f *feed) drawFitting(rt *rapid.T, state []byte) ([]byte, bool) {
	view := NewState(testGenesis())
	if err := view.Unmarshal(state); err != nil {
		rt.Fatal(err)
	}
	author, record := drawing{t: rt, st: view}.next()
	data := f.encode(author, record)
	verdict, err := view.Apply(view.Next(), data)
	if err != nil {
		rt.Fatal(err)
	}
	_, ok := verdict.(Accepted)
	return data, ok
}
