package faker

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/internal/requester"
	"github.com/wasabibank/wasabibank/internal/tailer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// pageBytes bounds the records of one page, before encoding; a page holds at least one record.
	pageBytes = 8 << 20
	// appendBodyBytes bounds the encoded body of one append.
	appendBodyBytes = 2 * tailer.MaxAppendBytes
	maxReadWait     = time.Minute
)

// LogSettings are the settings of a Log.
type LogSettings struct {
	// RetainRecords is how many records are kept; 0 is all.
	RetainRecords int
	// RetainAge is how long a record is kept; 0 is for ever.
	RetainAge time.Duration
	Clock     Clock
}

// LogFaults are the switches of a Log.
type LogFaults struct {
	// Outage answers every request with 503.
	Outage bool `json:"outage"`
	// Silent holds every request without an answer until it is switched off.
	Silent bool `json:"silent"`
	// Delay is added before each answer, in milliseconds.
	Delay int64 `json:"delay_ms"`
	// LoseReplies breaks the connection after the effect of that many appends; -1 is all.
	LoseReplies int `json:"lose_replies"`
	// CutCallers are the processes, as they name themselves in Wasabibank-From, whose requests get no answer.
	CutCallers []string `json:"cut_callers"`
}

// storedRecord is one record together with the time of its append.
type storedRecord struct {
	data []byte
	at   time.Time
}

// Log is the stand-in for the platform's log. Use NewLog.
type Log struct {
	settings LogSettings
	faults   switches[LogFaults]
	handler  http.Handler

	mu      sync.Mutex
	first   identifier.Offset
	records []storedRecord
	changed chan struct{}
	closed  bool
}

// NewLog returns an empty Log.
func NewLog(settings LogSettings) *Log {
	l := &Log{settings: settings, changed: make(chan struct{})}
	l.faults.changed = func(LogFaults) { l.wake() }
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/admin/faults", l.faults.serve).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/admin/expire", l.expire).Methods(http.MethodPost)
	router.HandleFunc("/records", l.serveAppend).Methods(http.MethodPost)
	router.HandleFunc("/records", l.serveRead).Methods(http.MethodGet)
	l.handler = router
	return l
}

// ServeHTTP implements http.Handler.
func (l *Log) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.handler.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (l *Log) SetFaults(faults LogFaults) { l.faults.set(faults) }

// Close ends the reads that wait; a graceful stop calls it first.
func (l *Log) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wake()
}

// Append appends records, as an accepted POST does, and returns the offset of the first.
func (l *Log) Append(records [][]byte) identifier.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := l.next()
	now := l.settings.Clock.now()
	for _, data := range records {
		l.records = append(l.records, storedRecord{data: slices.Clone(data), at: now})
	}
	l.dropOld(now)
	l.wakeLocked()
	return first
}

// Expire drops the records below offset.
func (l *Log) Expire(offset identifier.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if offset > l.first {
		l.drop(int(min(offset, l.next()) - l.first))
	}
}

func (l *Log) next() identifier.Offset { return l.first + identifier.Offset(len(l.records)) }

func (l *Log) dropOld(now time.Time) {
	old := 0
	if keep := l.settings.RetainRecords; keep > 0 {
		old = max(0, len(l.records)-keep)
	}
	if age := l.settings.RetainAge; age > 0 {
		for old < len(l.records) && now.Sub(l.records[old].at) > age {
			old++
		}
	}
	l.drop(old)
}

func (l *Log) drop(count int) {
	l.records = slices.Clip(l.records[count:])
	l.first += identifier.Offset(count)
}

func (l *Log) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wakeLocked()
}

func (l *Log) wakeLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// meet brings about the faults that come before an effect. It returns false when it has answered.
func (l *Log) meet(w http.ResponseWriter, r *http.Request) bool {
	from := r.Header.Get(requester.HeaderFrom)
	for {
		changed, closed := l.signal()
		faults := l.faults.get()
		held := faults.Silent || slices.Contains(faults.CutCallers, from)
		if !held && faults.Outage {
			writeJSON(w, http.StatusServiceUnavailable, refusal{Message: "outage"})
			return false
		}
		if !held {
			l.settings.Clock.sleep(r.Context(), milliseconds(faults.Delay))
			return true
		}
		if closed {
			breakConnection()
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			breakConnection()
		}
	}
}

func (l *Log) signal() (<-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed, l.closed
}
