// Package cataloger keeps the registrations of the backend servers in the platform's service discovery. It decides when a
// server whose registration is missing is removed, and when a draining server counts as gone.
package cataloger

import (
	"slices"
	"strings"
	"time"
)

// State is the state of a backend server.
type State int

// The states of a backend server. Servers register themselves as Ready or Draining. Gone is the state of a registered server
// that has drained for longer than its drain timeout.
const (
	Ready State = iota
	Draining
	Gone
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "gone"
}

// Server is the registration of a backend server.
type Server struct {
	ID          string
	Service     string
	Address     string // host and port
	Domain      string // failure domain
	Slots       int    // number of requests that it runs concurrently
	State       State
	Incarnation int64         // Unix time of its start in milliseconds; higher after a restart under the same id
	WarmupLeft  time.Duration // remaining warm-up time when it wrote the registration
	// WarmupUnknown says that the registration names no remaining warm-up time, or an invalid one.
	WarmupUnknown bool
	// Evacuated says that its failure domain is evacuated; see Evacuations.Apply.
	Evacuated bool
	// WarmupReadAt is when WarmupLeft was read, on the clock of those who use it; the Catalog leaves it unset.
	WarmupReadAt time.Time
}

// Catalog is the set of known servers. The zero Catalog is empty. A Catalog is not safe for concurrent use.
type Catalog struct {
	servers           map[string]Server      // by id, like all maps of the Catalog
	reappearDeadlines map[string]time.Time   // until when a missing registration may reappear
	lastKnown         map[string]Server      // latest registration of each server, also after its removal
	drainDeadlines    map[string]time.Time   // when a draining server counts as gone
	leaving           map[string]int64       // incarnation of each server that said that it is leaving
	warmupReadAt      map[string]time.Time   // when the registration that a server last changed was recorded
	unconfirmed       map[string]unconfirmed // registrations of removed servers that are in an older copy of the store
	moved             map[string]int64       // latest incarnation of each server up to which its addresses are uncertain
}

// unconfirmed is a registration that a server may have removed or changed since.
type unconfirmed struct {
	server      Server
	confirmedAt time.Time // when it counts, as the server has renewed it meanwhile
}

// Put records a registration and reports whether that changes the catalog's registration of the server. A registration of
// an older incarnation than the present one is ignored. A draining server counts as gone once drainTimeout has passed
// since this incarnation began to drain. Each registration of a server that is warming up is a change.
func (c *Catalog) Put(now time.Time, drainTimeout time.Duration, s Server) bool {
	if c.servers == nil {
		c.servers = map[string]Server{}
		c.lastKnown = map[string]Server{}
		c.drainDeadlines = map[string]time.Time{}
		c.warmupReadAt = map[string]time.Time{}
	}
	delete(c.unconfirmed, s.ID)
	previous, known := c.servers[s.ID]
	if known && s.Incarnation < previous.Incarnation {
		return false
	}
	// An earlier incarnation, which counts after the registration was removed, replaces the address by which later entries are compared.
	if last, ok := c.lastKnown[s.ID]; ok &&
		(s.Incarnation < last.Incarnation || s.Incarnation == last.Incarnation && s.Address != last.Address) {
		if c.moved == nil {
			c.moved = map[string]int64{}
		}
		c.moved[s.ID] = max(c.moved[s.ID], last.Incarnation)
	}
	delete(c.reappearDeadlines, s.ID)
	if known && s.Incarnation > previous.Incarnation {
		delete(c.drainDeadlines, s.ID)
		previous = Server{}
	}
	if incarnation, leaves := c.leaving[s.ID]; leaves && s.Incarnation <= incarnation {
		s.State = Draining
	}
	switch {
	case s.State != Draining:
		delete(c.drainDeadlines, s.ID)
	case c.drainDeadlines[s.ID].IsZero():
		c.drainDeadlines[s.ID] = now.Add(drainTimeout)
	case known && previous.State == Gone:
		s.State = Gone
	}
	c.servers[s.ID] = s
	c.lastKnown[s.ID] = s
	changed := !known || previous != s || s.WarmupLeft > 0 // the time left of a cold server counts from each registration
	if changed {
		c.warmupReadAt[s.ID] = now
	}
	return changed
}

