package reporter

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxFindings bounds the findings that one collector keeps; the rest are counted.
const maxFindings = 1000

// Findings collects findings. The zero Findings is empty and ready to use; it is not safe for concurrent use.
type Findings struct {
	list    []Finding
	dropped int
}

// Add adds one finding.
func (f *Findings) Add(finding Finding) {
	if len(f.list) >= maxFindings {
		f.dropped++
		return
	}
	f.list = append(f.list, finding)
}

// AddErr adds the findings that err carries and reports whether it carried any.
func (f *Findings) AddErr(err error) bool {
	var found ErrFindings
	if !errors.As(err, &found) {
		return false
	}
	for _, finding := range found.list {
		f.Add(finding)
	}
	f.dropped += found.dropped
	return true
}

// Len returns how many findings were added.
func (f *Findings) Len() int { return len(f.list) + f.dropped }

// List returns the kept findings sorted by place.
func (f *Findings) List() []Finding {
	sorted := slices.Clone(f.list)
	slices.SortStableFunc(sorted, func(a, b Finding) int { return a.place.compare(b.place) })
	return sorted
}

// String returns one line for each finding, sorted by place, without the last line end.
func (f *Findings) String() string {
	lines := make([]string, 0, len(f.list)+1)
	for _, finding := range f.List() {
		lines = append(lines, finding.String())
	}
	if f.dropped > 0 {
		lines = append(lines, "and "+strconv.Itoa(f.dropped)+" more findings")
	}
	return strings.Join(lines, "\n")
}

// Err returns an ErrFindings with all findings, or nil when there are none.
func (f *Findings) Err() error {
	if f.Len() == 0 {
		return nil
	}
	return ErrFindings{list: f.List(), dropped: f.dropped}
}

// ErrFindings is the error that carries findings.
type ErrFindings struct {
	list    []Finding
	dropped int
}

// Error implements error: one line for each finding.
func (e ErrFindings) Error() string {
	return (&Findings{list: e.list, dropped: e.dropped}).String()
}

// Findings returns the findings sorted by place.
func (e ErrFindings) Findings() []Finding { return slices.Clone(e.list) }

// IsErrFindings reports whether err is an ErrFindings.
func IsErrFindings(err error) bool {
	var found ErrFindings
	return errors.As(err, &found)
}

// FindingsOf returns the findings that err carries, or nil.
func FindingsOf(err error) []Finding {
	var found ErrFindings
	if !errors.As(err, &found) {
		return nil
	}
	return found.Findings()
}

// HasCode reports whether err carries a finding with code.
func HasCode(err error, code Code) bool {
	return slices.ContainsFunc(FindingsOf(err), func(f Finding) bool { return f.code == code })
}
