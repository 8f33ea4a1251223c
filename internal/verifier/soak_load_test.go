package verifier

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/loadtester"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// coldTime is how long a server is cold after its start, and coldLimit the requests that it tolerates in any second of that time:
	// coldRate x overage + tolerance of coldSettings, the figures of a deployment.
	coldTime  = 3 * time.Second
	coldRate  = "5.1"
	coldLimit = 15
	// evacuateTimeout is the time in coldSettings after which an evacuated failure domain must get no more requests. outOfContact is
	// added if an entry is out of contact with the store or suspended within that time, which one action causes for 5 s at most.
	evacuateTimeout = 5 * time.Second
	outOfContact    = 5 * time.Second
	// unfinishedBytes is the announced size of the bodies that clients leave unfinished, and unfinishedClients their number at each
	// entry. The clients are few: crowds are tested on their own.
	unfinishedBytes   = 64 << 10
	unfinishedClients = 3
)

// coldSettings are the settings of the entries that concern cold servers and evacuations.
var coldSettings = fmt.Sprintf("terms.bounds.warmup_overage=1.5\nterms.bounds.warmup_tolerance=8\nterms.bounds.evacuate_ms=%d\n",
	evacuateTimeout.Milliseconds())

// addColdServers adds a keyed server and, if unkeyed is true, one without keys, which no action but their restarts disturbs: they are
// not in c.servers, from which the other actions draw. A fault of their links would bring requests together that the entries have
// spaced.
func (s *soak) addColdServers(c *cluster, unkeyed bool) {
	flags := []string{"-cold-start", coldTime.String(), "-cold-limit", strconv.Itoa(coldLimit), "-names-load", "-service-time", "16ms", "-drain", "1s"}
	disturbed := c.servers
	s.cold = append(s.cold, c.addServer("render_cold", keyedService, append([]string{"-keyed"}, flags...)...))
	c.servers = disturbed // also gives both the same failure domain
	if unkeyed {
		s.cold = append(s.cold, c.addServer("shelf_cold", unkeyedService, flags...))
	}
	c.servers = disturbed
}

// prepareColdServers publishes the limits of cold servers and returns the restarts of these servers. Their random numbers are apart
// from those of the other actions, so that regression seeds keep their series.
func (s *soak) prepareColdServers(seed uint64) (restarts []action) {
	warmup := fmt.Sprintf("    warmup: %v\n    warmup_rate: %s\n", coldTime, coldRate)
	s.bundleChanges = []string{"    cold_keys: 2s\n", "    cold_keys: 2s\n" + warmup}
	if len(s.cold) > 1 {
		shelf := "  - name: template_shelf\n    keyed: false\n"
		s.bundleChanges = append(s.bundleChanges, shelf, shelf+warmup)
	}
	s.publishBundle(s.bundleChanges)
	s.awaitAgreement(s.entries...)
	random := rand.New(rand.NewPCG(seed, 5*seed+3))
	for _, srv := range s.cold {
		for at := time.Second; at < *soakLength; at += randomBetween(random, 4*time.Second, 7*time.Second) {
			kill, downtime := random.IntN(2) == 0, randomBetween(random, 50*time.Millisecond, 3*time.Second)
			a := s.newAction(srv.id, func() { s.restartCold(srv, kill, downtime) })
			a.startAfter = at
			restarts = append(restarts, a)
		}
	}
	return restarts
}

// restartCold checks the requests of a server's incarnation, ends it and starts a new one after the downtime.
func (s *soak) restartCold(srv *server, kill bool, downtime time.Duration) {
	s.recordAction("restart %s cold, killed: %v, downtime %v", srv.id, kill, downtime)
	s.checkColdArrivals(srv)
	if kill {
		srv.process.kill(s.t)
	} else {
		srv.process.terminate(s.t)
	}
	time.Sleep(downtime)
	s.startServer(srv)
}

// checkColdArrivals checks that the incarnation of a server that runs now got no more requests than it tolerates while it was cold.
func (s *soak) checkColdArrivals(srv *server) {
	resp, err := http.Get("http://" + srv.process.address() + "/admin/counts")
	if err != nil {
		s.t.Errorf("counts of %s: %v", srv.id, err)
		return
	}
	defer resp.Body.Close()
	var counts emulator.Counts
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		s.t.Errorf("counts of %s: %v", srv.id, err)
		return
	}
	s.recordAction("%s: %d requests within a second at most while it was cold, %d tolerated", srv.id, counts.MostCold, coldLimit)
	s.t.Logf("%s: %d requests within a second at most while it was cold, %d tolerated", srv.id, counts.MostCold, coldLimit)
	if counts.OverWarmupLimit > 0 {
		s.t.Errorf("%s got %d requests over its limit while it was cold, and at most %d within a second", srv.id, counts.OverWarmupLimit, counts.MostCold)
	}
}

