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
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// crashingServers are servers of the service "plain" that crash when they begin to execute a request whose URI or cookie
// contains "poison", and answer all others after a while.
type crashingServers struct {
	t       *testing.T
	servers []cataloger.Server
	latency time.Duration
	// listenerDelay is how long after its connections a server that crashes closes its listener. Zero means that it closes the
	// listener first.
	listenerDelay time.Duration

	mu       sync.Mutex
	crashed  int // servers that have crashed
	poisoned int // executions of requests that crash servers
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
		if strings.Contains(r.RequestURI+r.Header.Get("Cookie"), "poison") {
			s.mu.Lock()
			s.crashed++
			s.poisoned++
			s.mu.Unlock()
			if s.listenerDelay > 0 {
				server.closeConns()
				time.Sleep(s.listenerDelay)
			}
			_ = server.listener.Close()
			server.closeConns()
			return
		}
		time.Sleep(s.latency)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: %s\r\nContent-Length: 2\r\n\r\nhi", r.Header.Get("X-Id"))
	}
}

// closeConns closes all accepted connections.
func (s *crashingServer) closeConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

func (s *crashingServers) crashes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed
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
	return sendAs(f, "session=one", client, method, path)
}

// sendAs sends a request of a client with a cookie.
func sendAs(f http.Handler, cookie, client, method, path string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, nil)
	r.Host, r.RemoteAddr = "h", client+":1234"
	r.Header.Set("X-Id", "r1")
	r.Header.Set("X-Left", "1500")
	r.Header.Set("Cookie", cookie)
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

// TestLostPathIsNoCrash guards against requests that are barred because this instance is cut off from all servers while they run:
// their connections are reset and new ones refused, as if the servers had ended. What another writer has registered for a service
// that is not configured, and is still reached, proves nothing.
func TestLostPathIsNoCrash(t *testing.T) {
	foreign := startScriptedServer(t, answerOK)
	tests := map[string][]cataloger.Server{
		"servers alone":   nil,
		"a foreign entry": {{ID: "agent", Service: "metrics", Address: foreign.address, Domain: "d", Slots: 1}},
	}
	for name, others := range tests {
		t.Run(name, func(t *testing.T) { testLostPathIsNoCrash(t, others) })
	}
}

func testLostPathIsNoCrash(t *testing.T, others []cataloger.Server) {
	is := is.New(t)
	const requests = 4
	cut := make(chan struct{})
	var servers []cataloger.Server
	var running, closed sync.WaitGroup
	running.Add(requests)
	closed.Add(requests)
	for i := range requests {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		servers = append(servers, cataloger.Server{
			ID: fmt.Sprintf("c%02d", i), Service: "plain", Address: listener.Addr().String(), Domain: "d", Slots: 1,
		})
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				t.Error(err)
				return
			}
			_, _ = conn.Read(make([]byte, 1024))
			running.Done()
			<-cut
			_ = listener.Close()
			closed.Done()
			closed.Wait()
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}()
	}
	f := newCrashingForwarder(t, &crashingServers{servers: append(servers, others...)})
	var clients sync.WaitGroup
	for range requests {
		clients.Go(func() { sendFrom(f, "10.0.0.1", "POST", "/once/popular") })
	}
	running.Wait()
	close(cut)
	clients.Wait()
	is.Equal(f.meter.Get(meter.ServersEnded), int64(0))
	is.Equal(len(f.QuarantinedRequests()), 0)
}

// TestCrashOfLastServerCounts guards against a request that crashes all servers of a service, of which the last ones don't count
// because no other server of the service accepts connections.
func TestCrashOfLastServerCounts(t *testing.T) {
	is := is.New(t)
	crashing := startCrashingServers(t, 2, 0)
	other := startScriptedServer(t, answerOK)
	f := newCrashingForwarder(t, crashing)
	v := f.View()
	servers := append(crashing.servers, cataloger.Server{ID: "k", Service: "keyed", Address: other.address, Domain: "d", Slots: 2})
	f.SetView(time.Now(), resolver.New(v.Self, v.Table, servers, v.Owners, nil))
	for range 2 {
		sendFrom(f, "10.0.0.1", "POST", "/once/poison")
	}
	is.Equal(f.meter.Get(meter.ServersEnded), int64(2))
}

