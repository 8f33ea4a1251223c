package verifier

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

const (
	// loadRequests is the number of requests in the load of each case.
	loadRequests = 420
	// requestsBeforeFault is how many of them are sent before the fault is injected.
	requestsBeforeFault = 60
	// requestsBeforeRepair is how many of them are sent before a temporary fault ends.
	requestsBeforeRepair = requestsBeforeFault + loadRequests/2
)

// faultCase is a situation during which requests run: one fault or two, a graceful shutdown, a new bundle, or, for
// comparison, none of these.
type faultCase struct {
	injectFault func(c *cluster, l *load)
	// keyedServerFlags are added to the command line of the keyed servers.
	keyedServerFlags []string
	// forbidUnknown requires that no request ends with the outcome unknown.
	forbidUnknown bool
	// unseeded leaves the seeds out of the settings.
	unseeded bool
	// avoidedEntry is the number, from 1, of an entry to which clients send no requests; 0 is none.
	avoidedEntry int
}

// faultCases are the cases of TestLoadUnderFaults, by name.
var faultCases = map[string]faultCase{
	"no fault":           {forbidUnknown: true, injectFault: func(*cluster, *load) {}},
	"no fault, no seeds": {forbidUnknown: true, unseeded: true, injectFault: func(*cluster, *load) {}},
	"leader killed, no seeds": {unseeded: true, injectFault: func(c *cluster, _ *load) {
		e := c.awaitLeader()
		e.process.kill(c.t)
		c.awaitAgreement(c.entriesExcept(e)...)
		c.startEntry(e)
	}},
	"entry killed": {injectFault: func(c *cluster, _ *load) {
		e := c.entriesExcept(c.awaitLeader())[0]
		e.process.kill(c.t)
		c.awaitAgreement(c.entriesExcept(e)...)
		c.startEntry(e)
	}},
	"leader killed": {injectFault: func(c *cluster, _ *load) {
		e := c.awaitLeader()
		e.process.kill(c.t)
		c.awaitAgreement(c.entriesExcept(e)...)
		c.startEntry(e)
	}},
	"server killed": {injectFault: func(c *cluster, _ *load) {
		c.servers[1].process.kill(c.t)
		c.awaitServerHasNoKeys(c.servers[1].id, c.entries...)
	}},
	"server killed and restarted under its id": {injectFault: func(c *cluster, _ *load) {
		c.servers[1].process.kill(c.t)
		c.startServer(c.servers[1])
		c.awaitAgreement(c.entries...)
	}},
	"leader and server killed": {injectFault: func(c *cluster, _ *load) {
		e := c.awaitLeader()
		c.servers[1].process.kill(c.t)
		e.process.kill(c.t)
		c.awaitServerHasNoKeys(c.servers[1].id, c.entriesExcept(e)...)
		c.startEntry(e)
	}},
	"leader suspended and resumed": {injectFault: func(c *cluster, _ *load) {
		e := c.awaitLeader()
		e.process.signal(c.t, syscall.SIGSTOP)
		c.awaitAgreement(c.entriesExcept(e)...)
		e.process.signal(c.t, syscall.SIGCONT)
		c.awaitAgreement(c.entries...)
	}},
	"server suspended and resumed": {injectFault: func(c *cluster, _ *load) {
		s := c.servers[1]
		s.process.signal(c.t, syscall.SIGSTOP)
		c.awaitServerHasNoKeys(s.id, c.entries...)
		s.process.signal(c.t, syscall.SIGCONT)
		c.awaitAgreement(c.entries...)
	}},
	"store answers 503": {forbidUnknown: true, injectFault: func(c *cluster, l *load) {
		c.setFaults(c.store, emulator.StoreFaults{Outage: true})
		l.awaitSent(requestsBeforeRepair)
		c.setFaults(c.store, emulator.StoreFaults{})
	}},
	"store does not answer, leader killed": {injectFault: func(c *cluster, l *load) {
		e := c.awaitLeader()
		c.setFaults(c.store, emulator.StoreFaults{Silent: true})
		e.process.kill(c.t)
		l.awaitSent(requestsBeforeFault + loadRequests/4)
		c.setFaults(c.store, emulator.StoreFaults{})
		c.awaitAgreement(c.entriesExcept(e)...)
		c.startEntry(e)
	}},
	"leader cut off from the store": {forbidUnknown: true, injectFault: func(c *cluster, l *load) {
		e := c.awaitLeader()
		e.storeProxy.setFault(faultStallBoth)
		l.awaitSent(requestsBeforeRepair)
		e.storeProxy.setFault(faultNone)
		c.awaitAgreement(c.entries...)
	}},
	"store answers lost, server killed": {injectFault: func(c *cluster, _ *load) {
		c.setFaults(c.store, emulator.StoreFaults{LoseAnswers: 3})
		c.servers[1].process.kill(c.t)
		c.awaitServerHasNoKeys(c.servers[1].id, c.entries...)
	}},
	"graceful shutdown of a server": {forbidUnknown: true, injectFault: func(c *cluster, _ *load) {
		c.servers[1].process.terminateGracefully(c.t)
		c.awaitServerHasNoKeys(c.servers[1].id, c.entries...)
	}},
	"graceful shutdown of an entry": {forbidUnknown: true, avoidedEntry: 2, injectFault: func(c *cluster, _ *load) {
		e := c.entries[1] // the avoided entry
		e.process.terminateGracefully(c.t)
		c.startEntry(e)
	}},
	"orders unanswered and applied late": {injectFault: func(c *cluster, l *load) {
		for _, s := range c.servers[:2] {
			c.setFaults(s.process, emulator.ServerFaults{LateOrders: 3, LateMS: 2500})
		}
		l.awaitSent(requestsBeforeRepair)
		c.awaitAgreement(c.entries...)
	}},
	"server answers lost, cut, garbled, sent twice or with status 500": {injectFault: func(c *cluster, _ *load) {
		for _, s := range c.servers {
			c.setFaults(s.process, emulator.ServerFaults{
				LoseAnswers: 2, CutAnswers: 2, GarbleAnswers: 2, ExtraAnswers: 2, FailRequests: 2,
			})
		}
	}},
	"server receives requests but its answers stall": {injectFault: func(c *cluster, _ *load) {
		c.servers[1].proxy.setFault(faultStallToSource)
		c.awaitServerHasNoKeys(c.servers[1].id, c.entries...)
		c.servers[1].proxy.setFault(faultNone)
		c.awaitAgreement(c.entries...)
	}},
	"servers hang when full": { // the flags are the fault: a full server leaves requests unanswered instead of rejecting them
		keyedServerFlags: []string{"-hangs-when-full", "-queue", "0", "-slots", "1"}, injectFault: func(*cluster, *load) {},
	},
	"new bundle published": {forbidUnknown: true, injectFault: func(c *cluster, _ *load) {
		c.publishBundle([]string{"objective: 300ms", "objective: 250ms"})
		c.awaitAgreement(c.entries...)
	}},
}

