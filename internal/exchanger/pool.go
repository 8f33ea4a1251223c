package exchanger

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	defaultMaxConnections = 64
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 30 * time.Second

	// probeInterval is the time without a segment after which a keep-alive probe is sent, and the time between probes. Linux and
	// package net count it in whole seconds.
	probeInterval = time.Second
	// waitingTimeout replaces AckTimeout while an exchange waits for its answer: TCP_USER_TIMEOUT also decides when probes give up,
	// whatever their count. With it a connection fails when two probes in a row, but not when one, are not answered.
	waitingTimeout = 2*probeInterval + probeInterval/2
	// relaxAfter is how long a connection is in use before waitingTimeout is set: its request has been acknowledged by then, or the
	// connection has failed. The second probe, which would end it otherwise, is due after two intervals.
	relaxAfter = probeInterval + probeInterval/2
)

// Options are the settings of a Pool. A zero field stands for its default; without TLS, connections are not encrypted.
type Options struct {
	Address        string        // host:port
	MaxConnections int           // maximum number of open connections
	ConnectTimeout time.Duration // for connecting with the TLS handshake, and for waiting until a connection is free
	IdleTimeout    time.Duration // a connection found to have been idle for longer is closed, not used
	TLS            *tls.Config
	// SourceIP is the local address of the connections; nil lets the system choose.
	SourceIP       net.IP
	MaxAnswerBytes int64 // bound of the bytes of an answer after its header, with the overhead of chunks
	// AckTimeout is how long sent bytes may stay unacknowledged before their connection fails. An idle connection whose other side
	// is silent fails after 2 s to 3 s; one that waits for an answer after 3 s, if Relax is called in time. 0 leaves all that to the
	// defaults of Go and the operating system.
	AckTimeout time.Duration
}

// Pool holds the persistent connections to one address.
type Pool struct {
	options Options
	tokens  chan struct{} // semaphore: one token for each connection that is in use or being opened

	mu     sync.Mutex
	idle   []*conn // the most recently used one is the last
	open   map[*conn]struct{}
	closed bool
}

// New returns a Pool without connections.
func New(o Options) *Pool {
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = math.MaxInt64
	}
	o.TLS = withServerName(o.TLS, o.Address)
	return &Pool{options: o, tokens: make(chan struct{}, o.MaxConnections), open: map[*conn]struct{}{}}
}

// withServerName returns config with the host of address as server name, if it has none and verifies certificates.
func withServerName(config *tls.Config, address string) *tls.Config {
	if config == nil || config.ServerName != "" || config.InsecureSkipVerify {
		return config
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return config
	}
	named := config.Clone()
	named.ServerName = host
	return named
}

// Address returns host:port of the other side.
func (p *Pool) Address() string { return p.options.Address }

// Open returns how many connections are open, in use or idle.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.open)
}

// Idle returns how many connections are open and not in use.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// CloseIdle closes the connections that are not in use.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// Close closes the idle connections at once, and those in use when they are returned to the pool.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// get returns an idle connection for which suits is true, or a new one, for exclusive use. The error is an ErrNotSent.
func (p *Pool) get(ctx context.Context, now, deadline time.Time, suits func(*conn) bool) (*conn, error) {
	if err := p.acquireToken(ctx, now, deadline); err != nil {
		return nil, ErrNotSent{cause: err}
	}
	if c := p.takeIdle(now, suits); c != nil {
		p.beginUse(c, now)
		return c, nil
	}
	p.makeRoom()
	c, err := p.dial(ctx, now, deadline)
	if err != nil {
		p.releaseToken()
		return nil, ErrNotSent{cause: err}
	}
	p.beginUse(c, now)
	return c, nil
}

// beginUse records that a connection is in use from now on.
func (p *Pool) beginUse(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inUseSince = now
}

// Relax lets the connections that wait for an answer survive a lost keep-alive probe. It should be called every 250 ms.
func (p *Pool) Relax(now time.Time) {
	if p.options.AckTimeout <= 0 || p.options.AckTimeout >= waitingTimeout {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		if !c.relaxed && !c.inUseSince.IsZero() && now.Sub(c.inUseSince) >= relaxAfter {
			c.relaxed = c.setUserTimeout(waitingTimeout) == nil // otherwise it has been closed
		}
	}
}

