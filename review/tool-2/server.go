package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/platform"
)

// server is a stand-in of a backend server behind a link.
type server struct {
	id       string
	standin  *emulator.Server
	link     *link
	http     *http.Server
	record   *record
	holdings *holdings
}

// order is the body of a grant or a release.
type order struct {
	From   uint16 `json:"from"`
	Target uint16 `json:"target"`
	Fence  uint64 `json:"fence"`
}

// addServer adds a backend server and registers it.
func (c *cluster) addServer(settings emulator.ServerSettings, h *holdings) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &server{id: settings.ID, record: c.record, holdings: h}
	settings.OnExecution = func(e emulator.Execution) {
		if e.End.IsZero() {
			c.record.write(e.Start, "%s runs %s, key %d, fence %d", s.id, e.RequestID, e.Key, e.Fence)
		}
	}
	s.standin = emulator.NewServer(settings, time.Now())
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(s.standin.LimitConnections(listener)) }() // ends with close
	s.link, err = newLink(listener.Addr().String())
	if err != nil {
		return err
	}
	c.servers = append(c.servers, s)
	go emulator.NewRegistrar(s.standin, c.storeAddress, s.link.address(), heartbeat).Run(c.context)
	return nil
}

func (s *server) close() {
	s.link.close()
	_ = s.http.Close()
}

// ServeHTTP implements http.Handler. It records orders and their outcome.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/grant" && r.URL.Path != "/-/release" {
		s.standin.ServeHTTP(w, r)
		return
	}
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o order
	if err := json.Unmarshal(body, &o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	answer := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	s.holdings.mu.Lock() // so that the order of the records is that of the grants; a release may take long
	if r.URL.Path == "/-/grant" {
		s.standin.ServeHTTP(answer, r)
		s.record.write(arrived, "%s answers the grant of %d-%d with fence %d: %d", s.id, o.From, o.Target, o.Fence, answer.status)
		if answer.status == http.StatusOK {
			s.holdings.granted(arrived, s.id, o, s.link.healedAt())
		}
		s.holdings.mu.Unlock()
		return
	}
	s.holdings.mu.Unlock()
	s.standin.ServeHTTP(answer, r)
	s.record.write(time.Now(), "%s answers the release of %d-%d with fence %d: %d, %s", s.id, o.From, o.Target, o.Fence, answer.status,
		w.Header().Get(platform.HeaderHandover))
}

// statusWriter keeps the status of an answer.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// thawSlack is how long after a link has healed a grant that arrives over it does not count.
const thawSlack = 300 * time.Millisecond

// holdings judges by the rule of rising fences: a server must not take a key with a fence that is not above all with which other servers
// have had it.
type holdings struct {
	mu     sync.Mutex
	keys   [1 << 16]holding
	broken []string
}

// holding is the highest fence with which a server has had a key.
type holding struct {
	server string
	fence  uint64
}

// granted records a grant that a server has accepted. The caller holds mu.
func (h *holdings) granted(at time.Time, server string, o order, healed time.Time) {
	counts := healed.IsZero() || at.Sub(healed) > thawSlack
	told := false
	for key := int(o.From); key <= int(o.Target); key++ {
		had := &h.keys[key]
		if had.server != server && had.fence >= o.Fence {
			if counts && !told {
				h.broken = append(h.broken, fmt.Sprintf("OWNER: %s takes key %d with fence %d, %v after its link has healed; %s had it with fence %d",
					server, key, o.Fence, at.Sub(healed).Round(time.Millisecond), had.server, had.fence))
				told = true
			}
			continue
		}
		if o.Fence > had.fence {
			*had = holding{server: server, fence: o.Fence}
		}
	}
}

// busiest returns the server that was the last to get most of the keys.
func (h *holdings) busiest() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	counts := map[string]int{}
	best := ""
	for _, k := range h.keys {
		counts[k.server]++
		if counts[k.server] > counts[best] {
			best = k.server
		}
	}
	return best
}

func (h *holdings) result() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.broken
}