// TestLoadUnderFaults brings about each case in real processes while requests run. It guards against requests that are
// executed twice, by two owners or after they were reported as not run; cluster.verifyLoad lists all that it checks. Service
// must recover after the fault.
func TestLoadUnderFaults(t *testing.T) {
	for name, tc := range faultCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			size := defaultSize
			size.seeded = !tc.unseeded
			c := newCluster(t, size, tc.keyedServerFlags...)
			entries := c.entries
			if tc.avoidedEntry > 0 {
				entries = c.entriesExcept(c.entries[tc.avoidedEntry-1])
			}
			l := c.startLoad(entries, 1, loadRequests)
			l.awaitSent(requestsBeforeFault)
			tc.injectFault(c, l)
			c.awaitAllAnswered()
			report := c.verifyLoad(l)
			is.Equal(report.Sent, loadRequests)
			is.True(report.Answered > 0)
			if tc.forbidUnknown {
				is.Equal(report.Unknown, 0) // no request may end as unknown
			}
		})
	}
}

// TestOwnersAreKeptAfterRestartOfAllEntries kills all entries and starts them again. It guards against owners that change
// because the new incarnations do not recover the assignments from the store. A second version of the bundle is published
// first, which they must recover as well.
func TestOwnersAreKeptAfterRestartOfAllEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, defaultSize)
	c.publishBundle([]string{"objective: 300ms", "objective: 250ms"})
	c.awaitAgreement(c.entries...)
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
	c.awaitAgreement(c.entries...)
	for _, e := range c.entries {
		is.True(e.isReady())
		for i, key := range keys {
			answer, ok := c.owner(e, key)
			is.True(ok)
			is.Equal(answer.Server, before[i])
		}
	}
	c.awaitAllAnswered()
}
