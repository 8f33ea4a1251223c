package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

const (
	// defaultRetryAfter is the Retry-After of a refusal where there is no better estimate.
	defaultRetryAfter = 500 * time.Millisecond
	// answerMargin is subtracted from a request's deadline to leave time for returning the answer to the client.
	answerMargin = 15 * time.Millisecond
	// moveTimeout bounds how long a request waits for keys that are moving between servers. A move takes tens of
	// milliseconds; one that takes longer is blocked on a server or the store and may last for seconds.
	moveTimeout = time.Second
	// ownerChangeTimeout bounds the wait for a new view before a request for a key is sent again because the key's owner
	// has changed or could not be reached.
	ownerChangeTimeout = 100 * time.Millisecond
	// retryDelay is the delay before a retry at the key's owner, the only server that may execute the request. A new view ends
	// it early.
	retryDelay = 30 * time.Millisecond
	// maxAttemptsPerRequest bounds the attempts of one request, including those that reach no server.
	maxAttemptsPerRequest = 12
	// maxSends bounds how often one request may be sent to a server, including servers that rejected it.
	maxSends = 4
	// maxSpillovers bounds how many further server pools, usually in other failure domains, are tried after a pool
	// refused a request because it can't be answered before its deadline.
	maxSpillovers = 2
)

// readFrom sets the parts of a client's request that are forwarded. It returns errBodyTooLarge if the body has more than
// maxBodyBytes.
func (req *clientRequest) readFrom(r *http.Request, maxBodyBytes int64) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > maxBodyBytes {
		return errBodyTooLarge
	}
	req.method, req.uri, req.host, req.header, req.body = r.Method, r.RequestURI, r.Host, r.Header.Clone(), body
	exchanger.RemoveHopByHop(req.header)
	delete(req.header, "Content-Length")
	return nil
}

var errBodyTooLarge = errors.New("body is too large")

// serveClient routes a client's request, sends it to a server and writes the answer.
func (c *Forwarder) serveClient(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c.meter.Count(meter.RequestsReceived)
	v := c.view.Load()
	if v == nil || v.Table == nil {
		c.refuse(w, r, now, http.StatusServiceUnavailable, "no_configuration", defaultRetryAfter)
		return
	}
	route, ok := v.Table.Route(r.Host, r.URL.Path)
	if !ok {
		c.refuse(w, r, now, http.StatusNotFound, "no_route", 0)
		return
	}
	req, status, reason := c.newClientRequest(r, now, v, route)
	if req == nil {
		c.refuse(w, r, now, status, reason, 0)
		return
	}
	c.budget.CountRequest(now, req.service, len(v.Members)+1)
	res := c.sendWithRetries(r.Context(), req, route.MaxAttempts)
	c.writeAnswer(w, r, now, req, res)
}

// newClientRequest reads a client's request. For an invalid one it returns nil, and the status and reason of the refusal.
func (c *Forwarder) newClientRequest(
	r *http.Request, now time.Time, v *resolver.View, route *bundler.Route,
) (*clientRequest, int, string) {
	req := &clientRequest{
		id: r.Header.Get(c.headers.RequestID), route: route.Name, priority: route.Priority, idempotent: route.Idempotent,
		objective: now.Add(route.Objective), deadline: now.Add(route.Timeout), rotation: c.nextRotation.Add(1),
	}
	if text := r.Header.Get(c.headers.TimeLeft); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return nil, http.StatusBadRequest, "bad_time_left"
		}
		if clientDeadline := now.Add(time.Duration(ms * float64(time.Millisecond))); clientDeadline.Before(req.deadline) {
			req.deadline = clientDeadline
		}
	}
	req.deadline = req.deadline.Add(-answerMargin)
	req.service = c.splitter.Pick(route)
	service, ok := v.Table.Service(req.service)
	if !ok {
		return nil, http.StatusServiceUnavailable, "no_service"
	}
	if service.Keyed {
		key, err := strconv.ParseUint(r.Header.Get(c.headers.ShardKey), 10, 16)
		if err != nil {
			return nil, http.StatusBadRequest, "bad_key"
		}
		req.keyed, req.key = true, uint16(key)
		c.countKey(req.service, req.key)
	}
	if err := req.readFrom(r, v.Table.Limits().BodyBytes); errors.Is(err, errBodyTooLarge) {
		return nil, http.StatusRequestEntityTooLarge, "body_too_large"
	} else if err != nil {
		return nil, http.StatusBadRequest, "bad_body"
	}
	return req, 0, ""
}

