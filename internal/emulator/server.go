package emulator

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/platform"
)

// ServerSettings are the settings of a Server.
type ServerSettings struct {
	ID      string
	Service string
	Domain  string
	// Keyed says that the server runs requests only for keys that it was granted.
	Keyed bool
	// Slots is how many requests run at once; 0 is one.
	Slots int
	// QueueLimit is how many requests may wait for a slot; one more is turned away.
	QueueLimit int
	// HangsWhenFull never answers a request that it can't queue, in place of turning it away.
	HangsWhenFull bool
	// MaxConnections bounds the open connections; 0 is no bound.
	MaxConnections int
	// ConnectCost is the time that a new connection takes before its first request is read.
	ConnectCost time.Duration
	// ServiceTime is the mean time of one execution.
	ServiceTime time.Duration
	// Jitter is the largest share by which a service time differs from the mean, from 0 to 1.
	Jitter float64
	Seed   uint64
	// StartWarmup is how long after the start executions are slower.
	StartWarmup time.Duration
	// KeyWarmup is how long keys that came without their handover are slower.
	KeyWarmup time.Duration
	// ColdFactor multiplies the service time during a warm-up; 0 is 1.
	ColdFactor float64
	// OnExecution is called with each execution at its start and its end; nil is nothing.
	OnExecution func(Execution)
}

// Counts are how often a Server ran a request and turned one away, by reason.
type Counts struct {
	Runs     int            `json:"runs"`
	Rejected map[string]int `json:"rejected"`
}

// Server is the stand-in for a backend server. Use NewServer.
type Server struct {
	settings   ServerSettings
	born       time.Time
	faults     switches[ServerFaults]
	handler    http.Handler
	slots      chan struct{}
	executions executions

	mu       sync.Mutex
	random   *rand.Rand
	keys     keys
	state    cataloger.State
	waiting  int
	running  map[*work]bool
	sequence int
	changed  chan struct{} // closed when something that ran has ended
	counts   Counts
}

// NewServer returns a Server that started at born.
func NewServer(settings ServerSettings, born time.Time) *Server {
	settings.Slots = max(settings.Slots, 1)
	s := &Server{
		settings: settings, born: born, slots: make(chan struct{}, settings.Slots),
		random: rand.New(rand.NewPCG(settings.Seed, settings.Seed)), running: map[*work]bool{},
		changed: make(chan struct{}), counts: Counts{Rejected: map[string]int{}},
	}
	orders := platform.NewOrderHandler(s)
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/admin/faults", s.faults.serve).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/admin/counts", s.serveCounts).Methods(http.MethodGet)
	router.HandleFunc("/health", s.serveHealth).Methods(http.MethodGet)
	router.PathPrefix("/-/").Handler(s.lateOrders(orders))
	router.PathPrefix("/").HandlerFunc(s.serveData)
	s.handler = router
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults ServerFaults) { s.faults.set(faults) }

// Executions returns what the server has begun to run.
func (s *Server) Executions() []Execution { return s.executions.all() }

// Drain makes the server say that it is leaving; it serves on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = cataloger.Draining
}

// Entry returns how the server registers with the platform, at the address at which it is reached.
func (s *Server) Entry(address string) cataloger.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cataloger.Server{
		ID: s.settings.ID, Service: s.settings.Service, Address: address, Domain: s.settings.Domain, Slots: s.settings.Slots,
		State: s.state, Incarnation: s.born.UnixMilli(),
	}
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.counts)
}

// serveHealth tells whether the server is healthy, or what the fault says.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	healthy := s.state == cataloger.Ready
	s.mu.Unlock()
	if s.faults.get().InvertHealthChecks {
		healthy = !healthy
	}
	w.Header().Set(headerInstance, s.settings.ID)
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// headerInstance names the server in answers to health checks.
const headerInstance = "Wasabibank-Instance-Id"

// reject answers that the request was not run and never will be.
func (s *Server) reject(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.counts.Rejected[reason]++
	s.mu.Unlock()
	w.Header().Set(platform.HeaderNotRun, reason)
	writeJSON(w, status, refusal{Message: reason})
}

// serviceTime returns how long an execution takes that begins now.
func (s *Server) serviceTime(now time.Time, cold bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1 + s.settings.Jitter*(2*s.random.Float64()-1)
	if cold || now.Sub(s.born) < s.settings.StartWarmup {
		factor *= max(s.settings.ColdFactor, 1)
	}
	if slow := s.faults.get().SlowFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(factor * float64(s.settings.ServiceTime))
}

// signature returns what marks an answer as the server's own.
func (s *Server) signature(e Execution) string { return s.settings.ID + "." + strconv.Itoa(e.Sequence) }
