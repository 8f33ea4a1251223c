package exerciser

import (
	"sort"
	"time"
)

// slotHolder leases the slots of one server to entries, for the LeasedSlots policy.
type slotHolder struct {
	run    *trafficRun
	server int
	epoch  int // counts resets; replies of an older one don't count
	slots  int
	free   int
	asks   []int // entries that wait for a slot
	places []leasePlace
	mean   time.Duration // of an execution
}

// leasePlace is what one entry has of a server.
type leasePlace struct {
	held    int
	running int
	asking  int
	waiting []*request
}

func newSlotHolder(t *trafficRun, server, slots int) *slotHolder {
	h := &slotHolder{run: t, server: server, slots: slots, mean: t.cell.Deployment.cost()}
	h.reset()
	return h
}

// reset starts over with all slots free; what waits is routed again.
func (h *slotHolder) reset() {
	old := h.places
	h.epoch++
	h.free = h.slots
	h.asks = nil
	h.places = make([]leasePlace, entryCount)
	for i := range old {
		for _, r := range old[i].waiting {
			h.run.route(r)
		}
	}
}

// ask puts a request into the queue of its entry, or refuses it.
func (h *slotHolder) ask(r *request) {
	p := &h.places[r.entry]
	wait := time.Duration(len(p.waiting)) * h.mean / time.Duration(max(1, p.held))
	if h.run.now.Add(wait + h.mean).After(r.deadline) {
		h.run.refuse(r, h.server)
		return
	}
	at := sort.Search(len(p.waiting), func(i int) bool { return h.before(r, p.waiting[i]) })
	p.waiting = append(p.waiting, nil)
	copy(p.waiting[at+1:], p.waiting[at:])
	p.waiting[at] = r
	h.pump(r.entry)
}

// before orders by priority, then deadline.
func (h *slotHolder) before(a, b *request) bool {
	classes := h.run.cell.Deployment.Classes
	if pa, pb := classes[a.class].Priority, classes[b.class].Priority; pa != pb {
		return pa < pb
	}
	return a.deadline.Before(b.deadline)
}

// pump starts what an entry can start, and asks for slots for the rest.
func (h *slotHolder) pump(entry int) {
	p := &h.places[entry]
	for p.running < p.held && len(p.waiting) > 0 {
		r := p.waiting[0]
		p.waiting = p.waiting[1:]
		h.begin(entry, r)
	}
	for p.asking < min(len(p.waiting), h.slots) {
		p.asking++
		h.later(func() { h.request(entry) })
	}
}

// later lets run happen after a hop, unless the holder starts over before.
func (h *slotHolder) later(run func()) {
	epoch := h.epoch
	h.run.after(hop, func() {
		if h.epoch == epoch {
			run()
		}
	})
}

// begin sends a request under a slot that the entry holds.
func (h *slotHolder) begin(entry int, r *request) {
	t := h.run
	if r.done() {
		return
	}
	if !t.owns(h.server, r) {
		t.route(r)
		return
	}
	if t.now.Add(h.mean).After(r.deadline) {
		t.refuse(r, h.server)
		return
	}
	h.places[entry].running++
	epoch, sent := h.epoch, t.now
	t.write(h.server, r, func(reply serverReply) {
		if h.epoch != epoch || !t.entries[entry] {
			return
		}
		if reply == replyServed {
			h.mean += (t.now.Sub(sent) - h.mean) / 8
		}
		h.end(entry)
	})
}

// end frees the slot of a request. The entry gives the slot back when it or another entry has better use for it.
func (h *slotHolder) end(entry int) {
	p := &h.places[entry]
	p.running--
	if len(h.asks) > 0 || len(p.waiting) == 0 {
		p.held--
		h.later(h.release)
	}
	h.pump(entry)
}

// request handles an entry's wish for a slot at the holder.
func (h *slotHolder) request(entry int) {
	h.asks = append(h.asks, entry)
	h.grant()
}

func (h *slotHolder) release() {
	h.free++
	h.grant()
}

// grant gives free slots to the entries that asked first.
func (h *slotHolder) grant() {
	for h.free > 0 && len(h.asks) > 0 {
		entry := h.asks[0]
		h.asks = h.asks[1:]
		if !h.run.entries[entry] {
			continue
		}
		h.free--
		h.later(func() { h.receive(entry) })
	}
}

// receive lets an entry use a granted slot, or give it back when nothing waits any more.
func (h *slotHolder) receive(entry int) {
	p := &h.places[entry]
	p.asking--
	p.held++
	h.pump(entry)
	if p.running < p.held {
		p.held--
		h.later(h.release)
	}
}

// entryLost returns the slots of a lost entry when their leases have run out.
func (h *slotHolder) entryLost(entry int) {
	held := h.places[entry].held
	h.places[entry] = leasePlace{}
	policy, leased := h.run.cell.Policy.(LeasedSlots)
	if !leased {
		return
	}
	epoch := h.epoch
	h.run.after(policy.Lease, func() {
		if h.epoch == epoch {
			h.free += held
			h.grant()
		}
	})
}
