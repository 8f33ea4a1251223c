package main

import (
	"fmt"
	"sync"
	"time"
)

// noKey is the key of a request without one.
const noKey = -1

// run is one run of a request.
type run struct {
	number int
	server string
	id     string
	key    int
}

// hold is a server's right to a key. granted is when the server took it first, without a break.
type hold struct {
	fence   uint64
	granted time.Time
	expiry  time.Time
}

// ledger records the holds and runs of all servers, and finds violations. The zero value is empty; it is safe for concurrent
// use.
type ledger struct {
	record *record

	mu         sync.Mutex
	changed    *sync.Cond
	holds      [keyCount]map[string]hold // by server
	promised   [keyCount]map[string]hold // as holds, but also after a release: until when the server would have held the key
	fences     map[string]*[keyCount]uint64
	running    map[*run]bool
	runs       map[string][]*run // by id of the request
	count      int
	releases   int
	violations []string
	overlaps   map[string]bool // pairs of servers that were reported already
}

func (l *ledger) init() {
	if l.runs == nil {
		l.runs, l.running, l.fences = map[string][]*run{}, map[*run]bool{}, map[string]*[keyCount]uint64{}
		l.overlaps = map[string]bool{}
		l.changed = sync.NewCond(&l.mu)
	}
}

// grant applies a grant. It reports false if the server has seen a higher fence.
func (l *ledger) grant(server string, o wireOrder) bool {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if l.fences[server] == nil {
		l.fences[server] = &[keyCount]uint64{}
	}
	seen := l.fences[server]
	for key := o.From; key <= o.Target; key++ {
		if seen[key] > o.Fence {
			return false
		}
	}
	expiry := now.Add(time.Duration(o.HoldMS) * time.Millisecond)
	renewed := true
	for key := o.From; key <= o.Target; key++ {
		seen[key] = o.Fence
		if l.holds[key] == nil {
			l.holds[key], l.promised[key] = map[string]hold{}, map[string]hold{}
		}
		h := hold{fence: o.Fence, granted: now, expiry: expiry}
		if before, known := l.holds[key][server]; known && now.Before(before.expiry) {
			h.granted = before.granted
		} else {
			renewed = false
			l.checkNewHold(now, server, key, o)
		}
		l.checkOtherHolds(now, server, key)
		l.holds[key][server], l.promised[key][server] = h, h
	}
	if !renewed {
		l.record.line("server %s is granted %d-%d, fence %d", server, o.From, o.Target, o.Fence)
	}
	return true
}

// checkNewHold finds a server that is given a key on which another is still at work, before that one's hold would have run out.
func (l *ledger) checkNewHold(now time.Time, server string, key int, o wireOrder) {
	for r := range l.running {
		if r.key != key || r.server == server {
			continue
		}
		if promised := l.promised[key][r.server]; now.Before(promised.expiry) {
			l.violations = append(l.violations, fmt.Sprintf(
				"OWNER: server %s is given key %d (%d-%d) while server %s is still at work on request %s, whose hold ends in %.3f s",
				server, key, o.From, o.Target, r.server, r.id, promised.expiry.Sub(now).Seconds()))
		}
	}
}

// minOverlap is how long two servers may hold the same key.
const minOverlap = 500 * time.Millisecond

// checkOtherHolds finds another server that has held the key for too long beside this one.
func (l *ledger) checkOtherHolds(now time.Time, server string, key int) {
	own, known := l.holds[key][server]
	if !known || !now.Before(own.expiry) {
		return
	}
	for other, h := range l.holds[key] {
		if other == server || !now.Before(h.expiry) {
			continue
		}
		since := own.granted
		if h.granted.After(since) {
			since = h.granted
		}
		if now.Sub(since) > minOverlap && !l.overlaps[server+other] {
			l.overlaps[server+other], l.overlaps[other+server] = true, true
			l.violations = append(l.violations, fmt.Sprintf("OWNER: servers %s and %s have held key %d for %.3f s",
				server, other, key, now.Sub(since).Seconds()))
		}
	}
}

// release ends a hold and waits until no request runs on its keys. It returns the handover.
func (l *ledger) release(server string, o wireOrder) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	for key := o.From; key <= o.Target; key++ {
		delete(l.holds[key], server)
	}
	atWork := l.anyRunning(server, o)
	l.record.line("server %s gets the release of %d-%d, fence %d, at work on it: %t", server, o.From, o.Target, o.Fence, atWork)
	for l.anyRunning(server, o) {
		l.changed.Wait()
	}
	l.releases++
	l.record.line("server %s answers the release of %d-%d", server, o.From, o.Target)
	return fmt.Sprintf("%s-%d", server, l.releases)
}

func (l *ledger) anyRunning(server string, o wireOrder) bool {
	for r := range l.running {
		if r.server == server && o.From <= r.key && r.key <= o.Target {
			return true
		}
	}
	return false
}

// ended records that a server has ended.
func (l *ledger) ended(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	for key := range keyCount {
		delete(l.holds[key], server)
	}
	l.record.line("server %s ends", server)
}

// begin starts a run. It reports false if the server does not hold the key.
func (l *ledger) begin(server, id string, key int) (*run, bool) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	if key != noKey {
		if h, known := l.holds[key][server]; !known || !now.Before(h.expiry) {
			return nil, false
		}
	}
	l.count++
	r := &run{number: l.count, server: server, id: id, key: key}
	l.running[r] = true
	l.runs[id] = append(l.runs[id], r)
	l.record.line("run %d of %s begins at server %s", len(l.runs[id]), id, server)
	return r, true
}

// end ends a run.
func (l *ledger) end(r *run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.running, r)
	l.record.line("a run of %s ends at server %s", r.id, r.server)
	l.changed.Broadcast()
}

// checkUnsafe finds requests that ran more than once, or that ran although their answer promises that they did not.
func (l *ledger) checkUnsafe(answers []answer) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	var violations []string
	for _, a := range answers {
		runs := len(l.runs[a.id])
		if runs > 1 {
			violations = append(violations, fmt.Sprintf("TWICE: request %s ran %d times, first at server %s; its client got status %d",
				a.id, runs, l.runs[a.id][0].server, a.status))
		}
		switch a.status {
		case 408, 421, 429, 503:
			if runs > 0 {
				violations = append(violations, fmt.Sprintf("REFUSED: request %s was answered %d, but has run %d times", a.id, a.status, runs))
			}
		}
	}
	return violations
}

// ownerViolations returns the violations of exclusive ownership.
func (l *ledger) ownerViolations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.violations...)
}

// countRun returns how many of some requests have run.
func (l *ledger) countRun(ids []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, id := range ids {
		if len(l.runs[id]) > 0 {
			count++
		}
	}
	return count
}
