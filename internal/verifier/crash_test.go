package verifier

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// crashText is the text in the URI of requests that crash servers.
	crashText = "poison"
	// crashDowntime is how long a server that has crashed is away.
	crashDowntime = time.Second
	// crashNotice is how long after the third crash instances may send the request without bounds, and crashRepeats how often
	// they may send it after that.
	crashNotice  = 3 * time.Second
	crashRepeats = 3
)

// TestCrashingRequestIsBarredEverywhere guards against a request that crashes servers on and on because each instance counts
// alone, or because what they know gets lost with an instance or a leader.
func TestCrashingRequestIsBarredEverywhere(t *testing.T) {
	tests := map[string]struct {
		before      func(c *cluster) // the first request that crashes servers
		injectFault func(c *cluster)
	}{
		"no fault": {injectFault: func(*cluster) {}},
		"no leader and no store": {
			before: func(c *cluster) {
				e := c.awaitLeader()
				c.setFaults(c.store, emulator.StoreFaults{Outage: true})
				e.process.kill(c.t)
				time.Sleep(2500 * time.Millisecond)
			},
			injectFault: func(c *cluster) {
				time.Sleep(6 * time.Second)
				c.setFaults(c.store, emulator.StoreFaults{})
				for _, e := range c.entries {
					if e.process.hasExited() {
						c.startEntry(e)
					}
				}
			},
		},
		"leader killed": {injectFault: func(c *cluster) {
			e := c.awaitLeader()
			e.process.kill(c.t)
			time.Sleep(time.Second)
			c.startEntry(e)
		}},
		"leader suspended": {injectFault: func(c *cluster) {
			e := c.awaitLeader()
			e.process.signal(c.t, syscall.SIGSTOP)
			time.Sleep(3 * time.Second)
			e.process.signal(c.t, syscall.SIGCONT)
		}},
		"store cut off from the leader": {injectFault: func(c *cluster) {
			e := c.awaitLeader()
			e.storeProxy.setFault(faultStallBoth)
			time.Sleep(4 * time.Second)
			e.storeProxy.setFault(faultNone)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, clusterSize{entries: 3, keyedServers: 2, unkeyedServers: 0, seeded: true})
			crash := startCrashes(c, 6)
			l := c.startLoad(c.entries, 1, 14*requestsPerSecond)
			l.awaitSent(requestsPerSecond)
			if test.before != nil {
				test.before(c)
			}
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				clients.Go(func() { crash.repeat(method, stop) })
			}
			time.Sleep(time.Second)
			test.injectFault(c)
			<-l.done
			close(stop)
			clients.Wait()
			c.awaitAllAnswered()
			crash.check(2)
			report := c.verifyLoad(l)
			if test.before == nil { // without a leader and a store the leases of keys run out
				is.True(report.Answered >= report.Sent*9/10) // innocent requests are served
			}
		})
	}
}

// crashes are servers of the service without keys that crash under some requests and are started again.
type crashes struct {
	c       *cluster
	servers []*server
}

// startCrashes starts servers that are reached without a proxy, which would hide that they have ended.
func startCrashes(c *cluster, count int) *crashes {
	x := &crashes{c: c}
	for i := range count {
		s := c.addServer(fmt.Sprintf("shelf_%02d", i+1), unkeyedService, "-advertise", "", "-crash-on", crashText)
		s.process.exitExpected.Store(true)
		x.servers = append(x.servers, s)
	}
	stopped := make(chan struct{})
	var running sync.WaitGroup
	for _, s := range x.servers {
		running.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-s.process.exited:
				}
				select {
				case <-stopped:
					return
				case <-time.After(crashDowntime):
				}
				c.startServer(s)
				s.process.exitExpected.Store(true)
			}
		})
	}
	c.t.Cleanup(func() {
		close(stopped)
		running.Wait()
	})
	c.awaitAllAnswered()
	return x
}

// repeat sends the same request that crashes servers, with a new id each time, to one entry after the other.
func (x *crashes) repeat(method string, stop <-chan struct{}) {
	for n := 0; ; n++ {
		// Each repetition comes from another address.
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 1, byte(1+n%200))}}
		transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
		client := http.Client{Timeout: 2 * time.Second, Transport: transport}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		e := x.c.entries[n%len(x.c.entries)]
		r, err := http.NewRequest(method, "http://"+e.ip+":"+clientPort+"/frames/"+crashText, strings.NewReader("same body"))
		must(x.c.t, err)
		r.Host = "shelf.shashat.example"
		r.Header.Set(platform.HeaderRequestID, fmt.Sprintf("%s-%s-%d", crashText, method, n))
		resp, err := client.Do(r)
		if err != nil {
			continue // the entry is away
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			x.c.t.Errorf("a request that crashes servers was answered with %d", resp.StatusCode)
		}
	}
}

// check checks how often servers got each of a number of requests after three had crashed under it.
func (x *crashes) check(requests int) {
	x.c.t.Helper()
	starts := map[string][]time.Time{}
	for _, e := range x.c.fetchExecutions() {
		if strings.HasPrefix(e.RequestID, crashText) {
			starts[e.Method] = append(starts[e.Method], e.Start)
		}
	}
	if len(starts) != requests {
		x.c.t.Errorf("%d of %d requests that crash servers were executed", len(starts), requests)
	}
	for method, times := range starts {
		repeats := 0
		for i, at := range times {
			if i >= 3 && at.After(times[2].Add(crashNotice)) {
				repeats++
			}
		}
		x.c.t.Logf("%s: %d executions, %d of them later than %v after the third", method, len(times), repeats, crashNotice)
		if repeats > crashRepeats {
			x.c.t.Errorf("a request that had crashed three servers was sent %d times more, %d allowed", repeats, crashRepeats)
		}
	}
}
