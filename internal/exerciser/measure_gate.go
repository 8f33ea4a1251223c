package exerciser

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/limiter"
)

// gateID names the queue that an entry has for a server.
type gateID struct {
	entry  int
	server int
}

// gate is a queue of the limiter with the requests in it.
type gate struct {
	id      gateID
	queue   limiter.Queue
	waiting map[limiter.Ticket]*request
	dead    bool
}

func (t *trafficRun) slot(id gateID) int { return id.entry*len(t.servers) + id.server }

// gateOf returns the gate of id, making it on first use.
func (t *trafficRun) gateOf(id gateID) *gate {
	if g := t.gates[t.slot(id)]; g != nil {
		return g
	}
	g := &gate{id: id, waiting: map[limiter.Ticket]*request{}}
	slots := t.cell.Deployment.Slots
	if _, own := t.cell.Policy.(OwnEstimate); own {
		slots = max(1, slots/entryCount)
	}
	g.queue.SetSlots(slots, 0)
	t.gates[t.slot(id)] = g
	return g
}

// gatesOf returns the gates in use that match, in order.
func (t *trafficRun) gatesOf(match func(gateID) bool) []*gate {
	var out []*gate
	for _, g := range t.gates {
		if g != nil && match(g.id) {
			out = append(out, g)
		}
	}
	return out
}

func (t *trafficRun) drop(g *gate) {
	g.dead = true
	t.gates[t.slot(g.id)] = nil
}

// abandon drops a gate and routes what waits in it again.
func (t *trafficRun) abandon(g *gate) {
	t.drop(g)
	for ticket := limiter.Ticket(0); len(g.waiting) > 0; ticket++ {
		if r, ok := g.waiting[ticket]; ok {
			delete(g.waiting, ticket)
			t.route(r)
		}
	}
}

// owns reports whether server owns the key of r at present.
func (t *trafficRun) owns(server int, r *request) bool {
	return t.index[t.balancer.owners[t.balancer.partition(r.key)]] == server
}

// offer puts a request to the queue of a gate.
func (t *trafficRun) offer(id gateID, r *request) {
	if r.done() {
		return
	}
	if !t.entries[id.entry] {
		t.conclude(r, outcomeNotRun, true)
		return
	}
	if !t.owns(id.server, r) {
		t.route(r)
		return
	}
	g := t.gateOf(id)
	r.gate = g
	class := t.cell.Deployment.Classes[r.class]
	decision := g.queue.Offer(t.now, limiter.Request{Class: class.Name, Priority: t.priority(class), Deadline: r.deadline})
	switch d := decision.(type) {
	case limiter.Start:
		t.transmit(g, d.Ticket, r)
	case limiter.Wait:
		g.waiting[d.Ticket] = r
	case limiter.Refuse:
		t.refuse(r, id.server)
	}
}

// priority returns the priority of a class in the queues.
func (t *trafficRun) priority(c Class) int {
	if f, ok := t.cell.Policy.(Fronting); ok {
		return f.Ranking.priority(c)
	}
	return c.Priority
}

// transmit sends a started request to the server, unless the key has moved since.
func (t *trafficRun) transmit(g *gate, ticket limiter.Ticket, r *request) {
	if r.done() || !t.owns(g.id.server, r) {
		t.apply(g, g.queue.Done(t.now, ticket, limiter.Lost{}))
		t.route(r)
		return
	}
	sent := t.now
	t.write(g.id.server, r, func(reply serverReply) {
		if !g.dead {
			t.settle(g, ticket, reply, t.now.Sub(sent))
		}
	})
}

// write sends a request to a server; settled is called with the reply before the caller is told.
func (t *trafficRun) write(server int, r *request, settled func(serverReply)) {
	r.written++
	r.at = server + 1
	try := r.tries
	reply := func(reply serverReply) {
		t.after(hop, func() {
			settled(reply)
			if r.tries == try {
				t.tell(server, r, reply)
			}
		})
	}
	t.after(hop, func() { t.servers[server].accept(&attempt{request: r, checked: true, reply: reply}) })
}

// settle takes the reply of a server off the queue.
func (t *trafficRun) settle(g *gate, ticket limiter.Ticket, reply serverReply, took time.Duration) {
	var result limiter.Result = limiter.Lost{}
	switch reply {
	case replyServed:
		result = limiter.Served{Took: took}
	case replyShed:
		result = limiter.Shed{}
	}
	t.apply(g, g.queue.Done(t.now, ticket, result))
}

// tell concludes a request by the reply of its server.
func (t *trafficRun) tell(server int, r *request, reply serverReply) {
	if r.done() {
		return
	}
	switch reply {
	case replyServed:
		t.answer(r)
	case replyShed, replyExpired:
		r.written--
		t.refuse(r, server)
	case replyRefused:
		r.written--
		t.conclude(r, outcomeNotRun, true)
	case replyBroken:
		t.retryOrUnknown(r)
	case replyCut:
		t.conclude(r, outcomeUnknown, true)
	}
}

// apply starts and refuses what a queue says.
func (t *trafficRun) apply(g *gate, change limiter.Change) {
	for _, gone := range change.GivenUp {
		r := g.waiting[gone.Ticket]
		delete(g.waiting, gone.Ticket)
		t.refuse(r, g.id.server)
	}
	for _, ticket := range change.Started {
		r := g.waiting[ticket]
		delete(g.waiting, ticket)
		t.transmit(g, ticket, r)
	}
}

// expire lets all queues give up what waits in vain.
func (t *trafficRun) expire() {
	for _, g := range t.gates {
		if g != nil && len(g.waiting) > 0 {
			t.apply(g, g.queue.Expire(t.now))
		}
	}
}
