package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// maxControlBodyBytes bounds the body of a request to an admin path, and of an order that is applied late.
const maxControlBodyBytes = 1 << 20

// errorBody is the JSON body of the answer to a request that a stand-in rejects.
type errorBody struct {
	Message string `json:"message"`
}

// decodeAdminBody decodes the JSON body of a request to an admin path; see decodeBody.
func decodeAdminBody(w http.ResponseWriter, r *http.Request, out any) bool {
	return decodeBody(w, r, maxControlBodyBytes, out)
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

// bufferedAnswer buffers an answer, so that faults can decide whether it is sent. It implements http.ResponseWriter.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *bufferedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }
