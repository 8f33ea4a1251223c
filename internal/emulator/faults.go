package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Unlimited is the count of a fault that lasts until it is switched off.
const Unlimited = -1

// maxAdminBytes bounds the body of a request to an admin path.
const maxAdminBytes = 1 << 20

// switches holds the present faults of a stand-in, of type F. The zero switches has the zero faults.
type switches[F any] struct {
	mu      sync.Mutex
	faults  F
	changed func(F)
}

// get returns the present faults.
func (s *switches[F]) get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// set replaces the faults.
func (s *switches[F]) set(faults F) {
	s.mu.Lock()
	s.faults = faults
	changed := s.changed
	s.mu.Unlock()
	if changed != nil {
		changed(faults)
	}
}

// take uses up one of the count that field selects, and reports whether there was one.
func (s *switches[F]) take(field func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := field(&s.faults)
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}

// serve answers GET with the present faults; POST changes the switches that its JSON names.
func (s *switches[F]) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		faults := s.get()
		if !decodeJSON(w, r, &faults) {
			return
		}
		s.set(faults)
	}
	writeJSON(w, http.StatusOK, s.get())
}

// refusal is the JSON answer to a request that a stand-in does not accept.
type refusal struct {
	Message string `json:"message"`
}

// decodeJSON decodes the body of r into out, or answers 400 and returns false.
func decodeJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	return decodeBounded(w, r, maxAdminBytes, out)
}

func decodeBounded(w http.ResponseWriter, r *http.Request, bound int64, out any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bound))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, refusal{Message: err.Error()})
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Message: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// breakConnection ends the connection of w without an answer.
func breakConnection() { panic(http.ErrAbortHandler) }

// pause waits until d has passed or ctx has ended.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
