// Package controller runs the control plane of an instance on the platform: elections, reports, grants and reads of the
// store. One goroutine runs the control loop, which owns all state and runs the decision logic (elector, granter,
// balancer). Calls to the store, to other instances and to backend servers run in other goroutines, which post their
// results to the loop as events.
package controller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/balancer"
	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/inquirer"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// tickInterval is how often the control loop checks timers when no event arrives.
	tickInterval = 50 * time.Millisecond
	// suspensionThreshold is the gap between two steps of the loop after which this process counts as having been suspended.
	suspensionThreshold = 600 * time.Millisecond
	// minReportInterval is the time between two reports to the leader in a small cluster. In larger ones it grows, so that
	// the leader answers about 40 reports a second, up to maxReportInterval, which 40 instances reach.
	minReportInterval = 400 * time.Millisecond
	maxReportInterval = time.Second
	// smallClusterSize is the number of instances from which on the leader publishes a change of the owner map only to the
	// dispatchers of the servers concerned. The others receive it with the answer to their next report; until then these
	// dispatchers tell them where a key has moved.
	smallClusterSize = 16
	// peerCallTimeout bounds a call to another instance, its answer included; network latency is 20 ms at most.
	peerCallTimeout = 700 * time.Millisecond
	// maxMissedReports is the number of missing reports after which the leader drops an instance.
	maxMissedReports = 4
	// releaseTimeout bounds the answer to a release, which arrives once the server has finished the running requests.
	releaseTimeout = 3 * time.Second
	// balanceInterval is the time between two checks of the servers' load.
	balanceInterval = 250 * time.Millisecond
	// minLeadershipDuration is how long a leader leads before it yields to a larger machine, whose capacity is at least
	// yieldCapacityRatio times its own.
	minLeadershipDuration = 3 * time.Second
	yieldCapacityRatio    = 2
	// publishInterval is the least time between two publications. Changes of the owner map in between are batched, which
	// delays requests for keys that move by this time at most.
	publishInterval = 60 * time.Millisecond
	// planInterval is the least time between two plans to store, so that moves that end shortly after one another share an
	// append.
	planInterval = 120 * time.Millisecond
	// maxDeltas is the number of owner map changes that the leader keeps, to send these instead of the full map.
	maxDeltas = 64
)

// ElectionSettings are the timings of the leader election. The election timeout and the time in which a new leader renews
// all ranges are together shorter than a range lease.
var ElectionSettings = elector.Settings{
	LeaseDuration: 20 * time.Second, RenewInterval: 700 * time.Millisecond,
	ElectionTimeout: 2200 * time.Millisecond, SuspicionTimeout: 1300 * time.Millisecond,
	RetryDelay: 250 * time.Millisecond, RefusalThreshold: 2, MaxJitter: 250 * time.Millisecond, LastResortDelay: time.Second,
}

// GrantSettings are the timings of range leases and grants.
var GrantSettings = granter.Settings{
	LeaseDuration: 4 * time.Second, RenewInterval: 1200 * time.Millisecond,
	TransitMargin: 100 * time.Millisecond, RetryDelay: 200 * time.Millisecond, PersistTimeout: 300 * time.Millisecond,
}

// Options are what a Controller needs.
type Options struct {
	Self      resolver.Member
	Store     platform.TopicStore
	Forwarder *forwarder.Forwarder
	Meter     *meter.Meter
	// DrainTimeout is how long a draining server may still receive requests, whoever owns its keys after that.
	DrainTimeout time.Duration
	// MaxRangeLeaseDuration bounds the duration of a range lease; 0 means no bound.
	MaxRangeLeaseDuration time.Duration
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Seeds are the addresses where other instances reach the seeds, a few instances through which this one joins at the first
	// start. It is empty in a seed. Some may be down.
	Seeds []string
	// SourceIP is the local address of connections to backend servers; nil lets the system choose.
	SourceIP net.IP
	// HeartbeatInterval is how often backend servers write their registrations to the store.
	HeartbeatInterval time.Duration
	// EvacuateTimeout is the time within which an evacuated failure domain must get no more requests; 0 if there is none.
	EvacuateTimeout time.Duration
}

