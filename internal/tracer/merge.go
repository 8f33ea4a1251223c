package tracer

import (
	"cmp"
	"slices"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Order says what events of several processes are sorted by.
type Order string

// The orders. Either keeps the events of one process as they happened.
const (
	// OrderOffset sorts by the log offset that the process knew, then by the hybrid clock. What an instance did before
	// it learnt of a record stands before that record's effects elsewhere, however late the instance was.
	OrderOffset Order = "offset"
	// OrderClock sorts by the hybrid clock, which is near wall time and puts a cause before its effect wherever the
	// processes passed readings of the clock to each other.
	OrderClock Order = "clock"
)

// Timeline is the time line of several processes in one order.
type Timeline struct {
	// Order is what the events are sorted by.
	Order Order `json:"order"`
	// Instances are the processes, sorted.
	Instances []identifier.InstanceID `json:"instances"`
	// Overwritten counts the events that fell out of the rings before they were read.
	Overwritten uint64 `json:"overwritten"`
	// Events are in the order that Merge was given.
	Events []Event `json:"events"`
}

// Merge returns the events of pages in one order. An event that several pages hold is taken once.
func Merge(order Order, pages ...Page) Timeline {
	merged := Timeline{Order: order}
	overwritten := map[identifier.InstanceID]uint64{}
	for _, page := range pages {
		overwritten[page.Instance] = max(overwritten[page.Instance], page.Overwritten)
		merged.Events = append(merged.Events, page.Events...)
	}
	for instance, count := range overwritten {
		merged.Instances = append(merged.Instances, instance)
		merged.Overwritten += count
	}
	slices.Sort(merged.Instances)
	slices.SortStableFunc(merged.Events, order.compare)
	merged.Events = slices.CompactFunc(merged.Events, sameEvent)
	return merged
}

func (o Order) compare(a, b Event) int {
	if o == OrderClock {
		return cmp.Or(a.Clock.Compare(b.Clock), cmp.Compare(a.Instance, b.Instance))
	}
	return cmp.Or(cmp.Compare(a.Offset, b.Offset), a.Clock.Compare(b.Clock), cmp.Compare(a.Instance, b.Instance))
}

func sameEvent(a, b Event) bool {
	return a.Instance == b.Instance && a.Clock == b.Clock && a.Offset == b.Offset
}
