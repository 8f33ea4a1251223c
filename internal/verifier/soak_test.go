package verifier

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/inspector"
)

// The flags of the soak; `make soak` and DEVELOPERS.md say how it is run.
var (
	soakSeeds   = flag.Int("soak.seeds", 0, "seeds to play beside the regression cases; 0 plays one")
	soakFirst   = flag.Uint64("soak.first", 1, "first of the seeds")
	soakEntries = flag.Int("soak.entries", 4, "entry instances")
	soakServers = flag.Int("soak.servers", 4, "backend servers of the keyed service; the other one has half as many")
	soakLength  = flag.Duration("soak.length", 12*time.Second, "time in which faults begin")
)

// regressions are the seeds that failed once, each with its cause.
var regressions = map[uint64]string{
	2: "a request that may be repeated was told not to have run, after an earlier arrival that may have run",
}

// watchEvery is how often a soak looks at what the entries say of themselves.
const watchEvery = 250 * time.Millisecond

// TestSoak plays random series of faults that overlap, over real processes and under load. cluster.judge says what has to
// hold of the requests; watch says what has to hold of the entries meanwhile. At the end service must be whole again.
func TestSoak(t *testing.T) {
	seeds := map[uint64]string{}
	for seed, cause := range regressions {
		seeds[seed] = cause
	}
	for i := range max(1, *soakSeeds) {
		seeds[*soakFirst+uint64(i)] = "fresh"
	}
	for seed, cause := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			playSoak(t, seed)
		})
	}
}

// soak is one play.
type soak struct {
	*cluster
	random *rand.Rand
	began  time.Time

	mu    sync.Mutex // guards what actions change besides processes
	lines []string
}

func playSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	size := size{entries: *soakEntries, keyed: *soakServers, plain: max(1, *soakServers/2)}
	s := &soak{cluster: newCluster(t, size), random: rand.New(rand.NewPCG(seed, seed))}
	t.Cleanup(s.showActions)
	s.began = time.Now()
	rest := 6 * time.Second // the load goes on after the last fault has begun
	count := int((*soakLength + rest).Seconds() * loadRate)
	l := s.startLoad(s.entries, seed, count)
	stopWatching := s.watch()
	s.strike()
	stopWatching()
	s.awaitOwners(s.entries...)
	s.awaitService()
	report := s.judge(l)
	is.Equal(report.Sent, count)
	is.True(report.Answered > 0)
}

