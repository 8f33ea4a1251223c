// Package forwarder forwards clients' requests to the backend servers and returns the answers.
//
// Each server pool has one dispatcher, the instance that keeps the pool's queue. A request goes from the instance
// that a client chose to the dispatcher of its pool, and from there to a server, so that a server never gets more
// requests than it has slots, and the most urgent request of all instances is sent next. While two instances act as the
// dispatcher of one pool, requests may be executed in the wrong order, but ownership stays exclusive: servers themselves
// reject requests for keys that they don't own.
package forwarder

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabibank/wasabibank/internal/admitter"
	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

const (
	// connectTimeout bounds the time to connect to a server or an instance; both are at most 20 ms away.
	connectTimeout = 300 * time.Millisecond
	// peerAckTimeout is how long bytes that were sent to an instance may stay unacknowledged before the connection fails.
	peerAckTimeout = 1200 * time.Millisecond
	// serverAckTimeout is the same for connections to servers. It is shorter because an unresponsive server blocks its slots, and
	// because a server and its dispatcher are in the same failure domain.
	serverAckTimeout = 750 * time.Millisecond
	// serverIdleTimeout is how long an idle connection to a server is kept; servers close idle connections after 10 s.
	serverIdleTimeout = 6 * time.Second
	// peerIdleTimeout is how long an idle connection to an instance is kept; instances close idle connections after a minute.
	peerIdleTimeout = 30 * time.Second
	// maxPeerConnections bounds the requests in flight to one instance.
	maxPeerConnections = 512
	// spareConnections is how many connections a server may have in addition to its slots, for connections that end late.
	spareConnections = 2
	// unreachableDuration is how long an instance that could not be reached is not used as a dispatcher.
	unreachableDuration = time.Second
	// advanceInterval is the time between checks of a queue for waiting requests that can no longer be answered before their
	// deadlines, or can start because the ejection of a server has ended.
	advanceInterval = 50 * time.Millisecond
	// drainPollInterval is the time between checks whether any request still runs or waits during Drain.
	drainPollInterval = 50 * time.Millisecond
)

// HeaderNames are the names of the HTTP headers that clients and servers use.
type HeaderNames struct {
	RequestID   string // the client's id of a request; an answer with another id belongs to another request
	TimeLeft    string // milliseconds until the answer is due
	Target      string // id of the server that a request is sent to
	Signature   string // marks an answer that a server itself sent, as each successful answer must; its value is not checked
	NotExecuted string // marks an answer to a request that the server did not execute
	ShardKey    string // key of a request to a keyed service
	// Leaving has LeavingValue on the answers of a server that is about to end.
	Leaving, LeavingValue string
	// Limit names how many requests a second a server takes from all instances together.
	Limit string
	// Instance names the server that gives an answer to a health check, and Warmup for how many milliseconds it stays cold.
	Instance, Warmup string
	// Load names how many requests a server runs and holds, its slots, and how long work takes at the moment.
	Load string
}

// Forwarder forwards the requests that clients send to an instance, and those of the server pools that the instance
// dispatches. Use New; it is safe for concurrent use.
type Forwarder struct {
	headers      HeaderNames
	view         atomic.Pointer[resolver.View]
	viewChanged  atomic.Pointer[chan struct{}] // closed when the view changes
	budget       *limiter.RetryBudget
	meter        *meter.Meter
	splitter     matcher.Splitter
	shutdown     atomic.Pointer[admitter.Shutdown] // nil before BeginShutdown
	lifetime     context.Context                   // ends with errShuttingDown when all requests must have been answered
	endLifetime  context.CancelCauseFunc
	inFlight     requestSet      // of clients
	hops         atomic.Int64    // requests of other instances whose answers have not been sent
	nextRotation atomic.Uint64   // counts clients' requests, to rotate the order of server pools
	moveTimeout  time.Duration   // the constant, except in tests
	memory       *memory         // see LimitBuffers
	queueing     queuer.Settings // see SetQueueing
	sourceIP     net.IP          // see SetSourceIP
	paths        paths
	onLeaving    func(server string, incarnation int64) // see OnLeaving; may be nil
	onLimit      func(server string)                    // see OnLimit; may be nil
	onQuarantine func(quarantiner.Fingerprint)          // see OnQuarantine; may be nil

	mu               sync.Mutex
	queues           map[resolver.ServerPool]*poolQueue
	serviceTimes     queuer.ServiceTimes             // of all queues
	serverConnPools  map[string]*exchanger.Pool      // by address
	peerConnPools    map[string]*exchanger.Pool      // by address
	unreachableUntil map[string]time.Time            // by instance: until then it is not used as a dispatcher
	pauses           map[string]pause                // by server id
	endedServers     map[quarantiner.Crash]time.Time // when it was noticed that a server had ended while it executed requests
	quarantine       quarantiner.Quarantine
	catchup          quarantiner.Catchup
	limits           throttler.Limits
	limitShare       float64 // part of the limits that this instance uses
	cold             coldServers
	loads            loads
	declines         declines
	lastRelax        time.Time // when relaxConnections ran last

	invalidLoadLogged time.Time // when an invalid load was logged last
}

