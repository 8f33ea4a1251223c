// Package granter decides which backend server is told to own which keys. It runs on the leader only, and is pure:
// events and the present time are its input, orders its output.
//
// It shortens the pause of keys that move: a range is served by its owner until the release is sent, waits while the
// owner finishes the requests that run on it, and is served by the next owner as soon as that one has answered.
// Exclusive ownership rests on three rules. A range is given to another server only after the last owner answered a
// release, or after every lease that the last owner may have has expired. These leases include those of grants that got
// no answer, and of grants by an earlier leader whose own lease has not ended. And the store holds who may own a range
// before the grant is sent.
package granter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/partitioner"
)

// Settings are the times of leases and grants. Each instance must use the same.
type Settings struct {
	LeaseDuration time.Duration // how long a lease lasts from the arrival of its grant
	RenewInterval time.Duration // between renewals
	// TransitMargin is added to the time after which a lease has surely expired. It covers the time that a grant is on
	// the way.
	TransitMargin time.Duration
	// RetryDelay is the pause after an order that could not be sent.
	RetryDelay time.Duration
	// PersistTimeout is how long a released range waits for its next owner to be stored before it goes back to the last
	// owner, which it does within twice that time or not at all. With 0 it never goes back.
	PersistTimeout time.Duration
}

// clockError is how slow a server's clock may run, in hundredths, by the platform's rules.
const clockError = 2

// MaxLeaseLifetime returns after how long a lease whose grant arrived now has surely expired.
func (s Settings) MaxLeaseLifetime() time.Duration {
	return s.LeaseDuration + s.LeaseDuration*clockError/100 + s.TransitMargin
}

// Assignment is who may own a range, as the store keeps it.
type Assignment struct {
	Service string
	Range   partitioner.Range
	Server  string
}

// state is where a range stands.
type state int

const (
	free      state = iota // nobody owns it
	planned                // its next owner waits for the store to know of it
	granting               // its owner has not answered the grant yet
	held                   // its owner has answered
	releasing              // its owner was told, or has to be told, to give it up
)

// holding is a range and its owner.
type holding struct {
	Assignment
	id       int
	state    state
	fence    uint64
	handover string
	target   string // where a released range goes; empty leaves it to placing
	origin   origin // where a released range may go back to
	plan     uint64 // sequence number of the plan that has to be stored before the grant

	calling   bool      // an order is under way
	next      time.Time // when the next order is due
	lapses    time.Time // when grants that were answered have surely run out
	uncertain time.Time // when grants that got no answer have surely run out
	kept      bool      // it was served by this server before this leader's grant, so that it need not pause
	failing   bool      // the last order failed
	since     time.Time // of the first of the orders that failed, while failing
	ended     bool      // the server has surely ended, and its grants with it
}

// origin is the server that has just released a range, and that the store names until it knows of the next owner.
type origin struct {
	server   string
	born     int64
	released time.Time
}

// owned returns when nobody can own the range any more by what has been granted.
func (h *holding) owned() time.Time {
	if h.uncertain.After(h.lapses) {
		return h.uncertain
	}
	return h.lapses
}

// Order is a call to a backend server.
type Order interface{ order() }

// Grant gives a server the lease of a range, or renews it.
type Grant struct {
	ID            int
	Server        string
	Range         partitioner.Range
	Fence         uint64
	LeaseDuration time.Duration
	Handover      string
}

// Release tells a server to give a range up.
type Release struct {
	ID     int
	Server string
	Range  partitioner.Range
	Fence  uint64
}

func (Grant) order()   {}
func (Release) order() {}

// Outcome is what came of an order.
type Outcome int

// The outcomes of an order.
const (
	Accepted   Outcome = iota
	Fenced             // the server has seen a higher fence
	NotSent            // certainly not received
	Unanswered         // may have been received, or may be carried out later
)

const (
	// exclusionFirst is for how long a server that was given up gets nothing new, twice as long as a grant lasts. It doubles
	// each time, up to exclusionLongest, since keys that are tried there again are not served for two grants' time.
	exclusionFirst   = 8 * time.Second
	exclusionLongest = 64 * time.Second
)

// exclusion is for how long a server that was given up gets nothing new.
type exclusion struct {
	until time.Time
	span  time.Duration
}

// String implements fmt.Stringer.
func (o Outcome) String() string {
	return [...]string{"accepted", "fenced", "not_sent", "unanswered"}[o]
}

