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
	Domain  string // failure domain
	// Keyed makes the server execute requests only for keys that it owns.
	Keyed bool
	// Slots is the number of requests that run at once; values below 1 mean 1.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot. Further requests are rejected.
	QueueLimit int
	// HangsWhenFull makes the server leave requests that it can't queue without an answer instead of rejecting them.
	HangsWhenFull bool
	// MaxConnections is the maximum number of open connections; 0 is no limit.
	MaxConnections int
	// ConnectCost is the delay before the first read from a new connection.
	ConnectCost time.Duration
	// ServiceTime is the mean service time, without warm-up and faults.
	ServiceTime time.Duration
	// Jitter is the largest deviation of a service time from the mean, as a fraction of the mean from 0 to 1.
	Jitter float64
	// Seed is the seed of the random service times.
	Seed uint64
	// StartWarmup is the duration of the server warm-up, during which the server is cold: all executions are slower, and its
	// registration and its answers to health checks say how long that lasts.
	StartWarmup time.Duration
	// WarmupLimit is the number of requests that the server tolerates in any second while it is cold; 0 is no limit. Requests over
	// it are counted and served.
	WarmupLimit int
	// NamesLoad makes the server name its load in all answers but those to health checks and orders.
	NamesLoad bool
	// KeyWarmup is the duration of the key warm-up, during which keys that were granted without a handover are slower.
	KeyWarmup time.Duration
	// ColdFactor multiplies service times during a warm-up; values below 1 mean 1.
	ColdFactor float64
	// CrashOn makes the server call OnCrash, which must not return, when it begins to execute a request whose URI contains it.
	// Empty means that no request does that.
	CrashOn string
	OnCrash func()
	// OnExecution, if not nil, is called at the start and at the end of each execution. It is called with the server's
	// mutex locked, so that an execution is recorded before its answer can be sent, and must not call the server.
	OnExecution func(Execution)
}

// Counts are the numbers of requests that a Server executed and, by reason, rejected.
type Counts struct {
	Executed int            `json:"runs"`
	Rejected map[string]int `json:"rejected"`
	// MostCold is the largest number of requests that arrived within a second while the server was cold.
	MostCold int `json:"most_cold"`
	// OverWarmupLimit is the number of requests that arrived over ServerSettings.WarmupLimit.
	OverWarmupLimit int `json:"over_warmup_limit"`
}

// Server is the stand-in for a backend server. It implements platform.OrderReceiver. Use NewServer.
type Server struct {
	settings   ServerSettings
	started    time.Time
	faults     faultState[ServerFaults]
	handler    http.Handler
	slots      chan struct{}
	executions executions

	mu             sync.Mutex
	random         *rand.Rand
	leases         leaseTable
	state          cataloger.State
	waiting        int
	running        map[*job]bool
	sequence       int
	executionEnded chan struct{} // closed and replaced when an execution ends
	counts         Counts
	coldUntil      time.Time
	warmupFault    int64    // the fault WarmupMS that coldUntil contains
	coldArrivals   arrivals // while the server is cold
}

// NewServer returns a Server whose start time, and thus its incarnation, is started.
func NewServer(settings ServerSettings, started time.Time) *Server {
	settings.Slots = max(settings.Slots, 1)
	s := &Server{
		settings: settings, started: started, slots: make(chan struct{}, settings.Slots),
		random: rand.New(rand.NewPCG(settings.Seed, settings.Seed)), running: map[*job]bool{},
		executionEnded: make(chan struct{}), counts: Counts{Rejected: map[string]int{}}, coldUntil: started.Add(settings.StartWarmup),
	}
	s.faults.onChange = func(f ServerFaults) { s.setWarmup(time.Now(), f) }
	orders := platform.NewOrderHandler(s)
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/admin/faults", s.faults.serveAdmin).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/admin/counts", s.serveCounts).Methods(http.MethodGet)
	router.Handle("/health", s.withTarget(http.HandlerFunc(s.serveHealth))).Methods(http.MethodGet)
	router.PathPrefix("/-/").Handler(s.withTarget(s.withLateOrders(orders)))
	router.PathPrefix("/").HandlerFunc(s.serveRequest)
	s.handler = router
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults ServerFaults) { s.faults.set(faults) }

// Executions returns the executions that the server has started.
func (s *Server) Executions() []Execution { return s.executions.all() }

// StartDraining makes the server report that it is draining. It continues to serve requests.
func (s *Server) StartDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = cataloger.Draining
}

// Registration returns the record with which the server registers with the platform. The address is the one for requests.
func (s *Server) Registration(address string) cataloger.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return cataloger.Server{
		ID: s.settings.ID, Service: s.settings.Service, Address: address, Domain: s.settings.Domain, Slots: s.settings.Slots,
		State: s.state, Incarnation: s.started.UnixMilli(), WarmupLeft: s.warmupLeft(time.Now()),
	}
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, http.StatusOK, s.counts)
}

// withTarget wraps the handler of orders and health checks: those that are meant for another server get 421.
func (s *Server) withTarget(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if target := r.Header.Get(platform.HeaderTarget); target != "" && target != s.settings.ID {
			w.Header().Set(platform.HeaderServer, s.settings.ID)
			s.reject(w, http.StatusMisdirectedRequest, reasonTarget)
			return
		}
		handler.ServeHTTP(w, r)
	})
}

// serveHealth answers a health check: 200 if the server is ready and 503 if it is draining, or the reverse during the
// fault InvertHealthChecks. The answer has the server's id, and how long it stays cold.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(platform.HeaderServer, s.settings.ID)
	s.setWarmupHeader(time.Now(), w.Header())
	s.mu.Lock()
	healthy := s.state == cataloger.Ready
	s.mu.Unlock()
	if s.faults.get().InvertHealthChecks {
		healthy = !healthy
	}
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reject answers a request that was not executed and never will be, with the reason in platform.HeaderNotExecuted.
func (s *Server) reject(w http.ResponseWriter, status int, reason string) {
	s.mu.Lock()
	s.counts.Rejected[reason]++
	s.mu.Unlock()
	w.Header().Set(platform.HeaderNotExecuted, reason)
	s.setSignals(w.Header())
	writeJSON(w, status, errorBody{Message: reason})
}

// setSignals sets the headers of a server that is about to end, that limits its requests, or that names its load.
func (s *Server) setSignals(header http.Header) {
	s.setLoadHeader(header)
	if s.draining() {
		header.Set(platform.HeaderLeaving, platform.LeavingValue)
	}
	if limit := s.faults.get().Limit; limit != "" {
		header.Set(platform.HeaderLimit, limit)
	}
}

// serviceTime returns the service time of an execution that starts at now; inWarmup says that its key is in its
// warm-up.
func (s *Server) serviceTime(now time.Time, inWarmup bool) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	factor := 1 + s.settings.Jitter*(2*s.random.Float64()-1)
	if inWarmup || s.warmupLeft(now) > 0 {
		factor *= max(s.settings.ColdFactor, 1)
	}
	if slow := s.faults.get().SlowFactor; slow > 0 {
		factor *= slow
	}
	return time.Duration(factor * float64(s.settings.ServiceTime))
}

// signature returns the value of platform.HeaderSignature, which shows that the server itself sent the answer.
func (s *Server) signature(e Execution) string { return s.settings.ID + "." + strconv.Itoa(e.Sequence) }
