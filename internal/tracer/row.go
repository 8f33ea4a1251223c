package tracer

import (
	"fmt"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Row is one line of a time line for a reader: one event, or the fold of one record by several instances.
type Row struct {
	// Event is the event, or the earliest of Copies by wall time.
	Event
	// Copies are the events of the instances that noted it, one each.
	Copies []Event
}

// rowKey is what the events of one record have in common.
type rowKey struct {
	offset  identifier.Offset
	kind    Kind
	subject string
	detail  string
}

// Rows returns the events for a reader. In OrderOffset the events that several instances noted of one record are one
// row, which stands where the last of them does; what an instance knew before it folded the record stands above.
func (t Timeline) Rows() []Row {
	rows := make([]Row, 0, len(t.Events))
	places := map[rowKey]int{}
	for _, e := range slices.Backward(t.Events) {
		key := rowKey{offset: e.Offset, kind: e.Kind, subject: e.Subject, detail: e.Detail}
		place, seen := places[key]
		if t.Order == OrderOffset && e.Kind.OfRecord() && seen && !rows[place].has(e.Instance) {
			rows[place].add(e)
			continue
		}
		places[key] = len(rows)
		rows = append(rows, Row{Event: e, Copies: []Event{e}})
	}
	slices.Reverse(rows)
	return rows
}

func (r *Row) has(instance identifier.InstanceID) bool {
	return slices.ContainsFunc(r.Copies, func(e Event) bool { return e.Instance == instance })
}

func (r *Row) add(e Event) {
	r.Copies = append(r.Copies, e)
	if e.Time.Before(r.Time) {
		r.Event = e
	}
}

// Spread returns the wall time from the first copy to the last.
func (r Row) Spread() time.Duration {
	var spread time.Duration
	for _, e := range r.Copies {
		spread = max(spread, e.Time.Sub(r.Time))
	}
	return spread
}

// who names the instance, or says how many of all instances noted the event and within which time.
func (r Row) who(all int) string {
	if len(r.Copies) == 1 {
		return string(r.Instance)
	}
	return fmt.Sprintf("%d of %d within %v", len(r.Copies), all, r.Spread().Round(time.Millisecond))
}