// Granter is the state of the leader. Use New.
type Granter struct {
	settings    Settings
	term        uint64
	count       uint64
	lastID      int
	holdings    map[int]*holding
	servers     map[string]cataloger.Server
	excluded    map[string]exclusion // by server
	predecessor time.Time            // until when grants of an earlier leader may be in force at servers that this one can't reach
	plan        uint64               // sequence number of the present plan
	stored      uint64               // sequence number of the newest plan that is in the store
	maybe       uint64               // sequence number of the newest plan that may be in the store, or get there
	changed     map[int]bool
}

// New returns the Granter of a leader. holdings is the plan that the store keeps; grants that an earlier leader sent may
// be in force until predecessor.
func New(settings Settings, now time.Time, term uint64, holdings []Assignment, predecessor time.Time) *Granter {
	g := &Granter{
		settings: settings, term: term, holdings: map[int]*holding{}, servers: map[string]cataloger.Server{},
		excluded: map[string]exclusion{}, predecessor: predecessor, changed: map[int]bool{},
	}
	for _, h := range holdings {
		if h.Server == "" {
			g.add(&holding{Assignment: h, state: free})
			continue
		}
		g.add(&holding{Assignment: h, state: granting, fence: g.nextFence(), kept: true, lapses: predecessor, next: now})
	}
	return g
}

func (g *Granter) add(h *holding) *holding {
	g.lastID++
	h.id = g.lastID
	g.holdings[h.id] = h
	g.changed[h.id] = true
	return h
}

// fenceBits is how many grants one term has room for; a leader sends a few dozen a second at most.
const fenceBits = 24

// nextFence returns a number above every one that this or an earlier leader has used.
func (g *Granter) nextFence() uint64 {
	g.count++
	return g.term<<fenceBits | g.count
}

// SetServers records the servers of the services that are divided by key, and starts what follows from the change: a
// service without a plan gets one, and what servers that leave own is released. A range that an earlier leader granted is
// granted by this one first: until then the server does not refuse that leader's renewals, also after a release.
func (g *Granter) SetServers(now time.Time, keyed []string, servers []cataloger.Server) {
	old := g.servers
	g.servers = map[string]cataloger.Server{}
	for _, s := range servers {
		if slices.Contains(keyed, s.Service) {
			g.servers[s.ID] = s
		}
	}
	for _, service := range keyed {
		g.divide(now, service)
	}
	for _, h := range g.ordered() {
		s, known := g.servers[h.Server]
		if before, was := old[h.Server]; known && was && s.Incarnation > before.Incarnation {
			delete(g.excluded, h.Server)
			g.reborn(now, h)
		}
		if (!known || s.State != cataloger.Ready) && h.state == granting && !h.kept {
			g.release(now, h, "")
		}
	}
}

// reborn takes note that the server of h started anew: its new incarnation owns nothing until it gets a higher fence.
func (g *Granter) reborn(now time.Time, h *holding) {
	if h.state != held && h.state != granting {
		return
	}
	h.state, h.kept, h.handover = granting, false, ""
	h.fence = g.nextFence()
	h.next = now
	g.changed[h.id] = true
}

// ServersEnded records that servers have surely ended: the ranges that they owned are free at once.
func (g *Granter) ServersEnded(servers map[string]bool) {
	for _, h := range g.holdings {
		if servers[h.Server] && (h.state == held || h.state == granting || h.state == releasing) {
			h.ended = true
		}
	}
}

// divide plans a service that has no plan: equal ranges over its ready servers, which nobody owned before.
func (g *Granter) divide(now time.Time, service string) {
	for _, h := range g.holdings {
		if h.Service == service {
			return
		}
	}
	ready := g.AssignableServers(now, service)
	if len(ready) == 0 {
		return
	}
	g.plan++
	for i, r := range partitioner.Divide(len(ready)) {
		g.add(&holding{
			Assignment: Assignment{Service: service, Range: r, Server: ready[i]}, state: planned, plan: g.plan,
			fence: g.nextFence(),
		})
	}
}

// AssignableServers returns the ids of the servers of a service that may be given keys, in order. Servers that were
// given up are left out for a while, unless there are no others.
func (g *Granter) AssignableServers(now time.Time, service string) []string {
	var ids, given []string
	for id, s := range g.servers {
		switch {
		case s.Service != service || s.State != cataloger.Ready:
		case now.Before(g.excluded[id].until):
			given = append(given, id)
		default:
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		ids = given
	}
	slices.Sort(ids)
	return ids
}

// exclude gives a server up for a while.
func (g *Granter) exclude(now time.Time, server string) {
	e := g.excluded[server]
	if now.Before(e.until) {
		return // it was given up for another of its ranges
	}
	e.span = min(max(exclusionFirst, 2*e.span), exclusionLongest)
	e.until = now.Add(e.span)
	g.excluded[server] = e
}

// ordered returns the holdings in order of their ids, so that the same events always give the same orders.
func (g *Granter) ordered() []*holding {
	all := make([]*holding, 0, len(g.holdings))
	for _, h := range g.holdings {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *holding) int { return a.id - b.id })
	return all
}

