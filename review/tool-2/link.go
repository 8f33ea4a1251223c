package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// firstRetransmission is when TCP sends a segment again that is not acknowledged. The time doubles with each further one.
const firstRetransmission = 200 * time.Millisecond

// link relays the connections to a server. While it is cut, new connections are refused, and bytes on open connections are held up: they
// arrive with the first retransmission after the cut, unless their sender has reset the connection.
type link struct {
	listener *net.TCPListener // closed while the link is cut; like at, only used by the goroutine of the scenario
	at       *net.TCPAddr
	target   string

	mu     sync.Mutex
	cut    bool
	healed time.Time     // when the last cut ended; zero if there was none
	change chan struct{} // closed and replaced when cut changes
}

func newLink(target string) (*link, error) {
	l := &link{at: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}, target: target, change: make(chan struct{})}
	return l, l.listen()
}

func (l *link) address() string { return l.at.String() }

func (l *link) close() { _ = l.listener.Close() }

// healedAt returns when the last cut ended, or the zero Time.
func (l *link) healedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

// setCut cuts the link, or heals it.
func (l *link) setCut(cut bool) error {
	l.mu.Lock()
	l.cut = cut
	if !cut {
		l.healed = time.Now()
	}
	close(l.change)
	l.change = make(chan struct{})
	l.mu.Unlock()
	if cut {
		return l.listener.Close()
	}
	return l.listen()
}

// listen accepts connections at the address of the link, which is chosen the first time.
func (l *link) listen() error {
	listener, err := net.ListenTCP("tcp", l.at)
	if err != nil {
		return err
	}
	l.listener, l.at = listener, listener.Addr().(*net.TCPAddr)
	go l.accept(listener)
	return nil
}

func (l *link) accept(listener *net.TCPListener) {
	for {
		conn, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

// relay connects a caller with the server.
func (l *link) relay(caller *net.TCPConn) {
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = caller.Close()
		return
	}
	target := conn.(*net.TCPConn)
	var done sync.WaitGroup
	done.Go(func() { l.copyBytes(target, caller) })
	done.Go(func() { l.copyBytes(caller, target) })
	done.Wait()
	_ = caller.Close()
	_ = target.Close()
}

// chunk is what was read at once. An empty one stands for the end of the stream.
type chunk struct {
	data []byte
	at   time.Time
}

// copyBytes copies one direction of a connection.
func (l *link) copyBytes(to, from *net.TCPConn) {
	chunks, reset := make(chan chunk, 1024), make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{data: buffer[:n], at: time.Now()}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
					close(reset)
				}
				return
			}
		}
	}()
	for c := range chunks {
		if !l.awaitArrival(c.at, reset) {
			_ = to.SetLinger(0) // the reset arrives as one
			_ = to.Close()
			return
		}
		if _, err := to.Write(c.data); err != nil {
			_ = from.SetLinger(0)
			_ = from.Close()
			return
		}
	}
	select {
	case <-reset:
		_ = to.SetLinger(0)
		_ = to.Close()
	default:
		if l.awaitArrival(time.Now(), reset) {
			_ = to.CloseWrite()
		}
	}
}

// awaitArrival waits until bytes that were sent at a time arrive. It returns false if the sender has reset the connection before.
func (l *link) awaitArrival(sent time.Time, reset <-chan struct{}) bool {
	for {
		l.mu.Lock()
		cut, change, healed := l.cut, l.change, l.healed
		l.mu.Unlock()
		if !cut && (healed.IsZero() || !sent.Before(healed)) {
			return true
		}
		if !cut {
			arrival := sent
			for wait := firstRetransmission; arrival.Before(healed); wait *= 2 {
				arrival = arrival.Add(wait)
			}
			if time.Now().Before(arrival) {
				select {
				case <-reset:
					return false
				case <-change:
					continue
				case <-time.After(time.Until(arrival)):
				}
			}
			return true
		}
		select {
		case <-reset:
			return false
		case <-change:
		}
	}
}
