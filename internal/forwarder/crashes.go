package forwarder

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
)

const (
	// endedProbeTimeout bounds the connection by which an instance finds out whether a server has ended.
	endedProbeTimeout = 100 * time.Millisecond
	// maxEndedDials bounds the connections that are opened one after the other as long as the server accepts and ends them.
	maxEndedDials = 3
	// maxEndedProbes bounds the other servers to which an instance connects then to find out whether it has lost its paths instead.
	maxEndedProbes = 3
	// catchupInterval is the time between two looks whether a suspect still has to be held back.
	catchupInterval = 20 * time.Millisecond
	// endedRetention is how long a server that has ended is remembered.
	endedRetention = 30 * time.Second
)

// isConnectionLost reports whether an exchange failed because the other side ended the connection: by closing it or by a
// reset, not by being silent.
func isConnectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// OnQuarantine registers a function that is called with each request about which this instance has learned from a server that
// the server crashed or answered it. It must be called before the first request.
func (f *Forwarder) OnQuarantine(onQuarantine func(quarantiner.Fingerprint)) {
	f.onQuarantine = onQuarantine
}

// refuseBarred returns the refusal of a request that is barred because servers crash under it, and false for another request.
func (f *Forwarder) refuseBarred(now time.Time, req *clientRequest) (result, bool) {
	f.mu.Lock()
	verdict := f.quarantine.Verdict(now, req.fingerprints)
	f.mu.Unlock()
	b, barred := verdict.(quarantiner.Barred)
	if !barred {
		return result{}, false
	}
	return result{outcome: refused, reason: fmt.Sprintf("%s: %d servers, barred for %v",
		reasonCrashesServers, b.Crashes, now.Sub(b.Since).Round(time.Millisecond))}, true
}

// BeginCatchup records that this instance starts, so that crashes which other instances have noticed are unknown to it.
// StepCatchup must be called from then on.
func (f *Forwarder) BeginCatchup(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catchup.Begin(now)
}

// StepCatchup records how long ago a leader told this instance what it lacks, and for how long it has led itself, or 0 if it does
// not.
func (f *Forwarder) StepCatchup(now time.Time, silence, leading time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catchup.Step(now, silence, leading)
}

// awaitCatchup holds back a suspect while this instance may not know all crashes under it.
func (f *Forwarder) awaitCatchup(ctx context.Context, req *clientRequest) {
	for now := time.Now(); now.Before(req.deadline) && f.mustHoldBack(now, req); now = time.Now() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(min(catchupInterval, req.deadline.Sub(now))):
		}
	}
}

// mustHoldBack reports whether a request is a suspect, and other instances may know more about it.
func (f *Forwarder) mustHoldBack(now time.Time, req *clientRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, suspect := f.quarantine.Verdict(now, req.fingerprints).(quarantiner.Suspect)
	return suspect && f.catchup.Active(now)
}

// verdictStands reports whether a request that has waited for a slot is still treated as when its wait began: copies of it may
// have crashed servers meanwhile.
func (f *Forwarder) verdictStands(now time.Time, req *clientRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch f.quarantine.Verdict(now, req.fingerprints).(type) {
	case quarantiner.Barred:
		return false
	case quarantiner.Suspect:
		return req.suspect
	}
	return true
}

// observeExecution records whether the server of a request that was sent at a given time has answered it, or has ended while it
// executed the request, and returns the result with this news.
func (f *Forwarder) observeExecution(ctx context.Context, sent time.Time, req *clientRequest, r result) result {
	if r.outcome == answered {
		f.recordAnswered(time.Now(), req, r.status)
	}
	if !r.connectionLost {
		return r
	}
	server, ok := f.view.Load().Server(r.server)
	if !ok || !f.hasEnded(ctx, sent, server) {
		return r
	}
	f.recordCrash(time.Now(), req, server)
	r.reason = reasonServerEnded + ": " + r.reason
	klog.InfoS("server ended while it executed a request", "server", server.ID, "born", server.Incarnation, "id", loggable(req.id),
		"request", req.name(), "fingerprints", req.fingerprints)
	return r
}

// recordCrash records that a server has ended while it executed a request.
func (f *Forwarder) recordCrash(now time.Time, req *clientRequest, server cataloger.Server) {
	crash := quarantiner.Crash{Server: server.ID, Incarnation: server.Incarnation}
	f.mu.Lock()
	changed := f.quarantine.Crashed(now, req.fingerprints, req.name(), crash, req.suspect)
	f.mu.Unlock()
	f.quarantineChanged(now, changed...)
	f.reportQuarantine(changed)
}

// recordAnswered records that a server has answered a request, which clears it if servers had ended beside it. An answer that
// says that the server failed or gave up proves nothing.
func (f *Forwarder) recordAnswered(now time.Time, req *clientRequest, status int) {
	if status >= http.StatusInternalServerError {
		return
	}
	f.mu.Lock()
	changed := f.quarantine.Answered(now, req.fingerprints)
	f.mu.Unlock()
	f.quarantineChanged(now, changed...)
	f.reportQuarantine(changed)
}

// reportQuarantine calls onQuarantine.
func (f *Forwarder) reportQuarantine(changed []quarantiner.Fingerprint) {
	for _, fingerprint := range changed {
		if f.onQuarantine != nil {
			f.onQuarantine(fingerprint)
		}
	}
}

// attachCrashes sets the header with what this instance knows about servers that crashed under a request. It goes with the
// request to its dispatcher and back, so that the two know it without a leader.
func (f *Forwarder) attachCrashes(now time.Time, req *clientRequest, header http.Header) {
	f.mu.Lock()
	text := f.quarantine.Encode(now, req.fingerprints)
	f.mu.Unlock()
	if text != "" {
		header.Set(headerCrashes, text)
	}
}

