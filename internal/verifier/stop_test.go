package verifier

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/platform"
)

// The times of a planned stop, after SIGTERM.
const (
	stopGrace    = 6 * time.Second
	stopRequests = 34 // to each of two entries, one every stopInterval
	stopInterval = 100 * time.Millisecond
)

// TestPlannedStopAnswersEachRequest guards against requests that are cut when an instance exits: those that come late in a planned stop
// on connections that were kept open, whether they run, wait in a queue or are with another instance.
func TestPlannedStopAnswersEachRequest(t *testing.T) {
	tests := map[string]struct {
		slots, serviceTime, timeout string
		leader                      bool // the stopped entry leads
	}{
		"at work":        {slots: "40", serviceTime: "2700ms", timeout: "4s"},
		"at work, short": {slots: "40", serviceTime: "400ms", timeout: "20s"},
		"queued":         {slots: "1", serviceTime: "900ms", timeout: "20s"},
		"at the leader":  {slots: "40", serviceTime: "2700ms", timeout: "4s", leader: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, defaultSize, "-slots", test.slots, "-service-time", test.serviceTime, "-jitter", "0")
			for _, e := range c.entries {
				c.shortenGrace(e)
			}
			c.awaitAgreement(c.entries...)
			leader := c.awaitLeader()
			others := c.entriesExcept(leader)
			stopped, other := others[0], others[1]
			if test.leader {
				stopped = leader
			}
			c.publishBundle([]string{"timeout: 2500ms", "timeout: " + test.timeout, "objective: 400ms", "objective: " + test.timeout})
			c.awaitAgreement(c.entries...)
			clients := map[*entry][]*http.Client{}
			for range stopRequests {
				for _, e := range []*entry{stopped, other} {
					client := &http.Client{Transport: &http.Transport{}}
					t.Cleanup(client.CloseIdleConnections)
					clients[e] = append(clients[e], client)
					status, err := e.sendStopRequest(client, "shelf.shashat.example", "/frames/a", "first", 0)
					is.NoErr(err)
					is.Equal(status, http.StatusOK)
				}
			}
			start := time.Now()
			stopped.process.exitExpected.Store(true)
			stopped.process.signal(t, syscall.SIGTERM)
			var pending sync.WaitGroup
			results := make([][2]stopResult, stopRequests)
			for n := range stopRequests {
				for i, e := range []*entry{stopped, other} {
					pending.Go(func() {
						time.Sleep(time.Until(start.Add(time.Duration(n) * stopInterval)))
						r := &results[n][i]
						r.id = fmt.Sprintf("stop-%s-%d", e.name, n)
						r.status, r.err = e.sendStopRequest(clients[e][n], "render.shashat.example", "/orders/a", r.id, n)
					})
				}
			}
			pending.Wait()
			<-stopped.process.exited
			is.Equal(stopped.process.cmd.ProcessState.ExitCode(), 0)
			runs := c.countExecutions()
			var answered [2]int // at the stopped entry, at the other one
			for n, pair := range results {
				for i, r := range pair {
					if r.status == http.StatusOK {
						answered[i]++
					}
					if problem := r.problem(runs[r.id]); problem != "" {
						t.Errorf("%s, sent %v after SIGTERM to the stopped entry (%t): %s", r.id, time.Duration(n)*stopInterval, i == 0, problem)
					}
				}
			}
			t.Logf("%d and %d of %d requests were answered with 200", answered[0], answered[1], stopRequests)
		})
	}
}

// stopResult is how a request ended.
type stopResult struct {
	id     string
	status int // 0 if the connection was closed
	err    error
}

// problem returns what is wrong with the result of a request that was executed so many times, or an empty text.
func (r stopResult) problem(runs int) string {
	switch {
	case r.err != nil && runs == 0:
		return "" // not read: the connection was closed, or could not be opened
	case r.err != nil:
		return fmt.Sprintf("cut after it was sent to a server: %v", r.err)
	case r.status == http.StatusOK && runs == 1, r.status == http.StatusServiceUnavailable && runs == 0:
		return ""
	}
	return fmt.Sprintf("status %d, executed %d times", r.status, runs)
}

// shortenGrace restarts an entry with a grace period of stopGrace.
func (c *cluster) shortenGrace(e *entry) {
	c.t.Helper()
	e.process.terminateGracefully(c.t)
	raw, err := os.ReadFile(e.settingsPath)
	must(c.t, err)
	text := strings.Replace(string(raw), "grace_period_s=8", fmt.Sprintf("grace_period_s=%.0f", stopGrace.Seconds()), 1)
	must(c.t, os.WriteFile(e.settingsPath, []byte(text), 0o600))
	c.startEntry(e)
}

// sendStopRequest sends a request with the key number n, and returns the status of the answer.
func (e *entry) sendStopRequest(client *http.Client, host, path, id string, n int) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+e.ip+":"+clientPort+path, nil)
	if err != nil {
		return 0, err
	}
	r.Host = host
	r.Header.Set(platform.HeaderRequestID, id)
	r.Header.Set(platform.HeaderKey, fmt.Sprint(n*7919%65536))
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
