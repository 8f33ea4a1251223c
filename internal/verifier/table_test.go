package verifier

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// The load of each row, in requests.
const (
	loadCount  = 420
	faultAfter = 60
	later      = faultAfter + loadCount/2
)

// row is one fault, or two, while requests run.
type row struct {
	strike func(c *cluster, l *load)
	// flags are more flags of the keyed servers.
	flags []string
	// uncut says that no request may end as unknown.
	uncut bool
	// avoid is an entry that clients do not choose, by its number; 0 is none.
	avoid int
}

// rows strike the real processes while requests run.
var rows = map[string]row{
	"nothing": {uncut: true, strike: func(*cluster, *load) {}},
	"entry killed": {strike: func(c *cluster, _ *load) {
		e := c.others(c.leader())[0]
		e.process.kill(c.t)
		c.awaitOwners(c.others(e)...)
		c.startEntry(e)
	}},
	"leader killed": {strike: func(c *cluster, _ *load) {
		e := c.leader()
		e.process.kill(c.t)
		c.awaitOwners(c.others(e)...)
		c.startEntry(e)
	}},
	"server killed": {strike: func(c *cluster, _ *load) {
		c.servers[1].process.kill(c.t)
		c.awaitOwnsNothing(c.servers[1].id, c.entries...)
	}},
	"server killed, back under its id": {strike: func(c *cluster, _ *load) {
		c.servers[1].process.kill(c.t)
		c.startServer(c.servers[1])
		c.awaitOwners(c.entries...)
	}},
	"leader and server killed": {strike: func(c *cluster, _ *load) {
		e := c.leader()
		c.servers[1].process.kill(c.t)
		e.process.kill(c.t)
		c.awaitOwnsNothing(c.servers[1].id, c.others(e)...)
		c.startEntry(e)
	}},
	"leader stopped and continued": {strike: func(c *cluster, _ *load) {
		e := c.leader()
		e.process.send(c.t, syscall.SIGSTOP)
		c.awaitOwners(c.others(e)...)
		e.process.send(c.t, syscall.SIGCONT)
		c.awaitOwners(c.entries...)
	}},
	"server stopped and continued": {strike: func(c *cluster, _ *load) {
		s := c.servers[1]
		s.process.send(c.t, syscall.SIGSTOP)
		c.awaitOwnsNothing(s.id, c.entries...)
		s.process.send(c.t, syscall.SIGCONT)
		c.awaitOwners(c.entries...)
	}},
	"store down": {uncut: true, strike: func(c *cluster, l *load) {
		c.switchFaults(c.store, emulator.StoreFaults{Outage: true})
		l.awaitSent(later)
		c.switchFaults(c.store, emulator.StoreFaults{})
	}},
	"store silent, leader killed": {strike: func(c *cluster, l *load) {
		e := c.leader()
		c.switchFaults(c.store, emulator.StoreFaults{Silent: true})
		e.process.kill(c.t)
		l.awaitSent(faultAfter + loadCount/4)
		c.switchFaults(c.store, emulator.StoreFaults{})
		c.awaitOwners(c.others(e)...)
		c.startEntry(e)
	}},
	"leader cut off from the store": {uncut: true, strike: func(c *cluster, l *load) {
		e := c.leader()
		e.store.set(faultSilent)
		l.awaitSent(later)
		e.store.set(faultNone)
		c.awaitOwners(c.entries...)
	}},
	"answers of the store lost, server killed": {strike: func(c *cluster, _ *load) {
		c.switchFaults(c.store, emulator.StoreFaults{LoseAnswers: 3})
		c.servers[1].process.kill(c.t)
		c.awaitOwnsNothing(c.servers[1].id, c.entries...)
	}},
	"planned stop of a server": {uncut: true, strike: func(c *cluster, _ *load) {
		c.servers[1].process.stop(c.t)
		c.awaitOwnsNothing(c.servers[1].id, c.entries...)
	}},
	"planned stop of an entry": {uncut: true, avoid: 2, strike: func(c *cluster, _ *load) {
		e := c.entries[1]
		e.process.stop(c.t)
		c.startEntry(e)
	}},
	"late orders": {strike: func(c *cluster, l *load) {
		for _, s := range c.servers[:2] {
			c.switchFaults(s.process, emulator.ServerFaults{LateOrders: 3, LateMS: 2500})
		}
		l.awaitSent(later)
		c.awaitOwners(c.entries...)
	}},
	"answers of servers lost, cut, garbled and doubled": {strike: func(c *cluster, _ *load) {
		for _, s := range c.servers {
			c.switchFaults(s.process, emulator.ServerFaults{LoseAnswers: 2, CutAnswers: 2, GarbleAnswers: 2, ExtraAnswers: 2, FailRequests: 2})
		}
	}},
	"server reached one way only": {strike: func(c *cluster, _ *load) {
		c.servers[1].front.set(faultToSource)
		c.awaitOwnsNothing(c.servers[1].id, c.entries...)
		c.servers[1].front.set(faultNone)
		c.awaitOwners(c.entries...)
	}},
	"servers hang when full": {flags: []string{"-hangs-when-full", "-queue", "0", "-slots", "1"}, strike: func(*cluster, *load) {}},
	"new bundle": {uncut: true, strike: func(c *cluster, _ *load) {
		c.publish([]string{"objective: 300ms", "objective: 250ms"})
		c.awaitOwners(c.entries...)
	}},
}

// TestProcesses plays each row; cluster.judge says what has to hold.
func TestProcesses(t *testing.T) {
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, usual, row.flags...)
			chosen := c.entries
			if row.avoid > 0 {
				chosen = c.others(c.entries[row.avoid-1])
			}
			l := c.startLoad(chosen, 1, loadCount)
			l.awaitSent(faultAfter)
			row.strike(c, l)
			c.awaitService()
			report := c.judge(l)
			is.Equal(report.Sent, loadCount)
			is.True(report.Answered > 0)
			if row.uncut {
				is.Equal(report.Unknown, 0) // a request was cut
			}
		})
	}
}

// TestAllEntriesReplaced kills every entry and starts them anew: what the store holds is what they agree on.
func TestAllEntriesReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, usual)
	c.publish([]string{"objective: 300ms", "objective: 250ms"})
	c.awaitOwners(c.entries...)
	var before []string
	keys := []uint16{0, 9_000, 20_000, 33_333, 50_000, 65_535}
	for _, key := range keys {
		answer, ok := c.owner(c.entries[0], key)
		is.True(ok)
		before = append(before, answer.Server)
	}
	for _, e := range c.entries {
		e.process.kill(t)
	}
	for _, e := range c.entries {
		c.startEntry(e)
	}
	c.awaitOwners(c.entries...)
	for _, e := range c.entries {
		is.True(e.ready())
		for i, key := range keys {
			answer, ok := c.owner(e, key)
			is.True(ok)
			is.Equal(answer.Server, before[i])
		}
	}
	c.awaitService()
}
