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

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// heldServer is a backend server that answers no request until release is called.
type heldServer struct {
	address string
	begun   atomic.Int64
	release func()
}

func startHeldServer(t *testing.T) *heldServer {
	t.Helper()
	open := make(chan struct{})
	s := &heldServer{release: sync.OnceFunc(func() { close(open) })}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.begun.Add(1)
		<-open
		w.Header().Set(testHeaders.Signature, "s")
		w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
		_, _ = io.WriteString(w, "hi")
	}))
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().String()
	return s
}

// state is what a configuration and the registrations say in TestNewViewCutsNoRequest.
type state struct {
	version     uint64
	routes      bool // whether there are routes
	service     string
	timeout     time.Duration
	bodyBytes   int64
	services    bool // whether there are services
	servers     bool // whether the servers are registered
	serverState cataloger.State
	owned       bool // whether the keys have their owner
}

// view returns the view of an instance for the state. The server is s for all services.
func (c state) view(s *heldServer) *resolver.View {
	var services []bundler.Service
	var routes []bundler.Route
	if c.services {
		services = []bundler.Service{{Name: "keyed", Keyed: true}, {Name: "plain"}, {Name: "other"}}
	}
	if c.routes {
		service := map[string]string{"keyed": "keyed", "plain": "plain"}
		for name := range service {
			if c.service != "" {
				service[name] = c.service
			}
			routes = append(routes, bundler.Route{
				Name: name, Host: "h", Prefix: "/" + name + "/", Timeout: c.timeout, Objective: time.Second, MaxAttempts: 1,
				Services: []bundler.WeightedService{{Service: service[name], Weight: int(c.version)}, {Service: "other", Weight: 0}},
			})
		}
	}
	var servers []cataloger.Server
	if c.servers {
		for _, service := range []string{"keyed", "plain", "other"} {
			servers = append(servers, cataloger.Server{
				ID: service, Service: service, Address: s.address, Domain: "d", Slots: 1, State: c.serverState,
			})
		}
	}
	var owners *partitioner.Map
	if c.owned {
		owners = owners.With(partitioner.Version{Term: 1, Sequence: c.version}, []partitioner.Segment{
			{Service: "keyed", Range: partitioner.Range{First: 0, Last: partitioner.MaxKey}, Server: "keyed"},
		})
	} else {
		owners = owners.With(partitioner.Version{Term: 1, Sequence: c.version}, []partitioner.Segment{
			{Service: "keyed", Range: partitioner.Range{First: 0, Last: partitioner.MaxKey}, Moving: true},
		})
	}
	table := matcher.NewTable(bundler.New(c.version, services, routes, bundler.Limits{HeaderBytes: 1000, BodyBytes: c.bodyBytes}))
	return resolver.New(resolver.Member{Instance: "self", Domain: "d"}, table, servers, owners, nil)
}

