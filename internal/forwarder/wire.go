package forwarder

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The headers, in canonical form.
const (
	headerPrefix       = "Wasabibank-"
	headerCaller       = "Wasabibank-Caller"
	headerRequestID    = "Wasabibank-Request-Id"
	headerExchangeID   = "Wasabibank-Exchange-Id"
	headerTimeout      = "Wasabibank-Timeout"
	headerOutcome      = "Wasabibank-Outcome"
	headerReason       = "Wasabibank-Reason"
	headerEntry        = "Wasabibank-Entry"
	headerServer       = "Wasabibank-Server"
	headerPartition    = "Wasabibank-Partition"
	headerEpoch        = "Wasabibank-Epoch"
	headerTerm         = "Wasabibank-Term"
	headerDeadline     = "Wasabibank-Deadline-Ms"
	headerHops         = "Wasabibank-Hops"
	headerOffset       = "Wasabibank-Offset"
	headerRefused      = "Wasabibank-Refused"
	headerFirstStatus  = "Wasabibank-First-Status"
	headerRetryAfter   = "Wasabibank-Retry-After-Ms"
	headerExpectedWait = "Wasabibank-Expected-Wait-Ms"
)

// Reason says why the router itself answered, in snake case.
type Reason string

// The reasons of router-made answers besides those of limiter.
const (
	ReasonBadPath          Reason = "bad_path"
	ReasonBadKey           Reason = "bad_key"
	ReasonBadTimeout       Reason = "bad_timeout"
	ReasonBadHeader        Reason = "bad_header"
	ReasonBadBody          Reason = "bad_body"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonNoSuchService    Reason = "no_such_service"
	ReasonMethodNotAllowed Reason = "method_not_allowed"
	ReasonNoRoute          Reason = "no_route"
	ReasonMoved            Reason = "moved"
	ReasonDraining         Reason = "draining"
	ReasonUnreachable      Reason = "unreachable"
	ReasonServerRefused    Reason = "server_refused"
	ReasonExpired          Reason = "expired"
	ReasonBroken           Reason = "broken"
	ReasonTimeout          Reason = "timeout"
	ReasonRepeat           Reason = "repeat"
)

// status returns the status of a router-made answer.
func (r Reason) status() int {
	switch r {
	case ReasonBadPath, ReasonBadKey, ReasonBadTimeout, ReasonBadHeader, ReasonBadBody:
		return http.StatusBadRequest
	case ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonNoSuchService:
		return http.StatusNotFound
	case ReasonMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case ReasonMoved:
		return http.StatusMisdirectedRequest
	case ReasonExpired, ReasonTimeout:
		return http.StatusGatewayTimeout
	case ReasonBroken:
		return http.StatusBadGateway
	case ReasonRepeat:
		return http.StatusConflict
	case "caller_rate", "caller_concurrent":
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// removePrivate deletes the headers of the project's own protocols, but for those named in keep.
func removePrivate(h http.Header, keep ...string) {
	for name := range h {
		if strings.HasPrefix(name, headerPrefix) && !isOneOf(name, keep) {
			delete(h, name)
		}
	}
}

func isOneOf(name string, names []string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// slot is a place for one header value in a request, which saves an allocation for each.
type slot int

// The slots of the headers that each request or answer carries.
const (
	slotID slot = iota
	slotExchangeID
	slotPartition
	slotEpoch
	slotTerm
	slotDeadline
	slotServer
	slotHops
	slotOutcome
	slotEntry
	slotAnswerID
	slotCount
)

// set sets a header to a value that stands in a slot of the request.
func (q *request) set(h http.Header, s slot, name, value string) {
	q.values[s] = value
	h[name] = q.values[s : s+1 : s+1]
}

// setInt sets a header to a whole number.
func setInt[N ~int | ~int64](h http.Header, name string, n N) {
	h[name] = []string{formatInt(n)}
}

func formatInt[N ~int | ~int64 | ~uint64](n N) string { return strconv.FormatInt(int64(n), 10) }

// getInt returns a header that must be a whole number, 0 where it is missing or is none.
func getInt(h http.Header, name string) int64 {
	n, err := strconv.ParseInt(h.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// milliseconds returns d in whole milliseconds, rounded up.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
