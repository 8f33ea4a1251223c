package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

const (
	// coldCheckInterval is the time between two looks for servers that have turned warm, or must be asked whether they are.
	coldCheckInterval = 50 * time.Millisecond
	// maxColdHold is how long a request waits right before it is sent because its server is cold. A longer wait belongs in the queue.
	maxColdHold = 250 * time.Millisecond
	// coldHoldInterval is the time between two looks whether a server has answered that it is not cold.
	coldHoldInterval = 10 * time.Millisecond
	// warmupCheckTimeout bounds the answer to the question whether a server is cold, which may wait for a slot.
	warmupCheckTimeout = time.Second
	// maxWarmupChecks bounds the questions in flight, so that they take no more than a small part of the instance's connections.
	maxWarmupChecks = 64
)

// coldServers is what this instance knows about servers that are cold, and what it has sent to servers that may turn cold.
type coldServers struct {
	rule    throttler.ColdRule
	warmups throttler.Warmups
	sends   map[string]*throttler.Window // by server id
	known   map[string]bool              // servers that were cold at the last look, by id
	// evacuated are the servers whose failure domain is evacuated, by id. They are cold afterwards.
	evacuated map[string]bool
	contact   throttler.Contact
	// lastLook is when tickCold last ran, and checks the number of questions in flight.
	lastLook time.Time
	checks   int
}

// SetColdRule sets how many requests may be sent to cold servers. It must be called before the first request.
func (f *Forwarder) SetColdRule(rule throttler.ColdRule) { f.cold.rule = rule }

// ColdUntil returns until when an incarnation of a server is cold, or the zero Time.
func (f *Forwarder) ColdUntil(server string, incarnation int64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cold.warmups.ColdUntil(server, incarnation)
}

