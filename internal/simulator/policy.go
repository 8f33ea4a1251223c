package simulator

import (
	"slices"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/internal/queuer"
)

// Policy decides when a request is sent to its server: Direct, FixedShare, FirstComeFirstServed or Dispatcher.
type Policy interface {
	// Name returns the name in the report.
	Name() string
	policy()
}

// Direct sends each request on as it comes: the naive version.
type Direct struct{}

// FixedShare lets each entry have a part of each server's slots, and queues the rest there in the order of arrival.
type FixedShare struct{}

// FirstComeFirstServed has one queue for each server, in the order of arrival; what waits for too long is dropped when
// its deadline has passed.
type FirstComeFirstServed struct{}

// Dispatcher has one queue for each server that orders and refuses as queuer does, which is what entry instances do.
type Dispatcher struct{}

// Name implements Policy.
func (Direct) Name() string { return "sent on as it comes (naive)" }

// Name implements Policy.
func (FixedShare) Name() string { return "a fixed share of slots an entry" }

// Name implements Policy.
func (FirstComeFirstServed) Name() string { return "one queue a server, first come" }

// Name implements Policy.
func (Dispatcher) Name() string { return "one queue a server, ordered (present)" }

func (Direct) policy()               {}
func (FixedShare) policy()           {}
func (FirstComeFirstServed) policy() {}
func (Dispatcher) policy()           {}

// Policies returns the policies that are compared.
func Policies() []Policy {
	return []Policy{Direct{}, FixedShare{}, FirstComeFirstServed{}, Dispatcher{}}
}

// line holds back requests for one server: it says which of them are sent now.
type line interface {
	// offer takes a new request; it may be sent, wait, or be refused.
	offer(w *world, r *request)
	// done takes the end of a request that was sent.
	done(w *world, r *request, result queuer.Result)
	// look is called now and then while requests wait.
	look(w *world)
	waits() bool
}

// newLine returns the line of a policy.
func newLine(p Policy) line {
	switch p.(type) {
	case FixedShare:
		// Rounded up, or an entry could never send; so all together may offer more than there are slots.
		return &fifo{limit: max(1, slots/entries)}
	case FirstComeFirstServed:
		return &fifo{limit: slots}
	case Dispatcher:
		f := &front{tickets: map[queuer.Ticket]*request{}}
		f.queue.SetServers(epoch, []queuer.Server{{ID: "s", Slots: slots}})
		return f
	}
	return &fifo{limit: -1}
}

// fifo sends at most limit requests at once, in the order of their arrival; a negative limit is none.
type fifo struct {
	limit   int
	running int
	waiting []*request
}

func (f *fifo) offer(w *world, r *request) {
	f.waiting = append(f.waiting, r)
	f.look(w)
}

func (f *fifo) done(w *world, _ *request, _ queuer.Result) {
	f.running--
	f.look(w)
}

func (f *fifo) look(w *world) {
	f.waiting = slices.DeleteFunc(f.waiting, func(r *request) bool {
		late := w.now >= r.limit
		if late {
			r.end(w, dropped)
		}
		return late
	})
	for len(f.waiting) > 0 && (f.limit < 0 || f.running < f.limit) {
		r := f.waiting[0]
		f.waiting = f.waiting[1:]
		f.running++
		w.send(r)
	}
}

func (f *fifo) waits() bool { return len(f.waiting) > 0 }

// front is the queue of the product.
type front struct {
	queue   queuer.Queue
	tickets map[queuer.Ticket]*request
}

func (f *front) offer(w *world, r *request) {
	decision := f.queue.Offer(w.time(), queuer.Request{
		Class: r.class.name, Priority: r.class.priority, Objective: epoch.Add(r.at + r.class.objective), Deadline: epoch.Add(r.limit),
	})
	switch d := decision.(type) {
	case queuer.Start:
		w.send(r)
	case queuer.Wait:
		f.tickets[d.Ticket] = r
	case queuer.Refuse:
		r.end(w, refused)
	}
}

func (f *front) done(w *world, r *request, result queuer.Result) {
	f.apply(w, f.queue.Done(w.time(), "s", r.class.name, result, w.now-r.sent))
}

func (f *front) look(w *world) { f.apply(w, f.queue.Expire(w.time())) }

func (f *front) apply(w *world, change queuer.Change) {
	for _, s := range change.Started {
		r := f.tickets[s.Ticket]
		delete(f.tickets, s.Ticket)
		w.send(r)
	}
	for _, g := range change.GivenUp {
		f.tickets[g.Ticket].end(w, refused)
		delete(f.tickets, g.Ticket)
	}
}

func (f *front) waits() bool { return f.queue.Waiting() > 0 }

// epoch is when each play begins.
var epoch = time.Unix(0, 0)

// lineOf returns the key of the line in which a request waits.
func lineOf(p Policy, a arrival) string {
	if _, ok := p.(FixedShare); ok {
		return strconv.Itoa(a.server) + "/" + strconv.Itoa(a.entry)
	}
	return strconv.Itoa(a.server)
}