// Controller is the control plane of an instance. Use New and Run.
type Controller struct {
	options Options
	events  chan func(now time.Time)
	context context.Context // ends with Run
	stop    context.CancelFunc

	table          *matcher.Table
	config         []byte // the configuration of table as the store had it
	configEra      uint64 // era of the store in which it was read
	catalog        cataloger.Catalog
	catalogRead    bool // whether the catalog was read at least once
	evacuations    cataloger.Evacuations
	operatorsRead  bool // whether the operators' records were read at least once
	owners         *partitioner.Map
	members        []resolver.Member     // without Self
	membersVersion membersVersion        // of members
	leavingServers leavingServers        // servers that have said that they are leaving
	limitReports   changeReports[string] // limits of servers
	// quarantineReports are of requests that crash servers.
	quarantineReports changeReports[quarantiner.Fingerprint]
	unspread          map[quarantiner.Fingerprint]bool // what was learned and may have to be passed on without a leader
	lastContact       time.Time                        // when a leader last answered this instance, or this instance led
	answeredReport    time.Time                        // when the last report was sent that a leader has answered; of time.Now
	viewOutdated      bool                             // the view has to be rebuilt
	ownersOutdated    bool                             // the view has an old owner map, and nothing else in it has changed

	elector         *elector.Elector
	seeds           seeds
	eraApplied      uint64        // era of the store to which this instance has adapted
	termsExhausted  bool          // Elector.TermsExhausted, as logged last
	era             atomic.Uint64 // eraApplied, for other goroutines
	grantSettings   granter.Settings
	plan            []byte // content of the plan record with the highest term that this instance has read
	planTerm        uint64 // highest term of the plan records that this instance has read
	planIsOfLeader  bool   // plan was stored by the leader that leaderTopic names
	lastStep        time.Time
	lastReport      time.Time
	reportPending   bool
	unreported      forwarder.Loads
	leaving         bool
	peers           peers
	orders          platform.OrderClient
	leaderState     *leaderState         // nil while this instance does not lead
	endedTerm       leaderTerm           // the last term of this instance that has ended
	lastUnreachable map[string]time.Time // when reading a topic last failed or recovered
	sources         atomic.Pointer[sources]
	cache           recordCache
	leaderOffsets   atomic.Pointer[leaderOffsets] // nil unless the leader's last answer had valid ones
	interrupt       atomic.Pointer[chan struct{}] // closed to interrupt reads that wait for new records
	leading         atomic.Bool                   // whether leaderState is not nil, for other goroutines
	receivesChanges bool                          // whether new records in the store would reach this instance
	behindTopics    map[string]bool               // topics of which the leader had read more at its last answer
	lost            resolver.LostServices         // of this instance
	lostSince       map[string]time.Time          // by service in lost
	held            []string                      // lost services whose ranges keep their owners if this instance leads
	cutOffLeader    cutOffLeader
	view            *resolver.View // the current view of the forwarder
}

// leaderState is the state that only a leader has.
type leaderState struct {
	leaderTerm
	since          time.Time // when this instance became the leader
	ownersSequence uint64    // of the owner map
	deltas         []delta
	members        map[string]*memberState // by instance
	membersVersion uint64
	leaving        []*herald.LeavingServer // in the order in which they became known
	limits         changeLog[string]       // of servers
	quarantine     changeLog[quarantiner.Fingerprint]
	pausedUntil    map[string]time.Time      // by server id: until then it wants no requests from some instance
	loads          map[string]*balancer.Load // by service
	serviceTimes   map[string]*serviceTime   // by server id
	lastBalance    time.Time
	// lastPublish is when changes were last published; unpublished says that there are later ones.
	lastPublish         time.Time
	unpublished         bool
	affectedDispatchers map[string]bool   // instances that dispatch for servers of unpublished changes
	inquirer            inquirer.Inquirer // asks whether failing servers have ended
	lastHolderCheck     time.Time
	plans               map[uint64][]byte // encoded plans by sequence number, until a newer one is stored
	requestedPlan       uint64            // sequence number of the plan whose append was requested last
	requestedAt         time.Time
	// predecessor is the previous leader, while it may still send orders; predecessorState is its state as a member, and
	// nextPredecessorPublish when it is told again that it was replaced.
	predecessor            elector.Identity
	predecessorTerm        uint64 // 0 if it is not known
	earlierLeaders         bool   // see elector.Election
	predecessorState       *memberState
	nextPredecessorPublish time.Time
}

// delta is one change of the owner map.
type delta struct {
	sequence uint64
	segments []partitioner.Segment
}

