package forwarder

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

const (
	// pathProbeTimeout bounds the connection of a probe.
	pathProbeTimeout = 300 * time.Millisecond
	// pathProbeLinger is how long a probe's connection must stay open to count as a contact: something between may accept
	// connections that it can't forward.
	pathProbeLinger = 20 * time.Millisecond
	// relaxInterval is the time between two calls of Pool.Relax.
	relaxInterval = 250 * time.Millisecond
	// declineDuration is how long an instance that has declined a pool is not asked to dispatch for it again.
	declineDuration = time.Second
	// maxDetours bounds how many instances that decline a server pool or don't reach its server a request meets. If this instance is none of
	// them, it is tried after them, as that takes no hop.
	maxDetours = 4
	// maxDeclines is how many instances may have declined a server pool of late before no other one is asked.
	maxDeclines = 16
	// maxFailedConnects bounds how many instances try in vain to connect to a server for one request: when two have failed,
	// the server has probably ended.
	maxFailedConnects = 2
)

// The reasons of results that say that an instance has no path to a server. Instances exchange them.
const (
	// reasonNoPath says that the dispatcher has lost its path to all servers of the pool. One that stops or has just started says it
	// too, as instances of earlier versions know no other reason that makes them choose a different dispatcher.
	reasonNoPath = "no_path"
	// reasonNoConnection says that a connection to the server could not be opened.
	reasonNoConnection = "no_connection"
)

// lacksPath reports whether the request was not sent because its dispatcher has no path to the server. Another instance may have
// one.
func (r result) lacksPath() bool {
	return r.declined() || r.outcome == unreached && strings.HasPrefix(r.reason, reasonNoConnection+":")
}

// declined reports whether the dispatcher handed the request back without trying a server.
func (r result) declined() bool { return r.outcome == unreached && r.reason == reasonNoPath }

// declinedResult returns the result by which a dispatcher makes another instance choose a different one.
func declinedResult() result {
	return result{outcome: unreached, reason: reasonNoPath, retryAfter: defaultRetryAfter}
}

// paths is what this instance knows about its paths to servers.
type paths struct {
	mu        sync.Mutex
	detector  detector.Detector
	addresses map[string]string // by server id
}

// setServers replaces the servers.
func (p *paths) setServers(v *resolver.View) {
	servers := v.AllServers()
	list := make([]detector.Server, 0, len(servers))
	addresses := make(map[string]string, len(servers))
	for _, s := range servers {
		list = append(list, detector.Server{ID: s.ID, Service: s.Service, Incarnation: s.Incarnation})
		addresses[s.ID] = s.Address
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detector.SetServers(list)
	p.addresses = addresses
}

// lost reports whether the path to a server is lost.
func (p *paths) lost(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.detector.ServerLost(server)
}

// poolLost reports whether this instance has lost its path to all servers of a pool, of which there is at least one.
func (f *Forwarder) poolLost(v *resolver.View, serverPool resolver.ServerPool) bool {
	servers := v.Servers(serverPool)
	for _, s := range servers {
		if !f.paths.lost(s.ID) {
			return false
		}
	}
	return len(servers) > 0
}

// contact is the outcome of a connection to a server, as evidence about the path to it.
type contact int

const (
	contactMade       contact = iota // the server answered, or accepted a connection
	contactFailed                    // a connection could not be opened, or sent bytes were not acknowledged
	contactClosed                    // a new connection was ended without an answer
	contactUnanswered                // no answer in time, or a connection that was used before was ended
	contactUnknown                   // says nothing about the path
)

// classifyError returns what the failure of an exchange says about the path to the server. reused says that its connection was
// used before.
func classifyError(err error, reused bool) contact {
	switch {
	case exchanger.IsErrPoolExhausted(err), errors.Is(err, context.Canceled):
		return contactUnknown
	case errors.Is(err, syscall.ETIMEDOUT):
		return contactFailed
	case isConnectionLost(err) && !reused:
		return contactClosed
	}
	return contactUnanswered
}

// classifyConnectError returns what the failure to get a connection within timeout says about the path to the server.
func classifyConnectError(err error, timeout time.Duration) contact {
	if timeout < connectTimeout && !errors.Is(err, syscall.ECONNREFUSED) {
		return contactUnanswered
	}
	if exchanger.IsErrPoolExhausted(err) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return contactUnknown
	}
	return contactFailed
}

