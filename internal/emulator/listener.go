package emulator

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
)

// LimitConnections wraps the server's listener so that it applies MaxConnections and ConnectCost of the settings and the
// fault RefuseConnections. Connections over the limit are closed as soon as they are accepted.
func (s *Server) LimitConnections(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, server: s}
}

type limitedListener struct {
	net.Listener
	server *Server
	open   atomic.Int64 // connections
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.admit() {
			return &limitedConn{Conn: conn, listener: l}, nil
		}
		_ = conn.Close()
	}
}

// admit counts a new connection, or reports false if it must be closed.
func (l *limitedListener) admit() bool {
	if l.server.faults.get().RefuseConnections {
		return false
	}
	limit := l.server.settings.MaxConnections
	if open := l.open.Add(1); limit > 0 && open > int64(limit) {
		l.open.Add(-1)
		return false
	}
	return true
}

// limitedConn is a connection that counts towards the limit until it is closed.
type limitedConn struct {
	net.Conn
	listener    *limitedListener
	connectOnce sync.Once
	closeOnce   sync.Once
}

// Read implements net.Conn. The first call takes ConnectCost longer.
func (c *limitedConn) Read(p []byte) (int, error) {
	c.connectOnce.Do(func() {
		pause(context.Background(), c.listener.server.settings.ConnectCost)
	})
	return c.Conn.Read(p)
}

// Close implements net.Conn. It may be called more than once.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
