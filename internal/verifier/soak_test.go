package verifier

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/inspector"
)

// The flags of TestSoak. `make soak` sets soak.seeds and soak.first.
var (
	soakSeeds   = flag.Int("soak.seeds", 0, "number of new seeds to run besides the regression seeds; fewer than minSoakSeeds run that many")
	soakFirst   = flag.Uint64("soak.first", 1, "first new seed")
	soakEntries = flag.Int("soak.entries", 4, "number of entry instances")
	soakServers = flag.Int("soak.servers", 4,
		"number of backend servers of the keyed service; the other service has half as many, at least 1")
	soakLength = flag.Duration("soak.length", 12*time.Second, "time during which actions are started")
)

// regressionSeeds are seeds that failed in the past, each with the cause of the failure. A seed gives the same series only
// with the same flags.
var regressionSeeds = map[uint64]string{
	2: "an idempotent request was reported as not run, although an earlier attempt had reached a server and may have run",
}

// minSoakSeeds is the least number of new seeds: two of three consecutive ones have a server that limits its requests, and one has
// requests that crash servers.
const minSoakSeeds = 3

// watchInterval is the time between two checks of the entries' status.
const watchInterval = 250 * time.Millisecond

// watchedKey is a key that many requests of the load have.
const watchedKey = 0

// TestSoak injects random series of overlapping faults into real processes under load, to find failures that need a
// combination of faults. cluster.verifyLoad checks the requests, and soak.checkEntries checks the entries while faults are
// injected. At the end all requests of a check load must be answered.
func TestSoak(t *testing.T) {
	seeds := map[uint64]string{}
	for seed, cause := range regressionSeeds {
		seeds[seed] = cause
	}
	for i := range max(minSoakSeeds, *soakSeeds) {
		seeds[*soakFirst+uint64(i)] = "new seed"
	}
	for seed, cause := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			runSoak(t, seed)
		})
	}
}

// soak is one run of TestSoak with one seed.
type soak struct {
	*cluster
	random  *rand.Rand
	started time.Time

	mu        sync.Mutex // guards actionLog
	actionLog []string

	bundleChanges []string  // of each published bundle from the example; see cluster.publishBundle
	cold          []*server // servers that only restart, cold
	evacuation    evacuation
	outages       []period // in which an entry was out of contact with the store or with others; guarded by mu
}

func runSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	size := clusterSize{entries: *soakEntries, keyedServers: *soakServers, unkeyedServers: max(1, *soakServers/2), seeded: seed%2 == 0, uneven: true, settings: coldSettings}
	crashes := seed%3 == 0 // otherwise a server limits its requests
	if crashes {
		size.unkeyedServers = 0 // they would answer the requests that crash servers
	}
	s := &soak{random: rand.New(rand.NewPCG(seed, seed))}
	size.addMore = func(c *cluster) { s.addColdServers(c, !crashes) }
	s.cluster = newCluster(t, size)
	var special action
	var check func()
	if crashes {
		special, check = s.prepareCrashes(seed)
	} else {
		special, check = s.prepareLimits(seed)
	}
	t.Cleanup(s.logActions)
	restarts := s.prepareColdServers(seed)
	further := append(s.drawCuts(seed), s.drawRestore(seed), special)
	further = append(further, restarts...)
	if seed%3 == 1 {
		further = append(further, s.drawEvacuation(seed))
	}
	s.started = time.Now()
	loadTail := 6 * time.Second // how long the load continues after soak.length
	count := int((*soakLength + loadTail).Seconds() * requestsPerSecond)
	l := s.startLoad(s.entries, seed, count)
	hot := s.startPlan(s.entries, hotPlan(seed, count))
	closeUnfinished := s.startUnfinished()
	stopWatching := s.watchEntries()
	s.runActions(further...)
	stopWatching()
	s.awaitAgreement(s.entries...)
	s.awaitAllAnswered()
	closeUnfinished()
	report := s.verifyLoad(l)
	is.Equal(report.Sent, count)
	is.True(report.Answered > 0)
	is.True(s.verifyLoad(hot).Answered > 0)
	check()
	for _, srv := range s.cold {
		s.checkColdArrivals(srv)
	}
	s.checkEvacuation()
}

// logActions logs the actions if the test failed.
func (s *soak) logActions() {
	if s.t.Failed() {
		s.t.Logf("actions:\n%s", strings.Join(s.actionLog, "\n"))
	}
}