// evacuation is the evacuation of a failure domain. The zero evacuation has not begun.
type evacuation struct {
	mu      sync.Mutex // also held while the store comes back from an older copy
	domain  string     // empty unless it is under way
	periods []period   // in which the store had the record
}

// period is a time from start to end. Its end is zero while it lasts.
type period struct{ start, end time.Time }

// recordOutage records that an entry is out of contact until the returned function is called.
func (s *soak) recordOutage() (end func()) {
	p := period{start: time.Now()}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.end = time.Now()
		s.outages = append(s.outages, p)
	}
}

// drawEvacuation returns the evacuation of the failure domain of the servers that no other action suspends or cuts off, so that a
// request which arrives there was sent shortly before. Its random numbers are apart from those of the other actions.
func (s *soak) drawEvacuation(seed uint64) action {
	random := rand.New(rand.NewPCG(seed, 7*seed+5))
	domain := domains[(len(s.servers)+1)%len(domains)]              // see addServer
	length := randomBetween(random, 15*time.Second, 16*time.Second) // until shortly before the load ends
	a := s.newAction("evacuation", func() {
		s.recordAction("evacuate %s for %v", domain, length)
		s.evacuation.begin(s, domain)
		time.Sleep(length)
		s.evacuation.end(s)
		s.recordAction("evacuation of %s ended", domain)
	})
	a.startAfter = randomBetween(random, 500*time.Millisecond, 2*time.Second)
	return a
}

func (x *evacuation) begin(s *soak, domain string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.domain = domain
	s.writeEvacuation(domain, []byte("1"))
	x.periods = append(x.periods, period{start: time.Now()})
}

func (x *evacuation) end(s *soak) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.endPeriod()
	s.writeEvacuation(x.domain, nil)
	x.domain = ""
}

// endPeriod ends the period that lasts. The caller holds mu.
func (x *evacuation) endPeriod() {
	if n := len(x.periods); n > 0 && x.periods[n-1].end.IsZero() {
		x.periods[n-1].end = time.Now()
	}
}

// interrupt ends the current period if the store loses the record because it comes back from a copy that is as old as age. The
// returned function then writes the record again, as operators do, and begins a new period.
func (x *evacuation) interrupt(s *soak, age time.Duration) (resume func()) {
	x.mu.Lock()
	if n := len(x.periods); n > 0 && time.Since(x.periods[n-1].start) > age {
		return x.mu.Unlock
	}
	x.endPeriod()
	return func() {
		defer x.mu.Unlock()
		if x.domain == "" {
			return
		}
		s.writeEvacuation(x.domain, []byte("1"))
		x.periods = append(x.periods, period{start: time.Now()})
	}
}

// writeEvacuation writes the record of an evacuation; without a value it ends the evacuation. It repeats calls that fail because of
// faults of the store, until one is acknowledged.
func (s *soak) writeEvacuation(domain string, value []byte) {
	store := platform.NewStore(s.store.address())
	await(s.t, "the store acknowledges the record of the evacuation", func() bool {
		_, err := store.Append(context.Background(), platform.TopicOperators, platform.EvacuationKey(domain), value, platform.AnyOffset)
		return err == nil
	})
}

// checkEvacuation checks that servers of the evacuated domain got no request after the time that the operators allow.
func (s *soak) checkEvacuation() {
	undisturbed := map[string]bool{"render_cold": true, "shelf_cold": true, "shelf_limited": true}
	executions := s.fetchExecutions()
	for _, p := range s.evacuation.periods {
		from := s.evacuated(p)
		s.t.Logf("evacuation from %.2f s to %.2f s, checked from %.2f s on",
			p.start.Sub(s.started).Seconds(), p.end.Sub(s.started).Seconds(), from.Sub(s.started).Seconds())
		for _, e := range executions {
			if undisturbed[e.Server] && e.Start.After(from) && e.Start.Before(p.end) {
				s.t.Errorf("%s in an evacuated failure domain got a request %.2f s after the record was stored: %+v", e.Server, e.Start.Sub(p.start).Seconds(), e)
			}
		}
	}
}

