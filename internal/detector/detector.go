// Package detector decides to which backend servers one instance has lost its path, from the outcomes of its connections to
// them, and which servers it should probe. It does no I/O and reads no clock.
//
// One failed connection proves little: the server may have ended or be busy. A server is lost once several connections in a row
// have failed without an answer in between. A service is lost once more of its servers are lost than can be reached; as soon
// as one server fails, as many others are probed as are needed to tell. Whether a lost server has ended, or only this instance
// has lost its path to it, shows in what other instances reach.
//
// The load is bounded: while nothing fails nothing is probed, and at most maxProbesPerTick probes begin with each Tick.
package detector

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// failureWeightToLose is the sum of the weights of consecutive failures from which on a server is lost.
	failureWeightToLose = 4
	// connectFailureWeight is the weight of a connection that could not be opened. That of one that was opened and ended by the
	// other side without an answer is smaller, because servers at their limit of connections do that too.
	connectFailureWeight = 2
	closedWeight         = 1
	// confirmInterval is the time between probes of a server that has failed and is not lost, and the least time between two
	// contacts that count towards regaining a lost one.
	confirmInterval = 100 * time.Millisecond
	// minRetryInterval is the time between the first probes of a lost server. It doubles up to maxRetryInterval.
	minRetryInterval = 250 * time.Millisecond
	maxRetryInterval = time.Second
	// contactsToRegain is how many contacts in a row regain a lost server. It doubles up to maxContactsToRegain if the server is
	// lost again within flapWindow.
	contactsToRegain    = 2
	maxContactsToRegain = 8
	flapWindow          = 10 * time.Second
	// recoveryTime is how long after a contact with a lost server the paths to the others are taken to be coming back: their probes
	// are not limited to maxRetriesPerTick, and no other instance is asked to reach them.
	recoveryTime = 3 * time.Second
	// contactAge is how long a contact shows that there is a path.
	contactAge = time.Second
	// minLostServers is how many servers of a service must be lost before the service can be, unless it has fewer.
	minLostServers = 3
	// maxBlindSample is how many servers of a service are probed to tell whether it is lost while none of them is reached.
	maxBlindSample = 8
	// maxProbesPerTick bounds the probes that begin with one Tick, and maxRetriesPerTick those of lost servers among them.
	maxProbesPerTick  = 16
	maxRetriesPerTick = 2
)

// Server is a backend server.
type Server struct {
	ID          string
	Service     string
	Incarnation int64 // a later one is reachable until shown otherwise
}

// server is what is known about the path to a Server.
type server struct {
	Server
	weight         int       // of the consecutive failures
	firstFailureAt time.Time // valid while weight > 0
	reachedAt      time.Time // last contact
	checking       bool      // to be probed until it is reached or lost
	lost           bool
	lostSince      time.Time // when its first failure was noticed; valid while lost
	regainedAt     time.Time
	contacts       int       // that count towards regaining it
	countedAt      time.Time // when the last of them was
	contactsNeeded int
	nextProbeAt    time.Time
	retryInterval  time.Duration
}

// Detector is the state of the paths of one instance to all servers. The zero Detector knows no servers. It is not safe for
// concurrent use.
type Detector struct {
	servers  map[string]*server
	sorted   []*server // by id
	services map[string]bool
	rotation int  // where the next Tick begins
	losses   int  // number of lost servers
	quiet    bool // no server is lost, failing or being checked
	// lostReachedAt is when a lost server was reached last, and recoveringUntil the end of recoveryTime after the first such contact
	// in contactAge.
	lostReachedAt   time.Time
	recoveringUntil time.Time
}

// SetServers replaces the servers. What is known about those that stay is kept.
func (d *Detector) SetServers(list []Server) {
	d.quiet = false
	known := d.servers
	d.servers, d.sorted, d.losses = make(map[string]*server, len(list)), d.sorted[:0], 0
	d.services = map[string]bool{}
	for _, s := range list {
		d.services[s.Service] = true
		entry := known[s.ID]
		if entry == nil || entry.Server != s {
			entry = &server{Server: s}
		}
		d.servers[s.ID] = entry
		d.sorted = append(d.sorted, entry)
		if entry.lost {
			d.losses++
		}
	}
	slices.SortFunc(d.sorted, func(a, b *server) int { return strings.Compare(a.ID, b.ID) })
}

// Reached records a contact with a server: an answer, or a connection that could be opened. It reports whether the server is
// regained.
func (d *Detector) Reached(now time.Time, id string) (regained bool) {
	s := d.servers[id]
	if s == nil {
		return false
	}
	s.reachedAt, s.weight, s.checking = now, 0, false
	if !s.lost {
		return false
	}
	if s.contacts == 0 || now.Sub(s.countedAt) >= confirmInterval {
		s.contacts++
		s.countedAt = now
	}
	if now.Sub(d.lostReachedAt) > contactAge {
		d.recoveringUntil = now.Add(recoveryTime)
		d.retryNow(now, s.Service)
	}
	d.lostReachedAt = now
	if s.contacts < s.contactsNeeded {
		s.nextProbeAt = now.Add(confirmInterval)
		return false
	}
	s.lost, s.regainedAt = false, now
	d.losses--
	return true
}

