package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	expireInterval  = 20 * time.Millisecond // between two looks for requests that wait in vain
	dataShare       = 2                     // 1/dataShare of a server's connections is for the present fronting instance
	minConnectLimit = 250 * time.Millisecond
	connectFactor   = 100 // how many times the usual connect time a connection may take
)

// call is what a queue tells a waiting request: started when gone is nil, else given up.
type call struct {
	gone *limiter.GivenUp
}

// backend is a backend server as this instance sends to it.
type backend struct {
	name  identifier.ServerName
	clock func() time.Time

	mu       sync.Mutex
	server   bundler.Server
	queue    limiter.Queue
	pool     *exchanger.Pool
	waiters  map[limiter.Ticket]chan call
	ticking  bool
	away     bool // the last connection failed
	requests map[identifier.PartitionID]uint64
}

// backend returns the backend of server, with the settings of the bundle in force.
func (f *Forwarder) backend(server bundler.Server) *backend {
	b, ok := f.backends.Load(server.Name())
	if !ok {
		b, _ = f.backends.LoadOrStore(server.Name(), newBackend(server, f.clock))
	}
	found := b.(*backend)
	found.adopt(server)
	return found
}

func newBackend(server bundler.Server, clock func() time.Time) *backend {
	b := &backend{
		name:     server.Name(),
		clock:    clock,
		waiters:  map[limiter.Ticket]chan call{},
		requests: map[identifier.PartitionID]uint64{},
	}
	b.adopt(server)
	return b
}

// adopt takes over changed settings of the server.
func (b *backend) adopt(server bundler.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == server {
		return
	}
	old := b.server
	b.server = server
	b.queue.SetSlots(server.Slots(), server.ColdStart())
	if b.pool == nil || old.Address() != server.Address() || old.Connections() != server.Connections() {
		b.replacePool(server)
	}
}

func (b *backend) replacePool(server bundler.Server) {
	if b.pool != nil {
		b.pool.Close()
	}
	b.pool = exchanger.New(exchanger.Options{
		Address:        server.Address(),
		Connections:    max(1, server.Connections()/dataShare),
		ConnectTimeout: max(minConnectLimit, connectFactor*server.ConnectTime()),
	})
}

// connections returns the present pool.
func (b *backend) connections() *exchanger.Pool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pool
}

func (b *backend) closeIdle() { b.connections().CloseIdle() }

// restart begins the server's cold start.
func (b *backend) restart(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Restart(now)
}

// missed notes that the server could not be reached.
func (b *backend) missed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.away = true
}

// reached notes a connection; a server that could not be reached before begins its cold start.
func (b *backend) reached(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.away {
		b.away = false
		b.queue.Restart(now)
	}
}

// admit waits for a slot. It returns a ticket, for which done must follow, or the decision that refused the request,
// or the error of ctx.
func (b *backend) admit(ctx context.Context, now time.Time, r limiter.Request, partition identifier.PartitionID) (limiter.Ticket, *limiter.Refuse, error) {
	ticket, wait, refused := b.offer(now, r, partition)
	if refused != nil || wait == nil {
		return ticket, refused, nil
	}
	select {
	case c := <-wait:
		return b.called(ticket, c)
	case <-ctx.Done():
		b.withdraw(ticket)
		return 0, nil, ctx.Err()
	}
}

// offer puts r to the queue; wait is nil when r starts at once.
func (b *backend) offer(now time.Time, r limiter.Request, partition identifier.PartitionID) (limiter.Ticket, chan call, *limiter.Refuse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[partition]++
	switch d := b.queue.Offer(now, r).(type) {
	case limiter.Start:
		return d.Ticket, nil, nil
	case limiter.Wait:
		wait := make(chan call, 1)
		b.waiters[d.Ticket] = wait
		b.tick()
		return d.Ticket, wait, nil
	case limiter.Refuse:
		return 0, nil, &d
	}
	return 0, nil, &limiter.Refuse{Reason: limiter.ReasonOverloaded}
}

func (b *backend) called(ticket limiter.Ticket, c call) (limiter.Ticket, *limiter.Refuse, error) {
	if c.gone != nil {
		return 0, &limiter.Refuse{Reason: c.gone.Reason, RetryAfter: c.gone.RetryAfter}, nil
	}
	return ticket, nil, nil
}

// withdraw takes a waiting request out, or off its slot when it was started meanwhile.
func (b *backend) withdraw(ticket limiter.Ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiters, ticket)
	b.queue.Cancel(ticket)
	b.deliver(b.queue.Done(b.clock(), ticket, limiter.Lost{}))
}

// done frees the slot of ticket.
func (b *backend) done(now time.Time, ticket limiter.Ticket, result limiter.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deliver(b.queue.Done(now, ticket, result))
}

// expectedWait returns how long a new request would wait.
func (b *backend) expectedWait(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.ExpectedWait(now)
}

// service returns the usual service time of a class; ok is false before the first measurement.
func (b *backend) service(class identifier.ClassName) (usual time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Service(class)
}

// deliver tells the waiting requests what the queue decided. The lock is held.
func (b *backend) deliver(change limiter.Change) {
	for _, ticket := range change.Started {
		b.call(ticket, call{})
	}
	for i := range change.GivenUp {
		b.call(change.GivenUp[i].Ticket, call{gone: &change.GivenUp[i]})
	}
}

func (b *backend) call(ticket limiter.Ticket, c call) {
	if wait, ok := b.waiters[ticket]; ok {
		delete(b.waiters, ticket)
		wait <- c
	}
}

// tick looks for requests that wait in vain, as long as any wait. The lock is held.
func (b *backend) tick() {
	if b.ticking {
		return
	}
	b.ticking = true
	time.AfterFunc(expireInterval, b.expire)
}

func (b *backend) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticking = false
	b.deliver(b.queue.Expire(b.clock()))
	if b.queue.Waiting() > 0 {
		b.tick()
	}
}
