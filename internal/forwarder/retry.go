package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

const (
	// moveTimeout bounds how long a request waits for keys that are moving between servers. A move takes tens of
	// milliseconds; one that takes longer is blocked on a server or the store and may last for seconds.
	moveTimeout = time.Second
	// ownerChangeTimeout bounds the wait for a new view before a request for a key is sent again because the key's owner
	// has changed or could not be reached.
	ownerChangeTimeout = 100 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before a retry at the key's owner, the only server that may execute the
	// request. A new view ends it early.
	minRetryDelay = 15 * time.Millisecond
	maxRetryDelay = 60 * time.Millisecond
	// retryDelayFraction divides the time that is left to a request's objective: the delay is that part of it. With a divisor of
	// 16, a request with an objective of 500 ms is tried again after 30 ms.
	retryDelayFraction = 16
	// maxAttemptsPerRequest bounds the passes of the retry loop for one request, including those that reach no server.
	maxAttemptsPerRequest = 12
	// maxSends bounds how often one request may be sent to a server, including servers that rejected it.
	maxSends = 4
	// maxSpillovers bounds how many further server pools are tried, first in this failure domain and then in others, after a
	// pool refused a request because it can't be answered before its deadline.
	maxSpillovers = 2
)

// sendWithRetries sends the request, with retries where these are allowed, and returns the final result.
func (f *Forwarder) sendWithRetries(ctx context.Context, req *clientRequest, maxAttempts int) result {
	spillovers := 0
	var mayHaveExecuted *result // of the last attempt that may have executed the request
	for attempt := 1; ; attempt++ {
		r := f.attempt(ctx, req, spillovers)
		if r.maybeSent {
			if req.sends++; req.sends > 1 {
				f.meter.Count(meter.RequestsRepeated)
			}
		}
		if !r.notExecuted() {
			mayHaveExecuted = &r
		}
		last := attempt == maxAttemptsPerRequest || ctx.Err() != nil || req.sends >= maxSends
		if last || !f.prepareRetry(ctx, req, r, maxAttempts, &spillovers) {
			return r.withEarlier(mayHaveExecuted)
		}
	}
}

// attempt chooses a server pool for the request, and passes the request to the pool's dispatcher.
func (f *Forwarder) attempt(ctx context.Context, req *clientRequest, spillovers int) result {
	now := time.Now()
	v := f.view.Load()
	pool := req.pool
	if req.keyed {
		if r, ok := f.resolveOwner(ctx, now, req); !ok {
			return r
		}
		v = f.view.Load()
	} else {
		pools := v.Pools(req.service, req.rotation)
		if len(pools) == 0 && v.ServiceEvacuated(req.service, false) {
			return result{outcome: refused, reason: reasonEvacuated, retryAfter: defaultRetryAfter}
		}
		if len(pools) == 0 {
			return result{outcome: refused, reason: reasonNoServer, retryAfter: defaultRetryAfter}
		}
		req.pool = pools[spillovers%len(pools)]
	}
	if req.pool != pool {
		req.triedDispatchers, req.failedConnects = nil, 0
	}
	dispatcher, ok := f.chooseDispatcher(now, v, req)
	if !ok {
		return result{outcome: refused, reason: reasonNoPath, retryAfter: defaultRetryAfter}
	}
	if dispatcher.Instance == v.Self.Instance {
		return f.dispatch(ctx, req)
	}
	return f.forwardTo(ctx, req, dispatcher)
}

// chooseDispatcher returns the instance that dispatches the next attempt of a request. ok is false if none is known that can be
// reached and may have a path to the servers of the request's pool. After too many others without one, only this instance is tried.
func (f *Forwarder) chooseDispatcher(now time.Time, v *resolver.View, req *clientRequest) (dispatcher resolver.Member, ok bool) {
	f.mu.Lock()
	declined := f.declines.of(now, req.pool)
	f.mu.Unlock()
	if len(declined) >= maxDeclines || len(req.triedDispatchers) >= maxDetours {
		if !slices.Contains(declined, v.Self.Instance) && !slices.Contains(req.triedDispatchers, v.Self.Instance) {
			return v.Self, true
		}
	}
	if len(declined) >= maxDeclines {
		return resolver.Member{}, false
	}
	unreachable := f.unreachableAt(now)
	unusable := func(instance string) bool { return unreachable(instance) || slices.Contains(declined, instance) }
	avoid := func(instance string) bool {
		return unusable(instance) || slices.Contains(req.triedDispatchers, instance)
	}
	if dispatcher = v.Dispatcher(req.pool, avoid); !avoid(dispatcher.Instance) {
		return dispatcher, true
	}
	if req.keyed {
		return resolver.Member{}, false
	}
	dispatcher = v.Dispatcher(req.pool, unusable) // it may reach another server of the pool
	return dispatcher, !unusable(dispatcher.Instance)
}

