package faker

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// ServerSettings are the settings of a Server.
type ServerSettings struct {
	Name identifier.ServerName
	// Run tells this run of the server apart from others in the execution log.
	Run string
	// Slots is how many requests execute at once; 0 is one.
	Slots int
	// QueueBound is how many requests may wait for a slot; one more is shed.
	QueueBound int
	// Connections bounds the open connections; 0 is no bound.
	Connections int
	// ConnectCost is the time that a new connection takes before its first request is read.
	ConnectCost time.Duration
	// ServiceTime is the mean time of one execution.
	ServiceTime time.Duration
	// Jitter is the largest share by which a service time differs from the mean, from 0 to 1.
	Jitter float64
	Seed   uint64
	// ColdStart is how long after the start executions are slower.
	ColdStart time.Duration
	// ColdFactor multiplies the service time at the start and falls to 1 by the end of ColdStart.
	ColdFactor float64
	Clock      Clock
	// Collect receives each execution before and after its effect; nil is nobody.
	Collect func(Execution)
}

// Counts are how often a Server refused, by reason, and how often it executed.
type Counts struct {
	Effects int                       `json:"effects"`
	Refused map[commander.Refusal]int `json:"refused"`
}

// Server is the stand-in for a backend server. Use NewServer.
type Server struct {
	settings ServerSettings
	faults   switches[ServerFaults]
	freezer  freezer
	journal  journal
	handler  http.Handler
	slots    chan struct{}
	started  time.Time

	mu       sync.Mutex
	random   *rand.Rand
	fence    fence
	nonces   nonces
	draining bool
	jobs     map[*job]bool
	changed  chan struct{}
	counts   Counts
}

// NewServer returns a Server that starts at the present time of its clock.
func NewServer(settings ServerSettings) *Server {
	settings.Slots = max(settings.Slots, 1)
	s := &Server{
		settings: settings,
		slots:    make(chan struct{}, settings.Slots),
		started:  settings.Clock.now(),
		random:   rand.New(rand.NewPCG(settings.Seed, settings.Seed)),
		jobs:     map[*job]bool{},
		changed:  make(chan struct{}),
		counts:   Counts{Refused: map[commander.Refusal]int{}},
	}
	s.faults.changed = func(f ServerFaults) { s.freezer.set(f.Frozen) }
	s.handler = s.routes()
	return s
}

func (s *Server) routes() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/admin/faults", s.faults.serve).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/admin/executions", s.serveExecutions).Methods(http.MethodGet)
	router.HandleFunc("/admin/counts", s.serveCounts).Methods(http.MethodGet)
	router.HandleFunc("/control/grant", s.serveGrant).Methods(http.MethodPost)
	router.HandleFunc("/control/revoke", s.serveRevoke).Methods(http.MethodPost)
	router.HandleFunc("/control/drain", s.serveDrain).Methods(http.MethodPost)
	router.HandleFunc("/control/cancel", s.serveCancel).Methods(http.MethodPost)
	router.HandleFunc("/health", s.serveHealth).Methods(http.MethodGet)
	router.HandleFunc("/load", s.serveLoad).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(s.serveData)
	router.MethodNotAllowedHandler = http.HandlerFunc(s.serveData)
	return router
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults ServerFaults) { s.faults.set(faults) }

// Executions returns the executions from the given position on, at most 10,000.
func (s *Server) Executions(from int) ExecutionPage { return s.journal.page(from) }

// GetCounts returns the present counts.
func (s *Server) GetCounts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{Effects: s.counts.Effects, Refused: map[commander.Refusal]int{}}
	for refusal, n := range s.counts.Refused {
		counts.Refused[refusal] = n
	}
	return counts
}

func (s *Server) serveExecutions(w http.ResponseWriter, r *http.Request) {
	from, err := parseOptional(r.URL.Query().Get("from"), 0)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Message: "from is a whole number"})
		return
	}
	writeJSON(w, http.StatusOK, s.journal.page(int(from)))
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.GetCounts())
}

// wakeLocked tells those who wait on the jobs that they have changed.
func (s *Server) wakeLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serviceTime draws the time of one execution.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	jitter := 1 + s.settings.Jitter*(2*s.random.Float64()-1)
	s.mu.Unlock()
	factor := jitter * s.coldFactor()
	if slow := s.faults.get().SlowFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(float64(s.settings.ServiceTime) * factor)
}

func (s *Server) coldFactor() float64 {
	left := s.settings.ColdStart - s.settings.Clock.now().Sub(s.started)
	if left <= 0 || s.settings.ColdFactor <= 1 {
		return 1
	}
	return 1 + (s.settings.ColdFactor-1)*float64(left)/float64(s.settings.ColdStart)
}

// collect hands e to the collector.
func (s *Server) collect(e Execution) {
	if s.settings.Collect != nil {
		s.settings.Collect(e)
	}
}

// pause waits for d, or until the job is cancelled, and then for the end of a freeze.
func (s *Server) pause(ctx context.Context, d time.Duration) {
	s.settings.Clock.sleep(ctx, d)
	s.freezer.wait()
}

func headerNumber(r *http.Request, name string) (uint64, bool) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, true
	}
	value, err := strconv.ParseUint(text, 10, 63)
	return value, err == nil
}