// recordAction adds a line to the action log, with the time since the start.
func (s *soak) recordAction(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actionLog = append(s.actionLog, fmt.Sprintf("%6.2f s  ", time.Since(s.started).Seconds())+fmt.Sprintf(format, args...))
}

// action is a fault, a restart or an operator's change at one target. Actions at different targets overlap.
type action struct {
	startAfter time.Duration // earliest start, counted from the start of the soak
	target     string
	run        func()
}

// runActions runs a random series of actions, and further ones, and waits until all have ended.
func (s *soak) runActions(further ...action) {
	queues := map[string][]action{}
	for at := time.Duration(0); at < *soakLength; at += s.randomDuration(100*time.Millisecond, 1500*time.Millisecond) {
		a := s.drawAction()
		a.startAfter = at
		queues[a.target] = append(queues[a.target], a)
	}
	for _, a := range further {
		queues[a.target] = append(queues[a.target], a)
		slices.SortStableFunc(queues[a.target], func(a, b action) int { return cmp.Compare(a.startAfter, b.startAfter) })
	}
	var running sync.WaitGroup
	for _, queue := range queues {
		running.Go(func() {
			for _, a := range queue { // actions at one target run one after the other
				time.Sleep(time.Until(s.started.Add(a.startAfter)))
				a.run()
			}
		})
	}
	running.Wait()
}

// randomDuration returns a random duration of at least shortest and less than longest.
func (s *soak) randomDuration(shortest, longest time.Duration) time.Duration {
	return randomBetween(s.random, shortest, longest)
}

