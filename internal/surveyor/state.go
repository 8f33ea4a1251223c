package surveyor

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/faulter"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// fewWitnesses is how many witnesses a member has where their number is held.
const fewWitnesses = 8

// surveyFold measures the bytes and the processor time of records that are folded.
func surveyFold(r *Result, s scale) error {
	var bytes, times []Point
	for _, n := range s.records {
		h, err := newHistory(s.baseEntries, s.baseServers, s.basePartitions)
		if err != nil {
			return err
		}
		first := len(h.entries)
		if err := h.addPinPairs(n/2, s.basePartitions); err != nil {
			return err
		}
		bytes = append(bytes, Point{X: float64(n), Y: bytesOf(h.entries[first:])})
		took := cpuOf(func() { _, err = reducer.Load(h.genesis, h.entries) })
		if err != nil {
			return err
		}
		times = append(times, Point{X: float64(n), Y: micros(took)})
	}
	fixed := fmt.Sprintf("pins and unpins, %d partitions, %d servers", s.basePartitions, s.baseServers)
	r.add("record_bytes", "bytes", "record", fixed, bytes)
	r.add("fold_cpu", "µs", "record", fixed, times)
	return surveyBundle(r, s)
}

// surveyBundle measures the record of a whole bundle against the servers that it declares.
func surveyBundle(r *Result, s scale) error {
	var bytes, times []Point
	for _, n := range s.servers {
		w := faulter.NewWorld(faulter.Setup{Seed: 1, Instances: 1, Servers: n, Partitions: s.basePartitions})
		first := w.Records()[:1]
		var err error
		took := cpuOf(func() { _, err = reducer.Load(w.Genesis(), first) })
		if err != nil {
			return err
		}
		bytes = append(bytes, Point{X: float64(n), Y: bytesOf(first)})
		times = append(times, Point{X: float64(n), Y: micros(took)})
	}
	fixed := fmt.Sprintf("%d partitions", s.basePartitions)
	r.add("bundle_bytes", "bytes", "server", fixed, bytes)
	r.add("bundle_fold_cpu", "µs", "server", fixed, times)
	return nil
}

func (h *history) addPinPairs(pairs, bases int) error {
	for i := range pairs {
		key := fmt.Sprintf("frame-%06d", i)
		if err := h.pin(key, i%bases); err != nil {
			return err
		}
		if err := h.unpin(key, i%bases); err != nil {
			return err
		}
	}
	return nil
}

func bytesOf(entries []reducer.Entry) float64 {
	total := 0
	for _, e := range entries {
		total += len(e.Data)
	}
	return float64(total)
}

// surveyMemory measures what one instance keeps: the folded state, the view, and what it knows of its peers.
func surveyMemory(r *Result, s scale) error {
	sweep := func(name, per, fixed string, sizes []int, make func(n int) (*history, float64, error)) error {
		var points []Point
		for _, n := range sizes {
			h, x, err := make(n)
			if err != nil {
				return err
			}
			points = append(points, Point{X: x, Y: heapOf(func() any { return h.instance() })})
		}
		r.add(name, "bytes", per, fixed, points)
		return nil
	}
	base := func(n int) (*history, float64, error) {
		h, err := newHistory(s.baseEntries, s.baseServers, n)
		return h, float64(n), err
	}
	if err := sweep("partition_memory", "partition", fmt.Sprintf("%d servers", s.baseServers), s.partitions, base); err != nil {
		return err
	}
	perServer := func(n int) (*history, float64, error) {
		h, err := newHistory(s.baseEntries, n, s.basePartitions)
		return h, float64(n), err
	}
	if err := sweep("server_memory", "server", fmt.Sprintf("%d partitions", s.basePartitions), s.servers, perServer); err != nil {
		return err
	}
	if err := sweep("pin_memory", "pinned key", fmt.Sprintf("%d partitions", s.basePartitions), s.pins, s.pinned); err != nil {
		return err
	}
	if err := sweep("member_memory", "member", fmt.Sprintf("%d witnesses each", fewWitnesses), s.members, s.withMembers(fewWitnesses)); err != nil {
		return err
	}
	return sweep("witness_memory", "member and witness of it", "every member has all others", s.members, s.withMembers(0))
}

// pinned returns a log with n pinned keys.
func (s scale) pinned(n int) (*history, float64, error) {
	h, err := newHistory(s.baseEntries, s.baseServers, s.basePartitions)
	if err != nil {
		return nil, 0, err
	}
	for i := range n {
		if err := h.pin(fmt.Sprintf("frame-%06d", i), i%s.basePartitions); err != nil {
			return nil, 0, err
		}
	}
	return h, float64(n), nil
}

// withMembers returns logs with n more members; without a limit each has all others as its witnesses and the size is
// the number of witnesses of all.
func (s scale) withMembers(limit int) func(n int) (*history, float64, error) {
	return func(n int) (*history, float64, error) {
		h, err := newHistory(s.baseEntries, s.baseServers, s.basePartitions)
		if err != nil {
			return nil, 0, err
		}
		if limit > 0 {
			return h, float64(n), h.addMembers(n, limit)
		}
		if err := h.addMembers(n, n+s.baseEntries); err != nil {
			return nil, 0, err
		}
		return h, float64(h.countWitnesses()), nil
	}
}

func (h *history) addMembers(n, limit int) error {
	for range n {
		if err := h.addMember(limit); err != nil {
			return err
		}
	}
	return nil
}

func (h *history) countWitnesses() int {
	total := 0
	for _, m := range h.state.Members() {
		total += len(m.Witnesses)
	}
	return total
}

// loaded is an instance that has folded a log.
type loaded struct {
	control *controller.Controller
	table   *router.Table
}

// instance returns an instance that has folded the history.
func (h *history) instance() *loaded { return h.instanceAt(h.entries, h.state.Next()) }

// instanceAt returns an instance that has folded the entries, up to next.
func (h *history) instanceAt(entries []reducer.Entry, next identifier.Offset) *loaded {
	l := &loaded{table: &router.Table{}}
	l.control = controller.New(controller.Options{
		Run:     "survey-1",
		Name:    "survey",
		Domain:  "a",
		Genesis: h.genesis,
		Table:   l.table,
	})
	l.control.Start(time.Time{})
	l.read(entries, next)
	return l
}

func (l *loaded) read(entries []reducer.Entry, next identifier.Offset) {
	now := time.UnixMilli(0)
	l.control.Step(now, controller.LogRead{Start: now, Entries: entries, Next: next})
}