// TestCrashingRequestIsBarred guards against a request that is sent on and on although each server that executes it crashes.
func TestCrashingRequestIsBarred(t *testing.T) {
	for _, path := range []string{"/idempotent/poison", "/once/poison"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			servers := startCrashingServers(t, 12, 0)
			f := newCrashingForwarder(t, servers)
			for i := range 8 {
				sendFrom(f, fmt.Sprintf("10.0.0.%d", i), "POST", path)
			}
			is.Equal(servers.crashes(), 3)
			sent := time.Now()
			w := sendFrom(f, "10.0.0.1", "POST", path)
			is.Equal(w.Code, http.StatusServiceUnavailable)  // it has not been executed
			is.Equal(w.Header().Get("Retry-After"), "")      // coming back does not help
			is.True(time.Since(sent) < 100*time.Millisecond) // at once
			is.Equal(sendFrom(f, "10.0.0.1", "POST", "/once/x").Code, http.StatusOK)
			// Servers don't see from where it comes.
			is.Equal(sendFrom(f, "10.0.0.2", "POST", path).Code, http.StatusServiceUnavailable)
			is.Equal(servers.crashes(), 3)
			// No client has got an answer to it.
			is.Equal(sendAs(f, "session=other", "10.0.0.1", "POST", path).Code, http.StatusServiceUnavailable)
			is.Equal(servers.crashes(), 3)
		})
	}
}

// TestCrashCountsWhileListenerIsOpen guards against a request that is never barred because the connections of servers that crash
// under it end slightly before their listeners, and a server that still accepts a connection is taken to be alive.
func TestCrashCountsWhileListenerIsOpen(t *testing.T) {
	is := is.New(t)
	servers := startCrashingServers(t, 12, 0)
	servers.listenerDelay = 2 * time.Millisecond
	f := newCrashingForwarder(t, servers)
	for range 8 {
		sendFrom(f, "10.0.0.1", "POST", "/once/poison")
	}
	is.Equal(servers.crashes(), 3)
	is.Equal(f.meter.Get(meter.ServersEnded), int64(3))
}

// TestSuspectIsHeldBackAfterStart guards against an instance that has just started and sends a request to more servers although others
// know that it crashes them, and against requests that are held back once the instance has heard from a leader.
func TestSuspectIsHeldBackAfterStart(t *testing.T) {
	for name, test := range map[string]struct {
		known int // crashes of which the leader tells
		want  int // crashes of servers here
		code  int
	}{
		"others know of crashes": {known: 3, want: 1, code: http.StatusServiceUnavailable},
		"others know of nothing": {want: 2, code: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			servers := startCrashingServers(t, 12, 0)
			f := newCrashingForwarder(t, servers)
			f.BeginCatchup(time.Now())
			sendFrom(f, "10.0.0.1", "POST", "/once/poison")
			is.Equal(servers.crashes(), 1)
			answer := make(chan *httptest.ResponseRecorder, 1)
			go func() { answer <- sendFrom(f, "10.0.0.1", "POST", "/once/poison") }()
			time.Sleep(100 * time.Millisecond)
			is.Equal(servers.crashes(), 1)                                           // it waits
			is.Equal(sendFrom(f, "10.0.0.1", "POST", "/once/x").Code, http.StatusOK) // others don't
			now := time.Now()
			record := quarantiner.Record{
				Fingerprint: f.QuarantinedRequests()[0], Crashes: map[quarantiner.Crash]quarantiner.Sighting{},
			}
			for n := range test.known {
				record.Crashes[quarantiner.Crash{Server: "elsewhere", Incarnation: int64(n)}] = quarantiner.Sighting{At: now, Alone: true}
			}
			f.MergeQuarantine(now, record)
			f.StepCatchup(now, 0, 0)
			is.Equal((<-answer).Code, test.code)
			is.Equal(servers.crashes(), test.want)
		})
	}
}

// TestOtherClientsAreServed guards against clients that are barred from a popular page because it crashes servers for one client.
func TestOtherClientsAreServed(t *testing.T) {
	is := is.New(t)
	servers := startCrashingServers(t, 12, 0)
	f := newCrashingForwarder(t, servers)
	for range 6 {
		sendAs(f, "session=poison", "10.0.0.1", "POST", "/once/popular")
		is.Equal(sendAs(f, "session=one", "10.0.0.1", "POST", "/once/popular").Code, http.StatusOK)
	}
	is.Equal(servers.crashes(), 3)
}