// retryNow makes the next Ticks probe the lost servers of a service.
func (d *Detector) retryNow(now time.Time, service string) {
	for _, s := range d.sorted {
		if s.lost && s.Service == service {
			s.nextProbeAt = now
		}
	}
}

// ConnectFailed records that a connection to a server could not be opened. It reports whether the server is lost by that.
func (d *Detector) ConnectFailed(now time.Time, id string) (lost bool) {
	return d.fail(now, id, connectFailureWeight)
}

// Closed records that a server, or something on the way to it, has ended a new connection without an answer. It reports
// whether the server is lost by that.
func (d *Detector) Closed(now time.Time, id string) (lost bool) { return d.fail(now, id, closedWeight) }

func (d *Detector) fail(now time.Time, id string, weight int) (lost bool) {
	s := d.servers[id]
	if s == nil {
		return false
	}
	if s.weight == 0 {
		s.firstFailureAt = now
	}
	d.quiet = false
	s.weight += weight
	s.contacts = 0
	d.reviewRecovery(now)
	switch {
	case s.lost:
		s.retryInterval = min(2*s.retryInterval, maxRetryInterval)
		return false
	case s.weight < failureWeightToLose:
		if !s.checking {
			s.checking, s.nextProbeAt = true, now
		}
		return false
	}
	if !s.regainedAt.IsZero() && now.Sub(s.regainedAt) < flapWindow {
		s.contactsNeeded = min(2*s.contactsNeeded, maxContactsToRegain)
	} else {
		s.contactsNeeded = contactsToRegain
	}
	s.lost, s.lostSince, s.checking = true, s.firstFailureAt, false
	s.retryInterval, s.nextProbeAt = minRetryInterval, now.Add(minRetryInterval)
	d.losses++
	d.reviewRecovery(now)
	return true
}

// reviewRecovery ends recoveryTime when the servers that were reached in it have failed again. An answer over a connection that was
// opened before the loss says nothing about new ones.
func (d *Detector) reviewRecovery(now time.Time) {
	if !now.Before(d.recoveringUntil) {
		return
	}
	began := d.recoveringUntil.Add(-recoveryTime)
	for _, s := range d.sorted {
		if s.lost && s.contacts > 0 || !s.lost && !s.regainedAt.Before(began) {
			return
		}
	}
	d.recoveringUntil, d.lostReachedAt = time.Time{}, time.Time{} // the next contact counts as the first one
}

// Check makes the next Ticks probe servers until they are reached or lost, for example because one did not answer a request.
func (d *Detector) Check(now time.Time, ids ...string) {
	for _, id := range ids {
		if s := d.servers[id]; s != nil && !s.checking && !s.lost {
			s.checking, s.nextProbeAt = true, now
			d.quiet = false
		}
	}
}

// CheckService makes the next Ticks probe some servers of a service unless one of its servers was reached within contactAge, for
// example because another instance has lost the service.
func (d *Detector) CheckService(now time.Time, service string) {
	var unknown []*server
	for i := range d.sorted {
		s := d.sorted[(d.rotation+i)%len(d.sorted)]
		switch {
		case s.Service != service:
		case s.checking || s.lost || !s.reachedAt.IsZero() && now.Sub(s.reachedAt) < contactAge:
			return // it is known or about to be
		case len(unknown) < minLostServers:
			unknown = append(unknown, s)
		}
	}
	for _, s := range unknown {
		s.checking, s.nextProbeAt = true, now
		d.quiet = false
	}
}

// Tick returns the ids of the servers to probe now. Each probe ends with a call of Reached, ConnectFailed or Closed. It must be
// called more often than every confirmInterval.
func (d *Detector) Tick(now time.Time) []string {
	if d.quiet {
		return nil
	}
	d.sampleServices(now)
	d.quiet = true
	var probes []string
	retries, maxRetries := 0, maxRetriesPerTick
	if now.Before(d.recoveringUntil) {
		maxRetries = maxProbesPerTick
	}
	for i := range d.sorted {
		s := d.sorted[(d.rotation+i)%len(d.sorted)]
		if s.checking || s.lost || s.weight > 0 {
			d.quiet = false
		}
		if !s.checking && !s.lost || now.Before(s.nextProbeAt) || s.lost && retries == maxRetries {
			continue
		}
		if len(probes) == maxProbesPerTick {
			d.rotation = (d.rotation + i) % len(d.sorted)
			return probes
		}
		s.nextProbeAt = now.Add(confirmInterval)
		if s.lost {
			retries++
			s.nextProbeAt = now.Add(s.retryInterval)
		}
		probes = append(probes, s.ID)
	}
	if len(d.sorted) > 0 {
		d.rotation = (d.rotation + 1) % len(d.sorted)
	}
	return probes
}

