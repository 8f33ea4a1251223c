package emulator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabibank/wasabibank/platform"
)

// The headers by which a client verifies an answer of a backend server. They belong to the stand-in's application, not to
// the platform.
const (
	// HeaderBodySum is the Sum of the answer's body.
	HeaderBodySum = "Standin-Body-Sum"
	// HeaderAnswerBytes, in a request, asks for an answer body of at least that many bytes.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
)

// maxAnswerBytes bounds the answer body that HeaderAnswerBytes can ask for.
const maxAnswerBytes = 64 << 20

// Echo is the JSON object in the first line of an answer body; padding follows it.
type Echo struct {
	Method        string `json:"method"`
	URI           string `json:"uri"`
	RequestID     string `json:"request_id"`
	Server        string `json:"server"`
	ReceivedBytes int    `json:"received_bytes"`
	// ReceivedSum is the Sum of the request body that the server received.
	ReceivedSum string `json:"received_sum"`
}

// Sum returns the hexadecimal XXH64 of body.
func Sum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// sendAnswer sends the answer to an execution, subject to the faults. owned is false if the server stopped owning the key
// before the execution ended; the answer is then a 500.
func (s *Server) sendAnswer(w http.ResponseWriter, r *http.Request, j *job, e Execution, owned bool) {
	status, body := http.StatusOK, s.echoBody(r, j, e)
	if !owned || s.faults.consume(func(f *ServerFaults) *int { return &f.FailRequests }) {
		status = http.StatusInternalServerError
	}
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set(HeaderBodySum, Sum(body))
	header.Set(platform.HeaderSignature, s.signature(e))
	s.setSignals(header)
	if s.draining() {
		header.Set("Connection", "close")
	}
	switch {
	case s.faults.consume(func(f *ServerFaults) *int { return &f.LoseAnswers }):
		abortConnection()
	case s.faults.consume(func(f *ServerFaults) *int { return &f.GarbleAnswers }):
		s.sendRaw(w, []byte("\x00\x01 no answer\r\n"))
	case s.faults.consume(func(f *ServerFaults) *int { return &f.ExtraAnswers }):
		raw := rawAnswer(status, header, body)
		s.sendRaw(w, append(raw, raw...))
	case s.faults.consume(func(f *ServerFaults) *int { return &f.CutAnswers }):
		header.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	if !s.faults.get().Chunked {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // if this fails, the client sees a truncated body
}

// sendRaw writes data to the connection in place of an answer, and closes it. It panics like abortConnection.
func (s *Server) sendRaw(w http.ResponseWriter, data []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		abortConnection()
	}
	_, _ = conn.Write(data)
	_ = conn.Close()
	abortConnection()
}

// rawAnswer returns an HTTP/1.1 answer in its wire format.
func rawAnswer(status int, header http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header = header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&b) // writing to a bytes.Buffer does not fail
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// echoBody returns the body of an answer: an Echo in a line of JSON, padded to the size that the request asks for.
func (s *Server) echoBody(r *http.Request, j *job, e Execution) []byte {
	line, err := json.Marshal(Echo{
		Method: e.Method, URI: r.RequestURI, RequestID: e.RequestID, Server: e.Server, ReceivedBytes: len(j.body),
		ReceivedSum: Sum(j.body),
	})
	if err != nil {
		abortConnection()
	}
	line = append(line, '\n')
	size, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err != nil || size <= len(line) {
		return line
	}
	return append(line, bytes.Repeat([]byte{'.'}, min(size, maxAnswerBytes)-len(line))...)
}
