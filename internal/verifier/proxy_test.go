package verifier

import (
	"net"
	"sync"
	"testing"
	"time"
)

// fault is what a proxy does to the connections through it.
type fault int

const (
	faultNone     fault = iota
	faultDelay          // bytes arrive later
	faultToTarget       // bytes towards the target are held up
	faultToSource       // bytes from the target are held up
	faultSilent         // both are, and new connections hang
	faultReset          // connections are reset, and new ones as well
)

// proxyDelay is how much later bytes arrive with faultDelay.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy on loopback.
type proxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	fault   fault
	changed chan struct{} // closed when fault changes
	open    map[*net.TCPConn]bool
}

// newProxy returns a proxy whose target is not known yet.
func newProxy(t *testing.T) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	p := &proxy{listener: listener, changed: make(chan struct{}), open: map[*net.TCPConn]bool{}}
	t.Cleanup(p.close)
	go p.accept()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// set changes the fault.
func (p *proxy) set(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == faultReset {
		p.resetAll()
	}
}

// resetAll resets the open connections. The caller holds mu.
func (p *proxy) resetAll() {
	for conn := range p.open {
		_ = conn.SetLinger(0) // a close then resets
		_ = conn.Close()
		delete(p.open, conn)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(faultReset)
}

func (p *proxy) state() (f fault, target string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.target, p.changed
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

// track notes a connection, or resets it at once.
func (p *proxy) track(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[conn] = true
	if p.fault == faultReset {
		p.resetAll()
		return false
	}
	return true
}

func (p *proxy) drop(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = conn.Close()
	delete(p.open, conn)
}

func (p *proxy) serve(source *net.TCPConn) {
	defer p.drop(source)
	if !p.track(source) {
		return
	}
	_, target, _ := p.state()
	dialled, err := net.Dial("tcp", target)
	if err != nil {
		_ = source.SetLinger(0)
		return
	}
	conn := dialled.(*net.TCPConn)
	defer p.drop(conn)
	if !p.track(conn) {
		return
	}
	back := make(chan struct{})
	go func() {
		defer close(back)
		p.copy(source, conn, faultToSource)
		_ = source.CloseWrite()
	}()
	p.copy(conn, source, faultToTarget)
	_ = conn.CloseWrite()
	<-back
}

// copy passes bytes on until one side ends; held is the fault that holds up this direction.
func (p *proxy) copy(to, from *net.TCPConn, held fault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.pass(held) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits for as long as bytes are held up; it returns false where the connection is to end.
func (p *proxy) pass(held fault) bool {
	for {
		f, _, changed := p.state()
		switch f {
		case held, faultSilent:
			<-changed
		case faultDelay:
			time.Sleep(proxyDelay)
			return true
		case faultReset:
			return false
		default:
			return true
		}
	}
}
