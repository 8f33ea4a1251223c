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
	is.True(!c.Expire(at(drainTimeout-1), drainTimeout))
	is.True(c.Expire(at(drainTimeout), drainTimeout))
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
	is.True(!c.Expire(at(time.Second), drainTimeout))
	is.True(c.Expire(reappearDeadline, drainTimeout))
	is.Equal(len(c.Servers()), 1)
	is.Equal(c.Servers()[0].ID, "a")
	lastKnown, ok := c.LastKnown("b")
	is.True(ok)
	is.Equal(lastKnown.Address, "a:1")
	c.Remove(at(3*time.Second), reappearDeadline, "a") // the deadline has passed, so it is removed at once
	is.Equal(len(c.Servers()), 0)
}

// TestOlderIncarnationDoesNotCancelRemoval guards against a server that stays in use after its registration was removed,
// because a registration of its previous incarnation arrives late.
func TestOlderIncarnationDoesNotCancelRemoval(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(start, drainTimeout, server("a", Ready, 2))
	c.Remove(start, at(time.Second), "a")
	is.True(!c.Put(start, drainTimeout, server("a", Ready, 1)))
	is.True(c.Expire(at(time.Second), drainTimeout))
	is.Equal(len(c.Servers()), 0)
}

// TestDrainTimeoutBeginsAnewWithIncarnation guards against a restarted server that is gone as soon as it drains, because the
// drain timeout of its previous incarnation has passed.
func TestDrainTimeoutBeginsAnewWithIncarnation(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(start, drainTimeout, server("a", Draining, 1))
	c.Put(at(900*time.Millisecond), drainTimeout, server("a", Draining, 2))
	is.True(!c.Expire(at(drainTimeout), drainTimeout))
	is.Equal(c.Servers()[0].State, Draining)
	is.True(c.Expire(at(900*time.Millisecond+drainTimeout), drainTimeout))
	is.Equal(c.Servers()[0].State, Gone)
}

// TestLeavingServerDrains guards against a server that stays in use although it has said in an answer that it is leaving,
// and against a new incarnation that such an answer bars.
func TestLeavingServerDrains(t *testing.T) {
	tests := map[string]struct {
		known       Server
		incarnation int64  // of the answer
		later       Server // registration that follows
		want        State
	}{
		"registered as ready": {
			known: server("a", Ready, 1), incarnation: 1, later: server("a", Ready, 1), want: Draining,
		},
		"registered as draining": {
			known: server("a", Draining, 1), incarnation: 1, later: server("a", Draining, 1), want: Draining,
		},
		"restarts under its id": {
			known: server("a", Ready, 1), incarnation: 1, later: server("a", Ready, 2), want: Ready,
		},
		"answer of the previous incarnation": {
			known: server("a", Ready, 2), incarnation: 1, later: server("a", Ready, 2), want: Ready,
		},
		"registration arrives after the answer": {
			known: server("b", Ready, 1), incarnation: 1, later: server("a", Ready, 1), want: Draining,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Catalog
			c.Put(start, drainTimeout, test.known)
			c.Leave(start, drainTimeout, "a", test.incarnation)
			c.Put(at(100*time.Millisecond), drainTimeout, test.later)
			is.Equal(c.Servers()[0].State, test.want)
			if test.want == Draining {
				is.True(c.Expire(at(100*time.Millisecond+drainTimeout), drainTimeout))
				is.Equal(c.Servers()[0].State, Gone)
			}
		})
	}
}

// TestRestoredRegistrations guards against servers that are in use again after the store came back from an older copy, in
// which they had not left yet, and against running servers that are not used because their registrations are old.
func TestRestoredRegistrations(t *testing.T) {
	const confirmed = 3 * time.Second
	tests := map[string]struct {
		before   func(c *Catalog)
		restored Server
		want     []State // at once, and after the confirmation; empty if it is not in the catalog
		wantLate []State
	}{
		"unknown server": {
			before: func(*Catalog) {}, restored: server("a", Ready, 1), want: []State{Ready}, wantLate: []State{Ready},
		},
		"known server": {
			before:   func(c *Catalog) { c.Put(start, drainTimeout, server("a", Ready, 1)) },
			restored: server("a", Ready, 1), want: []State{Ready}, wantLate: []State{Ready},
		},
		"removed server": {
			before: func(c *Catalog) {
				c.Put(start, drainTimeout, server("a", Ready, 1))
				c.Remove(start, start, "a")
			},
			restored: server("a", Ready, 1), wantLate: []State{Ready},
		},
		"draining server": {
			before:   func(c *Catalog) { c.Put(start, drainTimeout, server("a", Draining, 1)) },
			restored: server("a", Ready, 1), want: []State{Draining}, wantLate: []State{Gone},
		},
		"later incarnation of a removed server": {
			before: func(c *Catalog) {
				c.Put(start, drainTimeout, server("a", Ready, 1))
				c.Remove(start, start, "a")
			},
			restored: server("a", Ready, 2), want: []State{Ready}, wantLate: []State{Ready},
		},
		"earlier incarnation": {
			before:   func(c *Catalog) { c.Put(start, drainTimeout, server("a", Ready, 2)) },
			restored: server("a", Draining, 1), want: []State{Ready}, wantLate: []State{Ready},
		},
	}
	states := func(c *Catalog) []State {
		var list []State
		for _, s := range c.Servers() {
			list = append(list, s.State)
		}
		return list
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Catalog
			test.before(&c)
			c.PutRestored(start, at(confirmed), drainTimeout, test.restored)
			is.Equal(states(&c), test.want)
			c.Expire(at(confirmed-1), drainTimeout)
			if test.want == nil {
				is.Equal(states(&c), test.want)
			}
			c.Expire(at(confirmed), drainTimeout)
			is.Equal(states(&c), test.wantLate)
		})
	}
}

