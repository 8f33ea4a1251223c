package reducer

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Marshal returns the state's bytes; equal states give equal bytes.
func (st *State) Marshal() ([]byte, error) {
	data, err := json.Marshal(st.s)
	return data, errors.Wrap(err, "encode state")
}

// Unmarshal replaces the state by one that Marshal returned.
func (st *State) Unmarshal(data []byte) error {
	s := emptyState()
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "decode state")
	}
	next := &State{genesis: st.genesis, s: s}
	if s.Signed != nil {
		bundle, err := s.Signed.Open("bundle")
		if err != nil {
			return errors.Wrap(err, "bundle in the snapshot")
		}
		next.bundle = bundle
	}
	*st = *next
	return nil
}

// Clone returns a copy that shares nothing with st but the bundle.
func (st *State) Clone() (*State, error) {
	data, err := st.Marshal()
	if err != nil {
		return nil, err
	}
	clone := NewState(st.genesis)
	return clone, clone.Unmarshal(data)
}

func (st *State) applySnapshot(origin Provenance, r recorder.Snapshot) refusal {
	if r.Parts < 1 || r.Part < 0 || r.Part >= r.Parts {
		return refusal{reason: ReasonMalformed, detail: "no such part"}
	}
	if r.AsOf <= st.s.SnapshotAt {
		return refusal{reason: ReasonStale, detail: "a newer snapshot is in the log"}
	}
	progress := st.s.Snapshots[origin.Author]
	if progress.AsOf != r.AsOf || progress.Parts != r.Parts {
		progress = SnapshotProgress{AsOf: r.AsOf, Parts: r.Parts}
	}
	if r.Part != progress.Got {
		return refusal{reason: ReasonStale, detail: "not the next part of the snapshot"}
	}
	progress.Got++
	st.s.Snapshots[origin.Author] = progress
	if progress.Got == r.Parts {
		st.s.SnapshotAt = r.AsOf
		delete(st.s.Snapshots, origin.Author)
	}
	return refusal{}
}

// snapshotPartBytes is the size of a snapshot's parts before they are encoded.
const snapshotPartBytes = 512 << 10

// SnapshotRecords returns the records that hold the state as it stands.
func (st *State) SnapshotRecords() ([]recorder.Snapshot, error) {
	data, err := st.Marshal()
	if err != nil {
		return nil, err
	}
	parts := (len(data) + snapshotPartBytes - 1) / snapshotPartBytes
	records := make([]recorder.Snapshot, 0, parts)
	for part := range parts {
		first := part * snapshotPartBytes
		last := min(first+snapshotPartBytes, len(data))
		records = append(records, recorder.Snapshot{AsOf: st.s.Next, Part: part, Parts: parts, Data: data[first:last]})
	}
	return records, nil
}

// ErrStateLost reports that the log has neither its beginning nor a whole snapshot.
type ErrStateLost struct{}

// Error implements error.
func (ErrStateLost) Error() string {
	return "the log holds neither its first record nor a whole snapshot that the retained records continue"
}

// IsErrStateLost reports whether err is an ErrStateLost.
func IsErrStateLost(err error) bool {
	var lost ErrStateLost
	return errors.As(err, &lost)
}

// Entry is one record of the log as it was read.
type Entry struct {
	Offset identifier.Offset
	Data   []byte
}

// snapshotKey tells snapshots of several authors at one offset apart.
type snapshotKey struct {
	author identifier.InstanceID
	asOf   identifier.Offset
}

// Load folds entries, all that the log retains in order, to a state. It starts from the log's first record, or else from
// the newest whole snapshot in entries. The error is an ErrStateLost when neither is there.
func Load(genesis Genesis, entries []Entry) (*State, error) {
	st := NewState(genesis)
	if len(entries) == 0 {
		return st, nil
	}
	if entries[0].Offset > 0 {
		if !restoreNewest(st, entries) {
			return nil, ErrStateLost{}
		}
	}
	for _, entry := range entries {
		if _, err := st.Apply(entry.Offset, entry.Data); err != nil {
			return nil, err
		}
	}
	return st, nil
}

// restoreNewest sets st to the newest whole snapshot that the entries continue without a gap.
func restoreNewest(st *State, entries []Entry) bool {
	parts := map[snapshotKey][][]byte{}
	restored := false
	for _, entry := range entries {
		envelope, err := recorder.Decode(entry.Data)
		if err != nil {
			continue
		}
		part, ok := envelope.Record().(recorder.Snapshot)
		if !ok || part.AsOf < entries[0].Offset {
			continue
		}
		key := snapshotKey{author: envelope.Author(), asOf: part.AsOf}
		if !collectPart(parts, key, part) {
			continue
		}
		if restoreParts(st, parts[key], part.AsOf) {
			restored = true
		}
		delete(parts, key)
	}
	return restored
}

// collectPart adds part, and reports whether the snapshot is whole now.
func collectPart(parts map[snapshotKey][][]byte, key snapshotKey, part recorder.Snapshot) bool {
	if part.Parts < 1 || part.Part != len(parts[key]) {
		return false
	}
	parts[key] = append(parts[key], part.Data)
	return len(parts[key]) == part.Parts
}

func restoreParts(st *State, parts [][]byte, asOf identifier.Offset) bool {
	var data []byte
	for _, part := range parts {
		data = append(data, part...)
	}
	candidate := NewState(st.genesis)
	if err := candidate.Unmarshal(data); err != nil || candidate.Next() != asOf || asOf < st.Next() {
		return false
	}
	*st = *candidate
	return true
}