// memberState is what the leader knows about an instance that reports to it.
type memberState struct {
	member          resolver.Member
	lastReport      time.Time
	publishing      bool // a publication is in flight
	publishAgain    bool // there are changes after the one in flight
	ownerMapVersion partitioner.Version
	membersVersion  membersVersion
	leavingVersion  leavingVersion
	limitsVersion   changeVersion
	crashesVersion  changeVersion
}

// membersVersion is the version of the list of members: a leader's term, and a number that it assigns.
type membersVersion struct{ term, number uint64 }

// serviceTime is the mean service time that was measured at a server, over a longer and a shorter time.
type serviceTime struct {
	longSeconds   float64   // mean over maxServiceTimeAnswers
	answers       float64   // that longSeconds reflects
	recentSeconds float64   // mean over about the last serviceTimeWindow
	recent        float64   // number of service times, which lose weight over serviceTimeWindow
	at            time.Time // of the latest ones
}

// New returns a Controller.
func New(o Options) *Controller {
	now := timekeeper.Now()
	self := elector.Identity{Instance: o.Self.Instance, Incarnation: o.Self.Incarnation, Address: o.Self.Address}
	c := &Controller{
		options: o, lastContact: now, events: make(chan func(time.Time), 256),
		elector:         elector.New(ElectionSettings, now, self, jitterPosition(o.Self), o.FirstStart),
		lastStep:        now,
		grantSettings:   limitedGrantSettings(o.MaxRangeLeaseDuration),
		unreported:      emptyLoads(),
		lastUnreachable: map[string]time.Time{},
		peers:           newPeers(),
	}
	c.orders.SourceIP = o.SourceIP
	c.context, c.stop = context.WithCancel(context.Background()) // other instances may call before Run
	interrupt := make(chan struct{})
	c.interrupt.Store(&interrupt)
	if o.FirstStart && len(o.Seeds) > 0 {
		c.seeds = newSeeds(now, o.Self.Instance, o.Seeds)
		c.elector.DeferCalls(c.seeds.until)
		c.sources.Store(&sources{relays: c.seeds.addresses, others: c.seeds.addresses, seeds: true, domainSize: 1})
	}
	return c
}

// limitedGrantSettings returns GrantSettings with the duration of range leases limited to maxLease, unless that is 0.
func limitedGrantSettings(maxLease time.Duration) granter.Settings {
	settings := GrantSettings
	if maxLease > 0 && maxLease < settings.LeaseDuration {
		settings.RenewInterval = settings.RenewInterval * maxLease / settings.LeaseDuration
		settings.LeaseDuration = maxLease
	}
	return settings
}

const (
	// minLeaderMillicores is the capacity that a machine needs to lead a few hundred ranges, in thousandths of a core: each
	// renewal takes about 0.3 ms, and each range is renewed every 1.2 s.
	minLeaderMillicores = 250
	// smallMachinePosition is the jitter position of smaller machines, whose takeover it delays by 2.4 times MaxJitter: they
	// come at least 0.35 s after the others.
	smallMachinePosition = 2.4
)

// jitterPosition returns the position of an instance in the jitter of takeovers, from 0 to 1 for all but small machines.
// Larger machines come first; machines of the same size are spread by their start times.
func jitterPosition(m resolver.Member) float64 {
	const maxMillicores = 1000 // a capacity above this makes no difference
	if m.Capacity < minLeaderMillicores {
		return smallMachinePosition
	}
	size := 1 - min(float64(m.Capacity)/maxMillicores, 1)
	// The incarnation is in nanoseconds; its microseconds within the millisecond are as good as random.
	return 0.7*size + 0.3*float64(m.Incarnation/1000%1000)/1000
}

func emptyLoads() forwarder.Loads {
	return forwarder.Loads{Keys: map[string]map[uint16]int{}, Answers: map[string]forwarder.AnswerStats{}}
}

// post queues an event for the control loop.
func (c *Controller) post(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.context.Done():
	}
}

// reportInterval returns the time between two reports to the leader.
func (c *Controller) reportInterval() time.Duration {
	return min(max(minReportInterval, minReportInterval*time.Duration(len(c.members)+1)/smallClusterSize), maxReportInterval)
}

