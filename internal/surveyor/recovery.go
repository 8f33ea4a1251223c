package surveyor

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/faulter"
)

// The times of the survey of losses, all virtual.
const (
	watchFor   = 4 * time.Second
	watchStep  = 20 * time.Millisecond
	bundleStep = 100 * time.Microsecond
	bundleFor  = 10 * time.Second
	quietFor   = 6 * time.Second
	steadyFor  = 10 * time.Second
	// steadySnapshots is a duration in the form of the bundle.
	steadySnapshots = "5s"
)

// loss is something that is lost and leaves partitions unserved.
type loss struct {
	name   string
	strike func(w *faulter.World)
}

// surveyRecovery measures the virtual time for which a partition is unserved after a loss, and the time until a bundle
// is in force on the last entry.
func surveyRecovery(r *Result, s scale) error {
	losses := []loss{
		{"server_loss", func(w *faulter.World) { w.KillServer(w.ServerNames()[1]) }},
		{"entry_loss", func(w *faulter.World) { w.Kill(1) }},
	}
	for _, sweep := range s.sweeps() {
		if sweep.name != "entries" && sweep.name != "partitions" {
			continue
		}
		for _, l := range losses {
			points, err := recoveries(sweep, l, s.seeds)
			if err != nil {
				return err
			}
			r.add(l.name+"_by_"+sweep.name, "s, virtual", sweep.per, sweep.fixed, points)
		}
	}
	return surveyBundleInForce(r, s)
}

// recoveries returns the longest time unserved at each size, averaged over the seeds.
func recoveries(sweep sweep, l loss, seeds int) ([]Point, error) {
	var points []Point
	for _, size := range sweep.sizes {
		sum := 0.0
		for seed := range seeds {
			w, err := newWorld(int64(seed+1), size, "")
			if err != nil {
				return nil, err
			}
			l.strike(w)
			gap := w.Watch(watchFor, watchStep)
			if gap.Open > 0 {
				return nil, errors.Errorf("%s at %+v, seed %d: %d partitions unserved after %v", l.name, size, seed+1, gap.Open, watchFor)
			}
			sum += seconds(gap.Longest)
		}
		points = append(points, Point{X: sweep.of(size), Y: sum / float64(seeds)})
	}
	return points, nil
}

func surveyBundleInForce(r *Result, s scale) error {
	byEntries := s.sweeps()[0]
	var points []Point
	for _, size := range byEntries.sizes {
		sum := 0.0
		for seed := range s.seeds {
			w, err := newWorld(int64(seed+1), size, "")
			if err != nil {
				return err
			}
			took, err := bundleTime(w)
			if err != nil {
				return err
			}
			sum += seconds(took)
		}
		points = append(points, Point{X: byEntries.of(size), Y: sum / float64(s.seeds)})
	}
	r.add("bundle_in_force_by_entries", "s, virtual", byEntries.per, byEntries.fixed, points)
	return nil
}

func bundleTime(w *faulter.World) (time.Duration, error) {
	w.PublishNext()
	for passed := time.Duration(0); passed < bundleFor; passed += bundleStep {
		if w.InForce() {
			return passed, nil
		}
		w.Run(bundleStep)
	}
	return 0, errors.Errorf("bundle is not in force everywhere after %v", bundleFor)
}

// surveyRecords measures what the log takes: records of a restart, of a loss, and appends a second in steady state.
func surveyRecords(r *Result, s scale) error {
	byEntries := s.sweeps()[0]
	restart := func(w *faulter.World) {
		w.Stop(0)
		w.Run(quietFor)
		w.Join()
		w.Run(quietFor)
	}
	if err := r.addRecords("restart", byEntries, restart); err != nil {
		return err
	}
	lost := func(w *faulter.World) {
		w.Kill(1)
		w.Run(quietFor)
	}
	if err := r.addRecords("entry_loss", byEntries, lost); err != nil {
		return err
	}
	return surveySteadyAppends(r, byEntries)
}

func (r *Result) addRecords(name string, byEntries sweep, do func(w *faulter.World)) error {
	var records, bytes []Point
	for _, size := range byEntries.sizes {
		w, err := newWorld(1, size, "")
		if err != nil {
			return err
		}
		w.Run(quietFor)
		first := len(w.Records())
		do(w)
		added := w.Records()[first:]
		records = append(records, Point{X: byEntries.of(size), Y: float64(len(added))})
		bytes = append(bytes, Point{X: byEntries.of(size), Y: bytesOf(added)})
	}
	r.add(name+"_records", "records", byEntries.per, byEntries.fixed, records)
	r.add(name+"_bytes", "bytes", byEntries.per, byEntries.fixed, bytes)
	return nil
}

func surveySteadyAppends(r *Result, byEntries sweep) error {
	var points []Point
	for _, size := range byEntries.sizes {
		w, err := newWorld(1, size, steadySnapshots)
		if err != nil {
			return err
		}
		w.Run(quietFor)
		first := w.Appends()
		w.Run(steadyFor)
		points = append(points, Point{X: byEntries.of(size), Y: float64(w.Appends()-first) / seconds(steadyFor)})
	}
	fixed := fmt.Sprintf("%s, a snapshot every %s", byEntries.fixed, steadySnapshots)
	r.add("steady_appends", "appends a second of all", byEntries.per, fixed, points)
	return nil
}