// poolQueue is the queue of a server pool and the requests that wait in it.
type poolQueue struct {
	queue            queuer.Queue
	view             *resolver.View // from which the queue's servers were set
	waiters          map[queuer.Ticket]*waiter
	states           map[string]queuer.ServerState // by server, as logged last
	advanceScheduled bool
}

// waiter is a request that waits in a queue.
type waiter struct {
	req  *clientRequest
	done chan waitResult // buffered for its only value
}

// waitResult is how a waiter's wait ended: with a slot of server, or with result if server is empty.
type waitResult struct {
	server string
	result result
}

// New returns a Forwarder that takes retries from budget and counts in m.
func New(headers HeaderNames, budget *limiter.RetryBudget, m *meter.Meter) *Forwarder {
	f := &Forwarder{
		headers: headers, budget: budget, meter: m, moveTimeout: moveTimeout,
		queues:          map[resolver.ServerPool]*poolQueue{},
		serverConnPools: map[string]*exchanger.Pool{}, peerConnPools: map[string]*exchanger.Pool{},
		unreachableUntil: map[string]time.Time{}, pauses: map[string]pause{}, limitShare: 1,
		endedServers: map[quarantiner.Crash]time.Time{}, loads: newLoads(), declines: declines{},
	}
	f.LimitBuffers(defaultMemoryBytes)
	f.lifetime, f.endLifetime = context.WithCancelCause(context.Background())
	viewChanged := make(chan struct{})
	f.viewChanged.Store(&viewChanged)
	return f
}

// SetSourceIP sets the local address of connections to servers; nil lets the system choose. It must be called before the first
// request.
func (f *Forwarder) SetSourceIP(ip net.IP) { f.sourceIP = ip }

// SetQueueing sets the optional decisions of the queues. It must be called before the first request.
func (f *Forwarder) SetQueueing(s queuer.Settings) { f.queueing = s }

// SetView replaces the Forwarder's view of the system. Waiting requests whose keys have moved are sent to the new owner.
func (f *Forwarder) SetView(now time.Time, v *resolver.View) {
	if previous := f.view.Load(); !v.SharesServers(previous) {
		f.paths.setServers(v)
	}
	f.view.Store(v)
	next := make(chan struct{})
	close(*f.viewChanged.Swap(&next))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits.Retain(func(server string) bool { _, ok := v.Server(server); return ok })
	f.registerWarmups(now, v)
	f.countLimitedServers()
	for serverPool, q := range f.queues {
		f.updateQueue(now, serverPool, q, v)
	}
	f.countLoweredServers()
}

// updateQueue applies a view to the queue of a server pool: it ends the wait of requests that another dispatcher must queue,
// sets the queue's servers, and drops the queue if it is empty then. The caller holds mu.
func (f *Forwarder) updateQueue(now time.Time, serverPool resolver.ServerPool, q *poolQueue, v *resolver.View) {
	handOver := f.handsOver(now, serverPool, q.view, v)
	lost := f.poolLost(v, serverPool)
	for ticket, w := range q.waiters {
		var r result
		switch {
		case w.req.keyed && notOwner(v, w.req):
			r = result{outcome: moved, reason: "keys_moved"}
		case handOver:
			r = result{outcome: moved, reason: "dispatcher_changed"}
		case lost:
			r = declinedResult()
		default:
			continue
		}
		q.queue.Cancel(ticket)
		delete(q.waiters, ticket)
		w.done <- waitResult{result: r}
	}
	q.view = v
	var servers []queuer.Server
	for _, s := range v.Servers(serverPool) {
		if f.paths.lost(s.ID) {
			continue
		}
		server := queuer.Server{ID: s.ID, Slots: s.Slots, Incarnation: s.Incarnation}
		if p, ok := f.pauses[s.ID]; ok && p.incarnation == s.Incarnation {
			server.PausedUntil = p.until
		}
		if limit, ok := f.limits.Get(s.ID, s.Incarnation); ok {
			server.Limited, server.Rate = true, f.limitShare*limit.Rate
		}
		server.ColdUntil, server.ColdRate = f.coldness(now, v, serverPool, s)
		servers = append(servers, server)
	}
	f.notifyWaiters(q, q.queue.SetServers(now, servers))
	q.forgetStates()
	if q.queue.Empty() {
		delete(f.queues, serverPool)
	}
}

