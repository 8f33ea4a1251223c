package surveyor

import (
	"fmt"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// surveySnapshot measures a snapshot's bytes, the time to load it, and the time to fold one record and publish the view.
func surveySnapshot(r *Result, s scale) error {
	var bytes, loads, publishes []Point
	for _, n := range s.partitions {
		h, err := newHistory(s.baseEntries, s.baseServers, n)
		if err != nil {
			return err
		}
		entries, err := h.snapshot()
		if err != nil {
			return err
		}
		x := float64(n)
		bytes = append(bytes, Point{X: x, Y: bytesOf(entries)})
		took := cpuOf(func() { _, err = reducer.Load(h.genesis, entries) })
		if err != nil {
			return err
		}
		loads = append(loads, Point{X: x, Y: micros(took)})
		took, err = h.publishTime()
		if err != nil {
			return err
		}
		publishes = append(publishes, Point{X: x, Y: micros(took)})
	}
	fixed := fmt.Sprintf("%d servers, %d entries", s.baseServers, s.baseEntries)
	r.add("snapshot_bytes", "bytes", "partition", fixed, bytes)
	r.add("snapshot_load_cpu", "µs", "partition", fixed, loads)
	r.add("publish_cpu", "µs", "partition", fixed+", one record folded and the view published", publishes)
	return nil
}

// snapshot returns the records of a snapshot of the state.
func (h *history) snapshot() ([]reducer.Entry, error) {
	records, err := h.state.SnapshotRecords()
	if err != nil {
		return nil, err
	}
	author := h.state.Members()[0].ID
	var entries []reducer.Entry
	for i, record := range records {
		id := identifier.RecordID(fmt.Sprintf("%s/snapshot/%d", author, i))
		data, err := recorder.Encode(recorder.NewEnvelope(id, author, time.UnixMilli(0), record))
		if err != nil {
			return nil, errors.Wrap(err, "snapshot")
		}
		entries = append(entries, reducer.Entry{Offset: record.AsOf + identifier.Offset(i), Data: data})
	}
	return entries, nil
}

// publishRecords is how many records are folded one by one to time the publication of the view.
const publishRecords = 400

func (h *history) publishTime() (time.Duration, error) {
	first := len(h.entries)
	start := h.state.Next()
	before := h.entries[:first:first]
	if err := h.addPinPairs(publishRecords/2, 1); err != nil {
		return 0, err
	}
	least := time.Duration(0)
	for try := range cpuTries {
		took := publishAll(h.instanceAt(before, start), h.entries[first:])
		if try == 0 || took < least {
			least = took
		}
	}
	return least / publishRecords, nil
}

// publishAll folds the entries one by one and returns the processor time.
func publishAll(l *loaded, entries []reducer.Entry) time.Duration {
	runtime.GC()
	start := processCPU()
	for _, e := range entries {
		l.read([]reducer.Entry{e}, e.Offset+1)
	}
	return processCPU() - start
}
