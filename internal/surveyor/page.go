package surveyor

import (
	"fmt"
	"os"
	"regexp"

	"github.com/pkg/errors"
)

// cited matches a marker of the page and the figure after it, such as
//
//	<!-- slope:partition_memory -->127
//
// The kinds are slope, intercept, error (the largest relative error in per cent), estimate, and arithmetic, whose figure
// is a code span.
var cited = regexp.MustCompile("<!-- (slope|intercept|error|estimate|arithmetic):([a-z_]+) -->(`[^`]*`|-?[0-9]+(?:,[0-9]{3})*(?:\\.[0-9]+)?(?:e[+-]?[0-9]+)?)?")

// ErrUncited reports a marker that names nothing that was measured or estimated.
type ErrUncited struct {
	marker string
}

// Error implements error.
func (e ErrUncited) Error() string {
	return "the page cites " + e.marker + ", which slopes.json has not"
}

// IsErrUncited reports whether err is an ErrUncited.
func IsErrUncited(err error) bool {
	var uncited ErrUncited
	return errors.As(err, &uncited)
}

// FillPage returns the page with the figure after each marker taken from the result. The error is an ErrUncited.
func FillPage(page string, r Result) (string, error) {
	var missing error
	filled := cited.ReplaceAllStringFunc(page, func(found string) string {
		parts := cited.FindStringSubmatch(found)
		figure, ok := r.cite(parts[1], parts[2])
		if !ok && missing == nil {
			missing = ErrUncited{marker: parts[1] + ":" + parts[2]}
		}
		return fmt.Sprintf("<!-- %s:%s -->%s", parts[1], parts[2], figure)
	})
	return filled, missing
}

// FillPageFile rewrites the page in file by the slopes.json in slopes.
func FillPageFile(file, slopes string) error {
	r, err := ReadResult(slopes)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read page")
	}
	filled, err := FillPage(string(page), r)
	if err != nil {
		return err
	}
	return errors.Wrap(os.WriteFile(file, []byte(filled), 0o644), "write page")
}

// cite returns the figure of a marker.
func (r *Result) cite(kind, name string) (string, bool) {
	switch kind {
	case "estimate", "arithmetic":
		return r.citeEstimate(kind, name)
	}
	s, ok := r.GetSlopeByName(name)
	switch kind {
	case "slope":
		return Figure(s.PerUnit), ok
	case "intercept":
		return Figure(s.Intercept), ok
	default:
		return Figure(percent * s.LargestRelativeError), ok
	}
}

func (r *Result) citeEstimate(kind, name string) (string, bool) {
	for _, e := range r.Estimates {
		if e.Name != name {
			continue
		}
		if kind == "arithmetic" {
			return "`" + e.Arithmetic + "`", true
		}
		return Figure(e.Value), true
	}
	return "", false
}
