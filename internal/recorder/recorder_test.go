package recorder

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// now is the time at which the log lines of the tests are read, shortly after they were logged.
var now = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

const (
	leaderLine  = `I1204 02:14:30.000250   77 leader.go:48] "became leader" term=5 before="entry_2"` + "\n"
	requestLine = `I1204 02:14:31.000000   77 serve.go:117] "request" id="r1" outcome="answered"` + "\n"
	stopLine    = `I1204 02:14:32.500000   77 runner.go:119] "stop"` + "\n"
)

// TestRingSkipsRequestLinesAndUnparsableLines guards against events that are displaced by the many lines about requests.
func TestRingSkipsRequestLinesAndUnparsableLines(t *testing.T) {
	is := is.New(t)
	var r Ring
	for _, line := range []string{leaderLine, requestLine, "not a klog line\n", stopLine} {
		r.Add([]byte(line))
	}
	events := r.InstanceEvents(now, "entry_1")
	is.Equal(events, InstanceEvents{Instance: "entry_1", Events: []Event{
		{
			Time: time.Date(2026, 12, 4, 2, 14, 30, 250_000, time.UTC), Instance: "entry_1", Source: "leader.go:48",
			Message: "became leader", Fields: `term=5 before="entry_2"`,
		},
		{
			Time: time.Date(2026, 12, 4, 2, 14, 32, 500_000_000, time.UTC), Instance: "entry_1", Source: "runner.go:119",
			Message: "stop",
		},
	}})
}

// TestRingCountsOverwrittenLines guards against a full ring that loses lines other than the oldest, or does not count them.
func TestRingCountsOverwrittenLines(t *testing.T) {
	is := is.New(t)
	var r Ring
	for i := range ringCapacity + 3 {
		r.Add([]byte(fmt.Sprintf(`I1204 02:14:30.000000 77 a.go:1] "event" n=%d`, i)))
	}
	events := r.InstanceEvents(now, "e")
	is.Equal(len(events.Events), ringCapacity)
	is.Equal(events.Overwritten, uint64(3))
	is.Equal(events.Events[0].Fields, "n=3")
	is.Equal(events.Events[ringCapacity-1].Fields, fmt.Sprint("n=", ringCapacity+2))
}

// TestParseLineAcceptsOnlyStructuredLinesAndDerivesTheYear guards against events with a wrong year or message.
func TestParseLineAcceptsOnlyStructuredLinesAndDerivesTheYear(t *testing.T) {
	tests := map[string]struct {
		line, message, fields string
		year                  int
		invalid               bool
	}{
		"quotes in the message": {
			line: `I1204 02:00:00.000000 7 a.go:1] "say \"no\"" a="b c"`, message: `say \"no\"`, fields: `a="b c"`,
			year: 2026,
		},
		"logged in the previous year": {line: `I1231 23:59:59.000000 7 a.go:1] "late"`, message: "late", year: 2025},
		"message without quotes":      {line: `I1204 02:00:00.000000 7 a.go:1] plain`, invalid: true},
		"invalid date":                {line: `I1340 02:00:00.000000 7 a.go:1] "odd"`, invalid: true},
		"empty line":                  {invalid: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, ok := parseLine(now, tc.line)
			is.Equal(ok, !tc.invalid)
			is.Equal(e.Message, tc.message)
			is.Equal(e.Fields, tc.fields)
			if ok {
				is.Equal(e.Time.Year(), tc.year)
			}
		})
	}
}

func TestMergedTimelineIsSortedAndWrittenAsTextAndHTML(t *testing.T) {
	is := is.New(t)
	events := func(instance string, overwritten uint64, lines ...string) InstanceEvents {
		var r Ring
		for _, line := range lines {
			r.Add([]byte(line))
		}
		list := r.InstanceEvents(now, instance)
		list.Overwritten = overwritten
		return list
	}
	timeline := Merge(events("entry_2", 4, stopLine), events("entry_1", 1, leaderLine))
	is.Equal(timeline.Instances, []string{"entry_1", "entry_2"})
	is.Equal(timeline.Overwritten, uint64(5))
	is.Equal(timeline.Events[0].Message, "became leader")
	var text, html bytes.Buffer
	is.NoErr(timeline.WriteText(&text))
	is.True(strings.Contains(text.String(), "2026-12-04 02:14:30.000  entry_1   became leader  term=5"))
	is.True(strings.HasSuffix(text.String(), "2 events of 2 instances; 5 older log lines were overwritten\n"))
	is.NoErr(timeline.WriteHTML(&html))
	is.Equal(strings.Count(html.String(), `class="column"`), 4) // 2 events in a table of 2 instances
	is.True(strings.Contains(html.String(), "<b>became leader</b>"))
}
