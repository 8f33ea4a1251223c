package surveyor

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/messenger"
	"github.com/wasabibank/wasabibank/internal/tailer"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/internal/translator"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// wireTimeout bounds one message over loopback.
const wireTimeout = 10 * time.Second

// wire carries the messages of control over loopback by the product's own clients, and counts every byte.
type wire struct {
	listener countingListener
	server   *http.Server
	peers    *messenger.Clients
	servers  *commander.Client
	log      *tailer.Client

	reply  *messenger.ExchangeReply
	answer commander.WireGrantAnswer
	page   tailer.Page
}

func newWire() (*wire, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen on loopback")
	}
	w := &wire{listener: countingListener{Listener: listener, bytes: &atomic.Int64{}}}
	routes := mux.NewRouter()
	routes.PathPrefix(messenger.PathPrefix).Handler(messenger.NewServer(w).Handler())
	routes.Path("/control/grant").HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		var grant commander.WireGrant
		w.respond(out, json.NewDecoder(r.Body).Decode(&grant), w.answer)
	})
	routes.Path("/records").HandlerFunc(func(out http.ResponseWriter, _ *http.Request) { w.respond(out, nil, w.page) })
	w.server = &http.Server{Handler: routes, ReadHeaderTimeout: wireTimeout}
	go func() { _ = w.server.Serve(w.listener) }()
	w.peers = messenger.NewClients(wireTimeout, nil)
	w.servers = commander.NewClient(commander.Timeouts{})
	w.log = tailer.NewNamedClient(w.address(), "survey")
	return w, nil
}

func (w *wire) address() string { return w.listener.Addr().String() }

func (w *wire) close() {
	w.peers.Close()
	w.log.Close()
	_ = w.server.Close()
}

func (w *wire) respond(out http.ResponseWriter, err error, answer any) {
	if err != nil {
		http.Error(out, err.Error(), http.StatusBadRequest)
		return
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(answer)
}

// RespondExchange implements messenger.Responder.
func (w *wire) RespondExchange(context.Context, *messenger.ExchangeRequest) (*messenger.ExchangeReply, error) {
	return w.reply, nil
}

// exchange carries one heartbeat.
func (w *wire) exchange(request controller.ExchangeRequest, reply controller.ExchangeReply) error {
	w.reply = translator.ReplyMessage(reply, sampleClock())
	ctx, cancel := context.WithTimeout(context.Background(), wireTimeout)
	defer cancel()
	_, err := w.peers.Exchange(ctx, w.address(), translator.RequestMessage(request, sampleClock()))
	return err
}

// grant carries one grant.
func (w *wire) grant(grant commander.Grant, answer commander.GrantAnswer) error {
	w.answer = commander.WireGrantAnswer{
		Accepted: answer.Accepted,
		Checks:   answer.Checks,
		Term:     answer.Term,
		Refused:  answer.Refused,
		Nonce:    answer.Nonce,
	}
	ctx, cancel := context.WithTimeout(context.Background(), wireTimeout)
	defer cancel()
	_, err := w.servers.Grant(ctx, w.address(), grant)
	return err
}

// read carries one read of the log that finds nothing new.
func (w *wire) read(next identifier.Offset) error {
	w.page = tailer.Page{Next: next, Records: []tailer.Record{}}
	ctx, cancel := context.WithTimeout(context.Background(), wireTimeout)
	defer cancel()
	_, err := w.log.Read(ctx, next, 1, 0)
	return err
}

// sampleClock is a reading of the hybrid clock of today's length.
func sampleClock() tracer.HybridTime { return tracer.HybridTime{WallMS: 1_800_000_000_000} }

// countingListener counts the bytes of all connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, bytes: l.bytes}, nil
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