// TestRequestsBesideCrashingOneAreServed guards against innocent requests that are barred because they ran on servers that a
// crashing request ended.
func TestRequestsBesideCrashingOneAreServed(t *testing.T) {
	is := is.New(t)
	servers := startCrashingServers(t, 40, 30*time.Millisecond)
	f := newCrashingForwarder(t, servers)
	var clients sync.WaitGroup
	var mu sync.Mutex
	unserved := map[string]int{}
	stop := time.Now().Add(2 * time.Second)
	for i := range 6 {
		clients.Go(func() { // innocent requests that come again and again
			path := fmt.Sprintf("/idempotent/%d", i)
			for time.Now().Before(stop) {
				if w := sendFrom(f, "10.0.0.1", "GET", path); w.Code != http.StatusOK {
					mu.Lock()
					unserved[path]++
					mu.Unlock()
				}
			}
		})
	}
	for i := range 4 {
		clients.Go(func() {
			for time.Now().Before(stop) {
				sendFrom(f, "10.0.0.1", "GET", fmt.Sprintf("/idempotent/poison%d", i))
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	is.True(servers.crashes() <= 4*5) // three for each, and those that were sent before the third was noticed
	for i := range 6 {
		is.Equal(sendFrom(f, "10.0.0.1", "GET", fmt.Sprintf("/idempotent/%d", i)).Code, http.StatusOK)
	}
}

// TestCrashesGoWithTheRequest guards against a request that crashes three servers for each pair of instances while there is no
// leader, and against what instances tell each other reaching servers or clients.
func TestCrashesGoWithTheRequest(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, answerOK)
	second := newForwarder(t, b)
	peer := httptest.NewServer(http.HandlerFunc(second.ServeHop))
	defer peer.Close()
	other := resolver.Member{Instance: "other", Domain: "d", Address: peer.Listener.Addr().String(), Capacity: 1 << 30}
	f := newForwarder(t, b, other)
	is.Equal(sendFrom(f, "10.0.0.1", "POST", "/once/x").Code, http.StatusOK)
	<-b.headers
	fingerprints := quarantiner.NewFingerprints("POST", "h", "/once/x", "session=one", nil)
	for n, noticedBy := range []*Forwarder{f, second} {
		req := &clientRequest{method: "POST", host: "h", uri: "/once/x", fingerprints: fingerprints, suspect: true}
		noticedBy.recordCrash(time.Now(), req, cataloger.Server{ID: "s,;%", Incarnation: int64(n)})
	}
	time.Sleep(5 * time.Millisecond) // times are passed on in milliseconds
	w := sendFrom(f, "10.0.0.1", "POST", "/once/x")
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Header().Get(headerCrashes), "")
	is.Equal((<-b.headers).Get(headerCrashes), "")
	for _, cleared := range []*Forwarder{f, second} {
		record, known := cleared.QuarantineRecord(fingerprints.Client)
		is.True(known)
		is.Equal(len(record.Crashes), 0) // the answer cleared it at both
	}
	var changes atomic.Int64
	for _, counted := range []*Forwarder{f, second} {
		counted.OnQuarantine(func(quarantiner.Fingerprint) { changes.Add(1) })
	}
	for range 20 { // what was cleared is no news
		is.Equal(sendFrom(f, "10.0.0.1", "POST", "/once/x").Code, http.StatusOK)
		time.Sleep(2 * time.Millisecond)
	}
	is.Equal(changes.Load(), int64(0))
	forwarded, sent := f.meter.Get(meter.RequestsForwarded), b.requests.Load()
	for n, noticedBy := range []*Forwarder{f, second, second} {
		req := &clientRequest{method: "POST", host: "h", uri: "/once/x", fingerprints: fingerprints, suspect: true}
		noticedBy.recordCrash(time.Now(), req, cataloger.Server{ID: "s,;%", Incarnation: int64(10 + n)})
	}
	w = sendFrom(f, "10.0.0.1", "POST", "/once/x")
	is.Equal(w.Code, http.StatusServiceUnavailable) // three together
	is.Equal(w.Header().Get("Retry-After"), "")
	is.Equal(f.meter.Get(meter.RequestsForwarded), forwarded+1)
	is.Equal(sendFrom(f, "10.0.0.1", "POST", "/once/x").Code, http.StatusServiceUnavailable)
	is.Equal(f.meter.Get(meter.RequestsForwarded), forwarded+1) // now it is refused on arrival
	is.Equal(b.requests.Load(), sent)
}

// TestNameOfAnyRequestCanBeSent guards against instances whose reports fail because a server has crashed under a request whose line is
// no UTF-8, or is long.
func TestNameOfAnyRequestCanBeSent(t *testing.T) {
	for name, uri := range map[string]string{
		"no UTF-8":            "/a\xff\xfe/b?secret",
		"long":                "/" + strings.Repeat("a", 60_000),
		"cut in a character":  "/" + strings.Repeat("ä", 60_000),
		"cut in no character": "/" + strings.Repeat("\xc3", 60_000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req := clientRequest{method: "GET", host: "h", uri: uri}
			is.True(len(req.name()) <= 3*maxRequestNameBytes) // a replacement has three bytes
			_, err := proto.Marshal(&herald.CrashRecord{Name: req.name()})
			is.NoErr(err)
		})
	}
}
