package forwarder

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
)

const (
	// endedProbeTimeout bounds the connection by which an instance finds out whether a server has ended.
	endedProbeTimeout = 100 * time.Millisecond
	// endedRetention is how long a server that has ended is remembered.
	endedRetention = 30 * time.Second
)

// isConnectionLost reports whether an exchange failed because the other side ended the connection: by closing it or by a
// reset, not by being silent.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// observeExecution finds out whether the server of a request that was sent at a given time has ended while it executed the
// request, and returns the result with this news.
func (f *Forwarder) observeExecution(ctx context.Context, sent time.Time, req *clientRequest, r result) result {
	if !r.connectionLost {
		return r
	}
	server, ok := f.view.Load().Server(r.server)
	if !ok || !f.hasEnded(ctx, sent, server) {
		return r
	}
	r.reason = reasonServerEnded + ": " + r.reason
	klog.InfoS("server ended while it executed a request", "server", server.ID, "born", server.Incarnation, "id", req.id,
		"request", req.name(), "fingerprint", fmt.Sprintf("%016x", uint64(req.fingerprint)))
	return r
}

// hasEnded reports whether a server has ended while it executed a request that was sent at a given time: whether it refuses
// connections now, and had not done so before.
func (f *Forwarder) hasEnded(ctx context.Context, sent time.Time, server cataloger.Server) bool {
	crash := quarantiner.Crash{Server: server.ID, Incarnation: server.Incarnation}
	if noticed, known := f.endedAt(crash); known {
		return !sent.After(noticed) // else it was sent on a connection that had ended already
	}
	if !refusesConnections(ctx, server.Address) {
		return false
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.endedServers[crash]; !known {
		maps.DeleteFunc(f.endedServers, func(_ quarantiner.Crash, at time.Time) bool { return now.Sub(at) > endedRetention })
		f.endedServers[crash] = now
		f.meter.Count(meter.ServersEnded)
	}
	return true
}

// endedAt returns when it was noticed that a server had ended, and false if it was not.
func (f *Forwarder) endedAt(crash quarantiner.Crash) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.endedServers[crash]
	return at, known
}

// refusesConnections reports whether no process accepts connections at an address. An address that does not answer may be cut
// off, so that does not count.
func refusesConnections(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: endedProbeTimeout}
	conn, err := dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}
