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

	"go.uber.org/goleak"

	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// bundleText has one keyed service, desk, and one that is not, shelf; the %s are the addresses of their servers.
const bundleText = `
name: trial
version: 1
author: salma
approver: yusuf
signers:
  - {name: salma, public_key: 0znA/SFESdXbZGK7MP4cC3d4pC0d7iaewPezuNoAFdU=}
  - {name: yusuf, public_key: i3dNYHg1P7qEpbYgVSE+uqWzzkGodQYn9SslGJjcNKE=}
  - {name: noor, public_key: xzpPP/HEz5SjMObsUppIHQvRxL7qckzJfKR8xN0NY4Y=}
failure_domains: [d1]
caller_limits:
  - {caller: limited, rate: 0.01, burst: 1, concurrent: 0}
  - {caller: "*", rate: 1000000, burst: 1000000, concurrent: 0}
services:
  - name: desk
    keyed: true
    partitions: 4
    imbalance_bound: 1.1
    churn_budget: 1
    classes:
      - {name: order, match: [{method: POST, path: /orders}], idempotent: false, priority: 0, deadline: 30s, may_wait: false, retries: 0, retry_budget: 0, hedged: false, body_bytes: 1KiB}
      - {name: upload, match: [{method: PUT, path: /upload}], idempotent: false, priority: 0, deadline: 30s, may_wait: false, retries: 0, retry_budget: 0, hedged: false, body_bytes: 1MiB}
      - {name: special, match: [{method: GET, path: /special}], idempotent: false, priority: 0, deadline: 30s, may_wait: false, retries: 0, retry_budget: 0, hedged: false, body_bytes: 1KiB}
      - {name: read, match: [{method: GET, path: "/**"}, {method: HEAD, path: "/**"}], idempotent: true, priority: 1, deadline: 30s, may_wait: false, retries: 2, retry_budget: 0.5, hedged: false, body_bytes: 1KiB}
    server_defaults: {slots: 2, connections: 10, connect_time: 1ms, cold_start: 0s}
    servers:
      - {name: s1, failure_domain: d1, address: "%s", leaving: false}
  - name: shelf
    keyed: false
    classes:
      - {name: pull, match: [{method: GET, path: "/**"}], idempotent: true, priority: 0, deadline: 30s, may_wait: false, retries: 2, retry_budget: 0.5, hedged: false, body_bytes: 1KiB}
    server_defaults: {slots: 2, connections: 10, connect_time: 1ms, cold_start: 0s}
    servers:
      - {name: t1, failure_domain: d1, address: "%s", leaving: false}
      - {name: t2, failure_domain: d1, address: "%s", leaving: false}
`

// stateBound is how long a test waits for a state.
const stateBound = 20 * time.Second

// fakeServer is a backend server that counts what it executes.
type fakeServer struct {
	*httptest.Server
	executed atomic.Int64
	mu       sync.Mutex
	seen     []*http.Request
}

