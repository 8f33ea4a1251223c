// Package forwarder forwards clients' requests to the backend servers and returns the answers.
//
// Each pool of servers has one dispatcher, the instance that keeps the pool's queue. A request goes from the instance
// that a client chose to the dispatcher of its pool, and from there to a server, so that a server never gets more
// requests than it has slots and the most urgent request runs next, over all instances together. While two instances act
// as the dispatcher of one pool, the order of requests suffers, but not exclusive ownership: servers themselves refuse
// keys that they don't own.
package forwarder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

const (
	// connectTimeout bounds a connection to a server or an instance; they are at most 20 ms away.
	connectTimeout = 300 * time.Millisecond
	// probe finds connections to instances that went silent within three times as long. A server's silence blocks its
	// slots, so it is looked for sooner; servers and their fronts share a failure domain.
	probe       = 400 * time.Millisecond
	serverProbe = 250 * time.Millisecond
	// serverIdle is how long a connection to a server is kept; servers close idle ones after 10 s.
	serverIdle = 6 * time.Second
	// peerIdle is how long a connection to an instance is kept; instances close idle ones after a minute.
	peerIdle = 30 * time.Second
	// peerConnections bounds the requests under way to one instance.
	peerConnections = 512
	// spareConnections is how many connections a server may have here beyond its slots, for those that end late.
	spareConnections = 2
	// suspicion is how long an instance that could not be reached is passed over.
	suspicion = time.Second
	// expiry is how often a queue in which requests wait looks for those that can't be run in time any more.
	expiry = 50 * time.Millisecond
)

// HeaderNames are the headers of the protocol that clients and servers speak.
type HeaderNames struct {
	RequestID, TimeLeft, Target, Signature, NotRun, Key string
}

// Forwarder is the traffic side of an instance. Use New.
type Forwarder struct {
	names    HeaderNames
	view     atomic.Pointer[resolver.View]
	changed  atomic.Pointer[chan struct{}] // closed when the view changes
	budget   *limiter.RetryBudget
	meter    *meter.Meter
	splitter matcher.Splitter
	closing  atomic.Bool // answers ask clients to close their connections
	turns    atomic.Uint64
	moveWait time.Duration

	mu       sync.Mutex
	pools    map[resolver.ServerPool]*pool
	servers  map[string]*exchanger.Pool // by address
	peers    map[string]*exchanger.Pool // by address
	suspects map[string]time.Time       // instances, and until when they are passed over
	loads    loads
}

// pool is the queue of a set of servers and the requests that wait in it.
type pool struct {
	queue  queuer.Queue
	served *resolver.View // for which the queue's servers were set
	waits  map[queuer.Ticket]*wait
	timer  bool
}

// wait is a request that waits in a queue.
type wait struct {
	job     *job
	verdict chan verdict // has room for one
}

// verdict is the end of a wait: a server, or a refusal.
type verdict struct {
	server string
	result result
}

// New returns a Forwarder that counts in m.
func New(names HeaderNames, budget *limiter.RetryBudget, m *meter.Meter) *Forwarder {
	c := &Forwarder{
		names: names, budget: budget, meter: m, moveWait: moveWait,
		pools: map[resolver.ServerPool]*pool{}, servers: map[string]*exchanger.Pool{}, peers: map[string]*exchanger.Pool{},
		suspects: map[string]time.Time{}, loads: newLoads(),
	}
	first := make(chan struct{})
	c.changed.Store(&first)
	return c
}

// SetView replaces the Forwarder's view of the system. Requests that wait for keys which have moved are forwarded to the
// new owner.
func (c *Forwarder) SetView(now time.Time, v *resolver.View) {
	c.view.Store(v)
	next := make(chan struct{})
	close(*c.changed.Swap(&next))
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, p := range c.pools {
		c.refresh(now, key, p, v)
	}
}

