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

// The headers by which a client checks an answer of a backend server. They are the application's own.
const (
	// HeaderBodySum carries the Sum of the answer's body.
	HeaderBodySum = "Standin-Body-Sum"
	// HeaderAnswerBytes, in a request, asks for an answer of at least that many bytes.
	HeaderAnswerBytes = "Standin-Answer-Bytes"
)

// maxAnswerBytes bounds what HeaderAnswerBytes may ask for.
const maxAnswerBytes = 64 << 20

// Echo is the first line of an answer; padding follows it.
type Echo struct {
	Method        string `json:"method"`
	URI           string `json:"uri"`
	RequestID     string `json:"request_id"`
	Server        string `json:"server"`
	ReceivedBytes int    `json:"received_bytes"`
	// ReceivedSum is the Sum of the request's body as the server received it.
	ReceivedSum string `json:"received_sum"`
}

// Sum returns the hexadecimal XXH64 of body.
func Sum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// answer sends the answer, or what a fault makes of it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, j *work, e Execution, whole bool) {
	status, body := http.StatusOK, s.echo(r, j, e)
	if !whole || s.faults.take(func(f *ServerFaults) *int { return &f.FailRequests }) {
		status = http.StatusInternalServerError
	}
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set(HeaderBodySum, Sum(body))
	header.Set(platform.HeaderRequestID, j.requestID)
	header.Set(platform.HeaderSignature, s.signature(e))
	if s.leaving() {
		header.Set("Connection", "close")
	}
	switch {
	case s.faults.take(func(f *ServerFaults) *int { return &f.LoseAnswers }):
		breakConnection()
	case s.faults.take(func(f *ServerFaults) *int { return &f.GarbleAnswers }):
		s.sendRaw(w, []byte("\x00\x01 no answer\r\n"))
	case s.faults.take(func(f *ServerFaults) *int { return &f.ExtraAnswers }):
		one := rawAnswer(status, header, body)
		s.sendRaw(w, append(one, one...))
	case s.faults.take(func(f *ServerFaults) *int { return &f.CutAnswers }):
		header.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		breakConnection()
	}
	if !s.faults.get().Chunked {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // the other side takes a short body for broken
}

// sendRaw sends bytes in place of an answer, and ends the connection.
func (s *Server) sendRaw(w http.ResponseWriter, data []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		breakConnection()
	}
	_, _ = conn.Write(data)
	_ = conn.Close()
	breakConnection()
}

// rawAnswer returns an answer as it goes over the wire.
func rawAnswer(status int, header http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	header = header.Clone()
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_ = header.Write(&b) // a buffer takes everything
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

func (s *Server) echo(r *http.Request, j *work, e Execution) []byte {
	line, err := json.Marshal(Echo{
		Method: e.Method, URI: r.RequestURI, RequestID: e.RequestID, Server: e.Server, ReceivedBytes: len(j.body),
		ReceivedSum: Sum(j.body),
	})
	if err != nil {
		breakConnection()
	}
	line = append(line, '\n')
	size, err := strconv.Atoi(r.Header.Get(HeaderAnswerBytes))
	if err != nil || size <= len(line) {
		return line
	}
	return append(line, bytes.Repeat([]byte{'.'}, min(size, maxAnswerBytes)-len(line))...)
}
