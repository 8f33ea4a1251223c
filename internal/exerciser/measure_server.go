package exerciser

import "time"

// serverReply is what a backend server did with an attempt.
type serverReply int

const (
	replyServed  serverReply = iota
	replyShed                // refused: too many connections
	replyExpired             // refused: the deadline had passed before it started to execute
	replyRefused             // no connection; nothing was written
	replyBroken              // the connection broke after the request was written
	replyCut                 // the connection broke within the answer
)

// attempt is one request as one server has it.
type attempt struct {
	request *request
	checked bool // the server knows the deadline and refuses what is too late
	reply   func(serverReply)
	begun   time.Time
	cost    time.Duration
	over    bool
}

// backend is a backend server: slots, and a first-come queue of its own for what comes on top.
type backend struct {
	agenda      *agenda
	slots       int
	connections int
	running     []*attempt
	freeSince   []time.Time // when each free slot became free, the longest free first
	queue       []*attempt
	slow        float64 // factor on all costs
	frozen      bool
	lost        bool
	held        []*attempt // executed while frozen
	late        int        // executions that ended after the deadline
	executed    int
}

// answerShare is the last part of an execution, in which the answer is under way.
const answerShare = 0.5

func newBackend(a *agenda, slots, connections int) *backend {
	b := &backend{agenda: a, slots: slots, connections: connections, slow: 1}
	b.freeAll()
	return b
}

func (b *backend) freeAll() {
	b.freeSince = make([]time.Time, b.slots)
	for i := range b.freeSince {
		b.freeSince[i] = b.agenda.now
	}
}

// freeFor returns how long a slot has been free, 0 when none is or the server is out of order.
func (b *backend) freeFor() time.Duration {
	if !b.idle() || len(b.queue) > 0 {
		return 0
	}
	return b.agenda.now.Sub(b.freeSince[0])
}

func (b *backend) idle() bool {
	return !b.frozen && !b.lost && len(b.running) < b.slots
}

// accept takes an attempt; the reply comes later or, when the server is lost, at once.
func (b *backend) accept(a *attempt) {
	switch {
	case b.lost:
		a.finish(replyRefused)
	case len(b.running)+len(b.queue) >= b.connections:
		a.finish(replyShed)
	default:
		b.queue = append(b.queue, a)
		b.advance()
	}
}

func (b *backend) advance() {
	for b.idle() && len(b.queue) > 0 {
		a := b.queue[0]
		b.queue = b.queue[1:]
		if a.checked && !b.agenda.now.Before(a.request.deadline) {
			a.finish(replyExpired)
			continue
		}
		b.execute(a)
	}
}

func (b *backend) execute(a *attempt) {
	a.request.executions++
	a.begun = b.agenda.now
	a.cost = time.Duration(float64(a.request.cost) * b.slow)
	b.running = append(b.running, a)
	b.freeSince = b.freeSince[1:]
	b.agenda.after(a.cost, func() { b.end(a) })
}

func (b *backend) end(a *attempt) {
	if a.over {
		return
	}
	if b.frozen {
		b.held = append(b.held, a)
		return
	}
	for i, other := range b.running {
		if other == a {
			b.running = append(b.running[:i], b.running[i+1:]...)
			break
		}
	}
	b.freeSince = append(b.freeSince, b.agenda.now)
	b.count(a)
	a.finish(replyServed)
	b.advance()
}

// count adds up the executions of measured requests.
func (b *backend) count(a *attempt) {
	if !a.request.measured {
		return
	}
	b.executed++
	if b.agenda.now.After(a.request.deadline) {
		b.late++
	}
}

// thaw ends a freeze; the server goes on as if nothing had happened.
func (b *backend) thaw() {
	b.frozen = false
	held := b.held
	b.held = nil
	for _, a := range held {
		b.end(a)
	}
	b.advance()
}

// crash loses all connections and what was executing.
func (b *backend) crash() {
	b.lost = true
	running, queue := b.running, b.queue
	b.running, b.queue = nil, nil
	b.freeAll()
	for _, a := range running {
		if b.agenda.now.Sub(a.begun) > time.Duration(float64(a.cost)*(1-answerShare)) {
			a.finish(replyCut)
			continue
		}
		a.finish(replyBroken)
	}
	for _, a := range queue {
		a.finish(replyBroken)
	}
}

func (a *attempt) finish(r serverReply) {
	if a.over {
		return
	}
	a.over = true
	a.reply(r)
}
