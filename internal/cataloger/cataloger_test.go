package cataloger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

const drainTimeout = time.Second

// at returns the time d after start.
func at(d time.Duration) time.Time { return start.Add(d) }

func server(id string, state State, incarnation int64) Server {
	return Server{ID: id, Service: "desk", Address: "a:1", Domain: "d", Slots: 2, State: state, Incarnation: incarnation}
}

// TestPut guards against lost changes of registrations, and against an older incarnation that replaces a newer one.
func TestPut(t *testing.T) {
	tests := map[string]struct {
		first, second Server
		changed       bool
		state         State
		incarnation   int64
	}{
		"unchanged": {
			first: server("a", Ready, 1), second: server("a", Ready, 1), state: Ready, incarnation: 1,
		},
		"starts draining": {
			first: server("a", Ready, 1), second: server("a", Draining, 1), changed: true, state: Draining, incarnation: 1,
		},
		"new incarnation": {
			first: server("a", Ready, 1), second: server("a", Ready, 2), changed: true, state: Ready, incarnation: 2,
		},
		"older incarnation": {
			first: server("a", Ready, 2), second: server("a", Draining, 1), state: Ready, incarnation: 2,
		},
		"stops draining": {
			first: server("a", Draining, 1), second: server("a", Ready, 1), changed: true, state: Ready, incarnation: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Catalog
			is.True(c.Put(start, drainTimeout, test.first))
			is.Equal(c.Put(start, drainTimeout, test.second), test.changed)
			is.Equal(c.Servers()[0].State, test.state)
			is.Equal(c.Servers()[0].Incarnation, test.incarnation)
		})
	}
}

// TestDrainingServerIsGoneAfterDrainTimeout guards against a server that drains indefinitely because no leader can move its
// keys: repeated registrations must not extend the drain timeout.
func TestDrainingServerIsGoneAfterDrainTimeout(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(start, drainTimeout, server("a", Draining, 1))
	c.Put(at(500*time.Millisecond), drainTimeout, server("a", Draining, 1)) // a repeated registration
	is.True(!c.Expire(at(drainTimeout - 1)))
	is.True(c.Expire(at(drainTimeout)))
	is.Equal(c.Servers()[0].State, Gone)
	c.Put(at(2*drainTimeout), drainTimeout, server("a", Draining, 1))
	is.Equal(c.Servers()[0].State, Gone)
}

// TestMissingServersAreKeptUntilReappearDeadline guards against running servers that are removed because their
// registrations expired while the store was unreachable.
func TestMissingServersAreKeptUntilReappearDeadline(t *testing.T) {
	is := is.New(t)
	var c Catalog
	reappearDeadline := at(2 * time.Second)
	for _, id := range []string{"a", "b"} {
		c.Put(start, drainTimeout, server(id, Ready, 1))
	}
	c.Retain(start, reappearDeadline, map[string]bool{})
	is.Equal(len(c.Servers()), 2)
	c.Put(at(time.Second), drainTimeout, server("a", Ready, 1))
	is.True(!c.Expire(at(time.Second)))
	is.True(c.Expire(reappearDeadline))
	is.Equal(len(c.Servers()), 1)
	is.Equal(c.Servers()[0].ID, "a")
	lastKnown, ok := c.LastKnown("b")
	is.True(ok)
	is.Equal(lastKnown.Address, "a:1")
	c.Remove(at(3*time.Second), reappearDeadline, "a") // the deadline has passed, so it is removed at once
	is.Equal(len(c.Servers()), 0)
}

// TestServerWhoseAddressIsReusedHasEnded guards against waiting for the leases of a server whose address another server
// has, and against treating a server as ended only because its registration is missing.
func TestServerWhoseAddressIsReusedHasEnded(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(start, drainTimeout, server("a", Ready, 1))
	is.Equal(len(c.EndedServers()), 0)
	c.Remove(start, start, "a")
	is.Equal(len(c.EndedServers()), 0) // without a registration it may still serve requests
	successor := server("b", Ready, 1)
	c.Put(start, drainTimeout, successor)
	is.Equal(c.EndedServers(), map[string]bool{"a": true})
}