// acquireToken takes one of the tokens that bound the connections in use, and waits for it if necessary.
func (p *Pool) acquireToken(ctx context.Context, now, deadline time.Time) error {
	select {
	case p.tokens <- struct{}{}:
		return nil
	default:
	}
	timer := time.NewTimer(min(p.options.ConnectTimeout, deadline.Sub(now)))
	defer timer.Stop()
	select {
	case p.tokens <- struct{}{}:
		return nil
	case <-timer.C:
		return errPoolExhausted
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pool) releaseToken() { <-p.tokens }

// takeIdle returns the most recently used idle connection that is still usable and for which suits is true, or nil, and closes
// the unusable ones that it finds.
func (p *Pool) takeIdle(now time.Time, suits func(*conn) bool) *conn {
	for {
		c := p.popIdle(suits)
		if c == nil {
			return nil
		}
		if now.Sub(c.idleSince) < p.options.IdleTimeout && !c.stale() {
			return c
		}
		p.discard(c)
	}
}

// popIdle removes the most recently used idle connection for which suits is true from the idle ones, and returns it, or nil if
// there is none.
func (p *Pool) popIdle(suits func(*conn) bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle) {
		if suits(c) {
			p.idle = slices.Delete(p.idle, i, i+1)
			return c
		}
	}
	return nil
}

// makeRoom closes the idle connections that have been unused for the longest time, so that connections in use and idle ones
// together don't exceed MaxConnections when another one is opened. A connection becomes idle before its token is released.
func (p *Pool) makeRoom() {
	p.mu.Lock()
	surplus := min(len(p.idle), max(0, len(p.idle)+len(p.tokens)-p.options.MaxConnections))
	closing := slices.Clone(p.idle[:surplus])
	p.idle = slices.Delete(p.idle, 0, surplus)
	p.mu.Unlock()
	for _, c := range closing {
		p.discard(c)
	}
}

// put returns a connection in use to the pool after a complete exchange or unused. A closed pool closes it.
func (p *Pool) put(c *conn, now time.Time) {
	c.idleSince = now
	p.mu.Lock()
	c.inUseSince = time.Time{}
	if c.relaxed {
		c.relaxed = c.setUserTimeout(p.options.AckTimeout) != nil
	}
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		p.releaseToken()
		return
	}
	p.mu.Unlock()
	p.discardInUse(c)
}

// discardInUse closes a connection in use and releases its token.
func (p *Pool) discardInUse(c *conn) {
	p.discard(c)
	p.releaseToken()
}

// discard closes a connection without releasing a token.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.Close()
}

// dial opens a connection, with the TLS handshake if the pool uses TLS.
func (p *Pool) dial(ctx context.Context, now, deadline time.Time) (*conn, error) {
	timeout := min(p.options.ConnectTimeout, deadline.Sub(now))
	if timeout <= 0 {
		return nil, errDeadlinePassed
	}
	dialer := net.Dialer{Timeout: timeout, Deadline: deadline, LocalAddr: LocalAddr(p.options.SourceIP)}
	if p.options.AckTimeout > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval}
		dialer.Control = func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, p.options.AckTimeout) }
	}
	tcpConn, err := dialer.DialContext(ctx, "tcp", p.options.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c := newConn(tcpConn)
	if err := p.handshake(ctx, c, timeout); err != nil {
		_ = tcpConn.Close()
		return nil, err
	}
	c.initBuffers()
	if err := p.register(c); err != nil {
		return nil, err
	}
	return c, nil
}

// LocalAddr returns the local address of a net.Dialer for a source IP address; nil lets the system choose.
func LocalAddr(source net.IP) net.Addr {
	if source == nil {
		return nil
	}
	return &net.TCPAddr{IP: source}
}

// handshake replaces the TCP connection of c by a TLS connection over it, if the pool uses TLS.
func (p *Pool) handshake(ctx context.Context, c *conn, timeout time.Duration) error {
	if p.options.TLS == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tlsConn := tls.Client(c.Conn, p.options.TLS)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return errors.Wrap(err, "tls handshake")
	}
	c.Conn = tlsConn
	return nil
}

// register adds c to the open connections. It closes c if the pool has been closed meanwhile.
func (p *Pool) register(c *conn) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return errPoolClosed
	}
	p.open[c] = struct{}{}
	return nil
}
