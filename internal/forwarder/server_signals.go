package forwarder

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

// maxPause bounds the time for which a server can ask for no requests with one answer.
const maxPause = 30 * time.Second

// pause is the time for which an incarnation of a server wants no requests from this instance.
type pause struct {
	until       time.Time
	incarnation int64
}

// OnLeaving registers a function that is called with each answer in which a server says that it is leaving. It must not
// block. It must be called before the first request.
func (f *Forwarder) OnLeaving(onLeaving func(server string, incarnation int64)) {
	f.onLeaving = onLeaving
}

// observeServer records what the answer to a request that was sent at a given time says about the server itself: that it is
// leaving, how many requests it takes, or that it wants none for a while.
func (f *Forwarder) observeServer(now, sent time.Time, server cataloger.Server, status int, header http.Header) {
	f.observeLeaving(server, header)
	f.observeLimit(now, sent, server, status, header)
	text := header.Get("Retry-After")
	if status != http.StatusServiceUnavailable || text == "" {
		return
	}
	wanted, valid := parseRetryAfter(text)
	if !valid {
		f.meter.Count(meter.InvalidRetryAfters)
		klog.InfoS("pause that a server asks for is invalid", "server", server.ID, "retry_after", text, "applied", wanted)
	}
	if wanted == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.pauses[server.ID]
	if previous.incarnation == server.Incarnation && previous.until.After(now.Add(wanted)) {
		return
	}
	if !now.Before(previous.until) || previous.incarnation != server.Incarnation {
		f.meter.Count(meter.ServerPauses)
		klog.InfoS("server wants no requests for a while", "server", server.ID, "pause", wanted)
	}
	f.pauses[server.ID] = pause{until: now.Add(wanted), incarnation: server.Incarnation}
}

// observeLeaving calls onLeaving if an answer says that its server is leaving.
func (f *Forwarder) observeLeaving(server cataloger.Server, header http.Header) {
	if f.onLeaving != nil && f.headers.LeavingValue != "" && header.Get(f.headers.Leaving) == f.headers.LeavingValue {
		f.onLeaving(server.ID, server.Incarnation)
	}
}

// observeLimit records the limit that an answer names, or that it names none. An answer with the status 421 may come from
// another server that has taken over the address, so it withdraws no limit.
func (f *Forwarder) observeLimit(now, sent time.Time, server cataloger.Server, status int, header http.Header) {
	text := header.Get(f.headers.Limit)
	if text == "" {
		if status == http.StatusMisdirectedRequest {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.limits.NotNamed(now, sent, server.ID, server.Incarnation) {
			f.limitChanged(now, server)
			klog.InfoS("server no longer limits its requests", "server", server.ID)
		}
		return
	}
	rate, err := throttler.ParseRate(text)
	if err != nil {
		f.meter.Count(meter.InvalidServerLimits)
		klog.InfoS("limit that a server names is invalid", "server", server.ID, "error", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limits.Named(now, server.ID, server.Incarnation, rate) {
		limit, _ := f.limits.Get(server.ID, server.Incarnation)
		f.meter.Count(meter.ServerLimits)
		f.limitChanged(now, server)
		klog.InfoS("server limits its requests", "server", server.ID, "rate", rate, "for", now.Sub(limit.Since))
	}
}

// limitChanged passes the limit of a server to the queues. The caller holds mu.
func (f *Forwarder) limitChanged(now time.Time, server cataloger.Server) {
	f.countLimitedServers()
	limit, limited := f.limits.Get(server.ID, server.Incarnation)
	for _, q := range f.queues {
		f.notifyWaiters(q, q.queue.SetLimit(now, server.ID, limited, limit.Rate))
	}
}

// countLimitedServers sets the gauge of the servers that name a limit. The caller holds mu.
func (f *Forwarder) countLimitedServers() {
	f.meter.Set(meter.LimitedServers, int64(f.limits.Servers()))
}

// parseRetryAfter parses the Retry-After of a server, a number of seconds that may have a fraction. A longer time than
// maxPause is cut to that, and any other text means no pause; both are invalid.
func parseRetryAfter(text string) (wanted time.Duration, valid bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || math.IsNaN(seconds) || seconds < 0:
		return 0, false
	case seconds > maxPause.Seconds():
		return maxPause, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// pauseLeft returns how much longer a server wants no requests from this instance.
func (f *Forwarder) pauseLeft(now time.Time, serverID string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(0, f.pauses[serverID].until.Sub(now))
}