// sendWithRetries sends the request, with retries where these are allowed, and returns the final result.
func (c *Forwarder) sendWithRetries(ctx context.Context, req *clientRequest, maxAttempts int) result {
	spillovers := 0
	var mayHaveExecuted *result // of the last attempt that may have executed the request
	for attempt := 1; ; attempt++ {
		r := c.attempt(ctx, req, spillovers)
		if r.sent {
			if req.sends++; req.sends > 1 {
				c.meter.Count(meter.RequestsRepeated)
			}
		}
		if !r.notExecuted() {
			mayHaveExecuted = &r
		}
		last := attempt == maxAttemptsPerRequest || ctx.Err() != nil || req.sends >= maxSends
		if last || !c.prepareRetry(ctx, req, r, maxAttempts, &spillovers) {
			return r.withEarlier(mayHaveExecuted)
		}
	}
}

// attempt chooses a server pool for the request, and passes the request to the pool's dispatcher.
func (c *Forwarder) attempt(ctx context.Context, req *clientRequest, spillovers int) result {
	now := time.Now()
	v := c.view.Load()
	if req.keyed {
		if r, ok := c.resolveOwner(ctx, now, req); !ok {
			return r
		}
		v = c.view.Load()
	} else {
		pools := v.Pools(req.service, req.rotation)
		if len(pools) == 0 {
			return result{outcome: refused, reason: "no_server", retryAfter: defaultRetryAfter}
		}
		req.pool = pools[spillovers%len(pools)]
	}
	dispatcher := v.Dispatcher(req.pool, c.unreachableAt(now))
	if dispatcher.Instance == v.Self.Instance {
		return c.dispatch(ctx, req)
	}
	return c.forwardTo(ctx, req, dispatcher)
}

// resolveOwner sets the server pool of the request's key. If the key is moving between servers, it waits for the new owner,
// at most moveTimeout in all attempts of the request together. ok is false if there is no owner in time; r says why.
func (c *Forwarder) resolveOwner(ctx context.Context, now time.Time, req *clientRequest) (r result, ok bool) {
	for {
		viewChanged := *c.viewChanged.Load()
		v := c.view.Load()
		// A dispatcher may know a newer owner map than the one that was published to this instance.
		if req.newOwner != "" && v.Owners.Version().Less(req.ownerMapVersion) {
			if pool, known := v.KeyedPool(req.newOwner); known {
				req.pool = pool
				return result{}, true
			}
		}
		segment, found := v.Owners.Find(req.service, req.key)
		if found && !segment.Moving {
			if pool, known := v.KeyedPool(segment.Server); known {
				req.pool, req.ownerMapVersion = pool, v.Owners.Version()
				return result{}, true
			}
		}
		if segment.PausedUntil.After(req.deadline) {
			return result{outcome: refused, reason: "owner_lost", retryAfter: segment.PausedUntil.Sub(now)}, false
		}
		if req.moveWaitStart.IsZero() {
			req.moveWaitStart = now
		}
		timer := time.NewTimer(min(req.deadline.Sub(now), req.moveWaitStart.Add(c.moveTimeout).Sub(now)))
		select {
		case <-viewChanged:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return result{outcome: abandoned, reason: reasonClientLeft}, false
		case <-timer.C:
			return result{outcome: refused, reason: "keys_moving", retryAfter: defaultRetryAfter}, false
		}
		now = time.Now()
	}
}

