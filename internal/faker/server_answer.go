package faker

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The headers by which a caller checks an answer of a backend server. They are the application's own, so their names
// stay out of those that entries keep for themselves.
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
	Method        string                 `json:"method"`
	Service       identifier.ServiceName `json:"service"`
	Key           string                 `json:"key"`
	RequestID     string                 `json:"request_id"`
	Server        identifier.ServerName  `json:"server"`
	ReceivedBytes int                    `json:"received_bytes"`
	// ReceivedSum is the Sum of the request's body as the server received it.
	ReceivedSum string `json:"received_sum"`
}

// Sum returns the hexadecimal XXH64 of body.
func Sum(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

// answer sends the whole answer, unless a fault loses or cuts it.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, j *job) {
	if s.faults.take(func(f *ServerFaults) *int { return &f.LoseReplies }) {
		breakConnection()
	}
	body := j.echo(r.Header.Get(HeaderAnswerBytes))
	header := w.Header()
	header.Set("Content-Type", "application/octet-stream")
	header.Set(HeaderBodySum, Sum(body))
	header.Set(headerRequestID, j.execution.RequestID)
	if !s.faults.get().Chunked {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	if s.faults.take(func(f *ServerFaults) *int { return &f.CutAnswers }) {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		breakConnection()
	}
	half := len(body) / 2
	_, _ = w.Write(body[:half])
	if s.faults.get().Chunked {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = w.Write(body[half:])
}

func (j *job) echo(wanted string) []byte {
	e := j.execution
	line, err := json.Marshal(Echo{
		Method:        e.Method,
		Service:       e.Service,
		Key:           e.Key,
		RequestID:     e.RequestID,
		Server:        e.Server,
		ReceivedBytes: j.bytes,
		ReceivedSum:   j.sum,
	})
	if err != nil {
		breakConnection()
	}
	line = append(line, '\n')
	size, err := strconv.Atoi(wanted)
	if err != nil || size <= len(line) {
		return line
	}
	padding := bytes.Repeat([]byte{'.'}, min(size, maxAnswerBytes)-len(line))
	return append(line, padding...)
}
