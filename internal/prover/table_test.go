package prover

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/internal/presenter"
)

// The load of each row, in requests.
const (
	loadCount  = 420
	faultAfter = 60
)

// unchecking are the flags of servers that check nothing.
var unchecking = []string{"-unchecked-fence", "-unchecked-control"}

// TestProcesses strikes the real processes while requests run. In each row every request has one outcome, none that
// may run once runs twice, none that was told not run has run, no key has two owners, and service is whole again.
func TestProcesses(t *testing.T) {
	tests := map[string]struct {
		strike func(c *cluster, l *load)
		// flags are more flags of the servers.
		flags []string
		// callersOf are the entries that callers reach; nil is all.
		callersOf func(c *cluster) []*process
		// uncut says that no request may end as unknown.
		uncut bool
	}{
		"nothing": {strike: func(*cluster, *load) {}, uncut: true},
		"entry killed": {strike: func(c *cluster, _ *load) {
			c.entries[lostEntry].kill(c.t)
			c.awaitGone("entry_2", c.others(lostEntry))
		}},
		"server killed": {strike: func(c *cluster, _ *load) {
			c.servers[lostServer].kill(c.t)
			c.awaitEmpty(lostServer, c.entries)
		}},
		"entry and server killed": {strike: func(c *cluster, _ *load) {
			c.servers[lostServer].kill(c.t)
			c.entries[lostEntry].kill(c.t)
			c.awaitGone("entry_2", c.others(lostEntry))
			c.awaitEmpty(lostServer, c.others(lostEntry))
		}},
		"entry stopped and continued": {strike: func(c *cluster, _ *load) {
			c.entries[lostEntry].send(c.t, syscall.SIGSTOP)
			c.awaitExpelled("entry_2", c.others(lostEntry))
			c.entries[lostEntry].send(c.t, syscall.SIGCONT)
			c.awaitReady(c.entries)
		}},
		"server stopped and continued": {strike: func(c *cluster, _ *load) {
			c.servers[lostServer].send(c.t, syscall.SIGSTOP)
			c.awaitEmpty(lostServer, c.entries)
			c.servers[lostServer].send(c.t, syscall.SIGCONT)
			c.awaitServer(lostServer, "up", c.entries)
		}},
		"log down": {uncut: true, strike: func(c *cluster, l *load) {
			c.setLog(faker.LogFaults{Outage: true})
			c.awaitLease(presenter.LeaseByPledges, c.entries...)
			l.awaitSent(faultAfter + loadCount/2)
			c.setLog(faker.LogFaults{})
			c.awaitLease(presenter.LeaseByLog, c.entries...)
		}},
		"log down, entry killed": {strike: func(c *cluster, _ *load) {
			c.setLog(faker.LogFaults{Outage: true})
			c.awaitLease(presenter.LeaseByPledges, c.entries...)
			c.entries[lostEntry].kill(c.t)
			c.setLog(faker.LogFaults{})
			c.awaitGone("entry_2", c.others(lostEntry))
		}},
		"entry cut from the log": {uncut: true, strike: func(c *cluster, l *load) {
			c.setLog(faker.LogFaults{CutCallers: []string{"entry_2"}})
			c.awaitLease(presenter.LeaseByPledges, c.entries[lostEntry])
			l.awaitSent(faultAfter + loadCount/2)
			c.setLog(faker.LogFaults{})
			c.awaitLease(presenter.LeaseByLog, c.entries...)
		}},
		"replies of appends lost": {strike: func(c *cluster, _ *load) {
			c.setLog(faker.LogFaults{LoseReplies: faker.Endless})
			c.servers[lostServer].kill(c.t)
			c.awaitEmpty(lostServer, c.entries)
		}},
		"planned stop of a server": {uncut: true, strike: func(c *cluster, l *load) {
			c.publishLeaving(lostServer)
			c.awaitEmpty(lostServer, c.entries)
			before := c.countExecutions(lostServer)
			l.awaitSent(faultAfter + loadCount/2)
			if after := c.countExecutions(lostServer); after != before {
				c.t.Errorf("a server that has left got %d more requests", after-before)
			}
		}},
		"unchecking servers, entry killed": {flags: unchecking, strike: func(c *cluster, _ *load) {
			c.entries[lostEntry].kill(c.t)
			c.awaitGone("entry_2", c.others(lostEntry))
		}},
		"unchecking servers, entry stopped and continued": {flags: unchecking, strike: func(c *cluster, _ *load) {
			c.entries[lostEntry].send(c.t, syscall.SIGSTOP)
			c.awaitExpelled("entry_2", c.others(lostEntry))
			c.entries[lostEntry].send(c.t, syscall.SIGCONT)
			c.awaitReady(c.entries)
		}},
		// It goes on before its partitions can have moved: a longer stop would be beyond the pause bound of the bundle.
		"unchecking servers, server stopped and continued": {flags: unchecking, strike: func(c *cluster, _ *load) {
			c.servers[lostServer].send(c.t, syscall.SIGSTOP)
			c.awaitServer(lostServer, "down", c.entries)
			c.servers[lostServer].send(c.t, syscall.SIGCONT)
			c.awaitServer(lostServer, "up", c.entries)
		}},
		"planned stop of an entry": {
			uncut:     true,
			callersOf: func(c *cluster) []*process { return c.others(lostEntry) },
			strike: func(c *cluster, _ *load) {
				c.entries[lostEntry].send(c.t, syscall.SIGTERM)
				<-c.entries[lostEntry].ended
				c.awaitGone("entry_2", c.others(lostEntry))
				if code := c.entries[lostEntry].cmd.ProcessState.ExitCode(); code != 0 {
					c.t.Errorf("exit code %d of a planned stop", code)
				}
			},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, tc.flags...)
			callersOf := c.entries
			if tc.callersOf != nil {
				callersOf = tc.callersOf(c)
			}
			l := c.startLoad(callersOf, 1, loadCount)
			l.awaitSent(faultAfter)
			tc.strike(c, l)
			c.awaitService()
			report := c.judge(l)
			t.Logf("%d answered, %d not run, %d unknown; %+v; %+v", report.Answered, report.NotRun, report.Unknown,
				report.Causes, *report.Verdict)
			is.Equal(report.Sent, loadCount)
			is.Equal(report.Answered+report.NotRun+report.Unknown, loadCount)
			is.Equal(report.Verdict.Doubled, 0)
			is.Equal(report.Verdict.FalseNotRun, 0)
			is.Equal(report.Verdict.SecondOwners, 0)
			is.Equal(report.Verdict.Unexecuted, 0)
			is.Equal(report.Cut, 0)
			is.Equal(report.Foreign, 0)
			is.True(report.Answered > 0)
			if tc.uncut {
				is.Equal(report.Unknown, 0) // a request was cut
			}
		})
	}
}

// TestAllEntriesReplaced kills every entry and starts others: what the log holds is what they agree on.
func TestAllEntriesReplaced(t *testing.T) {
	const keys = 40
	is := is.New(t)
	c := newCluster(t)
	before := c.owners(c.entries[0], keys)
	status, ok := c.status(c.entries[0])
	is.True(ok)
	for _, p := range c.entries {
		p.kill(t)
	}
	c.entries = nil
	for range entryCount {
		c.startEntry()
	}
	c.awaitReady(c.entries)
	c.awaitService()
	for _, p := range c.entries {
		is.Equal(c.owners(p, keys), before)
		after, ok := c.status(p)
		is.True(ok)
		is.Equal(after.Bundle.Digest, status.Bundle.Digest)
	}
}
