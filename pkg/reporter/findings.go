package reporter

import (
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// maxFindings is the number of findings that one collector keeps; further ones are only counted.
const maxFindings = 1000

// Findings collects findings. The zero Findings is empty and ready to use; it is not safe for concurrent use.
type Findings struct {
	list    []Finding
	dropped int // counted but not kept
}

// Add adds one finding; after the first maxFindings it only counts them.
func (f *Findings) Add(finding Finding) {
	if len(f.list) >= maxFindings {
		f.dropped++
		return
	}
	f.list = append(f.list, finding)
}

// AddErr adds the findings of err and reports whether err is or wraps an ErrFindings.
func (f *Findings) AddErr(err error) bool {
	var errFindings ErrFindings
	if !errors.As(err, &errFindings) {
		return false
	}
	for _, finding := range errFindings.list {
		f.Add(finding)
	}
	f.dropped += errFindings.dropped
	return true
}

// Len returns the number of findings that were added, including those that are only counted.
func (f *Findings) Len() int { return len(f.list) + f.dropped }

// List returns the kept findings, sorted by place.
func (f *Findings) List() []Finding {
	sorted := slices.Clone(f.list)
	slices.SortStableFunc(sorted, func(a, b Finding) int { return a.place.compare(b.place) })
	return sorted
}

// String formats the findings one a line, sorted by place, without a trailing newline.
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

// Err returns an ErrFindings with all findings, or nil if there are none.
func (f *Findings) Err() error {
	if f.Len() == 0 {
		return nil
	}
	return ErrFindings{list: f.List(), dropped: f.dropped}
}

// ErrFindings is an error made of one or more findings.
type ErrFindings struct {
	list    []Finding
	dropped int // counted but not kept
}

// Error formats the findings one a line.
func (e ErrFindings) Error() string {
	return (&Findings{list: e.list, dropped: e.dropped}).String()
}

// Findings returns the kept findings, sorted by place.
func (e ErrFindings) Findings() []Finding { return slices.Clone(e.list) }

// IsErrFindings reports whether err is or wraps an ErrFindings.
func IsErrFindings(err error) bool {
	var errFindings ErrFindings
	return errors.As(err, &errFindings)
}

// FindingsOf returns the findings of err, sorted by place, or nil if err is not and does not wrap an ErrFindings.
func FindingsOf(err error) []Finding {
	var errFindings ErrFindings
	if !errors.As(err, &errFindings) {
		return nil
	}
	return errFindings.Findings()
}

// HasCode reports whether err has a finding with code among those that it keeps.
func HasCode(err error, code Code) bool {
	return slices.ContainsFunc(FindingsOf(err), func(f Finding) bool { return f.code == code })
}
