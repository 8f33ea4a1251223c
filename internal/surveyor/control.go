package surveyor

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/faulter"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The times of the survey of steady control.
const (
	controlTick   = 20 * time.Millisecond
	controlFor    = time.Second
	partitionLoad = 0.02
)

// size is what a steady system consists of.
type size struct {
	entries    int
	servers    int
	partitions int
}

func (s scale) baseSize() size {
	return size{entries: s.baseEntries, servers: s.baseServers, partitions: s.basePartitions}
}

// sweep is one way in which a system grows.
type sweep struct {
	name  string
	per   string
	fixed string
	sizes []size
}

func (s scale) sweeps() []sweep {
	base := s.baseSize()
	byEntries := sweep{name: "entries", per: "entry", fixed: fmt.Sprintf("%d servers, %d partitions", base.servers, base.partitions)}
	for _, n := range s.entries {
		byEntries.sizes = append(byEntries.sizes, size{n, base.servers, base.partitions})
	}
	byServers := sweep{name: "servers", per: "server", fixed: fmt.Sprintf("%d entries, %d partitions", base.entries, base.partitions)}
	for _, n := range s.servers {
		byServers.sizes = append(byServers.sizes, size{base.entries, n, base.partitions})
	}
	byPartitions := sweep{name: "partitions", per: "partition", fixed: fmt.Sprintf("%d entries, %d servers", base.entries, base.servers)}
	for _, n := range s.partitions {
		byPartitions.sizes = append(byPartitions.sizes, size{base.entries, base.servers, n})
	}
	whole := sweep{name: "whole", per: "entry", fixed: "for each entry 2 servers and 32 partitions"}
	for _, n := range s.entries {
		whole.sizes = append(whole.sizes, size{n, 2 * n, 32 * n})
	}
	return []sweep{byEntries, byServers, byPartitions, whole}
}

// of returns what the sweep varies.
func (w sweep) of(s size) float64 {
	switch w.name {
	case "entries", "whole":
		return float64(s.entries)
	case "servers":
		return float64(s.servers)
	default:
		return float64(s.partitions)
	}
}

// newWorld returns a system that serves every partition.
func newWorld(seed int64, s size, snapshotEvery string) (*faulter.World, error) {
	w := faulter.NewWorld(faulter.Setup{
		Seed:          seed,
		Instances:     s.entries,
		Servers:       s.servers,
		Partitions:    s.partitions,
		SnapshotEvery: snapshotEvery,
	})
	w.Settle()
	if open := w.Unserved(); open > 0 {
		return nil, errors.Errorf("%+v: %d partitions are not served after the start", s, open)
	}
	return w, nil
}

// surveyControl measures the processor time of the deciders for one second of one instance in steady state.
func surveyControl(r *Result, s scale) error {
	for _, sweep := range s.sweeps() {
		var points []Point
		for _, size := range sweep.sizes {
			w, err := newWorld(1, size, "")
			if err != nil {
				return err
			}
			least := time.Duration(0)
			for n := range s.repeats {
				took := decidingTime(w)
				if n == 0 || took < least {
					least = took
				}
			}
			if open := w.Unserved(); open > 0 {
				return errors.Errorf("%+v: %d partitions are not served after the survey", size, open)
			}
			points = append(points, Point{X: sweep.of(size), Y: micros(least) / float64(size.entries) / seconds(controlFor)})
		}
		r.add("decide_cpu_by_"+sweep.name, "µs a second of an entry", sweep.per, sweep.fixed, points)
	}
	return nil
}

// decidingTime returns the processor time of all deciders over controlFor: that of the process, garbage collection
// included, times the share of the elapsed time that was spent within the deciders.
func decidingTime(w *faulter.World) time.Duration {
	began := time.Now()
	elapsed := func() time.Duration { return time.Since(began) }
	cpu := processCPU()
	first := elapsed()
	count := w.Survey(faulter.SurveyOptions{
		For:           controlFor,
		Tick:          controlTick,
		PartitionLoad: partitionLoad,
		Elapsed:       elapsed,
	})
	whole := elapsed() - first
	return time.Duration(float64(processCPU()-cpu) * float64(count.Deciding) / float64(whole))
}

// traffic is the control messages of a system over controlFor.
type traffic struct {
	exchanges []exchanged
	grants    []granted
	reads     int
}

type exchanged struct {
	request controller.ExchangeRequest
	reply   controller.ExchangeReply
}

type granted struct {
	grant  commander.Grant
	answer commander.GrantAnswer
}

func trafficOf(s size) (traffic, error) {
	var t traffic
	w, err := newWorld(1, s, "")
	if err != nil {
		return t, err
	}
	count := w.Survey(faulter.SurveyOptions{
		For:           controlFor,
		Tick:          controlTick,
		PartitionLoad: partitionLoad,
		Elapsed:       func() time.Duration { return 0 },
		Exchanged: func(request controller.ExchangeRequest, reply controller.ExchangeReply) {
			t.exchanges = append(t.exchanges, exchanged{request: request, reply: reply})
		},
		Granted: func(grant commander.Grant, answer commander.GrantAnswer) {
			t.grants = append(t.grants, granted{grant: grant, answer: answer})
		},
	})
	t.reads = count.Reads
	return t, nil
}

// surveyWire measures the bytes, and the processor time of the clients and servers, that control sends and receives in
// one second of one instance. An exchange counts at both of its ends, a grant or a read of the log at one.
func surveyWire(r *Result, s scale) error {
	for _, sweep := range s.sweeps() {
		var bytes, times []Point
		for _, size := range sweep.sizes {
			t, err := trafficOf(size)
			if err != nil {
				return err
			}
			total, cpu, err := t.carry()
			if err != nil {
				return err
			}
			per := float64(size.entries) * seconds(controlFor)
			bytes = append(bytes, Point{X: sweep.of(size), Y: total / per})
			times = append(times, Point{X: sweep.of(size), Y: micros(cpu) / per})
		}
		r.add("wire_bytes_by_"+sweep.name, "bytes a second of an entry", sweep.per, sweep.fixed, bytes)
		r.add("wire_cpu_by_"+sweep.name, "µs a second of an entry", sweep.per, sweep.fixed, times)
	}
	return nil
}

// carry sends all messages over loopback and returns the bytes at the ends and the processor time of both ends.
func (t traffic) carry() (float64, time.Duration, error) {
	w, err := newWire()
	if err != nil {
		return 0, 0, err
	}
	defer w.close()
	start := processCPU()
	for _, e := range t.exchanges {
		if err := w.exchange(e.request, e.reply); err != nil {
			return 0, 0, err
		}
	}
	exchanges := w.listener.bytes.Load()
	for _, g := range t.grants {
		if err := w.grant(g.grant, g.answer); err != nil {
			return 0, 0, err
		}
	}
	for range t.reads {
		if err := w.read(identifier.Offset(len(t.exchanges))); err != nil {
			return 0, 0, err
		}
	}
	return float64(w.listener.bytes.Load() + exchanges), processCPU() - start, nil
}
