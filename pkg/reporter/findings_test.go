package reporter

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestFindingsAreSortedByPlaceAndSurviveWrapping(t *testing.T) {
	is := is.New(t)
	var f Findings
	is.NoErr(f.Err())
	f.Add(NewFinding(NewPlace("b.yaml", 1, 1), "late", "last", ""))
	f.Add(NewFinding(NewPlace("a.yaml", 10, 2), "wrong_unit", "found 5", "a time with its unit"))
	f.Add(NewFinding(NewPlace("a.yaml", 9, 3), "doubled_key", "found\ntwice", "once"))
	is.Equal(f.Len(), 3)
	is.Equal(f.String(), "a.yaml:9:3: doubled_key: found twice (expected once)\n"+
		"a.yaml:10:2: wrong_unit: found 5 (expected a time with its unit)\n"+
		"b.yaml:1:1: late: last")
	err := errors.Wrap(f.Err(), "wrapped")
	is.True(IsErrFindings(err))
	is.True(HasCode(err, "late"))
	is.True(!HasCode(err, "other"))
	is.True(!IsErrFindings(errors.New("other")))
	var copied Findings
	is.True(copied.AddErr(err))
	is.Equal(copied.String(), f.String())
}

func TestFindingsBeyondMaxAreOnlyCounted(t *testing.T) {
	is := is.New(t)
	var f Findings
	for range 5 * maxFindings {
		f.Add(NewFinding(NewPlace("a", 1, 1), "code", "message", ""))
	}
	is.Equal(f.Len(), 5*maxFindings)
	is.Equal(len(f.List()), maxFindings)
	is.True(strings.HasSuffix(f.Err().Error(), "and 4000 more findings"))
}

// TestFindingHasOneLineWithoutControlCharacters guards against text quoted from a document that breaks the line of its finding
// or controls the operator's terminal.
func TestFindingHasOneLineWithoutControlCharacters(t *testing.T) {
	is := is.New(t)
	for _, r := range []rune{'\n', 0x1b, 0x7f, 0x85, 0x9b, '\u2028', '\u2029'} {
		is.Equal(replaceControl(r), ' ')
	}
	is.Equal(replaceControl('é'), 'é')
}

// TestOnlyWarningsNameTheirSeverity guards the form of errors, which scripts may read, and warnings that look like errors.
func TestOnlyWarningsNameTheirSeverity(t *testing.T) {
	is := is.New(t)
	place := NewPlace("a.yaml", 2, 3)
	is.Equal(NewFinding(place, "c", "found", "").String(), "a.yaml:2:3: c: found")
	is.Equal(NewFinding(place, "c", "found", "").Severity(), SeverityError)
	is.Equal(NewWarning(place, "c", "found", "less").String(), "a.yaml:2:3: warning: c: found (expected less)")
}
