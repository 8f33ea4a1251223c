package faker

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabibank/wasabibank/internal/lister"
)

// RosterSettings are the settings of a Roster.
type RosterSettings struct {
	// Lag is how far the list that is shown stays behind.
	Lag   time.Duration
	Clock Clock
}

// RosterFaults are the switches of a Roster.
type RosterFaults struct {
	// Outage answers every request with 503.
	Outage bool `json:"outage"`
	// Frozen shows the list as it was when this was switched on.
	Frozen bool `json:"frozen"`
	// Lag is added to the lag of the settings, in milliseconds.
	Lag int64 `json:"lag_ms"`
	// Hidden are the names of instances that are left out.
	Hidden []string `json:"hidden"`
}

// listing is the list from a time on.
type listing struct {
	at        time.Time
	instances []lister.Instance
}

// Roster is the stand-in for the platform's instance list. POST /admin/instances, with the form that GET /instances
// answers, replaces what is true; GET /instances shows what was true some time ago. Use NewRoster.
type Roster struct {
	settings RosterSettings
	faults   switches[RosterFaults]
	handler  http.Handler

	mu       sync.Mutex
	history  []listing
	frozenAt time.Time
}

// NewRoster returns a Roster without instances.
func NewRoster(settings RosterSettings) *Roster {
	s := &Roster{settings: settings}
	s.faults.changed = s.noteFreeze
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/admin/faults", s.faults.serve).Methods(http.MethodGet, http.MethodPost)
	router.HandleFunc("/admin/instances", s.replace).Methods(http.MethodPost)
	router.HandleFunc("/instances", s.list).Methods(http.MethodGet)
	s.handler = router
	return s
}

// ServeHTTP implements http.Handler.
func (s *Roster) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Roster) SetFaults(faults RosterFaults) { s.faults.set(faults) }

// SetInstances replaces what is true from now on.
func (s *Roster) SetInstances(instances []lister.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, listing{at: s.settings.Clock.now(), instances: slices.Clone(instances)})
}

func (s *Roster) noteFreeze(faults RosterFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !faults.Frozen {
		s.frozenAt = time.Time{}
	} else if s.frozenAt.IsZero() {
		s.frozenAt = s.settings.Clock.now()
	}
}

func (s *Roster) replace(w http.ResponseWriter, r *http.Request) {
	var request lister.ListAnswer
	if !decodeJSON(w, r, &request) {
		return
	}
	s.SetInstances(request.Instances)
	writeJSON(w, http.StatusOK, request)
}

func (s *Roster) list(w http.ResponseWriter, _ *http.Request) {
	faults := s.faults.get()
	if faults.Outage {
		writeJSON(w, http.StatusServiceUnavailable, refusal{Message: "outage"})
		return
	}
	shown := []lister.Instance{}
	for _, instance := range s.shown(faults) {
		if !slices.Contains(faults.Hidden, instance.Name) {
			shown = append(shown, instance)
		}
	}
	writeJSON(w, http.StatusOK, lister.ListAnswer{Instances: shown})
}

func (s *Roster) shown(faults RosterFaults) []lister.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.settings.Clock.now()
	if !s.frozenAt.IsZero() {
		at = s.frozenAt
	}
	at = at.Add(-s.settings.Lag - milliseconds(faults.Lag))
	for _, l := range slices.Backward(s.history) {
		if !l.at.After(at) {
			return l.instances
		}
	}
	return nil
}
