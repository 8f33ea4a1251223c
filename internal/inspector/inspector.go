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

// answerTimeout bounds the wait for the control goroutine of a busy instance.
const answerTimeout = 2 * time.Second

// Source is what an entry instance shows of itself. Its methods are called from many goroutines.
type Source interface {
	// Status returns the whole status.
	Status(ctx context.Context) (Status, error)
	// Owner returns the owner of a key. The error is an ErrNotFound where there is no such keyed service.
	Owner(service string, key uint16) (OwnerAnswer, error)
	// Timeline returns the events that the instance remembers.
	Timeline() recorder.Page
}

// ErrNotFound reports a question about something that the bundle in force does not have.
type ErrNotFound struct{ what string }

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
type handler struct{ source Source }

// NewHandler returns the handler of the admin API. metrics serves the counters.
func NewHandler(source Source, metrics http.Handler) http.Handler {
	h := handler{source: source}
	router := mux.NewRouter()
	router.HandleFunc(pathStatus, h.status).Methods(http.MethodGet)
	router.HandleFunc(pathOwner, h.owner).Methods(http.MethodGet)
	router.HandleFunc(pathTimeline, h.timeline).Methods(http.MethodGet)
	router.Handle(pathMetrics, metrics).Methods(http.MethodGet)
	return router
}

func (h handler) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	status, err := h.source.Status(ctx)
	if err != nil {
		write(w, http.StatusServiceUnavailable, ErrorAnswer{Message: err.Error()})
		return
	}
	write(w, http.StatusOK, status)
}

func (h handler) owner(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key, err := strconv.ParseUint(query.Get("key"), 10, 16)
	if err != nil || !query.Has("service") {
		write(w, http.StatusBadRequest, ErrorAnswer{Message: "service and key are required; a key is a number from 0 to 65535"})
		return
	}
	answer, err := h.source.Owner(query.Get("service"), uint16(key))
	switch {
	case IsErrNotFound(err):
		write(w, http.StatusNotFound, ErrorAnswer{Message: err.Error()})
	case err != nil:
		write(w, http.StatusServiceUnavailable, ErrorAnswer{Message: err.Error()})
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
	_ = json.NewEncoder(w).Encode(body) // a client that has gone asks again
}
