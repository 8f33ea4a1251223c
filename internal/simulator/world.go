package simulator

import (
	"container/heap"
	"time"

	"github.com/wasabibank/wasabibank/internal/queuer"
)

// end is what became of a request.
type end int

const (
	unknown end = iota // not ended yet
	answered
	refused // told at once, or while it waited, that it will not run
	dropped // its time was up before it was sent
	turned  // the server turned it away
	hung    // the server never answered
)

// request is an arrival and what became of it.
type request struct {
	arrival
	limit time.Duration // when nobody waits for it any more
	line  line
	sent  time.Duration
	ended time.Duration
	how   end
}

func (r *request) end(w *world, how end) {
	if r.how == unknown {
		r.how, r.ended = how, w.now
	}
}

// event is something that happens at a time; those of one time happen in the order in which they were added.
type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// backend is a backend server.
type backend struct {
	running int
	queue   []*request
}

// world plays one load with one policy.
type world struct {
	load     Load
	now      time.Duration
	events   events
	added    int
	backends [servers]backend
	lines    map[string]line
}

// lookEvery is how often lines look for requests whose time is up.
const lookEvery = 50 * time.Millisecond

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.added++
	heap.Push(&w.events, event{at: w.now + d, number: w.added, do: do})
}

// play returns the requests of a load with what became of each.
func play(l Load, p Policy, seed uint64) []*request {
	w := &world{load: l, lines: map[string]line{}}
	var all []*request
	for _, a := range l.arrivals(seed) {
		r := &request{arrival: a, limit: a.at + a.class.limit}
		all = append(all, r)
		w.after(a.at, func() {
			key := lineOf(p, a)
			if w.lines[key] == nil {
				w.lines[key] = newLine(p)
			}
			r.line = w.lines[key]
			r.line.offer(w, r)
			w.watch(r.line)
		})
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return all
}

// watch looks at a line for as long as requests wait in it.
func (w *world) watch(l line) {
	if !l.waits() {
		return
	}
	w.after(lookEvery, func() {
		l.look(w)
		w.watch(l)
	})
}

// send gives a request to its server.
func (w *world) send(r *request) {
	r.sent = w.now
	b := &w.backends[r.server]
	switch {
	case b.running < slots:
		w.run(b, r)
	case len(b.queue) < queued:
		b.queue = append(b.queue, r)
	case w.load.hangs:
		w.after(r.limit-w.now, func() {
			r.end(w, hung)
			r.line.done(w, r, queuer.Failed)
		})
	default:
		r.end(w, turned)
		w.after(0, func() { r.line.done(w, r, queuer.Rejected) })
	}
}

func (w *world) run(b *backend, r *request) {
	b.running++
	w.after(r.work, func() {
		b.running--
		r.end(w, answered)
		r.line.done(w, r, queuer.Answered)
		w.next(b)
	})
}

// next runs what the server has queued. It does not run what nobody waits for any more.
func (w *world) next(b *backend) {
	for len(b.queue) > 0 && b.running < slots {
		r := b.queue[0]
		b.queue = b.queue[1:]
		if w.now < r.limit {
			w.run(b, r)
			continue
		}
		r.end(w, turned)
		w.after(0, func() { r.line.done(w, r, queuer.Rejected) })
	}
}
