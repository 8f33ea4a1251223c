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
	// unknownPause is the advice of when to come back where nothing better is known.
	unknownPause = 500 * time.Millisecond
	// answerMargin is kept of a request's time for the way of the answer.
	answerMargin = 15 * time.Millisecond
	// moveWait is how long a request waits for keys that move. A move takes tens of milliseconds; one that takes longer waits
	// for a server or for the store, and may go on for seconds.
	moveWait = time.Second
	// movePause is how long a request waits for news of a key whose owner has just changed.
	movePause = 100 * time.Millisecond
	// repeatPause is the pause before a request goes again to the only server that may run it.
	repeatPause = 30 * time.Millisecond
	// maxRounds bounds the ways that one request tries, those that reach no server included.
	maxRounds = 12
	// maxArrivals bounds how often one request may reach servers, those that turned it away included.
	maxArrivals = 4
	// spills is how many further failure domains are asked to run a request that its own one can't run in time.
	spills = 2
)

// read takes the parts of a request that are passed on.
func (j *job) read(r *http.Request, limit int64) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limit {
		return errTooLarge
	}
	j.method, j.uri, j.host, j.header, j.body = r.Method, r.RequestURI, r.Host, r.Header.Clone(), body
	exchanger.RemoveHopByHop(j.header)
	delete(j.header, "Content-Length")
	return nil
}

var errTooLarge = errors.New("body is too large")

// serveClient answers a client's request.
func (c *Forwarder) serveClient(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	c.meter.Count(meter.RequestsReceived)
	v := c.view.Load()
	if v == nil || v.Table == nil {
		c.refuse(w, r, now, http.StatusServiceUnavailable, "no_configuration", unknownPause)
		return
	}
	route, ok := v.Table.Route(r.Host, r.URL.Path)
	if !ok {
		c.refuse(w, r, now, http.StatusNotFound, "no_route", 0)
		return
	}
	j, status, reason := c.newJob(r, now, v, route)
	if j == nil {
		c.refuse(w, r, now, status, reason, 0)
		return
	}
	c.budget.CountRequest(now, j.service, len(v.Members)+1)
	res := c.carry(r.Context(), j, route.MaxAttempts)
	c.answer(w, r, now, j, res)
}

// newJob returns the job of a request, or nil and the status of the answer.
func (c *Forwarder) newJob(r *http.Request, now time.Time, v *resolver.View, route *bundler.Route) (*job, int, string) {
	j := &job{
		id: r.Header.Get(c.names.RequestID), route: route.Name, priority: route.Priority, repeatable: route.Idempotent,
		objective: now.Add(route.Objective), limit: now.Add(route.Timeout), turn: c.turns.Add(1),
	}
	if text := r.Header.Get(c.names.TimeLeft); text != "" {
		ms, err := strconv.ParseFloat(text, 64)
		if err != nil || ms < 0 {
			return nil, http.StatusBadRequest, "bad_time_left"
		}
		if left := now.Add(time.Duration(ms * float64(time.Millisecond))); left.Before(j.limit) {
			j.limit = left
		}
	}
	j.limit = j.limit.Add(-answerMargin)
	j.service = c.splitter.Pick(route)
	service, ok := v.Table.Service(j.service)
	if !ok {
		return nil, http.StatusServiceUnavailable, "no_service"
	}
	if service.Keyed {
		key, err := strconv.ParseUint(r.Header.Get(c.names.Key), 10, 16)
		if err != nil {
			return nil, http.StatusBadRequest, "bad_key"
		}
		j.keyed, j.key = true, uint16(key)
		c.countKey(j.service, j.key)
	}
	if err := j.read(r, v.Table.Limits().BodyBytes); errors.Is(err, errTooLarge) {
		return nil, http.StatusRequestEntityTooLarge, "body_too_large"
	} else if err != nil {
		return nil, http.StatusBadRequest, "bad_body"
	}
	return j, 0, ""
}

// carry tries to get the job answered, with repeats where these are allowed, and returns what is known of it in the end.
func (c *Forwarder) carry(ctx context.Context, j *job, maxAttempts int) result {
	spilled := 0
	var run *result // of the last arrival that may have run
	for round := 1; ; round++ {
		r := c.attempt(ctx, j, spilled)
		if r.sent {
			if j.arrivals++; j.arrivals > 1 {
				c.meter.Count(meter.RequestsRepeated)
			}
		}
		if !r.notRun() {
			run = &r
		}
		last := round == maxRounds || ctx.Err() != nil || j.arrivals >= maxArrivals
		if last || !c.again(ctx, j, r, maxAttempts, &spilled) {
			return r.after(run)
		}
	}
}

// attempt gives the job to the front of its pool.
func (c *Forwarder) attempt(ctx context.Context, j *job, spilled int) result {
	now := time.Now()
	v := c.view.Load()
	if j.keyed {
		if r, ok := c.locate(ctx, now, j); !ok {
			return r
		}
		v = c.view.Load()
	} else {
		pools := v.Pools(j.service, j.turn)
		if len(pools) == 0 {
			return result{outcome: refused, reason: "no_server", retryAfter: unknownPause}
		}
		j.pool = pools[spilled%len(pools)]
	}
	front := v.Dispatcher(j.pool, c.avoided(now))
	if front.Instance == v.Self.Instance {
		return c.front(ctx, j)
	}
	return c.pass(ctx, j, front)
}

