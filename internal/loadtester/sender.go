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

// Outcome is what a client knows about its request.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered means that an answer with status 200 arrived. The metric requests_answered of the entry instances, by
	// contrast, counts complete answers of a server with any status.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotExecuted means that the request was not sent, or that its answer says that it was not executed and never
	// will be.
	OutcomeNotExecuted Outcome = "not_run"
	// OutcomeUnknown means that the request may or may not have been executed, or that the server failed to execute it.
	OutcomeUnknown Outcome = "unknown"
)

// The reasons for outcomes that do not come from an answer's status.
const (
	// reasonNoConnection means that no entry accepted a connection, for whatever reason.
	reasonNoConnection = "connection_refused"
	reasonBroken       = "connection_broken"
	reasonTimeout      = "client_timeout"
	reasonInFlight     = "in_flight_bound"
	// reasonServerFailed is an error answer of the backend server itself, sent after it began to execute the request.
	reasonServerFailed = "server_failed"
)

// answerFault is the fault of an answer that seems complete; it is empty if there is none.
type answerFault string

const (
	// faultCorrupted is an answer, or a request as the server received it, whose length or checksum differs from what was sent.
	faultCorrupted answerFault = "cut"
	// faultMismatched is an answer that belongs to another request.
	faultMismatched answerFault = "foreign"
)

const (
	// maxAnswerBytes bounds the body of an answer that is read; a longer one counts as corrupted.
	maxAnswerBytes = 128 << 20
	// answerGrace is how much longer the client waits for an answer than the timeout that it gives the entry.
	answerGrace = time.Second
	// connectTimeout bounds the time to connect to an entry; a live one accepts within one round trip.
	connectTimeout = 2 * time.Second
	// idleTimeout is how long an idle connection may be reused: less than four fifths of the idle timeouts of the example bundles (20 s).
	idleTimeout = 10 * time.Second
	// maxIdlePerEntry limits the idle connections to one entry.
	maxIdlePerEntry = 256
)

// result is the result of one request.
type result struct {
	outcome Outcome
	reason  string
	fault   answerFault
	// broken is true if an answer began but its body could not be read to the end.
	broken   bool
	attempts int
	// latency is the time from the scheduled send time to the result.
	latency time.Duration
	// retryAfter is the retry delay that the entry asked for; 0 means none.
	retryAfter time.Duration
}

// sender sends requests to the entries.
type sender struct {
	entries []string
	client  *http.Client
}

func newSender(entries []string) *sender {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: connectTimeoutFor(len(entries))}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerEntry,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &sender{entries: entries, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// connectTimeoutFor returns the connect timeout for a number of entries. With several entries it is bounded, so that the
// next one can be tried. With only one entry it is 0, no timeout: the deadline of the request applies.
func connectTimeoutFor(entries int) time.Duration {
	if entries < 2 {
		return 0
	}
	return connectTimeout
}

// sendToAnyEntry sends r to the entry with index first, modulo the number of entries. If no connection can be established,
// it tries the next entry, and so on until each was tried once.
func (s *sender) sendToAnyEntry(ctx context.Context, r request, body []byte, first int) result {
	for i := range s.entries {
		entry := s.entries[(first+i)%len(s.entries)]
		res, sent := s.sendToEntry(ctx, r, body, entry)
		if sent {
			return res
		}
	}
	return result{outcome: OutcomeNotExecuted, reason: reasonNoConnection}
}

// sendToEntry sends r to one entry. The boolean is false if no connection could be established, so that nothing was sent.
func (s *sender) sendToEntry(ctx context.Context, r request, body []byte, entry string) (result, bool) {
	out, err := newRequest(ctx, r, body, entry)
	if err != nil {
		return result{outcome: OutcomeNotExecuted, reason: err.Error()}, true
	}
	response, err := s.client.Do(out)
	if err != nil {
		return classifyError(ctx, err)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		res, _ := classifyError(ctx, err)
		res.broken = true
		return res, true
	}
	return classifyAnswer(r, body, response, answer), true
}

// newRequest returns the HTTP request by which r is sent to an entry.
func newRequest(ctx context.Context, r request, body []byte, entry string) (*http.Request, error) {
	var reader io.Reader
	if len(body) > 0 {
		reader = bytes.NewReader(body)
	}
	out, err := http.NewRequestWithContext(ctx, r.class.Method, "http://"+entry+r.path(), reader)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	// The transport must not resend a request by itself when a connection turns out to be stale, since the request may have
	// been executed. It does not if there is a body that it can't read again: GetBody is nil, and a request without content
	// gets an empty body that the transport doesn't recognise as http.NoBody.
	out.GetBody = nil
	if reader == nil {
		out.Body = io.NopCloser(bytes.NewReader(nil))
	}
	out.Host = r.class.Host
	out.Header.Set(platform.HeaderRequestID, r.id)
	if deadline, ok := ctx.Deadline(); ok {
		timeLeft := max(time.Until(deadline)-answerGrace, time.Millisecond)
		out.Header.Set(platform.HeaderTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	}
	if r.class.Keyed {
		out.Header.Set(platform.HeaderKey, strconv.Itoa(int(r.key)))
	}
	if r.class.AnswerBytes > 0 {
		out.Header.Set(emulator.HeaderAnswerBytes, strconv.Itoa(r.class.AnswerBytes))
	}
	return out, nil
}

// classifyError returns the result for a transport error. The boolean is false if nothing was sent.
func classifyError(ctx context.Context, err error) (result, bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && ctx.Err() == nil {
		return result{}, false
	}
	if ctx.Err() != nil {
		return result{outcome: OutcomeUnknown, reason: reasonTimeout}, true
	}
	return result{outcome: OutcomeUnknown, reason: reasonBroken}, true
}

// classifyAnswer returns the result for an answer that was read to its end.
func classifyAnswer(r request, body []byte, response *http.Response, answer []byte) result {
	signed := response.Header.Get(platform.HeaderSignature) != ""
	switch response.StatusCode {
	// The statuses by which an entry says that the request was not executed; see impliesNotExecuted in package forwarder.
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return result{outcome: OutcomeNotExecuted, reason: response.Status, retryAfter: parseRetryAfter(response)}
	case http.StatusOK:
		if signed {
			return result{outcome: OutcomeAnswered, fault: checkAnswer(r, body, response, answer)}
		}
		// No backend server signed this answer.
		return result{outcome: OutcomeAnswered, fault: faultMismatched}
	}
	if signed {
		return result{outcome: OutcomeUnknown, reason: reasonServerFailed}
	}
	return result{outcome: OutcomeUnknown, reason: response.Status}
}

// parseRetryAfter returns the Retry-After header, in seconds with an optional fraction, or 0 if it is absent or invalid.
func parseRetryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// checkAnswer compares the answer with its checksum, and the request that the server echoed in it with the request sent.
func checkAnswer(r request, body []byte, response *http.Response, answer []byte) answerFault {
	if r.class.Method == http.MethodHead {
		return ""
	}
	if response.Header.Get(emulator.HeaderBodySum) != emulator.Sum(answer) || len(answer) < r.class.AnswerBytes {
		return faultCorrupted
	}
	line, _, _ := bytes.Cut(answer, []byte{'\n'})
	var echo emulator.Echo
	if err := json.Unmarshal(line, &echo); err != nil {
		return faultCorrupted
	}
	if echo.RequestID != r.id || echo.URI != r.path() || echo.Method != r.class.Method {
		return faultMismatched
	}
	if echo.ReceivedBytes != len(body) || echo.ReceivedSum != emulator.Sum(body) {
		return faultCorrupted
	}
	return ""
}
