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

// timeOfDayFormat is the time of day with milliseconds.
const timeOfDayFormat = "15:04:05.000"

// htmlPage is the data of the template. The page has a column for each instance.
type htmlPage struct {
	Summary string
	// Columns are the names of the instances.
	Columns []string
	Rows    []htmlRow
}

// htmlRow is a table row with one event, in the column of its instance.
type htmlRow struct {
	Event
	TimeOfDay string
	Before    int // number of columns to the left of the event
	After     int // number of columns to the right of the event
}

// WriteHTML writes the timeline as a self-contained HTML page with a column for each instance and a text filter. The error
// is that of the template or of w.
func (t Timeline) WriteHTML(w io.Writer) error {
	page := htmlPage{Summary: t.summary(), Columns: t.Instances}
	for _, e := range t.Events {
		column := slices.Index(t.Instances, e.Instance)
		page.Rows = append(page.Rows, htmlRow{
			Event: e, TimeOfDay: e.Time.Format(timeOfDayFormat), Before: column, After: len(t.Instances) - column - 1,
		})
	}
	return pageTemplate.Execute(w, page)
}
