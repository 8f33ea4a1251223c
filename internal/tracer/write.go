package tracer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// timeFormat shows wall time with milliseconds.
const timeFormat = "2006-01-02 15:04:05.000"

// WriteText writes the time line as a table, one Row a line.
func (t Timeline) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TIME\tOFFSET\tINSTANCE\tKIND\tSUBJECT\tDETAIL")
	for _, row := range t.Rows() {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%s\n",
			row.Time.Format(timeFormat), row.Offset, row.who(len(t.Instances)), row.Kind, row.about())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, t.summary())
	return err
}

// WriteJSON writes the time line as one JSON document.
func (t Timeline) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

func (t Timeline) summary() string {
	return fmt.Sprintf("%d events of %d instances, %d earlier events overwritten", len(t.Events), len(t.Instances), t.Overwritten)
}

// about returns the cells of subject and detail; the table does not fill up the last cell of a line.
func (r Row) about() string {
	subject := cmp.Or(r.Subject, "-")
	if r.Text() == "" {
		return subject
	}
	return subject + "\t" + r.Text()
}