// observeContact records evidence about the path to a server.
func (f *Forwarder) observeContact(now time.Time, server string, c contact) {
	var changed bool
	f.paths.mu.Lock()
	switch c {
	case contactMade:
		changed = f.paths.detector.Reached(now, server)
	case contactFailed:
		changed = f.paths.detector.ConnectFailed(now, server)
	case contactClosed:
		changed = f.paths.detector.Closed(now, server)
	case contactUnanswered:
		f.paths.detector.Check(now, server)
	case contactUnknown:
	}
	losses := f.paths.detector.Losses()
	f.paths.mu.Unlock()
	// A server that was lost may have started again, or turned cold with its failure domain.
	if c == contactFailed || c == contactClosed || c == contactMade && changed {
		f.suspectCold(now, server)
	}
	if !changed {
		return
	}
	f.meter.Set(meter.LostServers, int64(losses))
	if c == contactMade {
		klog.InfoS("path to server is back", "server", server, "lost_servers", losses)
	} else {
		klog.InfoS("path to server is lost", "server", server, "lost_servers", losses)
	}
	f.updateQueuesOf(now, server)
}

// updateQueuesOf applies a change of the path to a server to the queues of its pools.
func (f *Forwarder) updateQueuesOf(now time.Time, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	for serverPool, q := range f.queues {
		for _, s := range v.Servers(serverPool) {
			if s.ID == server {
				f.updateQueue(now, serverPool, q, v)
				break
			}
		}
	}
}

// ObserveGrant records what the outcome of an order to a server says about the path to it. sent says that the server may have
// received the order; err is nil if it has answered.
func (f *Forwarder) ObserveGrant(now time.Time, server string, sent bool, err error) {
	switch {
	case err == nil:
		f.observeContact(now, server, contactMade)
	case sent:
		f.observeContact(now, server, classifyError(err, true))
	case exchanger.IsErrNotSent(err):
		f.observeContact(now, server, classifyConnectError(err, connectTimeout))
	}
}

// ProbePaths starts the probes that are due, and looks after connections that wait for an answer. It must be called more often than
// every 100 ms.
func (f *Forwarder) ProbePaths(now time.Time) {
	f.relaxConnections(now)
	f.tickCold(now)
	f.paths.mu.Lock()
	servers := f.paths.detector.Tick(now)
	addresses := make([]string, len(servers))
	for i, id := range servers {
		addresses[i] = f.paths.addresses[id]
	}
	f.paths.mu.Unlock()
	for i, id := range servers {
		f.meter.Count(meter.PathProbes)
		go func() { f.observeContact(time.Now(), id, f.probe(addresses[i])) }()
	}
}

// relaxConnections lets the exchanges that wait for an answer survive a lost keep-alive probe.
func (f *Forwarder) relaxConnections(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastRelax) < relaxInterval {
		return
	}
	f.lastRelax = now
	for _, pools := range []map[string]*exchanger.Pool{f.serverConnPools, f.peerConnPools} {
		for _, p := range pools {
			p.Relax(now)
		}
	}
}

// probe opens a connection to a server and closes it.
func (f *Forwarder) probe(address string) contact {
	dialer := net.Dialer{Timeout: pathProbeTimeout, LocalAddr: exchanger.LocalAddr(f.sourceIP)}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return contactFailed
	}
	defer conn.Close()
	if staysOpen(conn) {
		return contactMade
	}
	return contactClosed
}