// Run runs the control loop until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	defer c.stop()
	unlink := context.AfterFunc(ctx, c.stop)
	defer unlink()
	c.options.Forwarder.BeginCatchup(time.Now()) // the Forwarder's times are of time.Now, not of timekeeper
	c.options.Forwarder.OnLeaving(func(server string, incarnation int64) {
		c.post(func(now time.Time) { c.serverLeaves(now, server, incarnation) })
	})
	c.options.Forwarder.OnLimit(func(server string) {
		c.post(func(time.Time) { c.limitChanged(server) })
	})
	c.options.Forwarder.OnQuarantine(func(f quarantiner.Fingerprint) {
		c.post(func(now time.Time) { c.quarantineChanged(now, f) })
	})
	startDelay := c.seeds.startDelay()
	for _, watch := range []func(context.Context){c.watchOperators, c.watchServers} {
		go func() {
			sleep(ctx, startDelay)
			watch(ctx)
		}()
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event(timekeeper.Now())
			for len(c.events) > 0 {
				(<-c.events)(timekeeper.Now())
			}
		case <-ticker.C:
		}
		c.step(timekeeper.Now())
	}
}

// AnnounceLeaving tells the other instances that this one is about to stop.
func (c *Controller) AnnounceLeaving() {
	c.post(func(now time.Time) {
		c.leaving = true
		c.elector.SetLastResort(true)
		c.announceSelf(now)
	})
}

// step runs everything that is due at now.
func (c *Controller) step(now time.Time) {
	if now.Sub(c.lastStep) > suspensionThreshold {
		klog.InfoS("process was suspended", "for", now.Sub(c.lastStep))
		c.elector.InvalidateLease(now)
	}
	c.lastStep = now
	c.elector.SetEligible(c.recordsRead())
	if expired := c.evacuations.Expire(now); c.catalog.Expire(now, c.options.DrainTimeout) || expired {
		c.serversChanged(now)
	}
	c.updatePaths(now)
	c.applyEra(now)
	if call := c.elector.Tick(now); call != nil {
		c.startCall(now, call)
	}
	c.updateLeadership(now)
	if c.leaderState != nil {
		c.runLeader(now)
	}
	if c.leaderState != nil && c.elector.Active(now) {
		c.lastContact = now
	}
	c.options.Forwarder.ShareLimits(time.Now(), now.Sub(c.lastContact))
	c.stepCatchup(now)
	c.spreadCrashRecords(now)
	c.askSeeds(now)
	c.sendReport(now)
	c.interruptOutdatedReads(now)
	switch {
	case c.viewOutdated || c.ownersOutdated && c.view == nil:
		c.viewOutdated, c.ownersOutdated = false, false
		c.updateView()
	case c.ownersOutdated:
		c.ownersOutdated = false
		c.view = c.view.WithOwners(c.owners)
		c.options.Forwarder.SetView(time.Now(), c.view) // the forwarder's times are of time.Now, not of timekeeper
	}
}

// recordsRead reports whether this instance has read all that it must know before it sends requests or orders. With a time for
// evacuations that includes their records, which the configuration from the leader does not have.
func (c *Controller) recordsRead() bool {
	return c.table != nil && c.catalogRead && (c.options.EvacuateTimeout == 0 || c.operatorsRead)
}

// updateView builds a new view and passes it to the forwarder.
func (c *Controller) updateView() {
	if !c.recordsRead() {
		return
	}
	servers := c.servers()
	c.countEvacuated(servers)
	now, wall := timekeeper.Now(), time.Now() // the forwarder's times are of time.Now, not of timekeeper
	for i, s := range servers {
		servers[i].WarmupReadAt = wall.Add(c.catalog.WarmupReadAt(s.ID).Sub(now))
	}
	view := resolver.New(c.self(), c.table, servers, c.owners, c.members)
	c.view = view
	if c.leaderState != nil {
		c.leaderState.limits.retain(func(server string) bool { _, ok := view.Server(server); return ok })
	}
	c.updateSources(view)
	c.options.Meter.Set(meter.BundleVersion, int64(c.table.Version()))
	c.options.Meter.Set(meter.Members, int64(len(c.members)+1))
	c.options.Forwarder.SetView(wall, view)
	inUse := map[string]bool{}
	for _, s := range servers {
		inUse[s.Address] = true
	}
	c.orders.CloseUnused(inUse)
	for _, m := range c.members {
		inUse[m.Address] = true
	}
	c.options.Forwarder.CloseUnused(inUse)
}