// handsOver reports whether this instance ceases to be the dispatcher of a pool with a server that names a limit or is cold. Its
// waiting requests and those of the new dispatcher would together exceed the limit. Without a limit the requests finish here, as they
// have waited already. The caller holds mu.
func (f *Forwarder) handsOver(now time.Time, serverPool resolver.ServerPool, before, v *resolver.View) bool {
	limited := slices.ContainsFunc(v.Servers(serverPool), func(s cataloger.Server) bool {
		_, ok := f.limits.Get(s.ID, s.Incarnation)
		return ok || now.Before(f.cold.warmups.ColdUntil(s.ID, s.Incarnation))
	})
	return limited && before != nil && dispatchesItself(before, serverPool) && !dispatchesItself(v, serverPool)
}

// dispatchesItself reports whether by a view its own instance is the dispatcher of a pool.
func dispatchesItself(v *resolver.View, serverPool resolver.ServerPool) bool {
	return v.Dispatcher(serverPool, func(string) bool { return false }).Instance == v.Self.Instance
}

// notOwner reports whether, according to v, the server of the request's pool does not own the request's key. It is false
// for a view older than the one by which the pool was chosen.
func notOwner(v *resolver.View, req *clientRequest) bool {
	if v.Owners.Version().Less(req.ownerMapVersion) {
		return false
	}
	segment, ok := v.Owners.Find(req.service, req.key)
	return !ok || segment.Server != req.pool.Server || segment.Moving
}

// notifyWaiters ends the wait of requests that have got a slot or were refused. The caller holds mu.
func (f *Forwarder) notifyWaiters(q *poolQueue, change queuer.Change) {
	for _, s := range change.Started {
		w := q.waiters[s.Ticket]
		delete(q.waiters, s.Ticket)
		w.done <- waitResult{server: s.Server}
	}
	for _, g := range change.Refused {
		w := q.waiters[g.Ticket]
		delete(q.waiters, g.Ticket)
		reason := refusalReason(g.Reason, "no_turn_in_time")
		w.done <- waitResult{result: result{outcome: refused, retryAfter: g.RetryAfter, reason: reason}}
	}
}

// View returns the current view, or nil before the first one.
func (f *Forwarder) View() *resolver.View { return f.view.Load() }

// Ready reports whether clients' requests can be routed: there is a view once the instance has read a configuration and the
// registrations of the backend servers.
func (f *Forwarder) Ready() bool { return f.view.Load() != nil }

// Drain waits until no requests run or wait in the queues that this instance dispatches and all answers to other instances have been
// sent, or until ctx ends.
func (f *Forwarder) Drain(ctx context.Context) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for f.busy() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Forwarder) busy() bool {
	running, waiting := f.RequestCounts()
	return running+waiting > 0 || f.hops.Load() > 0
}

// RequestCounts returns how many requests run at the servers of the pools that this instance dispatches, and how many
// wait for them.
func (f *Forwarder) RequestCounts() (running, waiting int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, q := range f.queues {
		running += q.queue.Running()
		waiting += q.queue.Waiting()
	}
	return running, waiting
}

// unreachableAt returns a function that reports whether an instance counts as unreachable at now.
func (f *Forwarder) unreachableAt(now time.Time) func(string) bool {
	return func(instance string) bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		until, ok := f.unreachableUntil[instance]
		if ok && !now.Before(until) {
			delete(f.unreachableUntil, instance)
			return false
		}
		return ok
	}
}

func (f *Forwarder) markUnreachable(now time.Time, instance string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachableUntil[instance] = now.Add(unreachableDuration)
}

// peerConnPool returns the connection pool of an instance.
func (f *Forwarder) peerConnPool(address string) *exchanger.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peerConnPools[address]
	if p == nil {
		p = exchanger.New(exchanger.Options{
			Address: address, MaxConnections: maxPeerConnections, ConnectTimeout: connectTimeout, IdleTimeout: peerIdleTimeout,
			AckTimeout: peerAckTimeout, MaxAnswerBytes: maxWireBytes,
		})
		f.peerConnPools[address] = p
	}
	return p
}

// serverConnPool returns the connection pool of a server. slots matters only on the first call for an address.
func (f *Forwarder) serverConnPool(address string, slots int) *exchanger.Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.serverConnPools[address]
	if p == nil {
		p = exchanger.New(exchanger.Options{
			Address: address, MaxConnections: slots + spareConnections, ConnectTimeout: connectTimeout,
			IdleTimeout: serverIdleTimeout, AckTimeout: serverAckTimeout, MaxAnswerBytes: maxWireBytes,
			SourceIP: f.sourceIP,
		})
		f.serverConnPools[address] = p
	}
	return p
}

// CloseUnused closes the connections to servers and instances whose address is not in inUse.
func (f *Forwarder) CloseUnused(inUse map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	closeUnused(f.serverConnPools, inUse)
	closeUnused(f.peerConnPools, inUse)
}

// closeUnused closes and deletes the pools whose address is not in inUse.
func closeUnused(pools map[string]*exchanger.Pool, inUse map[string]bool) {
	for address, p := range pools {
		if !inUse[address] {
			p.Close()
			delete(pools, address)
		}
	}
}

// ServeHTTP implements http.Handler for clients.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serveClient(w, r) }
