package cataloger

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

const drain = time.Second

func at(d time.Duration) time.Time { return start.Add(d) }

func server(id string, state State, born int64) Server {
	return Server{ID: id, Service: "desk", Address: "a:1", Domain: "d", Slots: 2, State: state, Incarnation: born}
}

func TestPut(t *testing.T) {
	tests := map[string]struct {
		first, second Server
		changed       bool
		state         State
		born          int64
	}{
		"same":               {first: server("a", Ready, 1), second: server("a", Ready, 1), state: Ready, born: 1},
		"drains":             {first: server("a", Ready, 1), second: server("a", Draining, 1), changed: true, state: Draining, born: 1},
		"reborn":             {first: server("a", Ready, 1), second: server("a", Ready, 2), changed: true, state: Ready, born: 2},
		"older incarnation":  {first: server("a", Ready, 2), second: server("a", Draining, 1), state: Ready, born: 2},
		"back from draining": {first: server("a", Draining, 1), second: server("a", Ready, 1), changed: true, state: Ready, born: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Catalog
			is.True(c.Put(start, drain, test.first))
			is.Equal(c.Put(start, drain, test.second), test.changed)
			is.Equal(c.Servers()[0].State, test.state)
			is.Equal(c.Servers()[0].Incarnation, test.born)
		})
	}
}

// TestDrainingServerIsGoneInTime plays a leader that can't move the keys of a server that leaves.
func TestDrainingServerIsGoneInTime(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(start, drain, server("a", Draining, 1))
	c.Put(at(500*time.Millisecond), drain, server("a", Draining, 1)) // its entry again
	is.True(!c.Expire(at(drain - 1)))
	is.True(c.Expire(at(drain)))
	is.Equal(c.Servers()[0].State, Gone)
	c.Put(at(2*drain), drain, server("a", Draining, 1))
	is.Equal(c.Servers()[0].State, Gone)
}

func TestEntriesThatLapsedInAnOutageComeBack(t *testing.T) {
	is := is.New(t)
	var c Catalog
	settled := at(2 * time.Second)
	for _, id := range []string{"a", "b"} {
		c.Put(start, drain, server(id, Ready, 1))
	}
	c.Retain(start, settled, map[string]bool{})
	is.Equal(len(c.Servers()), 2)
	c.Put(at(time.Second), drain, server("a", Ready, 1))
	is.True(!c.Expire(at(time.Second)))
	is.True(c.Expire(settled))
	is.Equal(len(c.Servers()), 1)
	is.Equal(c.Servers()[0].ID, "a")
	last, ok := c.LastKnown("b")
	is.True(ok)
	is.Equal(last.Address, "a:1")
	c.Remove(at(3*time.Second), settled, "a") // the store has been calm: gone at once
	is.Equal(len(c.Servers()), 0)
}

func TestServerWhoseAddressIsTakenHasEnded(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(start, drain, server("a", Ready, 1))
	is.Equal(len(c.EndedServers()), 0)
	c.Remove(start, start, "a")
	is.Equal(len(c.EndedServers()), 0) // it may serve on for a while
	next := server("b", Ready, 1)
	c.Put(start, drain, next)
	is.Equal(c.EndedServers(), map[string]bool{"a": true})
}
