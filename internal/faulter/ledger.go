package faulter

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Breach is one promise found broken.
type Breach struct {
	Promise Promise
	At      time.Duration
	Detail  string
}

// ledger records what callers were told and what servers did, and finds broken promises.
type ledger struct {
	began    time.Time
	requests []*request
	breaches []Breach
	seen     map[Promise]bool
	// served is when a key's partition last had an effect.
	served map[identifier.PartitionIndex]time.Time
	gaps   map[identifier.PartitionIndex]time.Duration
	leftAt map[identifier.ServerName]time.Time
	newest uint64
	owners map[string]identifier.ServerName
	// unserved counts the probes at the end that were not answered.
	unserved int
}

func (l *ledger) start(now time.Time) {
	l.began = now
	l.seen = map[Promise]bool{}
	l.served = map[identifier.PartitionIndex]time.Time{}
	l.gaps = map[identifier.PartitionIndex]time.Duration{}
	l.owners = map[string]identifier.ServerName{}
	l.leftAt = map[identifier.ServerName]time.Time{}
}

func (l *ledger) newRequest(now time.Time, key string) *request {
	r := &request{id: len(l.requests) + 1, key: key, began: now, deadline: now.Add(requestTime)}
	l.requests = append(l.requests, r)
	return r
}

// broken records a breach, once for each promise.
func (w *World) broken(p Promise, detail string) {
	if w.ledger.seen[p] {
		return
	}
	w.ledger.seen[p] = true
	w.ledger.breaches = append(w.ledger.breaches, Breach{Promise: p, At: w.now.Sub(w.ledger.began), Detail: detail})
}

// Breaches returns the promises found broken so far.
func (w *World) Breaches() []Breach { return w.ledger.breaches }

// tell gives a caller its outcome.
func (w *World) tell(r *request, told outcome) {
	if r.told != outcomeNone {
		return
	}
	r.told = told
	if told == outcomeNotRun && r.effects > 0 {
		w.broken(PromiseNotRun, fmt.Sprintf("request %d was told not run and had run", r.id))
	}
	if told == outcomeAnswered && r.effects == 0 {
		w.broken(PromiseWhole, fmt.Sprintf("request %d was answered and had not run", r.id))
	}
}

// effect records that a server has carried a request out.
func (w *World) effect(s *fakeServer, r *request) {
	r.effects++
	if r.effects > 1 {
		w.broken(PromiseAtMostOnce, fmt.Sprintf("request %d ran %d times, last on %s", r.id, r.effects, s.name))
	}
	if r.told == outcomeNotRun {
		w.broken(PromiseNotRun, fmt.Sprintf("request %d ran on %s after its caller was told not run", r.id, s.name))
	}
	for _, name := range w.serverNames() {
		other := w.servers[name]
		if other != s && !other.dead && other.running[r.partition] > 0 && !other.halted {
			w.broken(PromiseOneOwner, fmt.Sprintf("%s runs on %s and %s", r.partition, s.name, name))
		}
	}
	w.checkRecorded(s, r)
	index := r.partition.Index
	if last, ok := w.ledger.served[index]; ok {
		w.ledger.gaps[index] = max(w.ledger.gaps[index], w.now.Sub(last))
	}
	w.ledger.served[index] = w.now
}

// checkRecorded finds an effect on a server that no record of the log makes the owner. The naive version has no such
// records; there an owner that is still in service must not change.
func (w *World) checkRecorded(s *fakeServer, r *request) {
	last, served := w.ledger.owners[r.key]
	w.ledger.owners[r.key] = s.name
	if w.setup.Naive {
		if served && last != s.name && !w.servers[last].dead && w.leaving != last {
			w.broken(PromiseDurable, fmt.Sprintf("%s went from %s, which is in service, to %s", r.key, last, s.name))
		}
		return
	}
	service, ok := w.fold().GetServiceByName(deskService)
	if !ok || service.Partitions[r.partition.Index].Owner != s.name {
		w.broken(PromiseDurable, fmt.Sprintf("%s ran on %s, which does not own it by the log", r.partition, s.name))
	}
}

// checkHolders finds a partition that two servers believe to own.
func (w *World) checkHolders(p identifier.PartitionID) {
	var holders []identifier.ServerName
	for _, name := range w.serverNames() {
		s := w.servers[name]
		if !s.dead && s.checks && s.holdsNow(p) {
			holders = append(holders, name)
		}
	}
	if len(holders) > 1 {
		w.broken(PromiseOneOwner, fmt.Sprintf("%s is granted to %s and %s", p, holders[0], holders[1]))
	}
}

// checkSenders finds a second instance that would send for the partition to the same server, where the server itself
// turns nobody away.
func (w *World) checkSenders(sender *instance, server identifier.ServerName, r *request) {
	if w.servers[server].checks {
		return
	}
	for _, other := range w.instances {
		if other == sender || other.dead {
			continue
		}
		if other.table.Gate(server).Allows(r.partition, r.epoch, other.clock()) {
			w.broken(PromiseOneOwner, fmt.Sprintf("%s and %s may both send to %s", sender.name, other.name, server))
		}
	}
}

// noteWork finds new work that a leaving server is given too late.
func (w *World) noteWork(s *fakeServer, r *request) {
	left, ok := w.ledger.leftAt[s.name]
	if ok && w.now.Sub(left) > drainBound {
		w.broken(PromiseDrain, fmt.Sprintf("request %d reached %s %v after it began to leave", r.id, s.name, w.now.Sub(left)))
	}
}

// drainBound is the few seconds after which a leaving server gets no new work.
const drainBound = 3 * time.Second

// Tally counts what callers were told.
type Tally struct {
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	Pending  int
	// WorstGap is the longest time in which the effects on one partition paused.
	WorstGap time.Duration
}

// Tally returns the counts so far.
func (w *World) Tally() Tally {
	t := Tally{Sent: len(w.ledger.requests)}
	for _, r := range w.ledger.requests {
		switch r.told {
		case outcomeAnswered:
			t.Answered++
		case outcomeNotRun:
			t.NotRun++
		case outcomeUnknown:
			t.Unknown++
		default:
			t.Pending++
		}
	}
	for _, gap := range w.ledger.gaps {
		t.WorstGap = max(t.WorstGap, gap)
	}
	return t
}
