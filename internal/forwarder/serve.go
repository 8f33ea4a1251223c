package forwarder

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

const (
	// defaultRetryAfter is the Retry-After of a refusal for which no better delay is known.
	defaultRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the shortest Retry-After. The queue's own refusals have the same minimum.
	minRetryAfter = 50 * time.Millisecond
	// maxTimeLeftMS is the longest time that a client may say it waits, in milliseconds: a day.
	maxTimeLeftMS = 24 * 60 * 60 * 1000
	// answerMargin is subtracted from a request's deadline, to leave time for returning the answer to the client.
	answerMargin = 15 * time.Millisecond
)

// serveClient routes a client's request, sends it to a server and writes the answer.
func (f *Forwarder) serveClient(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	f.meter.Count(meter.RequestsReceived)
	progress := f.inFlight.begin(now, r.Header.Get(f.headers.RequestID))
	defer f.inFlight.end(progress)
	v := f.view.Load()
	if v == nil || v.Table == nil {
		f.refuse(w, r, now, http.StatusServiceUnavailable, "no_configuration", defaultRetryAfter)
		return
	}
	route, ok := v.Table.Route(r.Host, r.URL.Path)
	if !ok {
		f.refuse(w, r, now, http.StatusNotFound, "no_route", 0)
		return
	}
	req, refused := f.newClientRequest(w, r, now, v, route)
	if req == nil {
		f.refuse(w, r, now, refused.status, refused.reason, refused.retryAfter)
		return
	}
	defer req.memory.close()
	progress.enter(pending)
	if req.deadline, ok = f.admit(time.Now(), req.deadline); !ok {
		f.refuse(w, r, now, http.StatusServiceUnavailable, reasonShuttingDown, minRetryAfter)
		return
	}
	ctx, release := f.untilExit(r.Context())
	defer release()
	f.budget.CountRequest(now, req.service, len(v.Members)+1)
	res, barred := f.refuseBarred(now, req)
	if !barred {
		res = f.sendWithRetries(ctx, req, route.MaxAttempts)
	}
	progress.enter(answering)
	f.writeAnswer(w, r, now, req, res)
}

// refusal is how a request is refused that can't be read.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// newClientRequest reads a client's request. If it is refused, it returns nil and the refusal.
func (f *Forwarder) newClientRequest(
	w http.ResponseWriter, r *http.Request, now time.Time, v *resolver.View, route *bundler.Route,
) (*clientRequest, refusal) {
	req := &clientRequest{
		id: r.Header.Get(f.headers.RequestID), route: route.Name, priority: route.Priority, idempotent: route.Idempotent,
		objective: now.Add(route.Objective), deadline: now.Add(route.Timeout), rotation: f.nextRotation.Add(1),
	}
	if text := r.Header.Get(f.headers.TimeLeft); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || !(ms >= 0 && ms <= maxTimeLeftMS) { // the negation also holds for NaN
			return nil, refusal{status: http.StatusBadRequest, reason: "bad_time_left"}
		}
		if clientDeadline := now.Add(time.Duration(ms * float64(time.Millisecond))); clientDeadline.Before(req.deadline) {
			req.deadline = clientDeadline
		}
	}
	if headerBytes(r) > v.Table.Limits().HeaderBytes {
		return nil, refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: ReasonHeaderTooLarge}
	}
	req.deadline = req.deadline.Add(-answerMargin)
	req.service = f.splitter.Pick(route)
	service, ok := v.Table.Service(req.service)
	if !ok {
		return nil, refusal{status: http.StatusServiceUnavailable, reason: "no_service"}
	}
	if service.Keyed {
		key, err := strconv.ParseUint(r.Header.Get(f.headers.ShardKey), 10, 16)
		if err != nil {
			return nil, refusal{status: http.StatusBadRequest, reason: "bad_key"}
		}
		req.keyed, req.key = true, uint16(key)
		f.countKey(req.service, req.key)
	}
	req.setParts(r, f.headers)
	removeInstanceHeaders(req.header)
	if err := f.readBody(w, r, req, v.Table.Limits().BodyBytes); err != nil {
		if errors.Is(err, errBodyStalled) && f.shuttingDown() {
			err = errShuttingDown // whatever ends the wait first: the client may send it to another instance
		}
		return nil, newRefusal(err)
	}
	credentials := strings.Join(slices.Concat(r.Header["Authorization"], r.Header["Cookie"]), "\n")
	req.fingerprints = quarantiner.NewFingerprints(req.method, req.host, req.uri, credentials, req.body.pieces...)
	return req, refusal{}
}