// evacuated returns from when on nothing may reach the servers of a domain whose evacuation was stored at the start of p.
func (s *soak) evacuated(p period) time.Time {
	from := p.start.Add(evacuateTimeout)
	for _, o := range s.outages {
		if o.start.Before(from) && o.end.After(p.start) {
			return from.Add(outOfContact)
		}
	}
	return from
}

// hotPlan returns a plan in which most keyed requests have one key, another one every few seconds.
func hotPlan(seed uint64, count int) loadtester.Plan {
	plan := newPlan(seed+1, count)
	plan.Keys = loadtester.Keys{Distribution: loadtester.DistributionHot, Count: 200, HotShare: 0.7, HotEvery: 3 * time.Second}
	plan.Classes = plan.Classes[1:] // without those that must not be executed twice, which the other load has
	// Either class alone would be more than a cold server tolerates.
	plan.Rate, plan.Count = 2*plan.Rate, 2*plan.Count
	plan.Classes[0].Weight, plan.Classes[1].Weight = 1, 2
	return plan
}

// startUnfinished starts clients at each entry that leave bodies unfinished and their connections open until the returned function
// is called. Errors are ignored, as entries are killed.
func (s *soak) startUnfinished() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, e := range s.entries {
		for range unfinishedClients {
			running.Go(func() {
				for ctx.Err() == nil {
					leaveUnfinished(ctx, e.ip+":"+clientPort)
				}
			})
		}
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// leaveUnfinished sends all but the end of a body and waits until the entry closes the connection or ctx is done. It pauses
// afterwards, so that clients don't connect all the time.
func leaveUnfinished(ctx context.Context, address string) {
	defer func() {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	defer conn.Close()
	if err := announced(unfinishedBytes, unfinishedBytes-shortOfEnd)(conn); err != nil {
		return
	}
	_, _ = conn.Read(make([]byte, 1<<10)) // an answer such as 408, or the end of the connection
}

// prepareLimits adds a server that only the returned action disturbs: it is not one of s.servers, from which the other actions
// draw. check checks how many requests it got.
func (s *soak) prepareLimits(seed uint64) (limit action, check func()) {
	limited := s.addServer("shelf_limited", unkeyedService)
	s.servers = s.servers[:len(s.servers)-1]
	phases := s.drawLimits(seed)
	return s.limitAction(limited, phases), func() { s.checkLimits(limited, phases) }
}

// limitPhase is a time in which a server names a limit.
type limitPhase struct {
	rate       float64
	length     time.Duration
	start, end time.Time // when it was in force
}

// drawLimits returns two limits that a server names one after the other. Its random numbers are apart from those of the other
// actions, so that regression seeds keep their series.
func (s *soak) drawLimits(seed uint64) []*limitPhase {
	random := rand.New(rand.NewPCG(^seed, seed))
	var phases []*limitPhase
	for range 2 {
		rate := 0.5 + math.Round(random.Float64()*40)/10
		phases = append(phases, &limitPhase{rate: rate, length: limitGrace + time.Duration(random.Int64N(int64(5*time.Second)))})
	}
	return phases
}

// limitAction makes a server name limits one after the other, and then withdraw the last one.
func (s *soak) limitAction(srv *server, phases []*limitPhase) action {
	return s.newAction(srv.id, func() {
		for _, p := range phases {
			s.recordAction("%s limits its requests to %v a second for %v", srv.id, p.rate, p.length)
			s.setFaults(srv.process, emulator.ServerFaults{Limit: strconv.FormatFloat(p.rate, 'f', -1, 64)})
			p.start = time.Now()
			time.Sleep(p.length)
			p.end = time.Now()
		}
		s.recordAction("%s withdraws its limit", srv.id)
		s.setFaults(srv.process, emulator.ServerFaults{})
	})
}

// checkLimits checks that a server got no more than it tolerates in each phase, from limitGrace after its start. Requests of
// instances that were killed, suspended or cut off count as well.
func (s *soak) checkLimits(srv *server, phases []*limitPhase) {
	executions := s.fetchExecutions()
	for _, p := range phases {
		most := mostInWindow(executions, srv.id, p.start.Add(limitGrace), p.end, limitWindow)
		s.t.Logf("%s, limit %v a second: %d requests in %v, %d tolerated", srv.id, p.rate, most, limitWindow, toleratedInWindow(p.rate))
		if most > toleratedInWindow(p.rate) {
			s.t.Errorf("%s got more requests than it tolerates", srv.id)
		}
	}
}
