package runner

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/admitter"
	"github.com/wasabibank/wasabibank/internal/drainer"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/platform"
)

// hop is a request of another instance that can't be decoded, and message one for the control plane.
const (
	hop     = "GET / HTTP/1.1\r\nHost: h\r\nWasabibank-Hop: x\r\n\r\n"
	message = "POST /twirp/wasabibank.herald.Herald/None HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
)

// newTestRunner returns a Runner without a control loop.
func newTestRunner(gracePeriod time.Duration) *Runner {
	return New(platform.Settings{
		Instance: "a", Address: "127.0.0.1", MemoryMB: 1024, CPUShare: 1, LinkMbps: 100,
		Bounds: platform.Bounds{GracePeriod: gracePeriod},
	}, nil, &recorder.Ring{})
}

// serve starts a server with handler and returns the Drainer of its connections.
func serve(t *testing.T, handler http.Handler) *drainer.Drainer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	server := &http.Server{Handler: handler}
	d := drainer.New(listener, server)
	go func() { _ = server.Serve(d) }()
	t.Cleanup(func() { _ = server.Close() })
	return d
}

// peer is a connection of another instance.
type peer struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dialPeer(t *testing.T, d *drainer.Drainer) peer {
	t.Helper()
	conn, err := net.Dial("tcp", d.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.New(t).NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	return peer{t: t, conn: conn, in: bufio.NewReader(conn)}
}

func (p peer) send(text string) {
	_, err := io.WriteString(p.conn, text)
	is.New(p.t).NoErr(err)
}

// read reads an answer.
func (p peer) read() (*http.Response, error) {
	response, err := http.ReadResponse(p.in, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// TestLogDeadlineEndsBeforeGracePeriod guards against an instance that is killed because it waits for the output of its log.
func TestLogDeadlineEndsBeforeGracePeriod(t *testing.T) {
	is := is.New(t)
	r := newTestRunner(2 * time.Second)
	requested := time.Unix(1000, 0)
	want := requested.Add(1957 * time.Millisecond)
	is.Equal(r.LogDeadline(requested), want) // Run has ended with an error
	r.shutdown = admitter.NewPlan(requested, 2*time.Second)
	r.stopping.Store(true)
	is.Equal(r.LogDeadline(requested.Add(time.Second)), want)
}

// TestStoppingInstanceAsksPeersToClose guards against requests of other instances that are sent on a connection which the exit is
// about to close, so that these can't tell whether they have run.
func TestStoppingInstanceAsksPeersToClose(t *testing.T) {
	for name, request := range map[string]string{"hop": hop, "message": message} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRunner(6 * time.Second)
			p := dialPeer(t, serve(t, r.peerHandler()))
			p.send(request)
			response, err := p.read()
			is.NoErr(err)
			is.True(!response.Close)
			r.stopping.Store(true)
			p.send(request)
			response, err = p.read()
			is.NoErr(err)
			is.True(response.Close)
		})
	}
}

// TestIdlePeerConnectionsEndBeforeExit guards against connections of other instances that are reset because they are idle at the exit.
func TestIdlePeerConnectionsEndBeforeExit(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newTestRunner(3 * time.Second)
	peers := serve(t, r.peerHandler())
	idle := dialPeer(t, peers)
	idle.send(message)
	_, err := idle.read()
	is.NoErr(err)
	r.shutDown(serve(t, r.forwarder), peers)
	is.NoErr(idle.conn.SetReadDeadline(time.Now().Add(time.Second)))
	_, err = idle.in.ReadByte()
	is.Equal(err, io.EOF)
}

// TestExitWaitsForHopBeingRead guards against the exit of an instance that has received a part of another instance's request.
func TestExitWaitsForHopBeingRead(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := newTestRunner(4 * time.Second)
	clients, peers := serve(t, r.forwarder), serve(t, r.peerHandler())
	p := dialPeer(t, peers)
	p.send(hop[:20])
	exited := make(chan struct{})
	go func() {
		r.shutDown(clients, peers)
		close(exited)
	}()
	for { // until the exit waits for nothing else
		conn, err := net.Dial("tcp", clients.Addr().String())
		if err != nil {
			break
		}
		is.NoErr(conn.Close())
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	select {
	case <-exited:
		t.Fatal("exit before the hop was read")
	default:
	}
	p.send(hop[20:])
	response, err := p.read()
	is.NoErr(err)
	is.True(response.Close)
	is.NoErr(p.conn.Close())
	<-exited
}
