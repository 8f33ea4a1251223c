package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/faker"
)

// Outcome is what a caller knows of its request.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
)

// The reasons that the loader itself gives.
const (
	reasonRefused   = "connection_refused"
	reasonBroken    = "connection_broken"
	reasonTimeout   = "caller_timeout"
	reasonNoOutcome = "no_outcome_header"
	reasonInFlight  = "in_flight_bound"
)

// fault says what is wrong with an answer that looks complete; "" is nothing.
type fault string

const (
	// faultCut is an answer whose length or checksum is not the server's, or to a body that the server got so.
	faultCut fault = "cut"
	// faultForeign is an answer to another request.
	faultForeign fault = "foreign"
)

const (
	maxAnswerBytes = 128 << 20
	// answerGrace is how much longer the caller waits than the time that it gives the entry.
	answerGrace    = time.Second
	connectTimeout = 2 * time.Second
	idleTimeout    = 30 * time.Second
	idlePerEntry   = 256
)

// result is what came of one request.
type result struct {
	outcome Outcome
	reason  string
	fault   fault
	// broken says that an answer began and visibly did not end.
	broken   bool
	attempts int
	latency  time.Duration
}

// sender sends requests to entries.
type sender struct {
	entries []string
	client  *http.Client
}

func newSender(entries []string) *sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost: idlePerEntry,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &sender{entries: entries, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// attempt sends r to the entries from number first on, past those that refuse the connection.
func (s *sender) attempt(ctx context.Context, r request, body []byte, first int) result {
	for i := range s.entries {
		entry := s.entries[(first+i)%len(s.entries)]
		res, sent := s.exchange(ctx, r, body, entry)
		if sent {
			return res
		}
	}
	return result{outcome: OutcomeNotRun, reason: reasonRefused}
}

// exchange sends r to one entry. It returns false when the connection was refused, so that nothing was sent.
func (s *sender) exchange(ctx context.Context, r request, body []byte, entry string) (result, bool) {
	out, err := newRequest(ctx, r, body, entry)
	if err != nil {
		return result{outcome: OutcomeNotRun, reason: err.Error()}, true
	}
	response, err := s.client.Do(out)
	if err != nil {
		return failed(ctx, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		res, _ := failed(ctx, err)
		res.broken = true
		return res, true
	}
	return read(r, body, response, answer), true
}

func newRequest(ctx context.Context, r request, body []byte, entry string) (*http.Request, error) {
	url := "http://" + entry + "/s/" + string(r.class.Service) + "/" + r.key
	if r.class.Path != "" {
		url += "/" + r.class.Path
	}
	var reader io.Reader
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	out, err := http.NewRequestWithContext(ctx, r.class.Method, url, reader)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport can't send the body a second time, and a request without any body needs one that it
	// can't take for none: else it would silently send the request again on a stale connection.
	out.GetBody = nil
	if reader == nil {
		out.Body = io.NopCloser(bytes.NewReader(nil))
	}
	out.Header.Set("Wasabibank-Request-Id", r.id)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline) - answerGrace
		out.Header.Set("Wasabibank-Timeout", max(left, time.Millisecond).String())
	}
	if r.class.Caller != "" {
		out.Header.Set("Wasabibank-Caller", string(r.class.Caller))
	}
	if r.class.AnswerBytes > 0 {
		out.Header.Set(faker.HeaderAnswerBytes, strconv.Itoa(r.class.AnswerBytes))
	}
	return out, nil
}

// failed returns what a transport error means, and false when nothing was sent.
func failed(ctx context.Context, err error) (result, bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil {
		return result{}, false
	}
	if ctx.Err() != nil {
		return result{outcome: OutcomeUnknown, reason: reasonTimeout}, true
	}
	return result{outcome: OutcomeUnknown, reason: reasonBroken}, true
}

// problem is the part of an entry's own answer that the loader reads.
type problem struct {
	Reason string `json:"reason"`
}

// read judges a complete answer.
func read(r request, body []byte, response *http.Response, answer []byte) result {
	outcome := Outcome(response.Header.Get("Wasabibank-Outcome"))
	switch outcome {
	case OutcomeAnswered:
		return result{outcome: outcome, fault: verify(r, body, response, answer)}
	case OutcomeNotRun, OutcomeUnknown:
		var p problem
		_ = json.Unmarshal(answer, &p)
		return result{outcome: outcome, reason: p.Reason}
	}
	return result{outcome: OutcomeUnknown, reason: reasonNoOutcome}
}

// verify compares the answer with what the server said of it and with the request.
func verify(r request, body []byte, response *http.Response, answer []byte) fault {
	if r.class.Method == http.MethodHead {
		return ""
	}
	if response.Header.Get(faker.HeaderBodySum) != faker.Sum(answer) || len(answer) < r.class.AnswerBytes {
		return faultCut
	}
	line, _, _ := bytes.Cut(answer, []byte{'\n'})
	var echo faker.Echo
	if err := json.Unmarshal(line, &echo); err != nil {
		return faultCut
	}
	if echo.RequestID != r.id || echo.Key != r.key || echo.Method != r.class.Method || echo.Service != r.class.Service {
		return faultForeign
	}
	if echo.ReceivedBytes != len(body) || echo.ReceivedSum != faker.Sum(body) {
		return faultCut
	}
	return ""
}
