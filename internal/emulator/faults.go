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

// Unlimited is the counter value of a fault that stays active until it is switched off.
const Unlimited = -1

// maxAdminBytes bounds the body of a request to an admin path, and of an order that is applied late.
const maxAdminBytes = 1 << 20

// faultState holds the current faults of a stand-in; F is their type. The zero value has the zero faults. It is safe for
// concurrent use.
type faultState[F any] struct {
	mu       sync.Mutex
	faults   F
	onChange func(F) // called after set; may be nil
}

// get returns the current faults.
func (s *faultState[F]) get() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// set replaces the faults and calls onChange.
func (s *faultState[F]) set(faults F) {
	s.mu.Lock()
	s.faults = faults
	onChange := s.onChange
	s.mu.Unlock()
	if onChange != nil {
		onChange(faults)
	}
}

// consume reports whether the fault with the given counter is active, and decrements the counter if it is positive.
// A negative counter never runs out.
func (s *faultState[F]) consume(counter func(*F) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := counter(&s.faults)
	if *count == 0 {
		return false
	}
	if *count > 0 {
		*count--
	}
	return true
}

// serveAdmin answers GET with the current faults. POST changes only the faults that are present in its JSON body, and
// answers with the result.
func (s *faultState[F]) serveAdmin(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		faults := s.get()
		if !decodeAdminBody(w, r, &faults) {
			return
		}
		s.set(faults)
	}
	writeJSON(w, http.StatusOK, s.get())
}

// errorBody is the JSON body of the answer to a request that a stand-in rejects.
type errorBody struct {
	Message string `json:"message"`
}

// decodeAdminBody decodes the JSON body of a request to an admin path; see decodeBody.
func decodeAdminBody(w http.ResponseWriter, r *http.Request, out any) bool {
	return decodeBody(w, r, maxAdminBytes, out)
}

// decodeBody decodes the JSON body of r into out. It answers 413 to a body that can't be read within maxBytes and 400 to
// one that can't be decoded or has unknown fields, and then returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, maxBytes int64, out any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		writeJSON(w, http.StatusRequestEntityTooLarge, errorBody{Message: err.Error()})
		return false
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		writeJSON(w, http.StatusBadRequest, errorBody{Message: err.Error()})
		return false
	}
	return true
}

// writeJSON sends an answer with the JSON encoding of value as its body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// abortConnection closes the client's connection without completing the answer. It panics with http.ErrAbortHandler, so
// it must be called on the handler's goroutine and does not return.
func abortConnection() { panic(http.ErrAbortHandler) }

// pause waits until d has passed or ctx is done.
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