// TestNewViewCutsNoRequest guards against requests that get no answer because a new configuration, or what follows from it, comes
// while a server is at work on them, while they wait in a queue, or before their bodies are complete; and against slots that are lost.
func TestNewViewCutsNoRequest(t *testing.T) {
	first := state{version: 1, routes: true, timeout: 20 * time.Second, bodyBytes: 100, services: true, servers: true, owned: true}
	tests := map[string]struct {
		change  func(*state)
		refuses bool // requests that no server has may be refused
	}{
		"same":                           {change: func(*state) {}},
		"route dropped":                  {change: func(c *state) { c.routes = false }},
		"route moved":                    {change: func(c *state) { c.service = "other" }},
		"timeout lowered":                {change: func(c *state) { c.timeout = time.Millisecond }},
		"limits lowered":                 {change: func(c *state) { c.bodyBytes = 1 }},
		"service dropped":                {change: func(c *state) { c.routes, c.services = false, false }},
		"service dropped, keys released": {change: func(c *state) { c.routes, c.services, c.owned = false, false, false }, refuses: true},
		"keys released":                  {change: func(c *state) { c.owned = false }, refuses: true},
		"servers drain":                  {change: func(c *state) { c.serverState = cataloger.Draining }, refuses: true},
		"servers gone":                   {change: func(c *state) { c.serverState = cataloger.Gone }, refuses: true},
		"servers removed":                {change: func(c *state) { c.servers = false }, refuses: true},
		"all dropped": {change: func(c *state) {
			c.routes, c.services, c.servers, c.owned = false, false, false, false
		}, refuses: true},
	}
	for name, test := range tests {
		for _, times := range []int{1, 20} {
			for _, service := range []string{"keyed", "plain"} {
				t.Run(fmt.Sprintf("%s, %d times, %s", name, times, service), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					server := startHeldServer(t)
					f := New(testHeaders, limiter.New(limiter.Settings{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}), meter.New())
					f.SetView(time.Now(), first.view(server))
					front := httptest.NewServer(f)
					defer func() { // also if the test fails
						server.release()
						front.CloseClientConnections()
						front.Close()
					}()

					answers := make(chan int, 3)
					send := func() { answers <- sendRequestWithTimeLeft(f, 10*time.Second, "POST", "/"+service+"/x", "5", "").Code }
					go send()
					await(t, func() bool { return server.begun.Load() == 1 })
					go send()
					await(t, func() bool { _, waiting := f.RequestCounts(); return waiting == 1 })
					halfRead := sendHalf(t, front.Listener.Addr().String(), service)

					changed := first
					for i := range 2*times - 1 { // ends with the changed one
						next := first
						next.version = uint64(i + 2)
						if i%2 == 0 {
							test.change(&next)
						}
						changed = next
						f.SetView(time.Now(), changed.view(server))
						f.CloseUnused(map[string]bool{server.address: changed.servers})
					}
					time.Sleep(20 * time.Millisecond)
					is.Equal(server.begun.Load(), int64(1)) // the server's only slot is in use
					server.release()
					start := time.Now()
					got := map[int]int{<-answers: 1}
					got[<-answers]++
					got[halfRead(t)]++
					is.Equal(got[http.StatusOK]+got[http.StatusServiceUnavailable], 3)
					is.Equal(int64(got[http.StatusOK]), server.begun.Load()) // a request that a server has is answered, another one is not sent
					if !test.refuses {
						is.Equal(got[http.StatusOK], 3)
					}
					is.True(time.Since(start) < 5*time.Second) // none waits for its deadline
					await(t, func() bool { return !f.busy() })
					running, waiting := f.RequestCounts()
					is.Equal([]int{running, waiting}, []int{0, 0})

					changed = first
					changed.version = 100
					f.SetView(time.Now(), changed.view(server))
					for range 3 { // more than there are slots
						is.Equal(sendRequestWithTimeLeft(f, 10*time.Second, "POST", "/"+service+"/x", "5", "").Code, http.StatusOK)
					}
				})
			}
		}
	}
}

// sendHalf sends a request without the second half of its body. The function that it returns sends that, and returns the status of
// the answer.
func sendHalf(t *testing.T, address, service string) (sendRest func(t *testing.T) int) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	in := bufio.NewReader(connection)
	_, err = fmt.Fprintf(connection, "POST /%s/x HTTP/1.1\r\nHost: h\r\nX-Id: half\r\nX-Left: 10000\r\nX-Key: 5\r\n"+
		"Expect: 100-continue\r\nContent-Length: 40\r\n\r\n", service)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // 100 Continue, sent once the route is known and the body is read, and an empty line
		if _, err := in.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := io.WriteString(connection, strings.Repeat("a", 20)); err != nil {
		t.Fatal(err)
	}
	return func(t *testing.T) int {
		t.Helper()
		if _, err := io.WriteString(connection, strings.Repeat("b", 20)); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		if err != nil || response.StatusCode == http.StatusOK && string(body) != "hi" {
			t.Fatalf("body %q, error %v", body, err)
		}
		return response.StatusCode
	}
}
