package faulter

import (
	"encoding/base64"
	"fmt"
	"math/rand"
	"sort"
	"time"

	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The times of the rig.
const (
	hopTime     = 500 * time.Microsecond
	logTime     = 2 * time.Millisecond
	serviceTime = 20 * time.Millisecond
	longPoll    = 100 * time.Millisecond
	tickTime    = 50 * time.Millisecond
)

// Promise is one of the things that must always hold.
type Promise string

// The promises of the brief, in its order.
const (
	PromiseOneOwner   Promise = "one_owner"
	PromiseDurable    Promise = "assignment_survives"
	PromiseWhole      Promise = "whole_answer"
	PromiseNotRun     Promise = "not_run_is_true"
	PromiseAtMostOnce Promise = "at_most_once"
	PromiseDrain      Promise = "leaving_gets_nothing"
	PromiseGraceful   Promise = "stop_cuts_nothing"
	PromiseBundle     Promise = "bundle_in_force"
)

// Promises lists the promises in the brief's order.
func Promises() []Promise {
	return []Promise{
		PromiseOneOwner, PromiseDurable, PromiseWhole, PromiseNotRun,
		PromiseAtMostOnce, PromiseDrain, PromiseGraceful, PromiseBundle,
	}
}

// Setup describes a World.
type Setup struct {
	Seed       int64
	Instances  int
	Servers    int
	Partitions int
	// Unchecking is how many of the servers, from the last, do not check their orders.
	Unchecking int
	Policy     leaser.OutagePolicy
	// Naive replaces the product's instances by the naive version.
	Naive bool
	// Rate is the requests a second of all callers.
	Rate float64
	// OutageLimit is a duration in the bundle's form; "" is the default.
	OutageLimit string
	// SnapshotEvery is a duration in the form of the bundle; "" is the default.
	SnapshotEvery string
}

// World is one run in virtual time.
type World struct {
	clock
	setup     Setup
	random    *rand.Rand
	operators operators
	log       *fakeLog
	instances []*instance
	servers   map[identifier.ServerName]*fakeServer
	names     []identifier.ServerName
	published int
	cuts      map[link]bool
	ledger    ledger
	faults    []*Fault
	callers   bool
	leaving   identifier.ServerName
	folded    *reducer.State
	// hotKey is a key that takes hotLoad slots, or "".
	hotKey  string
	hotLoad float64
}

// link is one direction between two parties, by their names.
type link struct {
	from string
	to   string
}

// NewWorld returns a World in which all instances have started and version 1 of the bundle is published.
func NewWorld(setup Setup) *World {
	w := &World{
		setup:     setup,
		random:    rand.New(rand.NewSource(setup.Seed)),
		operators: newOperators(),
		log:       &fakeLog{},
		servers:   map[identifier.ServerName]*fakeServer{},
		cuts:      map[link]bool{},
	}
	w.folded = reducer.NewState(w.operators.genesis())
	w.now = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	w.ledger.start(w.now)
	for i := range setup.Servers {
		name := identifier.ServerName(fmt.Sprintf("server_%d", i+1))
		checks := i < setup.Servers-setup.Unchecking
		w.names = append(w.names, name)
		w.servers[name] = newFakeServer(w, name, serverAddress(i), checks && !setup.Naive)
	}
	w.publish(w.firstBundle())
	for range setup.Instances {
		w.startInstance()
	}
	return w
}

func (w *World) firstBundle() bundleText {
	return bundleText{partitions: w.setup.Partitions, servers: w.names, outage: w.setup.OutageLimit, snapshot: w.setup.SnapshotEvery}
}

func base64Of(data []byte) string { return base64.StdEncoding.EncodeToString(data) }

// Run lets d pass.
func (w *World) Run(d time.Duration) { w.runUntil(w.now.Add(d)) }

// Now returns the virtual time.
func (w *World) Now() time.Time { return w.now }

// cut breaks or mends the link in one direction.
func (w *World) cut(from, to string, broken bool) { w.cuts[link{from: from, to: to}] = broken }

// reaches reports whether a message from one party gets to the other.
func (w *World) reaches(from, to string) bool { return !w.cuts[link{from: from, to: to}] }

// jitter returns d, lengthened by up to a half.
func (w *World) jitter(d time.Duration) time.Duration {
	return d + time.Duration(w.random.Int63n(int64(d)/2+1))
}

// alive returns the instances that run, in the order of their start.
func (w *World) alive() []*instance {
	var running []*instance
	for _, i := range w.instances {
		if !i.dead && !i.leaving {
			running = append(running, i)
		}
	}
	return running
}

// serverNames returns the servers in order of name.
func (w *World) serverNames() []identifier.ServerName {
	names := append([]identifier.ServerName(nil), w.names...)
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}
