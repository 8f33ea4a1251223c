// Package presenter is the admin API of an entry process: its JSON types, the handler that serves them, and the client
// that operators' commands use.
package presenter

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The paths of the admin API.
const (
	pathReady    = "/ready"
	pathStatus   = "/status"
	pathOwner    = "/owner"
	pathTimeline = "/timeline"
	pathMetrics  = "/metrics"
)

// Source is what an entry process shows of itself. Its methods are called from many goroutines.
type Source interface {
	// Ready reports whether the instance takes requests, and else why not, in snake case.
	Ready(now time.Time) (bool, string)
	// Status returns the whole status.
	Status(now time.Time) Status
	// Owner returns the owner of a key. The error is an ErrNotFound where the bundle has no such keyed service, and
	// any other error where the instance can't tell at present.
	Owner(service identifier.ServiceName, key string) (OwnerAnswer, error)
	// Timeline returns the events that the instance remembers.
	Timeline() tracer.Page
}

// ErrNotFound reports a question about something that the bundle in force does not have.
type ErrNotFound struct {
	what string
}

// NewErrNotFound returns an ErrNotFound; what names the thing that isn't there.
func NewErrNotFound(what string) ErrNotFound { return ErrNotFound{what: what} }

// Error implements error.
func (e ErrNotFound) Error() string { return "no such " + e.what }

// IsErrNotFound reports whether err is an ErrNotFound.
func IsErrNotFound(err error) bool {
	var missing ErrNotFound
	return errors.As(err, &missing)
}

// handler serves the admin API.
type handler struct {
	source Source
	now    func() time.Time
}

// NewHandler returns the handler of the admin API. metrics serves the counters; now gives the present time.
func NewHandler(source Source, metrics http.Handler, now func() time.Time) http.Handler {
	h := handler{source: source, now: now}
	router := mux.NewRouter()
	router.HandleFunc(pathReady, h.ready).Methods(http.MethodGet)
	router.HandleFunc(pathStatus, h.status).Methods(http.MethodGet)
	router.HandleFunc(pathOwner, h.owner).Methods(http.MethodGet)
	router.HandleFunc(pathTimeline, h.timeline).Methods(http.MethodGet)
	router.Handle(pathMetrics, metrics).Methods(http.MethodGet)
	return router
}

func (h handler) ready(w http.ResponseWriter, _ *http.Request) {
	ready, reason := h.source.Ready(h.now())
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	write(w, status, Readiness{Ready: ready, Reason: reason})
}

func (h handler) status(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, h.source.Status(h.now()))
}

func (h handler) owner(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if !query.Has("service") || !query.Has("key") {
		write(w, http.StatusBadRequest, Failure{Reason: "bad_request", Message: "service and key are required"})
		return
	}
	answer, err := h.source.Owner(identifier.ServiceName(query.Get("service")), query.Get("key"))
	switch {
	case IsErrNotFound(err):
		write(w, http.StatusNotFound, Failure{Reason: "not_found", Message: err.Error()})
	case err != nil:
		write(w, http.StatusServiceUnavailable, Failure{Reason: "not_known", Message: err.Error()})
	default:
		write(w, http.StatusOK, answer)
	}
}

func (h handler) timeline(w http.ResponseWriter, _ *http.Request) {
	write(w, http.StatusOK, h.source.Timeline())
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
