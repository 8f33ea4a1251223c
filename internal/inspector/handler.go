// Package inspector implements the read-only admin API of an entry instance: its JSON types, the HTTP handler that serves
// them, and the client that the operators' commands use.
package inspector

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/recorder"
)

// The paths of the admin API.
const (
	pathStatus   = "/status"
	pathOwner    = "/owner"
	pathTimeline = "/timeline"
	pathMetrics  = "/metrics"
)

// statusTimeout bounds the wait for the status, which the control loop provides: a busy loop may answer late.
const statusTimeout = 2 * time.Second

// Source provides the data that the admin API of an entry instance serves. Its methods must be safe for concurrent use.
type Source interface {
	// Status returns the status of the instance. The error says that ctx ended before the control loop answered.
	Status(ctx context.Context) (Status, error)
	// Owner returns the owner of a key. The error is an ErrNotFound if there is no such keyed service, and another one if the
	// instance has no configuration yet.
	Owner(service string, key uint16) (OwnerAnswer, error)
	// Timeline returns the events that the instance has recorded, which are one part of a recorder.Timeline.
	Timeline() recorder.InstanceEvents
}

// ErrNotFound reports that the applied configuration does not contain what was asked for.
type ErrNotFound struct{ what string }

// NewErrNotFound returns an ErrNotFound; what names the missing item.
func NewErrNotFound(what string) ErrNotFound { return ErrNotFound{what: what} }

// Error implements error.
func (e ErrNotFound) Error() string { return "no such " + e.what }

// IsErrNotFound reports whether err is an ErrNotFound.
func IsErrNotFound(err error) bool {
	var notFound ErrNotFound
	return errors.As(err, &notFound)
}

// handler serves the admin API.
type handler struct{ source Source }

// NewHandler returns the handler of the admin API; metrics handles GET /metrics.
func NewHandler(source Source, metrics http.Handler) http.Handler {
	h := handler{source: source}
	router := mux.NewRouter()
	router.HandleFunc(pathStatus, h.serveStatus).Methods(http.MethodGet)
	router.HandleFunc(pathOwner, h.serveOwner).Methods(http.MethodGet)
	router.HandleFunc(pathTimeline, h.serveTimeline).Methods(http.MethodGet)
	router.Handle(pathMetrics, metrics).Methods(http.MethodGet)
	return router
}

func (h handler) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	status, err := h.source.Status(ctx)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ErrorAnswer{Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func (h handler) serveOwner(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key, err := strconv.ParseUint(query.Get("key"), 10, 16)
	if err != nil || !query.Has("service") {
		writeJSON(w, http.StatusBadRequest, ErrorAnswer{
			Message: "service and key are required; a key is a number from 0 to 65535",
		})
		return
	}
	answer, err := h.source.Owner(query.Get("service"), uint16(key))
	switch {
	case IsErrNotFound(err):
		writeJSON(w, http.StatusNotFound, ErrorAnswer{Message: err.Error()})
	case err != nil:
		writeJSON(w, http.StatusServiceUnavailable, ErrorAnswer{Message: err.Error()})
	default:
		writeJSON(w, http.StatusOK, answer)
	}
}

func (h handler) serveTimeline(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.source.Timeline())
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the client has disconnected
}
