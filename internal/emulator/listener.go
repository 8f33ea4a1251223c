package emulator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// LimitConnections returns a listener of the server's connections that keeps to its bound and its cost of a new
// connection. A connection over the bound is closed at once.
func (s *Server) LimitConnections(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, server: s}
}

type limitedListener struct {
	net.Listener
	server *Server
	open   atomic.Int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admits() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close()
	}
}

func (l *limitedListener) admits() bool {
	if l.server.faults.get().RefuseConnections {
		return false
	}
	bound := l.server.settings.MaxConnections
	if open := l.open.Add(1); bound > 0 && open > int64(bound) {
		l.open.Add(-1)
		return false
	}
	return true
}

// limitedConn is one counted connection.
type limitedConn struct {
	net.Conn
	listener *limitedListener
	connect  sync.Once
	close    sync.Once
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.connect.Do(func() {
		pause(context.Background(), c.listener.server.settings.ConnectCost)
	})
	return c.Conn.Read(p)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.close.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
