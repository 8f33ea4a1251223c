// Package emulator holds the project's stand-ins for the platform's store and for backend servers, each as an
// http.Handler whose faults are switched at run time through POST /admin/faults.
package emulator

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/platform"
)

// StoreFaults are the faults of a Store that can be switched at run time.
type StoreFaults struct {
	// Outage answers every call, including heartbeats of servers, with 503.
	Outage bool `json:"outage"`
	// Silent blocks every call, including heartbeats, until the fault is switched off.
	Silent bool `json:"silent"`
	// DelayMS is a delay in milliseconds, before the effect of a call and again before its answer. A heartbeat is delayed
	// once.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of appends that take effect and whose connection is closed without an answer; Unlimited is
	// all.
	LoseAnswers int `json:"lose_answers"`
}

// topic holds the history of a topic, as far as it was not dropped by POST /admin/forget, and the newest record of each key.
type topic struct {
	firstOffset int64 // offset of records[0], or of the next record if records is empty
	records     []platform.Record
	appended    []time.Time // when each of records was appended
	newest      map[string]platform.Record
	forgotten   map[string]platform.Record // the newest record of each key among those that were dropped
}

// nextOffset returns the offset of the next record.
func (t *topic) nextOffset() int64 { return t.firstOffset + int64(len(t.records)) }

// registration is the record of a backend server, which expires without further heartbeats.
type registration struct {
	value  []byte
	expiry time.Time
}

// Store is the stand-in for the platform's store. It implements platform.TopicStore. Use NewStore.
type Store struct {
	faults  faultState[StoreFaults]
	handler http.Handler

	mu      sync.Mutex
	era     uint64 // rises by one with each Restore
	topics  map[string]*topic
	servers map[string]registration
	changed chan struct{} // closed and replaced when records or faults change
}

// NewStore returns an empty Store.
func NewStore() *Store {
	s := &Store{era: 1, topics: map[string]*topic{}, servers: map[string]registration{}, changed: make(chan struct{})}
	s.faults.onChange = func(StoreFaults) { s.notify() }
	router := mux.NewRouter()
	router.HandleFunc("/admin/faults", s.faults.serveAdmin).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/admin/forget", s.serveForget).Methods(http.MethodPost)
	router.HandleFunc("/admin/restore", s.serveRestore).Methods(http.MethodPost)
	router.HandleFunc("/admin/servers", s.serveHeartbeat).Methods(http.MethodPost)
	router.PathPrefix("/").Handler(s.withFaults(platform.NewStoreHandler(s)))
	s.handler = router
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults StoreFaults) { s.faults.set(faults) }

// withFaults wraps the handler of the calls of platform.TopicStore with the faults.
func (s *Store) withFaults(calls http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.applyFaults(w, r) {
			return
		}
		if r.Method == http.MethodPost && s.faults.consume(func(f *StoreFaults) *int { return &f.LoseAnswers }) {
			calls.ServeHTTP(&bufferedAnswer{header: http.Header{}}, r)
			abortConnection()
		}
		answer := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
		calls.ServeHTTP(answer, r)
		// A fault that was switched on while a read waited for records applies to its answer, too.
		if !s.applyFaults(w, r) {
			return
		}
		w.WriteHeader(answer.status)
		_, _ = w.Write(answer.body.Bytes()) // a client that lost the connection retries
	})
}

// applyFaults applies the faults Silent, Outage and DelayMS before the effect of a call or before its answer. It returns
// false if it has answered the call.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	for {
		changed := s.changeChannel()
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
			abortConnection()
		}
	}
}

// changeChannel returns a channel that is closed at the next change of records or faults.
func (s *Store) changeChannel() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notify wakes all calls that wait for records or for the end of a fault.
func (s *Store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyLocked()
}

// notifyLocked is notify for a caller that holds mu.
func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// topic returns a topic and creates it on first use. The caller holds mu.
func (s *Store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{newest: map[string]platform.Record{}, forgotten: map[string]platform.Record{}}
	}
	return s.topics[name]
}

// Append implements platform.TopicStore.
func (s *Store) Append(
	_ context.Context, name, key string, value []byte, expectedOffset int64,
) (platform.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if expectedOffset != platform.AnyOffset && expectedOffset != t.nextOffset() {
		return platform.Position{Era: s.era}, platform.NewErrConflict(t.nextOffset())
	}
	return platform.Position{Era: s.era, Offset: s.appendLocked(time.Now(), t, key, value)}, nil
}

// appendLocked adds a record and returns its offset. An empty value removes the key. The caller holds mu.
func (s *Store) appendLocked(now time.Time, t *topic, key string, value []byte) int64 {
	record := platform.Record{Key: key, Value: slices.Clone(value), Offset: t.nextOffset()}
	if len(value) == 0 {
		record.Value = nil
	}
	setNewest(t.newest, record)
	t.records, t.appended = append(t.records, record), append(t.appended, now)
	s.notifyLocked()
	return record.Offset
}

