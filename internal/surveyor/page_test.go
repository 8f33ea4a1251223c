package surveyor

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func testResult() Result {
	return Result{
		Slopes:    []Slope{{Name: "size", Intercept: 20, PerUnit: 1234, LargestRelativeError: 0.051}},
		Estimates: []Estimate{{Name: "flat_size", Value: 0.5, Arithmetic: "1 * 2"}},
	}
}

func TestFillPage(t *testing.T) {
	tests := map[string]struct {
		page string
		want string
	}{
		"slope":       {page: "| <!-- slope:size -->9 | 9", want: "| <!-- slope:size -->1,230 | 9"},
		"intercept":   {page: "<!-- intercept:size -->-1.2e+05, and", want: "<!-- intercept:size -->20, and"},
		"error":       {page: "<!-- error:size -->3.3 %", want: "<!-- error:size -->5.1 %"},
		"estimate":    {page: "<!-- estimate:flat_size -->1,000,", want: "<!-- estimate:flat_size -->0.5,"},
		"arithmetic":  {page: "<!-- arithmetic:flat_size -->`9 * 9` bytes", want: "<!-- arithmetic:flat_size -->`1 * 2` bytes"},
		"no figure":   {page: "<!-- slope:size --> MB", want: "<!-- slope:size -->1,230 MB"},
		"not a cited": {page: "<!-- note --> 9", want: "<!-- note --> 9"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := FillPage(tt.page, testResult())
			is.NoErr(err)
			is.Equal(got, tt.want)
		})
	}
	is := is.New(t)
	_, err := FillPage("<!-- slope:other -->1", testResult())
	is.True(IsErrUncited(err))
}

// TestPageCitesTheCommittedRun checks every marked figure of the capacity page against the committed run, and that the
// estimates of that run follow from its slopes.
func TestPageCitesTheCommittedRun(t *testing.T) {
	is := is.New(t)
	r, err := ReadResult("../../docs/capacity/slopes.json")
	is.NoErr(err)
	is.True(!r.Quick)
	for _, s := range r.Slopes {
		is.True(len(s.Points) >= 4)
		again := fit(s.Name, s.Unit, s.Per, s.Fixed, s.Points)
		is.Equal(Figure(again.Intercept), Figure(s.Intercept))
		is.Equal(Figure(again.PerUnit), Figure(s.PerUnit))
		is.Equal(Figure(again.LargestRelativeError), Figure(s.LargestRelativeError))
	}
	for i, e := range estimate(r) {
		is.Equal(e.Name, r.Estimates[i].Name)
		is.Equal(e.Arithmetic, r.Estimates[i].Arithmetic)
		is.Equal(Figure(e.Value), Figure(r.Estimates[i].Value))
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	filled, err := FillPage(string(page), r)
	is.NoErr(err)
	got, want := strings.Split(string(page), "\n"), strings.Split(filled, "\n")
	for i := range got {
		is.Equal(got[i], want[i])
	}
}
