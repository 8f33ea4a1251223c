package verifier

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLeaderExitsAfterMoves guards against keys that nobody serves until a lease has expired, because the leader exits while a draining
// server releases them.
func TestLeaderExitsAfterMoves(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, defaultSize, "-slots", "40", "-service-time", "900ms", "-jitter", "0", "-drain", "6s")
	c.awaitAgreement(c.entries...)
	leader := c.awaitLeader()
	var clients []*signalClients
	for _, e := range c.entriesExcept(leader) {
		clients = append(clients, startSignalClients(t, e))
	}
	time.Sleep(time.Second)
	leader.process.exitExpected.Store(true)
	leader.process.signal(t, syscall.SIGTERM)
	time.Sleep(2800 * time.Millisecond) // shortly before the leader would exit, as it has no clients
	is.True(!leader.process.hasExited())
	drained := c.servers[0].process
	drained.exitExpected.Store(true)
	drained.signal(t, syscall.SIGTERM)
	<-leader.process.exited
	log, err := os.ReadFile(leader.process.outputPath)
	is.NoErr(err)
	sent, ended := strings.Count(string(log), `"release sent"`), strings.Count(string(log), `"release ended"`)
	is.True(sent > 0)
	is.Equal(sent, ended)
	var results []stopResult
	for _, s := range clients {
		results = append(results, s.end()...)
	}
	is.True(len(results) > 0)
	runs := c.countExecutions()
	for _, r := range results {
		if problem := r.problem(runs[r.id]); problem != "" {
			t.Errorf("%s: %s", r.id, problem)
		}
	}
}
