package verifier

import (
	"net"
	"sync"
	"testing"
	"time"
)

// fault is what a proxy does to its connections.
type fault int

const (
	faultNone          fault = iota
	faultDelay               // each read is forwarded proxyDelay later
	faultStallToTarget       // bytes to the target wait until the fault changes
	faultStallToSource       // bytes from the target wait until the fault changes
	faultStallBoth           // bytes of both directions wait; new connections are accepted and stall as well
	faultReset               // open and new connections are reset
)

// proxyDelay is the time by which faultDelay delays bytes.
const proxyDelay = 150 * time.Millisecond

// proxy is a TCP proxy on the loopback interface that injects faults.
type proxy struct {
	listener net.Listener

	mu        sync.Mutex
	target    string
	fault     fault
	cuts      map[string]cut // by source IP address
	changed   chan struct{}  // closed when fault or cuts change
	openConns map[*net.TCPConn]bool
}

// newProxy returns a listening proxy. Its target has to be set with setTarget.
func newProxy(t *testing.T) *proxy {
	t.Helper()
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets take no packet filter
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must(t, err)
	p := &proxy{listener: listener, cuts: map[string]cut{}, changed: make(chan struct{}), openConns: map[*net.TCPConn]bool{}}
	t.Cleanup(p.close)
	go p.acceptConns()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// setTarget sets the address to which new connections are forwarded.
func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// setFault changes the fault, also for open connections.
func (p *proxy) setFault(f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.changed)
	p.changed = make(chan struct{})
	if f == faultReset {
		p.resetConns()
	}
}

// resetConns resets the open connections. The caller holds mu.
func (p *proxy) resetConns() {
	for conn := range p.openConns {
		_ = conn.SetLinger(0) // makes Close send RST
		_ = conn.Close()
		delete(p.openConns, conn)
	}
}

// close stops listening and resets the open connections. It also ends the goroutines that a fault stalls.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.setFault(faultReset)
}

// faultAndTarget returns the current fault and target, and a channel that is closed when the fault changes.
func (p *proxy) faultAndTarget() (f fault, target string, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault, p.target, p.changed
}

// acceptConns serves new connections until the proxy is closed.
func (p *proxy) acceptConns() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serveConn(conn.(*net.TCPConn))
	}
}

// addConn records an open connection. With faultReset it resets the connection instead and returns false.
func (p *proxy) addConn(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openConns[conn] = true
	if p.fault == faultReset {
		p.resetConns()
		return false
	}
	return true
}

// closeConn closes a connection and removes it from the open ones.
func (p *proxy) closeConn(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = conn.Close()
	delete(p.openConns, conn)
}

// serveConn opens a connection to the target and copies bytes in both directions until neither side sends any more.
func (p *proxy) serveConn(source *net.TCPConn) {
	defer p.closeConn(source)
	if !p.addConn(source) || !p.admitConn(source) {
		return
	}
	_, target, _ := p.faultAndTarget()
	dialled, err := net.Dial("tcp", target)
	if err != nil {
		_ = source.SetLinger(0)
		return
	}
	conn := dialled.(*net.TCPConn)
	defer p.closeConn(conn)
	if !p.addConn(conn) {
		return
	}
	toSourceDone := make(chan struct{})
	go func() {
		defer close(toSourceDone)
		p.copyBytes(source, conn, faultStallToSource)
		_ = source.CloseWrite()
	}()
	p.copyBytes(conn, source, faultStallToTarget)
	_ = conn.CloseWrite()
	<-toSourceDone
}

// copyBytes copies bytes until one side closes or fails; stall is the fault that stalls this direction.
func (p *proxy) copyBytes(to, from *net.TCPConn, stall fault) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.applyFault(stall) || stall == faultStallToSource && !p.awaitPath(to) {
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

// applyFault delays or stalls bytes that have been read, as the current fault requires; stall is the fault that stalls this
// direction. It returns false if the connection must be closed.
func (p *proxy) applyFault(stall fault) bool {
	for {
		f, _, changed := p.faultAndTarget()
		switch f {
		case stall, faultStallBoth:
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
