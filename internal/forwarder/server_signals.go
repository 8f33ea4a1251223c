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

// observeLimit records the limit that an answer names, or that it names none, and calls onLimit if that is a change.
func (f *Forwarder) observeLimit(now, sent time.Time, server cataloger.Server, status int, header http.Header) {
	if f.recordLimit(now, sent, server, status, header.Get(f.headers.Limit)) && f.onLimit != nil {
		f.onLimit(server.ID)
	}
}

// recordLimit records the limit that an answer names in text, or none if that is empty, and reports whether it is a change. An
// answer with the status 421 may come from another server that has taken over the address, so it withdraws no limit.
func (f *Forwarder) recordLimit(now, sent time.Time, server cataloger.Server, status int, text string) bool {
	if text == "" && status == http.StatusMisdirectedRequest {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if text == "" {
		if !f.limits.NotNamed(now, sent, server.ID, server.Incarnation) {
			return false
		}
		f.limitChanged(now, server.ID, server.Incarnation)
		klog.InfoS("server no longer limits its requests", "server", server.ID)
		return true
	}
	rate, err := throttler.ParseRate(text)
	if err != nil {
		f.meter.Count(meter.InvalidServerLimits)
		klog.InfoS("limit that a server names is invalid", "server", server.ID, "error", err)
		return false
	}
	if !f.limits.Named(now, server.ID, server.Incarnation, rate) {
		return false
	}
	f.limitChanged(now, server.ID, server.Incarnation)
	limit, _ := f.limits.Get(server.ID, server.Incarnation)
	f.meter.Count(meter.ServerLimits)
	klog.InfoS("server limits its requests", "server", server.ID, "rate", rate, "for", now.Sub(limit.Since))
	return true
}

// observeHopLimit records what an answer that came through the dispatcher says about the limit of its server, so that this
// instance keeps it should it become the dispatcher. The dispatcher itself reports the limit.
func (f *Forwarder) observeHopLimit(now, sent time.Time, server cataloger.Server, header http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.limits.Statement(server.ID)
	text := header.Get(f.headers.Limit)
	rate, err := throttler.ParseRate(text)
	switch {
	case text == "" && (!ok || !known.Limited || sent.Before(known.At)):
		return
	case text != "" && err != nil: // the dispatcher counts and logs it
		return
	}
	s := throttler.Statement{Server: server.ID, Incarnation: server.Incarnation, Limited: text != "", At: now}
	s.Limit = throttler.Limit{Rate: rate, Since: now}
	if ok && known.Limited && known.Incarnation == server.Incarnation {
		s.Limit.Since = known.Limit.Since
	}
	if f.limits.Learn(s) {
		f.limitChanged(now, server.ID, server.Incarnation)
	}
}

// OnLimit registers a function that is called with each server whose limit an answer to this instance changes. It must be
// called before the first request.
func (f *Forwarder) OnLimit(onLimit func(server string)) { f.onLimit = onLimit }

// Limit returns the limit of an incarnation of a server, and false if it names none.
func (f *Forwarder) Limit(server string, incarnation int64) (throttler.Limit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Get(server, incarnation)
}

// LimitStatement returns the latest statement of a server about its limit, and false if it has never named one.
func (f *Forwarder) LimitStatement(server string) (throttler.Statement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.Statement(server)
}

// LimitedServers returns the servers that have named a limit, also those that have withdrawn it.
func (f *Forwarder) LimitedServers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits.All()
}

// LearnLimit records a statement of a server that another instance has passed on, and reports whether that is a change.
func (f *Forwarder) LearnLimit(now time.Time, s throttler.Statement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.limits.Learn(s) {
		return false
	}
	f.limitChanged(now, s.Server, s.Incarnation)
	klog.InfoS("limit of a server learned from another instance", "server", s.Server, "limited", s.Limited, "rate", s.Limit.Rate,
		"for", now.Sub(s.Limit.Since), "age", now.Sub(s.At))
	return true
}

// limitChanged passes the limit of an incarnation of a server to the queues. The caller holds mu.
func (f *Forwarder) limitChanged(now time.Time, server string, incarnation int64) {
	f.countLimitedServers()
	limit, limited := f.limits.Get(server, incarnation)
	for _, q := range f.queues {
		f.notifyWaiters(q, q.queue.SetLimit(now, server, limited, f.limitShare*limit.Rate))
	}
}

// ShareLimits sets the part of the limits of servers that this instance uses, from the time since it was last in contact with
// a leader.
func (f *Forwarder) ShareLimits(now time.Time, silence time.Duration) {
	share := throttler.Share(silence)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stepContact(now, silence)
	if share == f.limitShare {
		return
	}
	f.limitShare = share
	for _, server := range f.limits.All() {
		if s, ok := f.limits.Statement(server); ok && s.Limited {
			f.limitChanged(now, server, s.Incarnation)
			klog.InfoS("part of a server's limit that is used here changed", "server", server, "rate", s.Limit.Rate, "part", share)
		}
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