// newFakeServer starts a server; serve is called after a request was read whole and counted.
func newFakeServer(t testing.TB, serve http.HandlerFunc) *fakeServer {
	s := &fakeServer{}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.executed.Add(1)
		s.mu.Lock()
		s.seen = append(s.seen, r)
		s.mu.Unlock()
		serve(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

func (s *fakeServer) address() string { return strings.TrimPrefix(s.URL, "http://") }

// last returns the request seen last.
func (s *fakeServer) last() *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[len(s.seen)-1]
}

// recordingObserver keeps what it is told.
type recordingObserver struct {
	mu      sync.Mutex
	signals []Signal
}

func (o *recordingObserver) Observe(_ time.Time, s Signal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.signals = append(o.signals, s)
}

// ended returns the RequestEnded signals.
func (o *recordingObserver) ended() []RequestEnded {
	o.mu.Lock()
	defer o.mu.Unlock()
	var all []RequestEnded
	for _, s := range o.signals {
		if e, ok := s.(RequestEnded); ok {
			all = append(all, e)
		}
	}
	return all
}

// entry is one instance with both its ports.
type entry struct {
	*Forwarder
	table    *router.Table
	callers  *httptest.Server
	peers    *httptest.Server
	observer *recordingObserver
	cancels  chan string
}

// Cancel implements Canceller.
func (e *entry) Cancel(_ identifier.ServerName, _ string, id string) { e.cancels <- id }

// nextCancel returns the request id of the next cancel.
func (e *entry) nextCancel(t testing.TB) string {
	t.Helper()
	await(t, "a cancel", func() bool { return len(e.cancels) > 0 })
	return <-e.cancels
}

func (e *entry) peerAddress() string { return strings.TrimPrefix(e.peers.URL, "http://") }

func newEntry(t testing.TB, name identifier.InstanceID) *entry {
	e := &entry{table: &router.Table{}, observer: &recordingObserver{}, cancels: make(chan string, 100)}
	e.Forwarder = New(Options{Table: e.table, Self: name, Observer: e.observer, Canceller: e, Seed: 1})
	e.callers = httptest.NewServer(e.CallerHandler())
	e.peers = httptest.NewServer(e.PeerHandler())
	t.Cleanup(func() {
		e.callers.Close()
		e.peers.Close()
		e.CloseIdle()
	})
	return e
}

// cluster is two entries; a fronts all servers, b passes on to it.
type cluster struct {
	a, b   *entry
	bundle *bundler.Bundle
}

// newCluster has s1 for the desk and up to two servers for the shelf; nothing listens at those left out.
func newCluster(t testing.TB, s1 string, shelf ...string) *cluster {
	t.Helper()
	shelf = append(shelf, "127.0.0.1:1", "127.0.0.1:2")
	return newClusterOf(t, fmt.Sprintf(bundleText, s1, shelf[0], shelf[1]))
}

func newClusterOf(t testing.TB, text string) *cluster {
	t.Helper()
	bundle, err := bundler.Decode("trial.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{a: newEntry(t, "a"), b: newEntry(t, "b"), bundle: bundle}
	c.publish(1)
	c.permit(1)
	return c
}

// publish gives both entries the view in which a fronts all, with the partitions at epoch.
func (c *cluster) publish(epoch identifier.Epoch) {
	owners := make([]router.Owner, 4)
	for i := range owners {
		owners[i] = router.Owner{Server: "s1", Epoch: epoch}
	}
	for _, e := range []*entry{c.a, c.b} {
		front := router.NewFront("a", c.a.peerAddress(), 7)
		e.table.Publish(router.NewView(router.Picture{
			Offset: identifier.Offset(epoch),
			Self:   e.self,
			Bundle: c.bundle,
			Owners: map[identifier.ServiceName][]router.Owner{"desk": owners},
			Fronts: map[identifier.ServerName]router.Front{"s1": front, "t1": front, "t2": front},
		}))
	}
}

// permit lets a send, to the partitions at epoch.
func (c *cluster) permit(epoch identifier.Epoch) {
	partitions := map[identifier.PartitionID]identifier.Epoch{}
	for i := range identifier.PartitionIndex(4) {
		partitions[identifier.PartitionID{Service: "desk", Index: i}] = epoch
	}
	until := time.Now().Add(time.Hour)
	c.a.table.Gate("s1").SetPermit(router.NewPermit(7, until, partitions))
	c.a.table.Gate("t1").SetPermit(router.NewPermit(7, until, nil))
	c.a.table.Gate("t2").SetPermit(router.NewPermit(7, until, nil))
}

// send makes a request to e and returns the answer with its body read; err is that of reading.
func send(t testing.TB, e *entry, method, path string, body io.Reader, header ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, e.callers.URL+path, body)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := e.callers.Client().Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)
	return answer, string(text), err
}

// await waits until ok holds.
func await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(stateBound); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

// hijack writes text as the raw answer and closes the connection.
func hijack(w http.ResponseWriter, text string) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = buffered.WriteString(text)
	_ = buffered.Flush()
	_ = c.Close()
}

// rawSend writes text to the callers' port and returns the first line of the answer and the rest.
func rawSend(t testing.TB, e *entry, text string) (*http.Response, error) {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(e.callers.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return http.ReadResponse(bufio.NewReader(c), nil)
}

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
