package runner

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/wasabibank/wasabibank/internal/configurer"
	"github.com/wasabibank/wasabibank/internal/messenger"
	"github.com/wasabibank/wasabibank/internal/presenter"
)

// idleTimeout is how long an idle connection of a caller or a peer stays open.
const idleTimeout = 2 * time.Minute

// ports are the three listening ports of an entry process and their servers.
type ports struct {
	caller net.Listener
	peer   net.Listener
	admin  net.Listener

	callerServer *http.Server
	peerServer   *http.Server
	adminServer  *http.Server
}

// handlers are what the ports serve.
type handlers struct {
	caller http.Handler
	peer   http.Handler
	admin  http.Handler
}

func listen(settings *configurer.Settings, peerTLS *tls.Config) (*ports, error) {
	caller, err := net.Listen("tcp", settings.CallerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "callers' port")
	}
	peer, err := net.Listen("tcp", settings.PeerAddress())
	if err != nil {
		return nil, errors.Wrap(err, "peer port")
	}
	admin, err := net.Listen("tcp", settings.AdminAddress())
	if err != nil {
		return nil, errors.Wrap(err, "admin port")
	}
	if peerTLS != nil {
		peer = tls.NewListener(peer, peerTLS)
	}
	bounds := settings.CallerPort()
	if bounds.MaxConnections() > 0 {
		caller = netutil.LimitListener(caller, bounds.MaxConnections())
	}
	caller = refusalListener{Listener: caller, entry: settings.Instance()}
	return &ports{
		caller: caller,
		peer:   peer,
		admin:  admin,
		callerServer: &http.Server{
			ReadHeaderTimeout: bounds.HeaderTimeout(),
			MaxHeaderBytes:    int(bounds.MaxHeaderBytes()),
			IdleTimeout:       idleTimeout,
		},
		peerServer:  &http.Server{ReadHeaderTimeout: bounds.HeaderTimeout(), IdleTimeout: idleTimeout},
		adminServer: &http.Server{ReadHeaderTimeout: bounds.HeaderTimeout(), IdleTimeout: idleTimeout},
	}, nil
}

// handlers returns what this process serves on its ports.
func (r *Runner) handlers() handlers {
	peer := mux.NewRouter().UseEncodedPath().SkipClean(true)
	peer.PathPrefix(messenger.PathPrefix).Handler(messenger.NewServer(responder{loop: r.loop}).Handler())
	peer.PathPrefix("/").Handler(r.forward.PeerHandler())
	return handlers{
		caller: r.forward.CallerHandler(),
		peer:   peer,
		admin:  presenter.NewHandler(source{runner: r}, r.meter, time.Now),
	}
}

// serve serves all ports until shutdown; the error is that of a port which failed.
func (p *ports) serve(h handlers) error {
	p.callerServer.Handler = h.caller
	p.peerServer.Handler = h.peer
	p.adminServer.Handler = h.admin
	var group errgroup.Group
	group.Go(func() error { return serveOne(p.callerServer, p.caller) })
	group.Go(func() error { return serveOne(p.peerServer, p.peer) })
	group.Go(func() error { return serveOne(p.adminServer, p.admin) })
	return group.Wait()
}

func serveOne(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve "+listener.Addr().String())
}

// shutdown closes the ports once nothing is in flight on them.
func (p *ports) shutdown(ctx context.Context) error {
	for _, server := range []*http.Server{p.callerServer, p.peerServer, p.adminServer} {
		if err := server.Shutdown(ctx); err != nil {
			_ = server.Close()
		}
	}
	return nil
}