// locate finds the pool of the job's key. A range that is between two owners is waited for, as long as it may come back
// in time; ok is false where it does not, and result says why.
func (c *Forwarder) locate(ctx context.Context, now time.Time, j *job) (r result, ok bool) {
	for {
		news := *c.changed.Load()
		v := c.view.Load()
		// A front may know of a change that has not been published to this instance yet.
		if j.owner != "" && v.Owners.Version().Less(j.owners) {
			if pool, known := v.KeyedPool(j.owner); known {
				j.pool = pool
				return result{}, true
			}
		}
		segment, found := v.Owners.Find(j.service, j.key)
		if found && !segment.Moving {
			if pool, known := v.KeyedPool(segment.Server); known {
				j.pool, j.owners = pool, v.Owners.Version()
				return result{}, true
			}
		}
		if segment.PausedUntil.After(j.limit) {
			return result{outcome: refused, reason: "owner_lost", retryAfter: segment.PausedUntil.Sub(now)}, false
		}
		if j.waits.IsZero() {
			j.waits = now
		}
		timer := time.NewTimer(min(j.limit.Sub(now), j.waits.Add(c.moveWait).Sub(now)))
		select {
		case <-news:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return result{outcome: cut, reason: reasonClientLeft}, false
		case <-timer.C:
			return result{outcome: refused, reason: "keys_moving", retryAfter: unknownPause}, false
		}
		now = time.Now()
	}
}

// again decides whether the job is tried once more after r, and waits where that is needed first.
func (c *Forwarder) again(ctx context.Context, j *job, r result, maxAttempts int, spilled *int) bool {
	now := time.Now()
	if !now.Before(j.limit) {
		return false
	}
	members := len(c.view.Load().Members) + 1
	switch r.outcome {
	case answered:
		failed := r.status >= http.StatusInternalServerError
		if !failed || !j.repeatable || j.arrivals >= maxAttempts || !c.budget.AllowRetry(now, j.service, members) {
			return false
		}
		j.avoid = r.server
		return true
	case broken:
		if !j.repeatable || j.arrivals >= maxAttempts || !c.budget.AllowRetry(now, j.service, members) {
			return false
		}
		j.avoid = r.server
		return true
	case rejected:
		if !c.budget.AllowRetry(now, j.service, members) {
			return false
		}
		j.avoid = r.server
		return !j.keyed || c.pause(ctx, j, repeatPause)
	case refused:
		if j.keyed || *spilled >= spills || r.reason == "no_server" {
			return false
		}
		*spilled++
		return true
	case moved:
		if r.server == "" {
			return c.pause(ctx, j, movePause)
		}
		j.owner, j.owners = r.server, r.owners
		return true
	case unreached:
		j.avoid = r.server
		return !j.keyed || c.pause(ctx, j, movePause)
	case cut:
		return false
	}
	return false
}

// pause waits for news or for a while; it reports whether the job still has time after it.
func (c *Forwarder) pause(ctx context.Context, j *job, longest time.Duration) bool {
	news := *c.changed.Load()
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return time.Now().Before(j.limit)
}

// answer writes the final answer and its line in the log.
func (c *Forwarder) answer(w http.ResponseWriter, r *http.Request, began time.Time, j *job, res result) {
	status := res.status
	switch {
	case res.outcome == answered:
		copyAnswer(w, res)
	case res.notRun():
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", seconds(max(res.retryAfter, minPause)))
	case !time.Now().Before(j.limit):
		status = http.StatusGatewayTimeout
	default:
		status = http.StatusBadGateway
	}
	if c.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	body := res.body
	if res.outcome != answered {
		body = nil
		w.Header().Set("Content-Length", "0")
	}
	c.count(time.Since(began), status, res)
	w.WriteHeader(status)
	_, err := w.Write(body)
	v := c.view.Load()
	klog.InfoS("request", "id", j.id, "route", j.route, "service", j.service, "key", j.key, "outcome", res.outcome.String(),
		"status", status, "reason", res.reason, "server", res.server, "front", res.front, "arrivals", j.arrivals,
		"config", v.Table.Version(), "owners_term", j.owners.Term, "owners_sequence", j.owners.Sequence,
		"took", time.Since(began), "retry_after", res.retryAfter, "write_error", err)
}

// count counts a final answer.
func (c *Forwarder) count(took time.Duration, status int, res result) {
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

// minPause is the shortest advice of when to come back.
const minPause = 50 * time.Millisecond

// seconds formats a pause for Retry-After, which may be a fraction.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

// refuse answers a request that was not taken on.
func (c *Forwarder) refuse(
	w http.ResponseWriter, r *http.Request, began time.Time, status int, reason string, pause time.Duration,
) {
	c.meter.Count(meter.RequestsNotRun)
	c.meter.CountRefusal(reason)
	if pause > 0 {
		w.Header().Set("Retry-After", seconds(pause))
	}
	if c.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
	klog.InfoS("request", "id", r.Header.Get(c.names.RequestID), "host", r.Host, "path", r.URL.Path, "outcome", "refused",
		"status", status, "reason", reason, "took", time.Since(began))
}

// copyAnswer copies the headers of a server's answer.
func copyAnswer(w http.ResponseWriter, r result) {
	header := r.header.Clone()
	exchanger.RemoveHopByHop(header)
	delete(header, "Content-Length")
	for name, values := range header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
}