// ColdRate returns how many requests a second all instances together send to a server that says that it is cold, and false if it
// does not say so.
func (f *Forwarder) ColdRate(now time.Time, server string) (float64, bool) {
	v := f.view.Load()
	if v == nil {
		return 0, false
	}
	s, _ := v.Server(server)
	tolerated, limited := warmupRate(v, s.Service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !limited || !now.Before(f.cold.warmups.StatedUntil(s.ID, s.Incarnation)) {
		return 0, false
	}
	return f.cold.rule.Dispatcher(tolerated).Rate, true
}

// warmupRate returns how many requests a second a cold server of a service tolerates, and false if it tolerates any number.
func warmupRate(v *resolver.View, service string) (float64, bool) {
	if v == nil || v.Table == nil {
		return 0, false
	}
	s, ok := v.Table.Service(service)
	return s.WarmupRate, ok && s.WarmupRate > 0
}

// registerWarmups records what the registrations of a view say about the warm-up of servers. The caller holds mu.
func (f *Forwarder) registerWarmups(now time.Time, v *resolver.View) {
	if v.Table == nil {
		return
	}
	for _, s := range v.AllServers() {
		if _, limited := warmupRate(v, s.Service); !limited {
			continue
		}
		service, _ := v.Table.Service(s.Service)
		invalid := f.cold.warmups.Register(now, throttler.Registration{
			Server: s.ID, Incarnation: s.Incarnation, Started: time.UnixMilli(s.Incarnation), Left: s.WarmupLeft,
			Unknown: s.WarmupUnknown, ReadAt: s.WarmupReadAt, WarmupTime: service.WarmupTime,
		})
		if invalid {
			f.meter.Count(meter.InvalidWarmups)
			klog.InfoS("warm-up time in a registration is invalid", "server", s.ID, "left", s.WarmupLeft, "unknown", s.WarmupUnknown,
				"longest", service.WarmupTime)
		}
	}
	for server := range f.cold.evacuated {
		if s, ok := v.Server(server); ok && !s.Evacuated {
			f.cold.warmups.Suspect(now, server)
		}
	}
	f.cold.evacuated = map[string]bool{}
	for _, s := range v.Evacuated() {
		f.cold.evacuated[s.ID] = true
	}
	f.cold.warmups.Retain(now, func(server string) bool {
		s, ok := v.Server(server)
		_, limited := warmupRate(v, s.Service)
		return ok && limited
	})
	for server := range f.cold.known {
		if _, ok := v.Server(server); !ok {
			delete(f.cold.known, server)
		}
	}
}

// coldness returns until when a server is cold and how many requests a second this instance may send to it until then. The caller
// holds mu.
func (f *Forwarder) coldness(
	now time.Time, v *resolver.View, serverPool resolver.ServerPool, s cataloger.Server,
) (until time.Time, rate float64) {
	tolerated, limited := warmupRate(v, s.Service)
	if !limited {
		return time.Time{}, 0
	}
	until = f.cold.warmups.LimitedUntil(now, s.ID, s.Incarnation)
	if !now.Before(until) {
		return time.Time{}, 0
	}
	return until, f.coldLimit(v, serverPool, tolerated).Rate
}

// coldLimit returns what this instance may send to a cold server of a pool. The caller holds mu.
func (f *Forwarder) coldLimit(v *resolver.View, serverPool resolver.ServerPool, tolerated float64) throttler.ColdLimit {
	return f.cold.rule.Limit(tolerated, f.cold.contact.Certain() && dispatchesItself(v, serverPool))
}

// applyColdness passes to the queues which servers are cold. The caller holds mu.
func (f *Forwarder) applyColdness(now time.Time) {
	v := f.view.Load()
	if v == nil {
		return
	}
	for serverPool, q := range f.queues {
		for _, s := range v.Servers(serverPool) {
			if _, limited := warmupRate(v, s.Service); limited {
				until, rate := f.coldness(now, v, serverPool, s)
				f.notifyWaiters(q, q.queue.SetCold(now, s.ID, until, rate))
			}
		}
	}
}

// stepContact records a step of the control loop, and the time since this instance was last in contact with a leader. The caller
// holds mu.
func (f *Forwarder) stepContact(now time.Time, silence time.Duration) {
	f.resumeContact(now)
	if f.cold.contact.Step(now, silence) {
		f.applyColdness(now)
	}
}

// resumeContact notices that this instance was suspended. The caller holds mu.
func (f *Forwarder) resumeContact(now time.Time) {
	if !f.cold.contact.Resume(now) {
		return
	}
	for _, q := range f.queues {
		q.queue.EmptyCold(now)
	}
	f.applyColdness(now)
}

// suspectCold records that a server may have turned cold.
func (f *Forwarder) suspectCold(now time.Time, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cold.warmups.Suspect(now, server) {
		f.applyColdness(now)
	}
}

// tickCold passes changes of cold servers to the queues, and asks the servers of this instance's queues that may be cold.
func (f *Forwarder) tickCold(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.view.Load()
	if v == nil || f.cold.warmups.Empty() || now.Sub(f.cold.lastLook) < coldCheckInterval {
		return
	}
	f.cold.lastLook = now
	cold := f.cold.warmups.Cold(now)
	f.meter.Set(meter.ColdServers, int64(cold))
	if cold > 0 {
		f.applyColdness(now)
	}
	for _, s := range v.AllServers() {
		f.lookAt(now, s)
	}
	for server, w := range f.cold.sends {
		if w.Empty(now) {
			delete(f.cold.sends, server)
		}
	}
	for serverPool := range f.queues {
		for _, s := range v.Servers(serverPool) {
			f.ask(now, v, s)
		}
	}
}

// ask asks a server whether it is cold, if it must be asked now. The caller holds mu.
func (f *Forwarder) ask(now time.Time, v *resolver.View, s cataloger.Server) {
	if f.cold.checks >= maxWarmupChecks || !f.cold.warmups.Ask(now, s.ID) {
		return
	}
	f.cold.checks++
	f.meter.Count(meter.WarmupChecks)
	service, _ := v.Table.Service(s.Service)
	go f.checkWarmup(s, service.HealthPath)
}

// lookAt logs and counts a server that has turned cold or warm since the last look. The caller holds mu.
func (f *Forwarder) lookAt(now time.Time, s cataloger.Server) {
	until := f.cold.warmups.ColdUntil(s.ID, s.Incarnation)
	isCold := now.Before(until)
	switch {
	case isCold == f.cold.known[s.ID]:
	case isCold:
		if f.cold.known == nil {
			f.cold.known = map[string]bool{}
		}
		f.cold.known[s.ID] = true
		f.meter.Count(meter.ColdServersMet)
		klog.InfoS("server is cold", "server", s.ID, "service", s.Service, "for", until.Sub(now))
	default:
		delete(f.cold.known, s.ID)
		klog.InfoS("server is warm", "server", s.ID, "service", s.Service)
	}
}

// checkWarmup asks a server by a health check for its remaining warm-up time.
func (f *Forwarder) checkWarmup(s cataloger.Server, path string) {
	asked := time.Now()
	left, ok := f.askWarmup(asked, s, path)
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.checks--
	if !ok {
		return
	}
	if !f.cold.warmups.Answered(now, asked, s.ID, s.Incarnation, left) {
		f.meter.Count(meter.InvalidWarmups)
		klog.InfoS("warm-up time in the answer to a health check is invalid", "server", s.ID, "left", left)
	}
	f.applyColdness(now)
}

// askWarmup returns the remaining warm-up time that a server names. ok is false if there is no answer that comes from this server.
// An answer without a warm-up time is that of a warm server; one that is no number is returned as a negative time.
func (f *Forwarder) askWarmup(now time.Time, s cataloger.Server, path string) (left time.Duration, ok bool) {
	ctx, cancel := context.WithTimeout(f.lifetime, warmupCheckTimeout)
	defer cancel()
	deadline := now.Add(warmupCheckTimeout)
	connection, err := f.serverConnPool(s.Address, s.Slots).AcquireNew(ctx, now, deadline)
	if err != nil {
		f.observeContact(time.Now(), s.ID, classifyConnectError(err, warmupCheckTimeout))
		return 0, false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.Address+path, nil)
	if err != nil {
		connection.Release(time.Now())
		klog.InfoS("health check can't be sent", "server", s.ID, "path", path, "error", err)
		return 0, false
	}
	req.Header.Set(f.headers.Target, s.ID)
	req.Header.Set(f.headers.TimeLeft, strconv.FormatInt(warmupCheckTimeout.Milliseconds(), 10))
	response, err := connection.Do(ctx, req, deadline, nil)
	if err != nil {
		f.observeContact(time.Now(), s.ID, classifyError(err, false))
		return 0, false
	}
	_, err = io.Copy(io.Discard, response.Body) // the pool bounds its length
	response.Close(time.Now(), err == nil)
	if id := response.Header.Get(f.headers.Instance); err != nil || id != "" && id != s.ID || response.Status == http.StatusMisdirectedRequest {
		return 0, false
	}
	text := response.Header.Get(f.headers.Warmup)
	if text == "" {
		return 0, response.Status == http.StatusOK || response.Status == http.StatusServiceUnavailable
	}
	return parseWarmup(text), true
}

// maxWarmupMS bounds the remaining warm-up time that a server can name, in milliseconds: an hour.
const maxWarmupMS = 60 * 60 * 1000

// parseWarmup parses a remaining warm-up time in milliseconds. Text that is no such time gives a negative one.
func parseWarmup(text string) time.Duration {
	ms, err := strconv.ParseFloat(text, 64)
	if err != nil || !(ms >= 0) { // the negation also holds for NaN
		return -1
	}
	return time.Duration(min(ms, maxWarmupMS) * float64(time.Millisecond))
}

// awaitColdTurn waits until a request can be sent to a server without exceeding what this instance may send to it while it is cold,
// and records the request as sent. The queue has spaced the requests already, but opening connections and other delays may bring
// them together again. It returns false if the request can't be sent soon.
func (f *Forwarder) awaitColdTurn(ctx context.Context, req *clientRequest, s cataloger.Server) bool {
	v := f.view.Load()
	tolerated, limited := warmupRate(v, s.Service)
	if !limited {
		return true
	}
	start := time.Now()
	defer func() { req.held = time.Since(start) }()
	held := false
	for {
		now := time.Now()
		delay := f.takeColdTurn(now, v, tolerated, s, req.pool)
		if delay == 0 {
			return true
		}
		if !held {
			held = true
			f.meter.Count(meter.ColdRequestsHeld)
		}
		if end := now.Add(delay); end.Sub(start) > maxColdHold || !end.Before(req.deadline) {
			if delay == coldHoldInterval { // the server does not answer whether it is cold
				f.suspectCold(now, s.ID)
			}
			return false
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
	}
}

// takeColdTurn records a request as sent and returns 0, or returns how long it must wait because its server is cold.
func (f *Forwarder) takeColdTurn(
	now time.Time, v *resolver.View, tolerated float64, s cataloger.Server, serverPool resolver.ServerPool,
) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.cold.sends[s.ID]
	if w == nil {
		if f.cold.sends == nil {
			f.cold.sends = map[string]*throttler.Window{}
		}
		w = &throttler.Window{}
		f.cold.sends[s.ID] = w
	}
	most := f.coldLimit(v, serverPool, tolerated).Most
	if now.Before(f.cold.warmups.ColdUntil(s.ID, s.Incarnation)) {
		if delay := w.Delay(now, most); delay > 0 {
			return delay
		}
	}
	hold := f.cold.warmups.Sending(now, s.ID, most)
	f.ask(now, v, s)
	if hold {
		return coldHoldInterval
	}
	w.Add(now)
	return 0
}
