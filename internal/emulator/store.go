// Package emulator holds the project's stand-ins for the platform's store and for backend servers, each as an
// http.Handler whose faults are switched at run time through POST /admin/faults.
package emulator

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/platform"
)

// StoreFaults are the switches of a Store.
type StoreFaults struct {
	// Outage answers every call with 503, also those of servers.
	Outage bool `json:"outage"`
	// Silent holds every call without an answer until it is switched off.
	Silent bool `json:"silent"`
	// DelayMS is added before each answer, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers breaks the connection after the effect of that many appends; -1 is all.
	LoseAnswers int `json:"lose_answers"`
}

// topic is the records of one topic, and the newest of each key.
type topic struct {
	first   int64
	records []platform.Record
	newest  map[string]platform.Record
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// registration is the entry of a backend server, which lapses without further heartbeats.
type registration struct {
	entry []byte
	until time.Time
}

// Store is the stand-in for the platform's store. It implements platform.Log. Use NewStore.
type Store struct {
	faults  switches[StoreFaults]
	handler http.Handler

	mu      sync.Mutex
	topics  map[string]*topic
	servers map[string]registration
	changed chan struct{} // closed at the next change
}

// NewStore returns an empty Store.
func NewStore() *Store {
	s := &Store{topics: map[string]*topic{}, servers: map[string]registration{}, changed: make(chan struct{})}
	s.faults.changed = func(StoreFaults) { s.wake() }
	router := mux.NewRouter()
	router.HandleFunc("/admin/faults", s.faults.serve).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/admin/forget", s.forget).Methods(http.MethodPost)
	router.HandleFunc("/admin/servers", s.heartbeat).Methods(http.MethodPost)
	router.PathPrefix("/").Handler(s.faulty(platform.NewLogHandler(s)))
	s.handler = router
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) { s.faults.set(faults) }

// faulty brings about the faults around calls.
func (s *Store) faulty(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.meet(w, r) {
			return
		}
		if r.Method == http.MethodPost && s.faults.take(func(f *StoreFaults) *int { return &f.LoseAnswers }) {
			calls.ServeHTTP(&heldAnswer{header: http.Header{}}, r)
			breakConnection()
		}
		answer := &heldAnswer{header: w.Header(), status: http.StatusOK}
		calls.ServeHTTP(answer, r)
		// A read that has waited is held up by an outage that began meanwhile.
		if !s.meet(w, r) {
			return
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes()) // a client that has gone asks again
	})
}

// heldAnswer keeps an answer until it is known whether it is to be sent.
type heldAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *heldAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *heldAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *heldAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }

// meet brings about the faults that come before an effect or an answer. It returns false when it has answered.
func (s *Store) meet(w http.ResponseWriter, r *http.Request) bool {
	for {
		changed := s.signal()
		faults := s.faults.get()
		switch {
		case !faults.Silent && faults.Outage:
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		case !faults.Silent:
			pause(r.Context(), time.Duration(faults.DelayMS)*time.Millisecond)
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			breakConnection()
		}
	}
}

func (s *Store) signal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// wake lets whoever waits look again.
func (s *Store) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeLocked()
}

func (s *Store) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// topic returns a topic, which is made on first use. The caller holds mu.
func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]platform.Record{}}
	}
	return s.topics[name]
}

// Append implements platform.Log.
func (s *Store) Append(_ context.Context, name, key string, value []byte, at int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at != platform.AnyOffset && at != t.end() {
		return 0, platform.NewErrConflict(t.end())
	}
	return s.appendLocked(t, key, value), nil
}

func (s *Store) appendLocked(t *topic, key string, value []byte) int64 {
	record := platform.Record{Key: key, Value: slices.Clone(value), Offset: t.end()}
	if len(value) == 0 {
		record.Value = nil
		delete(t.newest, key)
	} else {
		t.newest[key] = record
	}
	t.records = append(t.records, record)
	s.wakeLocked()
	return record.Offset
}

// Newest implements platform.Log.
func (s *Store) Newest(_ context.Context, name string) ([]platform.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var records []platform.Record
	for _, record := range t.newest {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b platform.Record) int { return int(a.Offset - b.Offset) })
	return records, t.end(), nil
}

// Changes implements platform.Log.
func (s *Store) Changes(
	ctx context.Context, name string, from int64, wait time.Duration,
) ([]platform.Record, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, next, changed, err := s.changes(name, from)
		if err != nil || len(records) > 0 {
			return records, next, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, next, nil
		case <-ctx.Done():
			return nil, next, ctx.Err()
		}
	}
}

func (s *Store) changes(name string, from int64) ([]platform.Record, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		return nil, 0, nil, platform.ErrExpired{}
	}
	if from >= t.end() {
		return nil, max(from, t.end()), s.changed, nil
	}
	return slices.Clone(t.records[from-t.first:]), t.end(), s.changed, nil
}

// forget drops the history of all topics; the newest record of each key stays.
func (s *Store) forget(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	for _, t := range s.topics {
		t.first, t.records = t.end(), nil
	}
	s.wakeLocked()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

// Heartbeat is the body of POST /admin/servers, by which a backend server registers. An entry that is empty is removed.
type Heartbeat struct {
	ID    string `json:"id"`
	Entry []byte `json:"entry"`
	TTLMS int64  `json:"ttl_ms"`
}

func (s *Store) heartbeat(w http.ResponseWriter, r *http.Request) {
	var beat Heartbeat
	if !decodeJSON(w, r, &beat) || !s.meet(w, r) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(platform.TopicServers)
	if known := s.servers[beat.ID]; !bytes.Equal(known.entry, beat.Entry) {
		s.appendLocked(t, beat.ID, beat.Entry)
	}
	delete(s.servers, beat.ID)
	if len(beat.Entry) > 0 {
		s.servers[beat.ID] = registration{entry: beat.Entry, until: now.Add(time.Duration(beat.TTLMS) * time.Millisecond)}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// expiryTick is how often a Store looks for servers that are silent.
const expiryTick = 100 * time.Millisecond

// Run removes the entries of servers that are silent, until ctx ends.
func (s *Store) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryTick)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			s.expire(now)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.servers {
		if now.After(r.until) {
			delete(s.servers, id)
			s.appendLocked(s.topic(platform.TopicServers), id, nil)
		}
	}
}