// TestUnconfirmedRegistrationIsRemoved guards against a server that comes back into use after the store has removed the
// registration that an older copy had.
func TestUnconfirmedRegistrationIsRemoved(t *testing.T) {
	is := is.New(t)
	var c Catalog
	c.Put(start, drainTimeout, server("a", Ready, 1))
	c.Remove(start, start, "a")
	c.PutRestored(start, at(time.Second), drainTimeout, server("a", Ready, 1))
	c.Remove(at(500*time.Millisecond), start, "a")
	is.True(!c.Expire(at(time.Second), drainTimeout))
	is.Equal(len(c.Servers()), 0)
}

// TestServerWithTwoAddressesHasMoved guards against conclusions from an address that another writer may have put in place of that of the
// server, whether the record of either came first.
func TestServerWithTwoAddressesHasMoved(t *testing.T) {
	is := is.New(t)
	elsewhere := func(incarnation int64) Server {
		s := server("a", Ready, incarnation)
		s.Address = "b:1"
		return s
	}
	var c Catalog
	is.True(!c.Moved("a"))
	c.Put(start, drainTimeout, server("a", Ready, 1))
	c.Put(start, drainTimeout, server("a", Draining, 1))
	is.True(!c.Moved("a"))
	c.Put(start, drainTimeout, elsewhere(2)) // a later incarnation may have another address
	is.True(!c.Moved("a"))
	c.Put(start, drainTimeout, server("a", Ready, 2))
	is.True(c.Moved("a"))
	c.Put(start, drainTimeout, elsewhere(2))
	c.Remove(start, start, "a")
	is.True(c.Moved("a"))
	c.Put(start, drainTimeout, server("a", Ready, 3))
	is.True(!c.Moved("a"))
}

// TestEarlierRegistrationLeavesAddressUncertain guards against the same where an entry with an earlier start, which counts once the
// registration has expired, hides which address the server had.
func TestEarlierRegistrationLeavesAddressUncertain(t *testing.T) {
	registration := func(address string, incarnation int64) Server {
		s := server("a", Ready, incarnation)
		s.Address = address
		return s
	}
	tests := map[string]struct {
		entries []Server // after the server's own, which has the incarnation 5 and has expired; each expires
		want    bool
	}{
		"none":                              {},
		"the server again":                  {entries: []Server{registration("a:1", 5)}},
		"a restart elsewhere":               {entries: []Server{registration("b:1", 6)}},
		"another address":                   {entries: []Server{registration("b:1", 5)}, want: true},
		"an earlier start":                  {entries: []Server{registration("b:1", 4)}, want: true},
		"an earlier start, another address": {entries: []Server{registration("c:1", 4), registration("b:1", 5)}, want: true},
		"a later start, another address":    {entries: []Server{registration("c:1", 6), registration("b:1", 5)}, want: true},
		"an earlier start, a restart":       {entries: []Server{registration("c:1", 4), registration("b:1", 6)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Catalog
			for _, s := range append([]Server{registration("a:1", 5)}, test.entries...) {
				c.Put(start, drainTimeout, s)
				c.Remove(start, start, "a")
			}
			is.Equal(c.Moved("a"), test.want)
		})
	}
}

// TestWarmupCountsFromItsArrival guards against the time left of a cold server that counts from an earlier registration, and against
// heartbeats of warm servers that count as changes.
func TestWarmupCountsFromItsArrival(t *testing.T) {
	for name, test := range map[string]struct {
		first, second Server
		changed       bool
		readAt        time.Time
	}{
		"warm":       {changed: false, readAt: start},
		"cold":       {first: Server{WarmupLeft: 2}, second: Server{WarmupLeft: 1}, changed: true, readAt: start.Add(time.Second)},
		"still cold": {first: Server{WarmupLeft: 2}, second: Server{WarmupLeft: 2}, changed: true, readAt: start.Add(time.Second)},
		"turns warm": {first: Server{WarmupLeft: 2}, changed: true, readAt: start.Add(time.Second)},
		"turns cold": {second: Server{WarmupLeft: 2}, changed: true, readAt: start.Add(time.Second)},
		"restarted":  {second: Server{Incarnation: 1}, changed: true, readAt: start.Add(time.Second)},
		"unknown":    {second: Server{WarmupUnknown: true}, changed: true, readAt: start.Add(time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var c Catalog
			test.first.ID, test.second.ID = "s", "s"
			is.True(c.Put(start, time.Minute, test.first))
			is.Equal(c.Put(start.Add(time.Second), time.Minute, test.second), test.changed)
			is.Equal(c.WarmupReadAt("s"), test.readAt)
		})
	}
}
