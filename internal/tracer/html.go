package tracer

import (
	_ "embed"
	"html/template"
	"io"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

//go:embed timeline.html
var pageSource string

var pageTemplate = template.Must(template.New("timeline").Parse(pageSource))

// clockFormat shows the time of day.
const clockFormat = "15:04:05.000"

// Measures of the overview, in units of its view box.
const (
	overviewWidth     = 1000.0
	overviewMargin    = 10.0
	overviewLaneSize  = 16
	overviewDotRadius = 4
)

// htmlPage is what the template shows.
type htmlPage struct {
	Summary string
	First   string
	Last    string
	Lanes   []identifier.InstanceID
	Groups  []Group
	Rules   []htmlRule
	Rows    []htmlRow
	Width   float64
	Height  int
	Radius  int
}

// htmlRule is the line of one lane in the overview.
type htmlRule struct {
	Instance identifier.InstanceID
	Y        int
}

// htmlRow is one Row with a cell for each lane.
type htmlRow struct {
	Row
	Group Group
	Wall  string
	Cells []htmlCell
}

// htmlCell is the place of a row in one lane; Event is nil where the instance did not note it.
type htmlCell struct {
	Event *Event
	Clock string
	Wall  string
	X     float64
	Y     int
}

// WriteHTML writes the time line as one page that needs nothing from elsewhere: an overview over wall time, a lane for
// each instance, colours by group of kind, and a filter.
func (t Timeline) WriteHTML(w io.Writer) error {
	return pageTemplate.Execute(w, t.htmlPage())
}

func (t Timeline) htmlPage() htmlPage {
	first, last := t.span()
	page := htmlPage{
		Summary: t.summary(),
		First:   first.Format(timeFormat),
		Last:    last.Format(timeFormat),
		Lanes:   t.Instances,
		Groups:  t.groups(),
		Width:   overviewWidth,
		Height:  overviewLaneSize * len(t.Instances),
		Radius:  overviewDotRadius,
	}
	for i, instance := range t.Instances {
		page.Rules = append(page.Rules, htmlRule{Instance: instance, Y: laneY(i)})
	}
	for _, row := range t.Rows() {
		page.Rows = append(page.Rows, t.htmlRow(row, first, last))
	}
	return page
}

func (t Timeline) htmlRow(row Row, first, last time.Time) htmlRow {
	shown := htmlRow{Row: row, Group: row.Kind.Group(), Wall: row.Time.Format(clockFormat)}
	shown.Cells = make([]htmlCell, len(t.Instances))
	for _, e := range row.Copies {
		lane := slices.Index(t.Instances, e.Instance)
		if lane < 0 {
			continue
		}
		shown.Cells[lane] = htmlCell{
			Event: &e,
			Clock: e.Clock.String(),
			Wall:  e.Time.Format(clockFormat),
			X:     overviewX(e.Time, first, last),
			Y:     laneY(lane),
		}
	}
	return shown
}

func laneY(lane int) int {
	return lane*overviewLaneSize + overviewLaneSize/2
}

func overviewX(at, first, last time.Time) float64 {
	span := last.Sub(first)
	if span <= 0 {
		return overviewMargin
	}
	return overviewMargin + (overviewWidth-2*overviewMargin)*float64(at.Sub(first))/float64(span)
}

// span returns the earliest and the latest wall time of the events.
func (t Timeline) span() (first, last time.Time) {
	for i, e := range t.Events {
		if i == 0 || e.Time.Before(first) {
			first = e.Time
		}
		if i == 0 || e.Time.After(last) {
			last = e.Time
		}
	}
	return first, last
}

// groups returns the groups that occur, in the order in which Kinds has them.
func (t Timeline) groups() []Group {
	occurs := map[Group]bool{}
	for _, e := range t.Events {
		occurs[e.Kind.Group()] = true
	}
	var groups []Group
	for _, d := range slices.Concat(Kinds(), []KindDescription{{Group: GroupOther}}) {
		if occurs[d.Group] {
			groups = append(groups, d.Group)
			delete(occurs, d.Group)
		}
	}
	return groups
}