// setNewest makes a record the newest one of its key. A record without a value removes the key.
func setNewest(newest map[string]platform.Record, record platform.Record) {
	if record.Value == nil {
		delete(newest, record.Key)
		return
	}
	newest[record.Key] = record
}

// Restore brings the store back from a copy that is as old as age: all records that were appended after that are lost,
// their offsets are given out again, and the era rises by one. Records dropped by POST /admin/forget are in the copy. The
// registrations of servers are as old; servers write theirs again with their next heartbeats.
func (s *Store) Restore(now time.Time, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	for _, t := range s.topics {
		t.truncate(now.Add(-age))
	}
	// A registration that the copy lacks counts as unknown, so that the next heartbeat adds its record again.
	registered := s.topic(platform.TopicServers).newest
	for id := range s.servers {
		delete(s.servers, id)
	}
	for id, record := range registered {
		s.servers[id] = registration{value: record.Value, expiry: now.Add(restoredTTL)}
	}
	s.notifyLocked()
}

// restoredTTL is how long the registrations in a copy last without a heartbeat.
const restoredTTL = 3 * time.Second

// truncate drops the records that were appended after a given time.
func (t *topic) truncate(latest time.Time) {
	kept := 0
	for kept < len(t.records) && !t.appended[kept].After(latest) {
		kept++
	}
	t.records, t.appended = t.records[:kept:kept], t.appended[:kept:kept]
	t.newest = maps.Clone(t.forgotten)
	for _, record := range t.records {
		setNewest(t.newest, record)
	}
}

// Newest implements platform.TopicStore. The records are in the order of their offsets.
func (s *Store) Newest(_ context.Context, name string) ([]platform.Record, platform.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var records []platform.Record
	for _, record := range t.newest {
		records = append(records, record)
	}
	slices.SortFunc(records, func(a, b platform.Record) int { return int(a.Offset - b.Offset) })
	return records, platform.Position{Era: s.era, Offset: t.nextOffset()}, nil
}

// Changes implements platform.TopicStore, but for the era of from, which it ignores.
func (s *Store) Changes(
	ctx context.Context, name string, from platform.Position, wait time.Duration,
) ([]platform.Record, platform.Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		records, next, changed, err := s.recordsFrom(name, from.Offset)
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

// recordsFrom returns the records of a topic from an offset on, the offset after them, and a channel that is closed at the
// next change.
func (s *Store) recordsFrom(
	name string, from int64,
) ([]platform.Record, platform.Position, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	next := platform.Position{Era: s.era, Offset: t.nextOffset()}
	if from < t.firstOffset || from > next.Offset {
		return nil, next, nil, platform.ErrExpired{}
	}
	return slices.Clone(t.records[from-t.firstOffset:]), next, s.changed, nil
}

// serveForget drops the records of all topics from the history. The newest record of each key remains.
func (s *Store) serveForget(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	for _, t := range s.topics {
		for _, record := range t.records {
			setNewest(t.forgotten, record)
		}
		t.firstOffset, t.records, t.appended = t.nextOffset(), nil, nil
	}
	s.notifyLocked()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

// serveRestore answers POST /admin/restore, whose body has the age of the copy.
func (s *Store) serveRestore(w http.ResponseWriter, r *http.Request) {
	var copied struct {
		AgeMS int64 `json:"age_ms"`
	}
	if !decodeAdminBody(w, r, &copied) {
		return
	}
	s.Restore(time.Now(), time.Duration(copied.AgeMS)*time.Millisecond)
	writeJSON(w, http.StatusOK, struct{}{})
}

// Heartbeat is the body of POST /admin/servers, with which a backend server registers. An empty Registration removes the
// server.
type Heartbeat struct {
	ID           string `json:"id"`
	Registration []byte `json:"entry"`
	// TTLMS is the time in milliseconds after which the registration expires without a further heartbeat.
	TTLMS int64 `json:"ttl_ms"`
}

// serveHeartbeat registers a server, renews its registration or removes it. Only a changed registration adds a record.
func (s *Store) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat Heartbeat
	if !decodeAdminBody(w, r, &heartbeat) || !s.applyFaults(w, r) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(platform.TopicServers)
	if known := s.servers[heartbeat.ID]; !bytes.Equal(known.value, heartbeat.Registration) {
		s.appendLocked(now, t, heartbeat.ID, heartbeat.Registration)
	}
	delete(s.servers, heartbeat.ID)
	if len(heartbeat.Registration) > 0 {
		s.servers[heartbeat.ID] = registration{
			value: heartbeat.Registration, expiry: now.Add(time.Duration(heartbeat.TTLMS) * time.Millisecond),
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// expiryInterval is the interval at which a Store removes expired registrations.
const expiryInterval = 100 * time.Millisecond

// RunExpiry removes the registrations of servers whose heartbeats stopped, until ctx is done. It serves no requests.
func (s *Store) RunExpiry(ctx context.Context) {
	ticker := time.NewTicker(expiryInterval)
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

// expire removes the registrations that have expired by now.
func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.servers {
		if now.After(r.expiry) {
			delete(s.servers, id)
			s.appendLocked(now, s.topic(platform.TopicServers), id, nil)
		}
	}
}
