package loadtester

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

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/platform"
)

// Outcome is what a client knows of its request.
type Outcome string

// The outcomes.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
)

// The reasons that the loader itself gives.
const (
	reasonRefused  = "connection_refused"
	reasonBroken   = "connection_broken"
	reasonTimeout  = "client_timeout"
	reasonInFlight = "in_flight_bound"
	// reasonServerFailed is a failure that the backend server itself answered, after it began to run the request.
	reasonServerFailed = "server_failed"
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
	// answerGrace is how much longer the client waits than the time that it gives the entry.
	answerGrace = time.Second
	// connectTimeout is how long an entry may take to accept a connection; a live one does within one trip.
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
	// pause is the entry's advice of when to come back; 0 is none.
	pause time.Duration
}

// sender sends requests to entries.
type sender struct {
	entries []string
	client  *http.Client
}

func newSender(entries []string) *sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectLimit(len(entries))}).DialContext,
		MaxIdleConnsPerHost: idlePerEntry,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &sender{entries: entries, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// connectLimit returns how long a connection to one of several entries may take before the next one is asked; 0 is as long
// as the request itself may take, where there is no other entry.
func connectLimit(entries int) time.Duration {
	if entries < 2 {
		return 0
	}
	return connectTimeout
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
	var reader io.Reader
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	out, err := http.NewRequestWithContext(ctx, r.class.Method, "http://"+entry+r.uri(), reader)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// Without GetBody the transport can't send the body a second time, and a request without any body needs one that it
	// can't take for none: else it would silently send the request again on a stale connection.
	out.GetBody = nil
	if reader == nil {
		out.Body = io.NopCloser(bytes.NewReader(nil))
	}
	out.Host = r.class.Host
	out.Header.Set(platform.HeaderRequestID, r.id)
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline)-answerGrace, time.Millisecond)
		out.Header.Set(platform.HeaderTimeLeft, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if r.class.Keyed {
		out.Header.Set(platform.HeaderKey, strconv.Itoa(int(r.key)))
	}
	if r.class.AnswerBytes > 0 {
		out.Header.Set(emulator.HeaderAnswerBytes, strconv.Itoa(r.class.AnswerBytes))
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

// read judges a complete answer.
func read(r request, body []byte, response *http.Response, answer []byte) result {
	signed := response.Header.Get(platform.HeaderSignature) != ""
	switch response.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return result{outcome: OutcomeNotRun, reason: response.Status, pause: retryAfter(response)}
	case http.StatusOK:
		if signed {
			return result{outcome: OutcomeAnswered, fault: verify(r, body, response, answer)}
		}
		return result{outcome: OutcomeAnswered, fault: faultForeign}
	}
	if signed {
		return result{outcome: OutcomeUnknown, reason: reasonServerFailed}
	}
	return result{outcome: OutcomeUnknown, reason: response.Status}
}

// retryAfter returns the advice of when to come back, or 0.
func retryAfter(response *http.Response) time.Duration {
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(after * float64(time.Second))
}

// verify compares the answer with what the server said of it and with the request.
func verify(r request, body []byte, response *http.Response, answer []byte) fault {
	if r.class.Method == http.MethodHead {
		return ""
	}
	if response.Header.Get(emulator.HeaderBodySum) != emulator.Sum(answer) || len(answer) < r.class.AnswerBytes {
		return faultCut
	}
	line, _, _ := bytes.Cut(answer, []byte{'\n'})
	var echo emulator.Echo
	if err := json.Unmarshal(line, &echo); err != nil {
		return faultCut
	}
	if echo.RequestID != r.id || echo.URI != r.uri() || echo.Method != r.class.Method {
		return faultForeign
	}
	if echo.ReceivedBytes != len(body) || echo.ReceivedSum != emulator.Sum(body) {
		return faultCut
	}
	return ""
}