// newRefusal returns the refusal of a request whose body could not be read.
func newRefusal(err error) refusal {
	var noMemory noMemoryError
	switch {
	case errors.Is(err, errBodyTooLarge):
		return refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	case errors.Is(err, errBodyStalled):
		return refusal{status: http.StatusRequestTimeout, reason: reasonBodyStalled}
	case errors.Is(err, errShuttingDown):
		return refusal{status: http.StatusServiceUnavailable, reason: reasonShuttingDown, retryAfter: minRetryAfter}
	case errors.As(err, &noMemory):
		// Another instance may have the memory that this one lacks.
		return refusal{status: http.StatusServiceUnavailable, reason: noMemory.reason(), retryAfter: max(noMemory.RetryAfter, minRetryAfter)}
	}
	return refusal{status: http.StatusBadRequest, reason: "bad_body"}
}

// headerBytes returns the size in bytes of the request line and the header fields of a request.
func headerBytes(r *http.Request) int {
	const lineOverhead = len(": \r\n")
	total := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineOverhead + len("Host") + len(r.Host) + lineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + lineOverhead
		}
	}
	return total
}

// writeAnswer writes the final answer to the client, and logs the request. The log key "key" is 0 for a request without a
// key. Package recorder recognises this line and that of refuse by their message.
func (f *Forwarder) writeAnswer(w http.ResponseWriter, r *http.Request, start time.Time, req *clientRequest, res result) {
	status := res.status
	switch {
	case res.outcome == answered:
		copyAnswerHeader(w, res)
	case res.notExecuted():
		status = http.StatusServiceUnavailable
		if !res.isBarred() { // coming back would not help
			w.Header().Set("Retry-After", formatRetryAfter(max(res.retryAfter, minRetryAfter)))
		}
	case !time.Now().Before(req.deadline):
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	if f.shuttingDown() {
		w.Header().Set("Connection", "close")
	}
	body := res.body
	if res.outcome != answered {
		body = payload{}
		w.Header().Set("Content-Length", "0")
	}
	f.countResult(time.Since(start), status, res)
	w.WriteHeader(status)
	err := f.writeBody(w, req, body)
	v := f.view.Load()
	klog.InfoS("request", "id", loggable(req.id), "route", req.route, "service", req.service, "key", req.key,
		"outcome", res.outcome.String(), "status", status, "reason", res.reason, "shutting_down_for", f.shuttingDownFor(time.Now()), "server", res.server,
		"front", res.dispatcher, "without_path", req.withoutPath, "arrivals", req.sends, "fingerprints", req.fingerprints,
		"config", v.Table.Version(), "owners_term", req.ownerMapVersion.Term, "owners_sequence", req.ownerMapVersion.Sequence,
		"took", time.Since(start), "retry_after", res.retryAfter, "write_error", err)
}

// countResult counts a final answer in the metrics.
func (f *Forwarder) countResult(took time.Duration, status int, res result) {
	f.meter.ObserveRequest(took)
	reason, _, _ := strings.Cut(res.reason, ":")
	switch {
	case res.outcome == answered:
		f.meter.Count(meter.RequestsAnswered)
	case status == http.StatusServiceUnavailable:
		f.meter.Count(meter.RequestsNotRun)
		f.meter.CountRefusal(reason)
	default:
		f.meter.Count(meter.RequestsUnknown)
	}
	if res.reason == reasonClientLeft {
		f.meter.Count(meter.RequestsCancelled)
	}
}

// maxLoggedBytes bounds what a log line contains of a client's text.
const maxLoggedBytes = 256

// loggable returns the beginning of a client's text for a log line: clients may fill a header with it, and the log takes up to four bytes
// for one that can't be printed.
func loggable(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// formatRetryAfter formats d for Retry-After in seconds, which may have a fraction.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

// refuse answers a request that can't be routed or is invalid, and logs it with its host and path, since its route and
// service may be unknown. It has no result: "refused" in the log says that this instance did not accept it.
func (f *Forwarder) refuse(
	w http.ResponseWriter, r *http.Request, start time.Time, status int, reason string, retryAfter time.Duration,
) {
	f.meter.Count(meter.RequestsNotRun)
	f.meter.CountRefusal(reason)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", formatRetryAfter(retryAfter))
	}
	if f.shuttingDown() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", "0")
	limitUnread(w, r, reason)
	w.WriteHeader(status)
	klog.InfoS("request", "id", loggable(r.Header.Get(f.headers.RequestID)), "host", loggable(r.Host), "path", loggable(r.URL.Path), "outcome", "refused",
		"status", status, "reason", reason, "shutting_down_for", f.shuttingDownFor(time.Now()), "took", time.Since(start))
}

// copyAnswerHeader copies the end-to-end headers of a server's answer to w, and sets Content-Length.
func copyAnswerHeader(w http.ResponseWriter, r result) {
	header := r.header.Clone()
	exchanger.RemoveHopByHop(header)
	delete(header, "Content-Length")
	for name, values := range header {
		w.Header()[name] = values
	}
	if r.toHead && r.header.Get("Content-Length") != "" {
		w.Header().Set("Content-Length", r.header.Get("Content-Length")) // that of the answer to a GET
		return
	}
	w.Header().Set("Content-Length", strconv.FormatInt(r.body.size, 10))
}