// mergeCrashes adds what another instance has attached, and removes it from the header.
func (f *Forwarder) mergeCrashes(now time.Time, req *clientRequest, header http.Header) {
	text := header.Get(headerCrashes)
	header.Del(headerCrashes)
	if text == "" {
		return
	}
	records, err := quarantiner.DecodeRecords(now, text)
	if err != nil {
		klog.InfoS("crashes that another instance knows of can't be decoded", "id", loggable(req.id), "error", err)
		return
	}
	for _, record := range records {
		record.Name = req.name()
		if f.MergeQuarantine(now, record) {
			f.reportQuarantine([]quarantiner.Fingerprint{record.Fingerprint})
		}
	}
}

// MergeQuarantine adds what another instance knows about a request, and reports whether any of it is new.
func (f *Forwarder) MergeQuarantine(now time.Time, r quarantiner.Record) bool {
	f.mu.Lock()
	changed := f.quarantine.Merge(now, r)
	f.mu.Unlock()
	if changed {
		f.quarantineChanged(now, r.Fingerprint)
	}
	return changed
}

// quarantineChanged logs changes of what is known about requests, and counts the barred ones.
func (f *Forwarder) quarantineChanged(now time.Time, changed ...quarantiner.Fingerprint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fingerprint := range changed {
		f.meter.Set(meter.BarredRequests, int64(f.quarantine.Barred(now)))
		record, _ := f.quarantine.Get(fingerprint)
		switch v := f.quarantine.VerdictOn(now, fingerprint).(type) {
		case quarantiner.Barred:
			klog.InfoS("request is barred: servers crash under it", "fingerprint", fingerprint, "request", record.Name, "crashes", v.Crashes,
				"for", now.Sub(v.Since))
		case quarantiner.Suspect:
			klog.InfoS("request is suspected of crashing servers", "fingerprint", fingerprint, "request", record.Name,
				"crashes", len(record.Crashes))
		case quarantiner.Clear:
			klog.InfoS("request is no longer suspected of crashing servers", "fingerprint", fingerprint, "request", record.Name)
		}
	}
}

// QuarantineRecord returns what is known about a request, and false if no server has ended under it.
func (f *Forwarder) QuarantineRecord(fingerprint quarantiner.Fingerprint) (quarantiner.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Get(fingerprint)
}

// QuarantinedRequests returns the requests about which anything is known.
func (f *Forwarder) QuarantinedRequests() []quarantiner.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Fingerprints()
}

// hasEnded reports whether a server has ended while it executed a request that was sent at a given time: whether it refuses
// connections now, and had not done so before.
func (f *Forwarder) hasEnded(ctx context.Context, sent time.Time, server cataloger.Server) bool {
	crash := quarantiner.Crash{Server: server.ID, Incarnation: server.Incarnation}
	if noticed, known := f.endedAt(crash); known {
		return !sent.After(noticed) // else it was sent on a connection that had ended already
	}
	if !f.refusesConnections(ctx, server.Address) || !f.reachesAnother(ctx, server) {
		return false
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.endedServers[crash]; !known {
		maps.DeleteFunc(f.endedServers, func(_ quarantiner.Crash, at time.Time) bool { return now.Sub(at) > endedRetention })
		f.endedServers[crash] = now
		f.meter.Count(meter.ServersEnded)
	}
	return true
}

// reachesAnother reports whether this instance reaches another server, of any service, or there is no other. If it reaches none, it
// has probably lost its paths to all of them. Servers of other services come first: those of the same one may have crashed too.
func (f *Forwarder) reachesAnother(ctx context.Context, server cataloger.Server) bool {
	var others []cataloger.Server
	for _, other := range f.view.Load().AllServers() {
		if other.ID != server.ID {
			others = append(others, other)
		}
	}
	slices.SortFunc(others, func(a, b cataloger.Server) int {
		return cmp.Or(compareBool(f.paths.lost(a.ID), f.paths.lost(b.ID)),
			compareBool(a.Service == server.Service, b.Service == server.Service), cmp.Compare(a.ID, b.ID))
	})
	probed := others[:min(len(others), maxEndedProbes)]
	probes := make(chan bool, len(probed))
	for _, other := range probed {
		go func() { probes <- f.accepts(ctx, other.Address) == nil }()
	}
	for range probed {
		if <-probes {
			return true
		}
	}
	return len(others) == 0
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// endedAt returns when it was noticed that a server had ended, and false if it was not.
func (f *Forwarder) endedAt(crash quarantiner.Crash) (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, known := f.endedServers[crash]
	return at, known
}

// refusesConnections reports whether no process accepts connections at an address. An address that does not answer may be cut
// off, so that does not count. The kernel may close the connections of a process that ends a millisecond before its listener, so
// that a connection is still accepted, and ended at once; then the next one shows whether the listener is gone too.
func (f *Forwarder) refusesConnections(ctx context.Context, address string) bool {
	for range maxEndedDials {
		conn, err := f.dialToProbe(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		open := staysOpen(conn)
		_ = conn.Close()
		if open {
			return false
		}
	}
	return false
}

// accepts opens a connection to an address and closes it. The error says why that failed.
func (f *Forwarder) accepts(ctx context.Context, address string) error {
	conn, err := f.dialToProbe(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// dialToProbe opens a connection to an address, also if ctx has ended.
func (f *Forwarder) dialToProbe(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: endedProbeTimeout, LocalAddr: exchanger.LocalAddr(f.sourceIP)}
	return dialer.DialContext(context.WithoutCancel(ctx), "tcp", address)
}