// showActions logs what was done, where the play has failed.
func (s *soak) showActions() {
	if s.t.Failed() {
		s.t.Logf("actions:\n%s", strings.Join(s.lines, "\n"))
	}
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, fmt.Sprintf("%6.2f s  ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// action is a fault or a planned change of one target. Actions of different targets overlap.
type action struct {
	at     time.Duration
	target string
	do     func()
}

// strike plays a drawn series of actions and waits for the end of all of them.
func (s *soak) strike() {
	queues := map[string][]action{}
	for at := time.Duration(0); at < *soakLength; at += s.between(100*time.Millisecond, 1500*time.Millisecond) {
		a := s.draw()
		a.at = at
		queues[a.target] = append(queues[a.target], a)
	}
	var all sync.WaitGroup
	for _, queue := range queues {
		all.Go(func() {
			for _, a := range queue { // those of one target come one after the other
				time.Sleep(time.Until(s.began.Add(a.at)))
				a.do()
			}
		})
	}
	all.Wait()
}

func (s *soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.random.Int64N(int64(most-least)))
}

// draw returns one action. All that is random is drawn here, so that a seed gives the same series.
func (s *soak) draw() action {
	lasts := s.between(200*time.Millisecond, 5*time.Second)
	e := s.entries[s.random.IntN(len(s.entries))]
	v := s.servers[s.random.IntN(len(s.servers))]
	link := []fault{faultDelay, faultToTarget, faultToSource, faultSilent, faultReset}[s.random.IntN(5)]
	choice, variant := s.random.IntN(14), s.random.IntN(6)
	switch choice {
	case 0, 1:
		return s.action(e.name, func() { s.killEntry(e, lasts) })
	case 2:
		return s.action(e.name, func() { s.stopEntry(e) })
	case 3, 4:
		return s.action(e.name, func() { s.freeze(e.process, lasts) })
	case 5:
		return s.action(e.name+" store", func() { s.breakLink(e.store, e.name+" to the store", link, lasts) })
	case 6:
		return s.action(v.id, func() { s.killServer(v, lasts) })
	case 7:
		return s.action(v.id, func() { s.freeze(v.process, lasts) })
	case 8:
		return s.action(v.id, func() { s.replaceServer(v) })
	case 9:
		return s.action(v.id+" link", func() { s.breakLink(v.front, "link of "+v.id, link, lasts) })
	case 10:
		return s.action(v.id, func() { s.troubleServer(v, variant, lasts) })
	case 11:
		return s.action("store", func() { s.troubleStore(variant, lasts) })
	case 12:
		return s.action("operators", func() { s.changeBundle(variant) })
	}
	return s.action(e.name, func() {
		s.note("SIGHUP %s", e.name)
		s.awaitStart(e)
		e.process.send(s.t, syscall.SIGHUP)
	})
}

func (s *soak) action(target string, do func()) action { return action{target: target, do: do} }

func (s *soak) killEntry(e *entry, lasts time.Duration) {
	s.note("kill %s for %v", e.name, lasts)
	e.process.kill(s.t)
	time.Sleep(lasts)
	s.startEntry(e)
}

// awaitStart waits until an entry has started: before that a signal just ends it.
func (s *soak) awaitStart(e *entry) {
	await(s.t, e.name+" has started", func() bool { return e.process.wrote(`"start"`) })
}

func (s *soak) stopEntry(e *entry) {
	s.note("SIGTERM %s", e.name)
	s.awaitStart(e)
	e.process.stop(s.t)
	s.startEntry(e)
}

// freeze stops a process and lets it go on as if nothing had happened.
func (s *soak) freeze(p *process, lasts time.Duration) {
	s.note("freeze %s for %v", p.name, lasts)
	p.send(s.t, syscall.SIGSTOP)
	time.Sleep(lasts)
	p.send(s.t, syscall.SIGCONT)
}

func (s *soak) breakLink(p *proxy, name string, f fault, lasts time.Duration) {
	s.note("%s: fault %d for %v", name, f, lasts)
	p.set(f)
	time.Sleep(lasts)
	p.set(faultNone)
}

func (s *soak) killServer(v *server, lasts time.Duration) {
	s.note("kill %s, back under its id after %v", v.id, lasts)
	v.process.kill(s.t)
	time.Sleep(lasts)
	s.startServer(v)
}

func (s *soak) replaceServer(v *server) {
	s.note("SIGTERM %s, and a new incarnation", v.id)
	v.process.end(s.t)
	s.startServer(v)
}

func (s *soak) troubleServer(v *server, variant int, lasts time.Duration) {
	const few = 5
	faults := []emulator.ServerFaults{
		{LateOrders: few, LateMS: lasts.Milliseconds()}, {LoseAnswers: few}, {CutAnswers: few, GarbleAnswers: few},
		{ExtraAnswers: few, Chunked: true}, {SlowFactor: 10, FailRequests: few}, {Shed: true, InvertHealthChecks: true},
	}[variant]
	s.note("faults of %s for %v: %+v", v.id, lasts, faults)
	s.switchFaults(v.process, faults)
	time.Sleep(lasts)
	s.switchFaults(v.process, emulator.ServerFaults{})
}

func (s *soak) troubleStore(variant int, lasts time.Duration) {
	const few = 5
	faults := []emulator.StoreFaults{
		{Outage: true}, {Silent: true}, {DelayMS: 250}, {LoseAnswers: few}, {DelayMS: 900}, {Outage: true, LoseAnswers: few},
	}[variant]
	s.note("faults of the store for %v: %+v", lasts, faults)
	s.switchFaults(s.store, faults)
	time.Sleep(lasts)
	s.switchFaults(s.store, emulator.StoreFaults{})
	s.forgetHistory()
}

// changeBundle publishes the next version.
func (s *soak) changeBundle(variant int) {
	s.note("new bundle")
	s.publish([]string{"objective: 300ms", fmt.Sprintf("objective: %dms", 250+10*variant)})
}

// watch looks at the entries until the function that it returns is called: no incarnation goes back to an older bundle or
// an older map of owners, and two that have the same map name the same owner for a key.
func (s *soak) watch() func() {
	done := make(chan struct{})
	var ended sync.WaitGroup
	ended.Go(func() {
		seen := map[string]inspector.Status{}
		for {
			select {
			case <-done:
				return
			case <-time.After(watchEvery):
				s.compareEntries(seen)
			}
		}
	})
	return func() {
		close(done)
		ended.Wait()
	}
}

func (s *soak) compareEntries(seen map[string]inspector.Status) {
	owners := map[inspector.Version]inspector.OwnerAnswer{}
	for _, e := range s.entries {
		status, ok := s.status(e)
		if !ok {
			continue
		}
		incarnation := fmt.Sprint(e.name, status.Incarnation)
		before := seen[incarnation]
		seen[incarnation] = status
		if status.BundleVersion < before.BundleVersion || older(status.OwnerMapVersion, before.OwnerMapVersion) {
			s.t.Errorf("%s went back from %+v to %+v", e.name, before, status)
		}
		answer, ok := s.owner(e, watchedKey)
		if !ok {
			continue
		}
		if other, known := owners[answer.OwnerMapVersion]; known && other.Server != answer.Server {
			s.t.Errorf("second owner by one map: %+v and %+v", other, answer)
		}
		owners[answer.OwnerMapVersion] = answer
	}
}

// watchedKey is a key that the load asks for often.
const watchedKey = 0

func older(a, b inspector.Version) bool {
	return a.Term < b.Term || a.Term == b.Term && a.Sequence < b.Sequence
}

// forgetHistory makes the store drop all but the newest record of each key.
func (s *soak) forgetHistory() {
	if err := post("http://"+s.store.address()+"/admin/forget", ""); err != nil {
		s.t.Error(err)
	}
}
