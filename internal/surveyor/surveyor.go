// Package surveyor measures how the state, the messages and the processor time of control grow with the number of
// entry instances, backend servers, partitions and pinned keys, and fits a line to each.
package surveyor

import (
	"io"
	"runtime"

	"github.com/pkg/errors"
)

// Options say what Survey measures.
type Options struct {
	// Quick measures few small sizes, to try the command out.
	Quick bool
	// Out is the directory for slopes.json and the SVG plots.
	Out string
}

// Result is what slopes.json holds.
type Result struct {
	Go    string `json:"go"`
	Cores int    `json:"cores"`
	Quick bool   `json:"quick"`
	// PeakMemory is the greatest resident size of the process, in kibibytes.
	PeakMemory int64      `json:"peak_memory_kib"`
	Slopes     []Slope    `json:"slopes"`
	Estimates  []Estimate `json:"estimates"`
}

// Survey measures all slopes, prints a table to w, and writes slopes.json and a plot of each slope into the directory.
func Survey(options Options, w io.Writer) error {
	result := Result{Go: runtime.Version(), Cores: runtime.NumCPU(), Quick: options.Quick}
	sizes := newScale(options.Quick)
	for _, measure := range []func(*Result, scale) error{
		surveyFold, surveyMemory, surveySnapshot, surveyControl, surveyWire, surveyMessages, surveyRecovery, surveyRecords,
	} {
		if err := measure(&result, sizes); err != nil {
			return errors.Wrap(err, "measure")
		}
	}
	result.PeakMemory = peakMemory()
	result.Estimates = estimate(result)
	result.print(w)
	return result.write(options.Out)
}

// add fits a line and keeps it.
func (r *Result) add(name, unit, per, fixed string, points []Point) {
	r.Slopes = append(r.Slopes, fit(name, unit, per, fixed, points))
}

// GetSlopeByName returns a slope.
func (r *Result) GetSlopeByName(name string) (Slope, bool) {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s, true
		}
	}
	return Slope{}, false
}

// scale is the sizes that are measured.
type scale struct {
	entries    []int
	servers    []int
	partitions []int
	members    []int
	pins       []int
	records    []int
	// listed is how many instances, servers or partitions one message lists.
	listed []int
	// base is the size of what is not varied.
	baseEntries    int
	baseServers    int
	basePartitions int
	repeats        int
	seeds          int
}

func newScale(quick bool) scale {
	s := scale{
		entries:        []int{4, 8, 12, 16},
		servers:        []int{10, 20, 40, 80},
		partitions:     []int{128, 512, 1024, 2048},
		members:        []int{50, 100, 200, 400},
		pins:           []int{128, 256, 512, 1024},
		records:        []int{1000, 2000, 4000, 8000},
		listed:         []int{16, 64, 256, 1024},
		baseEntries:    8,
		baseServers:    20,
		basePartitions: 256,
		repeats:        3,
		seeds:          2,
	}
	if quick {
		s.entries = []int{3, 4, 5, 6}
		s.servers = []int{4, 6, 8, 10}
		s.partitions = []int{32, 64, 96, 128}
		s.members = []int{10, 20, 30, 40}
		s.pins = []int{16, 32, 48, 64}
		s.records = []int{100, 200, 300, 400}
		s.listed = []int{4, 8, 16, 32}
		s.baseEntries, s.baseServers, s.basePartitions = 3, 4, 32
		s.repeats, s.seeds = 1, 1
	}
	return s
}