// staysOpen reports whether the other side leaves a new connection open for pathProbeLinger.
func staysOpen(conn net.Conn) bool {
	if err := conn.SetReadDeadline(time.Now().Add(pathProbeLinger)); err != nil {
		return false
	}
	_, err := conn.Read(make([]byte, 1))
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// LostServices returns the services to whose servers this instance has lost its path.
func (f *Forwarder) LostServices(now time.Time) []detector.LostService {
	f.paths.mu.Lock()
	defer f.paths.mu.Unlock()
	return f.paths.detector.LostServices(now)
}

// UnreachedServers returns the ids of at most limit servers of a service to which this instance has lost its path, or none while
// the paths come back.
func (f *Forwarder) UnreachedServers(now time.Time, service string, limit int) []string {
	f.paths.mu.Lock()
	defer f.paths.mu.Unlock()
	return f.paths.detector.UnreachedServers(now, service, limit)
}

// ServerLost reports whether this instance has lost its path to a server.
func (f *Forwarder) ServerLost(server string) bool { return f.paths.lost(server) }

// CheckPaths makes the next ProbePaths probe servers.
func (f *Forwarder) CheckPaths(now time.Time, servers []string) {
	f.paths.mu.Lock()
	defer f.paths.mu.Unlock()
	f.paths.detector.Check(now, servers...)
}

// CheckService makes the next ProbePaths probe some servers of a service if this instance has not reached any of them of late.
func (f *Forwarder) CheckService(now time.Time, service string) {
	f.paths.mu.Lock()
	defer f.paths.mu.Unlock()
	f.paths.detector.CheckService(now, service)
}

// ReachesMost reports whether this instance has just reached at least half of some servers, after since.
func (f *Forwarder) ReachesMost(now, since time.Time, servers []string) bool {
	f.paths.mu.Lock()
	defer f.paths.mu.Unlock()
	return f.paths.detector.ReachesMost(now, since, servers)
}

// declines holds, by server pool and instance, until when an instance is not asked to dispatch for the pool because it has declined.
type declines map[resolver.ServerPool]map[string]time.Time

// record records that an instance has declined a pool.
func (d declines) record(now time.Time, serverPool resolver.ServerPool, instance string) {
	if d[serverPool] == nil {
		d[serverPool] = map[string]time.Time{}
	}
	d[serverPool][instance] = now.Add(declineDuration)
}

// of returns the instances that have declined a pool of late.
func (d declines) of(now time.Time, serverPool resolver.ServerPool) []string {
	var instances []string
	for instance, until := range d[serverPool] {
		if now.Before(until) {
			instances = append(instances, instance)
		} else {
			delete(d[serverPool], instance)
		}
	}
	if len(d[serverPool]) == 0 {
		delete(d, serverPool)
	}
	return instances
}

// detour prepares an attempt through another dispatcher after one without a path, and reports whether there may be one. A server
// of a service without keys that can't be reached is no reason to give up, as the pool may have others.
func (f *Forwarder) detour(now time.Time, req *clientRequest, r result) bool {
	self := f.view.Load().Self.Instance
	instance := r.dispatcher
	if instance == "" {
		instance = self
	}
	f.mu.Lock()
	if r.declined() {
		f.declines.record(now, req.pool, instance)
	} else if req.keyed {
		req.failedConnects++
	}
	declined := f.declines.of(now, req.pool)
	f.mu.Unlock()
	req.triedDispatchers = append(req.triedDispatchers, instance)
	req.withoutPath = append(req.withoutPath, instance)
	switch tried := len(req.triedDispatchers); {
	case req.failedConnects >= maxFailedConnects, tried > maxDetours:
		return false
	case tried == maxDetours && (slices.Contains(req.triedDispatchers, self) || slices.Contains(declined, self)):
		return false
	}
	f.meter.Count(meter.RequestsDetoured)
	return true
}