// PredecessorStopped takes note that no earlier leader gives orders any more. What it sent before may still arrive.
func (g *Granter) PredecessorStopped(now time.Time) {
	end := now.Add(g.settings.MaxLeaseLifetime())
	for _, h := range g.holdings {
		if h.kept && end.Before(h.lapses) {
			h.lapses = end
		}
	}
}

// StartMove starts to move a range, which must lie within one assignment, to the server to. It reports whether it did: a
// range whose owner has an order under way is left alone.
func (g *Granter) StartMove(now time.Time, service string, r partitioner.Range, to string) bool {
	for _, h := range g.holdings {
		if h.Service != service || !h.settled() || h.Server == to || now.Before(h.uncertain) {
			continue
		}
		if h.Range.First <= r.First && r.Last <= h.Range.Last {
			g.release(now, g.cut(h, r), to)
			return true
		}
	}
	return false
}

// cut splits h so that r is a holding of its own, and returns that one. The parts keep the fence of the whole.
func (g *Granter) cut(h *holding, r partitioner.Range) *holding {
	if h.Range.First < r.First {
		left := *h
		left.Range.Last = r.First - 1
		g.add(&left)
	}
	if h.Range.Last > r.Last {
		right := *h
		right.Range.First = r.Last + 1
		g.add(&right)
	}
	h.Range = r
	g.changed[h.id] = true
	return h
}

func (g *Granter) release(now time.Time, h *holding, to string) {
	h.state, h.target, h.next, h.failing, h.handover = releasing, to, now, false, ""
	g.changed[h.id] = true
}

// Plan returns the plan to store, and its sequence number; stale is false where the store has it already.
func (g *Granter) Plan() (holdings []Assignment, sequence uint64, stale bool) {
	if g.plan <= g.stored {
		return nil, g.stored, false
	}
	for _, h := range g.ordered() {
		owned := h.Assignment
		if h.state == free {
			owned.Server = ""
		}
		holdings = append(holdings, owned)
	}
	return holdings, g.plan, true
}

// PlanStored records that the plan with a sequence number is in the store, and that no plan after maybe is or can get
// there without being sent anew.
func (g *Granter) PlanStored(sequence, maybe uint64) {
	g.stored = max(g.stored, sequence)
	g.maybe = max(g.stored, maybe)
}

// ChangedSegments returns the segments that changed since the last call.
func (g *Granter) ChangedSegments(now time.Time) []partitioner.Segment {
	var segments []partitioner.Segment
	for _, h := range g.ordered() {
		if g.changed[h.id] {
			segments = append(segments, g.segment(now, h))
		}
	}
	clear(g.changed)
	return segments
}

// Segments returns the segments of all ranges.
func (g *Granter) Segments(now time.Time) []partitioner.Segment {
	var segments []partitioner.Segment
	for _, h := range g.ordered() {
		segments = append(segments, g.segment(now, h))
	}
	return segments
}

func (g *Granter) segment(now time.Time, h *holding) partitioner.Segment {
	s := partitioner.Segment{Service: h.Service, Range: h.Range, Server: h.Server}
	s.Moving = h.state != held && !(h.state == granting && h.kept)
	if h.state == releasing && h.failing {
		s.PauseMS = uint32(max(0, h.owned().Sub(now).Milliseconds()))
	}
	return s
}

// Placement is a range and the server that carries its load, or will shortly.
type Placement struct {
	Range   partitioner.Range
	Server  string
	Movable bool // no order or move is under way for it
}

// Placements returns the ranges of a service, but for those whose next owner is not known yet.
func (g *Granter) Placements(now time.Time, service string) []Placement {
	var list []Placement
	for _, h := range g.ordered() {
		server := h.Server
		if h.state == releasing || h.state == free {
			server = h.target
		}
		if h.Service == service && server != "" {
			list = append(list, Placement{Range: h.Range, Server: server, Movable: h.settled() && !now.Before(h.uncertain)})
		}
	}
	return list
}

// MovesInProgress returns how many ranges are between two owners.
func (g *Granter) MovesInProgress() int {
	count := 0
	for _, h := range g.holdings {
		if h.state != held {
			count++
		}
	}
	return count
}