// refresh brings a pool up to a view. The caller holds mu.
func (c *Forwarder) refresh(now time.Time, key resolver.ServerPool, p *pool, v *resolver.View) {
	for ticket, w := range p.waits {
		if w.job.keyed && ownsNot(v, w.job) {
			p.queue.Cancel(ticket)
			delete(p.waits, ticket)
			w.verdict <- verdict{result: result{outcome: moved, reason: "keys_moved"}}
		}
	}
	p.served = v
	var servers []queuer.Server
	for _, s := range v.Servers(key) {
		servers = append(servers, queuer.Server{ID: s.ID, Slots: s.Slots})
	}
	c.apply(p, p.queue.SetServers(now, servers))
	if p.queue.Empty() {
		delete(c.pools, key)
	}
}

// ownsNot reports whether v knows that the server of the job's pool does not own its key. A view older than the one by
// which the pool was chosen knows nothing.
func ownsNot(v *resolver.View, j *job) bool {
	if v.Owners.Version().Less(j.owners) {
		return false
	}
	segment, ok := v.Owners.Find(j.service, j.key)
	return !ok || segment.Server != j.pool.Server || segment.Moving
}

// apply tells waiting requests what became of them. The caller holds mu.
func (c *Forwarder) apply(p *pool, change queuer.Change) {
	for _, s := range change.Started {
		w := p.waits[s.Ticket]
		delete(p.waits, s.Ticket)
		w.verdict <- verdict{server: s.Server}
	}
	for _, g := range change.GivenUp {
		w := p.waits[g.Ticket]
		delete(p.waits, g.Ticket)
		w.verdict <- verdict{result: result{outcome: refused, retryAfter: g.RetryAfter, reason: "no_turn_in_time"}}
	}
}

// View returns the current view, or nil before the first one.
func (c *Forwarder) View() *resolver.View { return c.view.Load() }

// Ready reports whether clients' requests can be routed.
func (c *Forwarder) Ready() bool { return c.view.Load() != nil }

// Drain waits until nothing is under way in the queues here, or ctx ends.
func (c *Forwarder) Drain(ctx context.Context) {
	ticker := time.NewTicker(expiry)
	defer ticker.Stop()
	for c.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Forwarder) busy() bool {
	running, waiting := c.RequestCounts()
	return running+waiting > 0
}

// RequestCounts returns how many requests run at the servers of the pools that this instance dispatches, and how many
// wait for them.
func (c *Forwarder) RequestCounts() (running, waiting int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		running += p.queue.Running()
		waiting += p.queue.Waiting()
	}
	return running, waiting
}

// DisableKeepAlives makes further answers ask clients to close their connections.
func (c *Forwarder) DisableKeepAlives() { c.closing.Store(true) }

// avoided returns a function that reports whether an instance could not be reached just now.
func (c *Forwarder) avoided(now time.Time) func(string) bool {
	return func(instance string) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		until, ok := c.suspects[instance]
		if ok && !now.Before(until) {
			delete(c.suspects, instance)
			return false
		}
		return ok
	}
}

func (c *Forwarder) suspect(now time.Time, instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects[instance] = now.Add(suspicion)
}

// peer returns the connections to an instance.
func (c *Forwarder) peer(address string) *exchanger.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	if p == nil {
		p = exchanger.New(exchanger.Options{
			Address: address, MaxConnections: peerConnections, ConnectTimeout: connectTimeout, IdleTimeout: peerIdle, ProbeInterval: probe,
		})
		c.peers[address] = p
	}
	return p
}

// server returns the connections to a server.
func (c *Forwarder) server(address string, slots int) *exchanger.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.servers[address]
	if p == nil {
		p = exchanger.New(exchanger.Options{
			Address: address, MaxConnections: slots + spareConnections, ConnectTimeout: connectTimeout, IdleTimeout: serverIdle,
			ProbeInterval: serverProbe,
		})
		c.servers[address] = p
	}
	return p
}

// CloseUnused closes the connections to servers that the view no longer has.
func (c *Forwarder) CloseUnused(inUse map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, p := range c.servers {
		if !inUse[address] {
			p.Close()
			delete(c.servers, address)
		}
	}
}

// ServeHTTP implements http.Handler for clients.
func (c *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.serveClient(w, r) }
