// Package forwarder carries one request from a caller to the backend server that owns its key, and the answer back.
// The instance that fronts the server alone sends to it; other instances pass requests on to it over the peer port.
package forwarder

import (
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/internal/chooser"
	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Options are the settings of a Forwarder. Table and Self are required; each other zero field stands for its default.
type Options struct {
	Table           *router.Table
	Self            identifier.InstanceID
	Clock           func() time.Time // time.Now
	Observer        Observer         // Ignore
	Canceller       Canceller        // NoCancel
	PeerTLS         *tls.Config      // nil is plain TCP to other instances
	PeerConnections int              // bound on connections to each other instance, 512
	Entries         func() int       // instances that share the callers' limits, 1
	Suspect         func(identifier.ServerName) bool
	Seed            uint64 // of the choice of servers and of the jitter of retries
}

// Forwarder serves the callers' port and the peer port. Make it with New.
type Forwarder struct {
	table           *router.Table
	self            identifier.InstanceID
	clock           func() time.Time
	observer        Observer
	canceller       Canceller
	peerTLS         *tls.Config
	peerConnections int
	entries         func() int
	suspect         func(identifier.ServerName) bool
	flights         flights
	lastID          atomic.Uint64
	routeWaits      atomic.Int64 // requests that wait for a route

	backends sync.Map // identifier.ServerName to *backend
	peers    sync.Map // address to *exchanger.Pool

	callersMu sync.Mutex
	callers   limiter.Callers

	repeatsMu sync.Mutex
	repeats   limiter.Repeats

	policyMu sync.Mutex // guards what follows
	choosers map[identifier.ServiceName]*chooser.Chooser
	budgets  map[classKey]*limiter.Budget
	source   *rand.Rand
}

// classKey names a class of a service.
type classKey struct {
	service identifier.ServiceName
	class   identifier.ClassName
}

const defaultPeerConnections = 512

// New returns a Forwarder that serves nothing until the table has a view and the gates have permits.
func New(o Options) *Forwarder {
	f := &Forwarder{
		table:           o.Table,
		self:            o.Self,
		clock:           o.Clock,
		observer:        o.Observer,
		canceller:       o.Canceller,
		peerTLS:         o.PeerTLS,
		peerConnections: o.PeerConnections,
		entries:         o.Entries,
		suspect:         o.Suspect,
		choosers:        map[identifier.ServiceName]*chooser.Chooser{},
		budgets:         map[classKey]*limiter.Budget{},
		source:          rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
	f.setDefaults()
	return f
}

func (f *Forwarder) setDefaults() {
	if f.clock == nil {
		f.clock = time.Now
	}
	if f.observer == nil {
		f.observer = Ignore{}
	}
	if f.canceller == nil {
		f.canceller = NoCancel{}
	}
	if f.peerConnections <= 0 {
		f.peerConnections = defaultPeerConnections
	}
	if f.entries == nil {
		f.entries = func() int { return 1 }
	}
	if f.suspect == nil {
		f.suspect = func(identifier.ServerName) bool { return false }
	}
}

// CallerHandler returns the handler of the callers' port: /s/{service}/{key}[/{rest}].
func (f *Forwarder) CallerHandler() http.Handler {
	return newMux("/s", f.serveCaller, f.serveNoPath)
}

// PeerHandler returns the handler of the peer port: /forward/{service}/{key}[/{rest}]. The server that runs it must
// keep idle connections open for longer than a minute, so that the sending instance is the one that closes them.
func (f *Forwarder) PeerHandler() http.Handler {
	return newMux("/forward", f.servePeer, f.serveNoPath)
}

// newMux returns a router that leaves paths as they came.
func newMux(prefix string, serve, other http.HandlerFunc) http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.NotFoundHandler = other
	m.HandleFunc(prefix+"/{service}/{key}", serve)
	m.HandleFunc(prefix+"/{service}/{key}/{rest:.*}", serve)
	return m
}

// CloseIdle closes the connections that are not in use.
func (f *Forwarder) CloseIdle() {
	f.backends.Range(func(_, b any) bool {
		b.(*backend).closeIdle()
		return true
	})
	f.peers.Range(func(_, p any) bool {
		p.(*exchanger.Pool).CloseIdle()
		return true
	})
}

// peer returns the connections to another instance.
func (f *Forwarder) peer(address string) *exchanger.Pool {
	if p, ok := f.peers.Load(address); ok {
		return p.(*exchanger.Pool)
	}
	made := exchanger.New(exchanger.Options{Address: address, Connections: f.peerConnections, TLS: f.peerTLS})
	p, _ := f.peers.LoadOrStore(address, made)
	return p.(*exchanger.Pool)
}