// sampleServices checks, in each service with failures, as many other servers as are needed to tell whether the service is
// lost. Once one is, it checks the other services, which are probably lost as well.
func (d *Detector) sampleServices(now time.Time) {
	tallies := d.tally(now)
	if slices.ContainsFunc(slices.Collect(maps.Values(tallies)), tally.isLost) {
		for service := range d.services {
			if tallies[service].failing == 0 {
				d.CheckService(now, service)
			}
		}
	}
	for service, t := range tallies {
		missing := t.failing + 1 - t.reached - t.checking
		if t.failing == 0 || missing <= 0 || t.reached == 0 && t.failing+t.checking >= maxBlindSample {
			continue
		}
		for i := range d.sorted {
			s := d.sorted[(d.rotation+i)%len(d.sorted)]
			if missing == 0 {
				break
			}
			if s.Service == service && !s.lost && !s.checking && s.weight == 0 && !s.reachedSince(now, t.newestFailure) {
				s.checking, s.nextProbeAt = true, now
				missing--
			}
		}
	}
}

// tally counts the servers of a service.
type tally struct {
	total         int
	lost          int
	failing       int // lost, or with failures
	reached       int // not lost, and reached since the newest failure or within contactAge
	checking      int // without failures, being probed
	newestFailure time.Time
	lostSince     time.Time // of the server that was lost first
}

// isLost reports whether the service is lost.
func (t tally) isLost() bool {
	return t.lost > 0 && t.lost >= min(minLostServers, t.total) && t.lost > t.reached
}

// tally returns the counts by service, of the services with failures only.
func (d *Detector) tally(now time.Time) map[string]tally {
	counts := map[string]tally{}
	for _, s := range d.sorted {
		if s.weight == 0 && !s.lost {
			continue
		}
		t := counts[s.Service]
		t.failing++
		if s.firstFailureAt.After(t.newestFailure) {
			t.newestFailure = s.firstFailureAt
		}
		if s.lost {
			t.lost++
			if t.lostSince.IsZero() || s.lostSince.Before(t.lostSince) {
				t.lostSince = s.lostSince
			}
		}
		counts[s.Service] = t
	}
	if len(counts) == 0 {
		return counts
	}
	for _, s := range d.sorted {
		t, failing := counts[s.Service]
		if !failing {
			continue
		}
		t.total++
		switch {
		case s.lost || s.weight > 0:
		case s.reachedSince(now, t.newestFailure):
			t.reached++
		case s.checking:
			t.checking++
		}
		counts[s.Service] = t
	}
	return counts
}

// reachedSince reports whether the last contact with the server is after the newest failure of its service, or recent.
func (s *server) reachedSince(now, newestFailure time.Time) bool {
	return !s.reachedAt.IsZero() && (s.reachedAt.After(newestFailure) || now.Sub(s.reachedAt) < contactAge)
}

// ServerLost reports whether the path to a server is lost.
func (d *Detector) ServerLost(id string) bool {
	s := d.servers[id]
	return s != nil && s.lost
}

// Losses returns how many servers are lost.
func (d *Detector) Losses() int { return d.losses }

// LostService is a service that an instance has lost.
type LostService struct {
	Service string
	Since   time.Time // when the first of its lost servers failed
	Lost    int       // number of its lost servers
	Reached int       // number of its servers that are reached
}

// LostServices returns the services that are lost, sorted by name: more of their servers are lost than reached.
func (d *Detector) LostServices(now time.Time) []LostService {
	if d.losses == 0 {
		return nil
	}
	var list []LostService
	for service, t := range d.tally(now) {
		if t.isLost() {
			list = append(list, LostService{Service: service, Since: t.lostSince, Lost: t.lost, Reached: t.reached})
		}
	}
	slices.SortFunc(list, func(a, b LostService) int { return strings.Compare(a.Service, b.Service) })
	return list
}

// UnreachedServers returns the ids of at most limit lost servers of a service, sorted, or none while the paths come back.
func (d *Detector) UnreachedServers(now time.Time, service string, limit int) []string {
	if now.Before(d.recoveringUntil) {
		return nil
	}
	var ids []string
	for _, s := range d.sorted {
		if s.lost && s.Service == service && len(ids) < limit {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// ReachesMost reports whether at least half of some servers, and at least one, were reached after since and within contactAge.
// Unknown ones count as not reached.
func (d *Detector) ReachesMost(now, since time.Time, ids []string) bool {
	reached := 0
	for _, id := range ids {
		if s := d.servers[id]; s != nil && !s.lost && s.reachedAt.After(since) && now.Sub(s.reachedAt) < contactAge {
			reached++
		}
	}
	return reached > 0 && 2*reached >= len(ids)
}
