package verifier

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

const (
	// limitWindow is the time over which the requests of a server are compared with its limit.
	limitWindow = 4 * time.Second
	// limitGrace is how long after a server first named its limit it may get more requests.
	limitGrace = 3 * time.Second
)

// toleratedInWindow returns how many requests a server with a limit tolerates within limitWindow.
func toleratedInWindow(rate float64) int { return int(1.5*rate*limitWindow.Seconds()) + 5 }

// mostInWindow returns the largest number of executions that a server started within any window between two times.
func mostInWindow(executions []emulator.Execution, server string, from, to time.Time, window time.Duration) int {
	var starts []time.Time
	for _, e := range executions {
		if e.Server == server && !e.Start.Before(from) && e.Start.Before(to) {
			starts = append(starts, e.Start)
		}
	}
	slices.SortFunc(starts, time.Time.Compare)
	most, first := 0, 0
	for i, end := range starts {
		for end.Sub(starts[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestServerLimitHoldsOverAllInstances guards against servers that get more requests than the limit that they name, summed
// over all instances, while dispatchers and leaders change.
func TestServerLimitHoldsOverAllInstances(t *testing.T) {
	tests := map[string]struct {
		injectFault func(c *cluster)
	}{
		"no fault": {injectFault: func(*cluster) { time.Sleep(4 * time.Second) }},
		"each entry killed and restarted": {injectFault: func(c *cluster) {
			for _, e := range c.entries {
				e.process.kill(c.t)
				time.Sleep(500 * time.Millisecond)
				c.startEntry(e)
				time.Sleep(time.Second)
			}
		}},
		"each entry shut down and restarted": {injectFault: func(c *cluster) {
			for _, e := range c.entries {
				e.process.terminateGracefully(c.t)
				c.startEntry(e)
				time.Sleep(time.Second)
			}
		}},
		"each entry suspended and resumed": {injectFault: func(c *cluster) {
			for _, e := range c.entries {
				e.process.signal(c.t, syscall.SIGSTOP)
				time.Sleep(1500 * time.Millisecond)
				e.process.signal(c.t, syscall.SIGCONT)
				time.Sleep(500 * time.Millisecond)
			}
		}},
		"store cut off from the leader": {injectFault: func(c *cluster) {
			e := c.awaitLeader()
			e.storeProxy.setFault(faultStallBoth)
			time.Sleep(5 * time.Second)
			e.storeProxy.setFault(faultNone)
		}},
	}
	limits := map[string]string{"shelf_01": "4", "render_01": "2.5"}
	rates := map[string]float64{"shelf_01": 4, "render_01": 2.5}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, defaultSize)
			l := c.startLoad(c.entries, 1, 18*requestsPerSecond)
			l.awaitSent(requestsPerSecond)
			for _, s := range c.servers {
				if limit := limits[s.id]; limit != "" {
					c.setFaults(s.process, emulator.ServerFaults{Limit: limit})
				}
			}
			named := time.Now()
			time.Sleep(limitGrace)
			test.injectFault(c)
			<-l.done
			withdrawn := time.Now()
			for _, s := range c.servers {
				c.setFaults(s.process, emulator.ServerFaults{})
			}
			c.awaitAllAnswered()
			report := c.verifyLoad(l)
			is.True(report.Answered > 0)
			executions := c.fetchExecutions()
			for server, rate := range rates {
				most := mostInWindow(executions, server, named.Add(limitGrace), withdrawn, limitWindow)
				t.Logf("%s, limit %v a second: %d requests in %v, %d tolerated", server, rate, most, limitWindow, toleratedInWindow(rate))
				is.True(most <= toleratedInWindow(rate))
			}
			// What the server takes is served.
			total := mostInWindow(executions, "shelf_01", named.Add(limitGrace), withdrawn, withdrawn.Sub(named))
			is.True(float64(total) >= rates["shelf_01"]/2*withdrawn.Sub(named.Add(limitGrace)).Seconds())
		})
	}
}
