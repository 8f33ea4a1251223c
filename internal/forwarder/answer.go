package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// routerAnswer is the body of an answer that the router itself makes.
type routerAnswer struct {
	Outcome      Outcome `json:"outcome"`
	Reason       Reason  `json:"reason"`
	Message      string  `json:"message"`
	RequestID    string  `json:"request_id"`
	Entry        string  `json:"entry"`
	RetryAfterMs int64   `json:"retry_after_ms,omitempty"`
	FirstStatus  int     `json:"first_status,omitempty"`
}

// verdict is the end of a request, or of one attempt, without an answer of a server.
type verdict struct {
	reason      Reason
	message     string
	retryAfter  time.Duration // 0 where coming back can't help
	firstStatus int           // of a repeated request whose first arrival was answered
}

// writeVerdict answers the request with v and outcome.
func (q *request) writeVerdict(v verdict, outcome Outcome) int {
	answer := routerAnswer{
		Outcome:      outcome,
		Reason:       v.reason,
		Message:      v.message,
		RequestID:    q.id,
		Entry:        string(q.entry),
		RetryAfterMs: milliseconds(v.retryAfter),
		FirstStatus:  v.firstStatus,
	}
	body, err := json.Marshal(answer)
	if err != nil {
		body = []byte("{}")
	}
	h := q.w.Header()
	q.setOwnHeaders(h, outcome)
	h[headerReason] = []string{string(v.reason)}
	h["Content-Type"] = []string{"application/json"}
	if v.retryAfter > 0 {
		setInt(h, headerRetryAfter, milliseconds(v.retryAfter))
		h["Retry-After"] = []string{strconv.FormatInt(seconds(v.retryAfter), 10)}
	}
	if v.firstStatus != 0 {
		setInt(h, headerFirstStatus, v.firstStatus)
	}
	status := v.reason.status()
	q.w.WriteHeader(status)
	_, _ = q.w.Write(append(body, '\n'))
	return status
}

// setOwnHeaders sets the headers that every answer carries.
func (q *request) setOwnHeaders(h http.Header, outcome Outcome) {
	q.set(h, slotOutcome, headerOutcome, string(outcome))
	q.set(h, slotEntry, headerEntry, string(q.entry))
	q.set(h, slotAnswerID, headerRequestID, q.id)
}

// seconds returns d in whole seconds, rounded up.
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}