// resolveOwner sets the server pool of the request's key. If the key is moving between servers, it waits for the new owner,
// at most moveTimeout in all attempts of the request together. ok is false if there is no owner in time; r says why.
func (f *Forwarder) resolveOwner(ctx context.Context, now time.Time, req *clientRequest) (r result, ok bool) {
	for {
		viewChanged := *f.viewChanged.Load()
		v := f.view.Load()
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
		if v.ServiceEvacuated(req.service, true) {
			return result{outcome: refused, reason: reasonEvacuated, retryAfter: defaultRetryAfter}, false
		}
		if req.moveWaitStart.IsZero() {
			req.moveWaitStart = now
		}
		// The leader expects no owner before PausedUntil, for example because the lease of a failed owner must expire first. A
		// request that would wait in vain is refused at once.
		waitEnd := req.moveWaitStart.Add(f.moveTimeout)
		if segment.PausedUntil.After(req.deadline) || segment.PausedUntil.After(waitEnd) {
			return result{outcome: refused, reason: "owner_lost", retryAfter: segment.PausedUntil.Sub(now)}, false
		}
		timer := time.NewTimer(min(req.deadline.Sub(now), req.moveWaitStart.Add(f.moveTimeout).Sub(now)))
		select {
		case <-viewChanged:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return result{outcome: abandoned, reason: f.endReason(ctx), retryAfter: minRetryAfter}, false
		case <-timer.C:
			return result{outcome: refused, reason: "keys_moving", retryAfter: defaultRetryAfter}, false
		}
		now = time.Now()
	}
}

// prepareRetry reports whether another attempt follows r. It takes a retry after an answer, a broken exchange or a rejection
// from the retry budget, waits where a retry needs a delay, and sets what the next attempt must avoid or use.
func (f *Forwarder) prepareRetry(ctx context.Context, req *clientRequest, r result, maxAttempts int, spillovers *int) bool {
	now := time.Now()
	if !now.Before(req.deadline) {
		return false
	}
	instances := len(f.view.Load().Members) + 1
	switch r.outcome {
	case answered:
		failed := r.status >= http.StatusInternalServerError
		if !failed || !req.idempotent || req.sends >= maxAttempts || !f.budget.AllowRetry(now, req.service, instances) {
			return false
		}
		req.avoidServer = r.server
		return true
	case broken:
		if !req.idempotent || req.sends >= maxAttempts || !f.budget.AllowRetry(now, req.service, instances) {
			return false
		}
		req.avoidServer = r.server
		return true
	case rejected:
		if req.keyed && r.retryAfter > 0 {
			return false // only this server may execute the request, and it wants none for a while
		}
		if !f.budget.AllowRetry(now, req.service, instances) {
			return false
		}
		req.avoidServer = r.server
		return !req.keyed || f.waitForViewChange(ctx, req, retryDelay(now, req.objective))
	case refused:
		return r.reason != reasonNoServer && r.reason != reasonEvacuated && !r.isBarred() && f.spillOver(req, spillovers)
	case moved:
		if r.server == "" {
			return f.waitForViewChange(ctx, req, ownerChangeTimeout)
		}
		req.newOwner, req.ownerMapVersion = r.server, r.ownerMapVersion
		return true
	case unreached:
		req.avoidServer = r.server
		if r.lacksPath() {
			return f.detour(now, req, r) || f.spillOver(req, spillovers)
		}
		return !req.keyed || f.waitForViewChange(ctx, req, ownerChangeTimeout)
	case abandoned:
		return false
	}
	return false
}

// retryDelay returns the delay before a rejected request is sent to the only server that may execute it again. The less time is
// left to its objective the shorter it is, so that of several requests the most urgent one takes the slot and the retry of the
// budget. A request that is late already waits longest.
func retryDelay(now, objective time.Time) time.Duration {
	left := objective.Sub(now)
	if left <= 0 {
		return maxRetryDelay
	}
	return min(max(left/retryDelayFraction, minRetryDelay), maxRetryDelay)
}

// spillOver makes the next attempt of a request without a key try another server pool, and reports whether there is one to try.
func (f *Forwarder) spillOver(req *clientRequest, spillovers *int) bool {
	if req.keyed || *spillovers >= maxSpillovers {
		return false
	}
	*spillovers++
	return true
}

// waitForViewChange waits for a new view, at most for timeout. It reports whether the request can still be sent before its
// deadline; it can't after its client has left.
func (f *Forwarder) waitForViewChange(ctx context.Context, req *clientRequest, timeout time.Duration) bool {
	viewChanged := *f.viewChanged.Load()
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