// randomBetween returns a random duration of at least shortest and less than longest.
func randomBetween(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

// drawAction returns a random action. All its random values are drawn here and not when it runs, so that a seed gives the
// same series for the same flags. The number of cases of an action is its weight.
func (s *soak) drawAction() action {
	duration := s.randomDuration(200*time.Millisecond, 5*time.Second)
	e := s.entries[s.random.IntN(len(s.entries))]
	srv := s.servers[s.random.IntN(len(s.servers))]
	linkFault := []fault{faultDelay, faultStallToTarget, faultStallToSource, faultStallBoth, faultReset}[s.random.IntN(5)]
	choice, variant := s.random.IntN(14), s.random.IntN(6)
	switch choice {
	case 0, 1:
		return s.newAction(e.name, func() { s.killEntry(e, duration) })
	case 2:
		return s.newAction(e.name, func() { s.restartEntry(e) })
	case 3, 4:
		return s.newAction(e.name, func() { s.suspend(e.process, duration) })
	case 5:
		return s.newAction(e.name+" store", func() {
			s.breakLink(e.storeProxy, e.name+" to the store", linkFault, duration)
		})
	case 6:
		return s.newAction(srv.id, func() { s.killServer(srv, duration) })
	case 7:
		return s.newAction(srv.id, func() { s.suspend(srv.process, duration) })
	case 8:
		return s.newAction(srv.id, func() { s.restartServer(srv) })
	case 9:
		return s.newAction(srv.id+" link", func() { s.breakLink(srv.proxy, "entries to "+srv.id, linkFault, duration) })
	case 10:
		return s.newAction(srv.id, func() { s.injectServerFaults(srv, variant, duration) })
	case 11:
		return s.newAction("store", func() { s.injectStoreFaults(variant, duration) })
	case 12:
		return s.newAction("operators", func() { s.publishNewBundle(variant) })
	}
	return s.newAction(e.name, func() {
		// The entry checks its settings file, which must not disturb it.
		s.recordAction("SIGHUP %s", e.name)
		s.awaitStarted(e)
		e.process.signal(s.t, syscall.SIGHUP)
	})
}

func (s *soak) newAction(target string, run func()) action { return action{target: target, run: run} }

// killEntry kills an entry and starts it again after the downtime.
func (s *soak) killEntry(e *entry, downtime time.Duration) {
	s.recordAction("kill %s, restart after %v", e.name, downtime)
	e.process.kill(s.t)
	time.Sleep(downtime)
	s.startEntry(e)
}

// restartEntry shuts an entry down gracefully and starts it again.
func (s *soak) restartEntry(e *entry) {
	s.recordAction("SIGTERM %s, restart", e.name)
	s.awaitStarted(e)
	e.process.terminateGracefully(s.t)
	s.startEntry(e)
}

// suspend stops a process with SIGSTOP and resumes it with SIGCONT after the duration.
func (s *soak) suspend(p *process, duration time.Duration) {
	defer s.recordOutage()()
	s.recordAction("suspend %s for %v", p.name, duration)
	p.signal(s.t, syscall.SIGSTOP)
	time.Sleep(duration)
	p.signal(s.t, syscall.SIGCONT)
}

// breakLink injects a fault into a proxy for the duration.
func (s *soak) breakLink(p *proxy, name string, f fault, duration time.Duration) {
	defer s.recordOutage()()
	s.recordAction("%s: link fault %d for %v", name, f, duration)
	p.setFault(f)
	time.Sleep(duration)
	p.setFault(faultNone)
}

// killServer kills a server and starts it again under the same id after the downtime.
func (s *soak) killServer(srv *server, downtime time.Duration) {
	s.recordAction("kill %s, restart under its id after %v", srv.id, downtime)
	srv.process.kill(s.t)
	time.Sleep(downtime)
	s.startServer(srv)
}

// restartServer terminates a server and starts a new incarnation of it. The exit code is not checked, because a link
// fault at the same time can keep requests in flight beyond the stand-in's shutdown timeout.
func (s *soak) restartServer(srv *server) {
	s.recordAction("SIGTERM %s, restart as a new incarnation", srv.id)
	srv.process.terminate(s.t)
	s.startServer(srv)
}

// injectServerFaults switches on one of six sets of faults at a server for the duration.
func (s *soak) injectServerFaults(srv *server, variant int, duration time.Duration) {
	const count = 5 // orders, answers or requests that a fault affects
	faults := []emulator.ServerFaults{
		{LateOrders: count, LateMS: duration.Milliseconds()},
		{LoseAnswers: count},
		{CutAnswers: count, GarbleAnswers: count},
		{ExtraAnswers: count, Chunked: true},
		{SlowFactor: 10, FailRequests: count},
		{Shed: true, RetryAfterMS: 1000, InvertHealthChecks: true},
	}[variant]
	s.recordAction("faults of %s for %v: %+v", srv.id, duration, faults)
	s.setFaults(srv.process, faults)
	time.Sleep(duration)
	s.setFaults(srv.process, emulator.ServerFaults{})
}

// injectStoreFaults switches on one of six sets of faults at the store for the duration, and then compacts the store.
func (s *soak) injectStoreFaults(variant int, duration time.Duration) {
	const count = 5 // answers that a fault affects
	faults := []emulator.StoreFaults{
		{Outage: true},
		{Silent: true},
		{DelayMS: 250},
		{LoseAnswers: count},
		{DelayMS: 900},
		{Outage: true, LoseAnswers: count},
	}[variant]
	defer s.recordOutage()()
	s.recordAction("faults of the store for %v: %+v", duration, faults)
	s.setFaults(s.store, faults)
	time.Sleep(duration)
	s.setFaults(s.store, emulator.StoreFaults{})
	s.compactStore()
}

// publishNewBundle publishes the next version of the bundle; variant selects its latency objective.
func (s *soak) publishNewBundle(variant int) {
	s.recordAction("publish a new bundle")
	s.publishBundle(append([]string{"objective: 300ms", fmt.Sprintf("objective: %dms", 250+10*variant)}, s.bundleChanges...))
}

// drawCuts returns cuts of some or all entries from all servers, which may overlap. Their random numbers are apart from those of the
// other actions, so that regression seeds keep their series.
func (s *soak) drawCuts(seed uint64) []action {
	random := rand.New(rand.NewPCG(seed, 3*seed+1))
	var actions []action
	for n := range 2 {
		kind := cut(1 + random.IntN(4))
		length := time.Second + time.Duration(random.Int64N(int64(5*time.Second)))
		var entries []*entry
		for _, i := range random.Perm(len(s.entries))[:1+random.IntN(len(s.entries))] {
			entries = append(entries, s.entries[i])
		}
		a := s.newAction(fmt.Sprintf("paths %d", n), func() { s.cutOffFor(kind, entries, length) })
		a.startAfter = time.Duration(random.Int64N(int64(*soakLength)))
		actions = append(actions, a)
	}
	return actions
}

// cutOffFor cuts entries off from all servers for a while.
func (s *soak) cutOffFor(kind cut, entries []*entry, length time.Duration) {
	var names []string
	for _, e := range entries {
		names = append(names, e.name)
	}
	s.recordAction("%s cut off from all servers for %v: %v", strings.Join(names, ", "), length, kind)
	s.cutOff(kind, entries...)
	time.Sleep(length)
	s.cutOff(cutNone, entries...)
}

// drawRestore returns the return of the store from an older copy. Its random numbers are apart from those of the other
// actions, so that regression seeds keep their series.
func (s *soak) drawRestore(seed uint64) action {
	random := rand.New(rand.NewPCG(seed, ^seed))
	age := time.Duration(random.Int64N(int64(5 * time.Second)))
	away := time.Duration(random.Int64N(int64(3 * time.Second)))
	a := s.newAction("operators", func() { s.restoreStore(age, away) })
	a.startAfter = time.Duration(random.Int64N(int64(*soakLength)))
	return a
}

// restoreStore makes the store come back from an older copy after it was away for a while. The operators publish their
// bundle again, and the evacuation.
func (s *soak) restoreStore(age, away time.Duration) {
	s.recordAction("store away for %v, back from a copy %v old", away, age)
	defer s.recordOutage()()
	defer s.evacuation.interrupt(s, age)()
	s.setFaults(s.store, emulator.StoreFaults{Outage: true})
	time.Sleep(away)
	if err := post("http://"+s.store.address()+"/admin/restore", fmt.Sprintf(`{"age_ms":%d}`, age.Milliseconds())); err != nil {
		s.t.Error(err)
	}
	s.setFaults(s.store, emulator.StoreFaults{})
	s.publishAgain()
}

// prepareCrashes adds servers that crash under the requests of the returned action, and that no other action disturbs. check
// checks how often they got these.
func (s *soak) prepareCrashes(seed uint64) (repeat action, check func()) {
	const servers = 6
	x := startCrashes(s.cluster, servers)
	s.servers = s.servers[:len(s.servers)-servers]
	return s.drawCrashes(seed, x), func() { x.check(1) }
}

// drawCrashes returns an action that repeats a request which crashes servers. Its random numbers are apart from those of the other
// actions, so that regression seeds keep their series.
func (s *soak) drawCrashes(seed uint64, x *crashes) action {
	random := rand.New(rand.NewPCG(seed, seed<<1))
	length := 4*time.Second + time.Duration(random.Int64N(int64(6*time.Second)))
	a := s.newAction("crashing requests", func() {
		s.recordAction("a request that crashes servers is repeated for %v", length)
		stop := make(chan struct{})
		time.AfterFunc(length, func() { close(stop) })
		x.repeat(http.MethodGet, stop)
	})
	a.startAfter = time.Duration(random.Int64N(int64(*soakLength / 2)))
	return a
}

// watchEntries calls checkEntries every watchInterval until the returned function is called.
func (s *soak) watchEntries() func() {
	done := make(chan struct{})
	var watcher sync.WaitGroup
	watcher.Go(func() {
		seen := map[string]inspector.Status{}
		for {
			select {
			case <-done:
				return
			case <-time.After(watchInterval):
				s.checkEntries(seen)
			}
		}
	})
	return func() {
		close(done)
		watcher.Wait()
	}
}

// checkEntries checks that no incarnation of an entry goes back to an older bundle or owner map, and that entries with the
// same owner map name the same owner of watchedKey. seen holds the last status of each incarnation.
func (s *soak) checkEntries(seen map[string]inspector.Status) {
	answers := map[inspector.Version]inspector.OwnerAnswer{}
	for _, e := range s.entries {
		status, ok := s.status(e)
		if !ok {
			continue
		}
		incarnation := fmt.Sprint(e.name, status.Incarnation)
		previous := seen[incarnation]
		seen[incarnation] = status
		if status.BundleVersion < previous.BundleVersion || isOlder(status.OwnerMapVersion, previous.OwnerMapVersion) {
			s.t.Errorf("%s went back to an older bundle or owner map: from %+v to %+v", e.name, previous, status)
		}
		answer, ok := s.owner(e, watchedKey)
		if !ok {
			continue
		}
		if other, known := answers[answer.OwnerMapVersion]; known && other.Server != answer.Server {
			s.t.Errorf("two owners of one key in the same owner map: %+v and %+v", other, answer)
		}
		answers[answer.OwnerMapVersion] = answer
	}
}

// isOlder reports whether a is an older version than b.
func isOlder(a, b inspector.Version) bool {
	return a.Term < b.Term || a.Term == b.Term && a.Sequence < b.Sequence
}

// compactStore makes the store drop all but the newest record of each key, so that entries that read from an older offset
// need a full read.
func (s *soak) compactStore() {
	if err := post("http://"+s.store.address()+"/admin/forget", ""); err != nil {
		s.t.Error(err)
	}
}