// PutRestored records a registration that was read after the store came back from an older copy, as Put does for a current
// one. A server that was known to drain goes on draining, unless the registration is of a later incarnation. The registration
// of a server that was removed counts only from confirmedAt on, unless Put records it before: until then a server that lives
// has renewed it, and the store has removed that of another one.
func (c *Catalog) PutRestored(now, confirmedAt time.Time, drainTimeout time.Duration, s Server) bool {
	last, wasKnown := c.lastKnown[s.ID]
	previous, known := c.servers[s.ID]
	if wasKnown && s.Incarnation <= last.Incarnation {
		if !known {
			if c.unconfirmed == nil {
				c.unconfirmed = map[string]unconfirmed{}
			}
			c.unconfirmed[s.ID] = unconfirmed{server: s, confirmedAt: confirmedAt}
			return false
		}
		if previous.State != Ready {
			delete(c.reappearDeadlines, s.ID)
			return false
		}
	}
	return c.Put(now, drainTimeout, s)
}

// Leave records that an incarnation of a server has said in an answer that it is leaving, and reports whether that changes
// the catalog. The server drains from then on, whatever its registration says, and is gone once drainTimeout has passed.
func (c *Catalog) Leave(now time.Time, drainTimeout time.Duration, id string, incarnation int64) bool {
	if c.leaving == nil {
		c.leaving = map[string]int64{}
	}
	if known, ok := c.leaving[id]; ok && known >= incarnation {
		return false
	}
	c.leaving[id] = incarnation
	s, known := c.servers[id]
	if !known || s.Incarnation > incarnation {
		return false
	}
	return c.Put(now, drainTimeout, s)
}

// Remove records that the registration of a server was removed. Before reappearDeadline the server stays in the catalog,
// because registrations that expired while the store was unreachable may reappear until then.
func (c *Catalog) Remove(now, reappearDeadline time.Time, id string) {
	delete(c.unconfirmed, id)
	if _, known := c.servers[id]; !known {
		return
	}
	if now.Before(reappearDeadline) {
		if c.reappearDeadlines == nil {
			c.reappearDeadlines = map[string]time.Time{}
		}
		c.reappearDeadlines[id] = reappearDeadline
		return
	}
	c.removeServer(id)
}

// removeServer removes a server from the catalog, except for its last known registration.
func (c *Catalog) removeServer(id string) {
	delete(c.servers, id)
	delete(c.reappearDeadlines, id)
	delete(c.drainDeadlines, id)
	delete(c.warmupReadAt, id)
}

// Retain removes all servers whose ids are not in present, the ids found by a full read of the store. Before
// reappearDeadline missing servers stay in the catalog.
func (c *Catalog) Retain(now, reappearDeadline time.Time, present map[string]bool) {
	for id := range c.servers {
		if !present[id] {
			c.Remove(now, reappearDeadline, id)
		}
	}
}

// Expire removes the servers whose missing registrations have not reappeared in time, adds those whose registrations are
// confirmed, and marks draining servers as Gone after their drain timeout. It reports whether it changed the catalog.
// drainTimeout is that of Put.
func (c *Catalog) Expire(now time.Time, drainTimeout time.Duration) bool {
	changed := false
	for id, deadline := range c.reappearDeadlines {
		if !now.Before(deadline) {
			c.removeServer(id)
			changed = true
		}
	}
	for id, u := range c.unconfirmed {
		if !now.Before(u.confirmedAt) {
			delete(c.unconfirmed, id)
			changed = c.Put(now, drainTimeout, u.server) || changed
		}
	}
	for id, deadline := range c.drainDeadlines {
		if s := c.servers[id]; s.State == Draining && !now.Before(deadline) {
			s.State = Gone
			c.servers[id] = s
			changed = true
		}
	}
	return changed
}

// LastKnown returns the latest registration of a server, also after its removal. Its address may belong to another
// server by now.
func (c *Catalog) LastKnown(id string) (Server, bool) {
	s, ok := c.lastKnown[id]
	return s, ok
}

// Moved reports whether the latest incarnation of a server was registered with different addresses, or may have been, so that it is not
// certain which of them it has: a server does not change its address, but other writers may replace its registration.
func (c *Catalog) Moved(id string) bool {
	s, known := c.lastKnown[id]
	incarnation, moved := c.moved[id]
	return known && moved && s.Incarnation <= incarnation
}

// WarmupReadAt returns when the registration was recorded from which the remaining warm-up time of a server counts.
func (c *Catalog) WarmupReadAt(id string) time.Time { return c.warmupReadAt[id] }

// Servers returns the servers sorted by id.
func (c *Catalog) Servers() []Server {
	all := make([]Server, 0, len(c.servers))
	for _, s := range c.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return all
}
