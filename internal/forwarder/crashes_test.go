package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// crashingServers are servers of the service "plain" that crash when they begin to execute a request whose URI contains
// "poison", and answer all others after a while.
type crashingServers struct {
	t       *testing.T
	servers []cataloger.Server
	latency time.Duration

	mu      sync.Mutex
	crashed int // servers that have crashed
}

func startCrashingServers(t *testing.T, count int, latency time.Duration) *crashingServers {
	s := &crashingServers{t: t, latency: latency}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		s.servers = append(s.servers, cataloger.Server{
			ID: fmt.Sprintf("c%02d", i), Service: "plain", Address: listener.Addr().String(), Domain: "d", Slots: 4,
		})
		go s.serve(&crashingServer{listener: listener})
	}
	return s
}

// crashingServer is one of crashingServers.
type crashingServer struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func (s *crashingServers) serve(server *crashingServer) {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.mu.Lock()
		server.conns = append(server.conns, conn)
		server.mu.Unlock()
		go s.serveConn(server, conn)
	}
}

func (s *crashingServers) serveConn(server *crashingServer, conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.Contains(r.RequestURI, "poison") {
			s.mu.Lock()
			s.crashed++
			s.mu.Unlock()
			_ = server.listener.Close()
			server.mu.Lock()
			for _, c := range server.conns {
				_ = c.Close()
			}
			server.mu.Unlock()
			return
		}
		time.Sleep(s.latency)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nhi", r.Header.Get("X-Id"))
	}
}

// newCrashingForwarder returns a Forwarder whose servers of the service "plain" are those.
func newCrashingForwarder(t *testing.T, s *crashingServers, members ...resolver.Member) *Forwarder {
	f := newForwarder(t, &scriptedServer{address: s.servers[0].Address})
	v := f.View()
	f.SetView(time.Now(), resolver.New(v.Self, v.Table, s.servers, v.Owners, members))
	return f
}

// sendFrom sends a request of a client.
func sendFrom(f http.Handler, client, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, nil)
	r.Host, r.RemoteAddr = "h", client+":1234"
	r.Header.Set("X-Id", "r1")
	r.Header.Set("X-Left", "1500")
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	return w
}

// TestEndedServerIsNoticed guards against operators who can't tell a server that ended under a request from one that only lost
// a connection.
func TestEndedServerIsNoticed(t *testing.T) {
	is := is.New(t)
	f := newCrashingForwarder(t, startCrashingServers(t, 1, 0))
	is.Equal(sendFrom(f, "10.0.0.1", "POST", "/once/poison").Code, http.StatusBadGateway)
	is.Equal(f.meter.Get(meter.ServersEnded), int64(1))
	f = newForwarder(t, startScriptedServer(t, "")) // closes the connection, and accepts others
	is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, http.StatusBadGateway)
	is.Equal(f.meter.Get(meter.ServersEnded), int64(0))
}