// prepareRetry reports whether the request is to be sent again after r. It first waits where a retry needs a delay, and sets
// what the next attempt must avoid or use.
func (c *Forwarder) prepareRetry(ctx context.Context, req *clientRequest, r result, maxAttempts int, spillovers *int) bool {
	now := time.Now()
	if !now.Before(req.deadline) {
		return false
	}
	instances := len(c.view.Load().Members) + 1
	switch r.outcome {
	case answered:
		failed := r.status >= http.StatusInternalServerError
		if !failed || !req.idempotent || req.sends >= maxAttempts || !c.budget.AllowRetry(now, req.service, instances) {
			return false
		}
		req.avoidServer = r.server
		return true
	case broken:
		if !req.idempotent || req.sends >= maxAttempts || !c.budget.AllowRetry(now, req.service, instances) {
			return false
		}
		req.avoidServer = r.server
		return true
	case rejected:
		if !c.budget.AllowRetry(now, req.service, instances) {
			return false
		}
		req.avoidServer = r.server
		return !req.keyed || c.waitForViewChange(ctx, req, retryDelay)
	case refused:
		if req.keyed || *spillovers >= maxSpillovers || r.reason == "no_server" {
			return false
		}
		*spillovers++
		return true
	case moved:
		if r.server == "" {
			return c.waitForViewChange(ctx, req, ownerChangeTimeout)
		}
		req.newOwner, req.ownerMapVersion = r.server, r.ownerMapVersion
		return true
	case unreached:
		req.avoidServer = r.server
		return !req.keyed || c.waitForViewChange(ctx, req, ownerChangeTimeout)
	case abandoned:
		return false
	}
	return false
}

// waitForViewChange waits for a new view, at most for timeout. It reports whether the request can still be sent before its
// deadline; it can't after its client has left.
func (c *Forwarder) waitForViewChange(ctx context.Context, req *clientRequest, timeout time.Duration) bool {
	viewChanged := *c.viewChanged.Load()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-viewChanged:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return time.Now().Before(req.deadline)
}

// writeAnswer writes the final answer to the client, and logs the request.
func (c *Forwarder) writeAnswer(w http.ResponseWriter, r *http.Request, start time.Time, req *clientRequest, res result) {
	status := res.status
	switch {
	case res.outcome == answered:
		copyAnswerHeader(w, res)
	case res.notExecuted():
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", formatRetryAfter(max(res.retryAfter, minRetryAfter)))
	case !time.Now().Before(req.deadline):
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	if c.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	body := res.body
	if res.outcome != answered {
		body = nil
		w.Header().Set("Content-Length", "0")
	}
	c.countResult(time.Since(start), status, res)
	w.WriteHeader(status)
	_, err := w.Write(body)
	v := c.view.Load()
	klog.InfoS("request", "id", req.id, "route", req.route, "service", req.service, "key", req.key,
		"outcome", res.outcome.String(), "status", status, "reason", res.reason, "server", res.server,
		"front", res.dispatcher, "arrivals", req.sends,
		"config", v.Table.Version(), "owners_term", req.ownerMapVersion.Term, "owners_sequence", req.ownerMapVersion.Sequence,
		"took", time.Since(start), "retry_after", res.retryAfter, "write_error", err)
}

// countResult counts a final answer in the metrics.
func (c *Forwarder) countResult(took time.Duration, status int, res result) {
	c.meter.ObserveRequest(took)
	reason, _, _ := strings.Cut(res.reason, ":")
	switch {
	case res.outcome == answered:
		c.meter.Count(meter.RequestsAnswered)
	case status == http.StatusServiceUnavailable:
		c.meter.Count(meter.RequestsNotRun)
		c.meter.CountRefusal(reason)
	default:
		c.meter.Count(meter.RequestsUnknown)
	}
	if res.reason == reasonClientLeft {
		c.meter.Count(meter.RequestsCancelled)
	}
}

// minRetryAfter is the shortest Retry-After.
const minRetryAfter = 50 * time.Millisecond

// formatRetryAfter formats d for Retry-After in seconds, which may have a fraction.
func formatRetryAfter(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

// refuse answers a request that can't be routed or is invalid, and logs it.
func (c *Forwarder) refuse(
	w http.ResponseWriter, r *http.Request, start time.Time, status int, reason string, retryAfter time.Duration,
) {
	c.meter.Count(meter.RequestsNotRun)
	c.meter.CountRefusal(reason)
	if retryAfter > 0 {
		w.Header().Set("Retry-After", formatRetryAfter(retryAfter))
	}
	if c.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	klog.InfoS("request", "id", r.Header.Get(c.headers.RequestID), "host", r.Host, "path", r.URL.Path, "outcome", "refused",
		"status", status, "reason", reason, "took", time.Since(start))
}

// copyAnswerHeader copies the end-to-end headers of a server's answer to w, and sets Content-Length.
func copyAnswerHeader(w http.ResponseWriter, r result) {
	header := r.header.Clone()
	exchanger.RemoveHopByHop(header)
	delete(header, "Content-Length")
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
}
