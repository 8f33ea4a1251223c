package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	deskService  = "checklist-desk" // divided by key
	vaultService = "records-vault"
	keyCount     = 1 << 16
)

// serverSettings are the settings of a server.
type serverSettings struct {
	id, service, zone string
	slots, queue      int
	work              func() time.Duration
	workFor           func(path string) time.Duration // replaces work if it is not nil
	// sheds reports whether the next request is rejected although there is room.
	sheds func() bool
	// copiesAnswer reports whether a second copy of an answer comes late: where the next answer on its connection is due.
	copiesAnswer func(order bool) bool
}

// server stands in for a backend server. It follows the users' PROTOCOL page but for the faults in its settings.
type server struct {
	serverSettings
	ledger   *ledger
	store    string
	listener net.Listener
	born     time.Time
	stopped  chan struct{}
	once     sync.Once

	mu      sync.Mutex
	cut     bool // from the store
	waiting int
	tokens  chan struct{} // one for each slot in use
	conns   map[net.Conn]bool
}

// startServer starts a server and registers it.
func (c *cluster) startServer(settings serverSettings) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{
		serverSettings: settings, ledger: &c.ledger, store: c.address, listener: listener, born: time.Now(),
		stopped: make(chan struct{}), tokens: make(chan struct{}, settings.slots), conns: map[net.Conn]bool{},
	}
	c.servers = append(c.servers, s)
	c.record.line("server %s starts at %s", s.id, listener.Addr())
	go s.accept()
	go s.register()
	return s, nil
}

