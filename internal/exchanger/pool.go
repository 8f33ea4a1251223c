package exchanger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	defaultConnections    = 64
	defaultConnectTimeout = time.Second
	defaultIdleTimeout    = 30 * time.Second

	probes = 3 // without an answer after which a connection fails
)

// Options are the settings of a Pool. A zero field stands for its default; a nil TLS is a plain connection.
type Options struct {
	Address        string        // host:port
	MaxConnections int           // bound on open connections
	ConnectTimeout time.Duration // for the connection and its TLS handshake, and for the wait for a free one
	IdleTimeout    time.Duration // an idle connection is not used after it
	TLS            *tls.Config
	// ProbeInterval is the time between probes that find silent connections: a connection whose other side acknowledges
	// nothing for three times as long fails. 0 leaves it to the system's defaults.
	ProbeInterval time.Duration
}

// Pool holds the persistent connections to one address.
type Pool struct {
	options Options
	tokens  chan struct{} // one for each open or opening connection in use, and each idle one taken back into use

	mu     sync.Mutex
	idle   []*conn // the one used last at the end
	open   map[*conn]struct{}
	closed bool
}

// New returns a Pool without connections.
func New(o Options) *Pool {
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultConnections
	}
	if o.ConnectTimeout <= 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	o.TLS = withServerName(o.TLS, o.Address)
	return &Pool{options: o, tokens: make(chan struct{}, o.MaxConnections), open: map[*conn]struct{}{}}
}

// withServerName names the host of address in a config that would else check no name.
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

// Close closes the idle connections, and those in use once they are given back.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseIdle()
}

// get returns a connection that no one else uses. The error is an ErrNotSent.
func (p *Pool) get(ctx context.Context, now, deadline time.Time) (*conn, error) {
	if err := p.acquire(ctx, now, deadline); err != nil {
		return nil, ErrNotSent{cause: err}
	}
	if c := p.takeIdle(now); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, now, deadline)
	if err != nil {
		p.release()
		return nil, ErrNotSent{cause: err}
	}
	return c, nil
}

// acquire takes one of the tokens that bound the connections in use.
func (p *Pool) acquire(ctx context.Context, now, deadline time.Time) error {
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
		return errBusy
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Pool) release() { <-p.tokens }

// takeIdle returns the idle connection used last that still stands, or nil. Idle connections and tokens in use
// together never exceed the bound, because one is only kept when its token is given back.
func (p *Pool) takeIdle(now time.Time) *conn {
	for {
		c := p.popIdle()
		if c == nil {
			return nil
		}
		if now.Sub(c.idleFrom) < p.options.IdleTimeout && !c.stale() {
			return c
		}
		p.discard(c)
	}
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// put takes a connection back after a whole exchange.
func (p *Pool) put(c *conn, now time.Time) {
	c.idleFrom = now
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		p.release()
		return
	}
	p.mu.Unlock()
	p.drop(c)
}

// drop closes a connection in use.
func (p *Pool) drop(c *conn) {
	p.discard(c)
	p.release()
}

// discard closes a connection that holds no token.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.Close()
}

func (p *Pool) dial(ctx context.Context, now, deadline time.Time) (*conn, error) {
	timeout := min(p.options.ConnectTimeout, deadline.Sub(now))
	if timeout <= 0 {
		return nil, errTooLate
	}
	dialer := net.Dialer{Timeout: timeout, Deadline: deadline}
	if p.options.ProbeInterval > 0 {
		dialer.KeepAliveConfig = net.KeepAliveConfig{
			Enable: true, Idle: p.options.ProbeInterval, Interval: p.options.ProbeInterval, Count: probes,
		}
		dialer.Control = limitUnacknowledged(probes * p.options.ProbeInterval)
	}
	plain, err := dialer.DialContext(ctx, "tcp", p.options.Address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	c := newConn(plain)
	if err := p.handshake(ctx, c, timeout); err != nil {
		_ = plain.Close()
		return nil, err
	}
	c.buffers()
	if err := p.register(c); err != nil {
		return nil, err
	}
	return c, nil
}

func (p *Pool) handshake(ctx context.Context, c *conn, timeout time.Duration) error {
	if p.options.TLS == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	secured := tls.Client(c.Conn, p.options.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return errors.Wrap(err, "tls handshake")
	}
	c.Conn = secured
	return nil
}

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
