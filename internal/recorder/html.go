package recorder

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
)

//go:embed timeline.html
var pageSource string

var pageTemplate = template.Must(template.New("timeline").Parse(pageSource))

// clockFormat shows the time of day.
const clockFormat = "15:04:05.000"

// htmlPage is what the template shows: a lane for each instance.
type htmlPage struct {
	Summary string
	Lanes   []string
	Rows    []htmlRow
}

// htmlRow is an event in the lane of its instance.
type htmlRow struct {
	Event
	Clock  string
	Before int // lanes to its left
	After  int // lanes to its right
}

// WriteHTML writes the timeline as one page that needs nothing from elsewhere, with a lane for each instance and a
// filter.
func (t Timeline) WriteHTML(w io.Writer) error {
	page := htmlPage{Summary: t.summary(), Lanes: t.Instances}
	for _, e := range t.Events {
		lane := slices.Index(t.Instances, e.Instance)
		page.Rows = append(page.Rows, htmlRow{
			Event: e, Clock: e.Time.Format(clockFormat), Before: lane, After: len(t.Instances) - lane - 1,
		})
	}
	return pageTemplate.Execute(w, page)
}
