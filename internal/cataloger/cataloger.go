// Package cataloger keeps what the platform's service discovery says of the backend servers, and decides when a server
// whose entry has vanished is to be taken as gone.
package cataloger

import (
	"slices"
	"strings"
	"time"
)

// State is what a backend server says of itself.
type State int

// The states of a backend server. Gone is the state of one whose entry was removed.
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

// Server is the entry of one backend server.
type Server struct {
	ID          string
	Service     string
	Address     string
	Domain      string
	Slots       int
	State       State
	Incarnation int64         // Unix time of its start in milliseconds; a later one is a new incarnation under the same id
	WarmupLeft  time.Duration // how much longer it is slow after its start, as of its entry
}

// Catalog is the set of known servers. The zero Catalog is empty; it is not safe for concurrent use.
type Catalog struct {
	servers map[string]Server
	missing map[string]time.Time // until when the entry of a server that is missing may come back
	last    map[string]Server    // the newest entry of each server that was ever known
	leaving map[string]time.Time // when a server that drains is to be taken as gone
}

// Put records an entry. It reports whether anything but its age changed. A server that drains is taken as gone after
// drain.
func (c *Catalog) Put(now time.Time, drain time.Duration, s Server) bool {
	if c.servers == nil {
		c.servers = map[string]Server{}
		c.last = map[string]Server{}
		c.leaving = map[string]time.Time{}
	}
	delete(c.missing, s.ID)
	old, known := c.servers[s.ID]
	if known && s.Incarnation < old.Incarnation {
		return false
	}
	switch {
	case s.State != Draining:
		delete(c.leaving, s.ID)
	case c.leaving[s.ID].IsZero():
		c.leaving[s.ID] = now.Add(drain)
	case known && old.State == Gone:
		s.State = Gone
	}
	c.servers[s.ID] = s
	c.last[s.ID] = s
	return !known || old != s
}

// Remove records that the entry of a server vanished. Until settled, which is the end of the time in which entries that
// lapsed during an outage of the store come back, the server keeps its state.
func (c *Catalog) Remove(now, settled time.Time, id string) {
	if _, known := c.servers[id]; !known {
		return
	}
	if now.Before(settled) {
		if c.missing == nil {
			c.missing = map[string]time.Time{}
		}
		c.missing[id] = settled
		return
	}
	c.drop(id)
}

func (c *Catalog) drop(id string) {
	delete(c.servers, id)
	delete(c.missing, id)
	delete(c.leaving, id)
}

// Retain removes every server whose id is not in present, as a whole reading of the store shows it.
func (c *Catalog) Retain(now, settled time.Time, present map[string]bool) {
	for id := range c.servers {
		if !present[id] {
			c.Remove(now, settled, id)
		}
	}
}

// Expire drops the servers whose entries did not come back in time, and takes those as gone that have drained for long
// enough. It reports whether there were any.
func (c *Catalog) Expire(now time.Time) bool {
	changed := false
	for id, until := range c.missing {
		if !now.Before(until) {
			c.drop(id)
			changed = true
		}
	}
	for id, until := range c.leaving {
		if s := c.servers[id]; s.State == Draining && !now.Before(until) {
			s.State = Gone
			c.servers[id] = s
			changed = true
		}
	}
	return changed
}

// LastKnown returns the newest entry that a server ever had. Its address may belong to another server by now.
func (c *Catalog) LastKnown(id string) (Server, bool) {
	s, ok := c.last[id]
	return s, ok
}

// EndedServers returns the servers that have surely ended, since another server has their address.
func (c *Catalog) EndedServers() map[string]bool {
	owners := map[string]string{}
	for id, s := range c.servers {
		owners[s.Address] = id
	}
	ended := map[string]bool{}
	for id, s := range c.last {
		if _, present := c.servers[id]; !present && owners[s.Address] != "" {
			ended[id] = true
		}
	}
	return ended
}

// Servers returns the servers in order of their ids.
func (c *Catalog) Servers() []Server {
	all := make([]Server, 0, len(c.servers))
	for _, s := range c.servers {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return all
}