// register writes the registration at each interval.
func (s *server) register() {
	for {
		s.heartbeat(false)
		select {
		case <-s.stopped:
			s.heartbeat(true)
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat writes the registration to the store's stand-in, or removes it.
func (s *server) heartbeat(remove bool) {
	const expiryHeartbeats = 3
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	if cut {
		return
	}
	beat := emulator.Heartbeat{ID: s.id, TTLMS: expiryHeartbeats * heartbeatInterval.Milliseconds()}
	if !remove {
		registration, err := platform.EncodeServer(cataloger.Server{
			ID: s.id, Service: s.service, Address: s.listener.Addr().String(), Domain: s.zone, Slots: s.slots, State: cataloger.Ready,
			Incarnation: s.born.UnixMilli(),
		})
		if err != nil {
			return
		}
		beat.Registration = registration
	}
	data, err := json.Marshal(beat)
	if err != nil {
		return
	}
	answer, err := http.Post("http://"+s.store+"/admin/servers", "application/json", bytes.NewReader(data))
	if err == nil {
		_ = answer.Body.Close()
	}
}

// cutFromStore partitions the server from the store, or ends that. Requests and orders still reach the server.
func (s *server) cutFromStore(cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = cut
	s.ledger.record.line("server %s is partitioned from the store: %t", s.id, cut)
}

// stop ends the server.
func (s *server) stop() {
	s.once.Do(func() {
		close(s.stopped)
		_ = s.listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for conn := range s.conns {
			_ = conn.Close()
		}
		s.ledger.ended(s.id)
	})
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the requests of a connection one after the other. A late copy of an answer is written when the next request has
// arrived.
func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := readBody(r)
		if err != nil {
			return
		}
		if late != nil {
			s.ledger.record.line("server %s sends a late copy before it answers %s %s", s.id, r.URL.Path, r.Header.Get(platform.HeaderRequestID))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		order := r.Method == http.MethodPost && (r.URL.Path == "/-/grant" || r.URL.Path == "/-/release")
		var data []byte
		if order {
			data = s.answerOrder(r, body)
		} else {
			data = s.answerRequest(r)
		}
		if _, err := conn.Write(data); err != nil {
			return
		}
		if s.copiesAnswer != nil && s.copiesAnswer(order) {
			late = data
		}
	}
}

// encodeAnswer returns an answer as it is on the wire.
func encodeAnswer(status int, header http.Header, body string) []byte {
	var data bytes.Buffer
	fmt.Fprintf(&data, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&data) // a bytes.Buffer takes everything
	fmt.Fprintf(&data, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return data.Bytes()
}

// wireOrder is the body of a grant or a release.
type wireOrder struct {
	From   int    `json:"from"`
	Target int    `json:"target"`
	Fence  uint64 `json:"fence"`
	HoldMS int64  `json:"hold_ms"`
}

// answerOrder executes a grant or a release and returns the answer.
func (s *server) answerOrder(r *http.Request, body []byte) []byte {
	var o wireOrder
	if err := json.Unmarshal(body, &o); err != nil || o.From > o.Target || o.Target >= keyCount {
		return encodeAnswer(http.StatusBadRequest, http.Header{}, "")
	}
	if target := r.Header.Get(platform.HeaderTarget); target != "" && target != s.id {
		return encodeAnswer(http.StatusMisdirectedRequest, http.Header{platform.HeaderNotExecuted: {"1"}}, "")
	}
	if r.URL.Path == "/-/grant" {
		if !s.ledger.grant(s.id, o) {
			return encodeAnswer(http.StatusConflict, http.Header{}, "")
		}
		return encodeAnswer(http.StatusOK, http.Header{}, "")
	}
	handover := s.ledger.release(s.id, o)
	return encodeAnswer(http.StatusOK, http.Header{platform.HeaderHandover: {handover}}, "")
}

// answerRequest executes or rejects a request and returns the answer.
func (s *server) answerRequest(r *http.Request) []byte {
	id := r.Header.Get(platform.HeaderRequestID)
	header := http.Header{platform.HeaderRequestID: {id}}
	reject := func(status int, reason string) []byte {
		header.Set(platform.HeaderNotExecuted, "1")
		s.ledger.record.line("server %s rejects %s with %d: %s", s.id, id, status, reason)
		return encodeAnswer(status, header, "")
	}
	switch target := r.Header.Get(platform.HeaderTarget); {
	case r.URL.Path == "/health":
		return encodeAnswer(http.StatusOK, http.Header{"Wasabibank-Instance-Id": {s.id}}, "")
	case target != "" && target != s.id:
		return reject(http.StatusMisdirectedRequest, "another server")
	case id == "":
		return reject(http.StatusBadRequest, "no id")
	case s.sheds != nil && s.sheds():
		return reject(http.StatusServiceUnavailable, "sheds")
	case !s.acquireSlot():
		return reject(http.StatusServiceUnavailable, "full")
	}
	defer func() { <-s.tokens }()
	key := noKey
	if s.service == deskService {
		n, err := strconv.ParseUint(r.Header.Get(platform.HeaderKey), 10, 16)
		if err != nil {
			return reject(http.StatusMisdirectedRequest, "no key")
		}
		key = int(n)
	}
	run, ok := s.ledger.begin(s.id, id, key)
	if !ok {
		return reject(http.StatusMisdirectedRequest, "key not held")
	}
	if s.workFor != nil {
		time.Sleep(s.workFor(r.URL.Path))
	} else {
		time.Sleep(s.work())
	}
	s.ledger.end(run)
	header.Set(platform.HeaderSignature, s.id+"."+strconv.Itoa(run.number))
	return encodeAnswer(http.StatusOK, header, "done "+id)
}

// acquireSlot waits for a slot. It reports false if slots and queue are full.
func (s *server) acquireSlot() bool {
	s.mu.Lock()
	if len(s.tokens)+s.waiting >= s.slots+s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.tokens <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	return true
}

// readBody reads a body to its end, and returns its beginning: servers of this program use only the bodies of orders.
func readBody(r *http.Request) ([]byte, error) {
	const maxOrderBytes = 4 << 10
	body, err := io.ReadAll(io.LimitReader(r.Body, maxOrderBytes))
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, r.Body)
	return body, err
}
