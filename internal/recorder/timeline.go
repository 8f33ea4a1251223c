package recorder

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
)

// Timeline holds the events of several instances, ordered by time. Clocks may differ, so the order of events of different
// instances is approximate.
type Timeline struct {
	// Instances are the instances' names, sorted and without duplicates.
	Instances []string `json:"instances"`
	// Overwritten counts the log lines that were overwritten in the instances' rings before they were read. They include lines
	// that are no events.
	Overwritten uint64 `json:"overwritten"`
	// Events are sorted by time, then by instance.
	Events []Event `json:"events"`
}

// Merge merges the events of instances into one timeline. Events of one instance with the same time keep their order.
func Merge(lists ...InstanceEvents) Timeline {
	var t Timeline
	for _, events := range lists {
		t.Instances = append(t.Instances, events.Instance)
		t.Overwritten += events.Overwritten
		t.Events = append(t.Events, events.Events...)
	}
	slices.Sort(t.Instances)
	t.Instances = slices.Compact(t.Instances)
	slices.SortStableFunc(t.Events, func(a, b Event) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return t
}

// timeFormat is the date and time of day with milliseconds.
const timeFormat = "2006-01-02 15:04:05.000"

// WriteText writes the timeline as a text table, followed by a summary line. The error is that of w.
func (t Timeline) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME, UTC\tINSTANCE\tEVENT\tDETAILS")
	for _, e := range t.Events {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", e.Time.Format(timeFormat), e.Instance, e.Message, cmp.Or(e.Fields, "-"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, t.summary())
	return err
}

// WriteJSON writes the timeline as one JSON document. The error is that of w.
func (t Timeline) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

// summary returns the number of events, instances and overwritten lines as one line of text.
func (t Timeline) summary() string {
	return fmt.Sprintf("%d events of %d instances; %d older log lines were overwritten",
		len(t.Events), len(t.Instances), t.Overwritten)
}
