// Package controller runs the control side of an instance on the platform. One goroutine owns all state and runs the
// decision logic (elector, granter, balancer); calls to the store, to other instances and to backend servers run in
// other goroutines and return as events.
package controller

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/balancer"
	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// tick is how often time alone is looked at.
	tick = 50 * time.Millisecond
	// stall is the gap between two ticks after which this process is taken to have stood still.
	stall = 600 * time.Millisecond
	// heartbeat is between two reports to the leader while there are few instances; with more of them it grows, so that the
	// leader answers about 60 reports a second, up to heartbeatMax.
	heartbeat    = 400 * time.Millisecond
	heartbeatMax = time.Second
	// few is how many instances are told at once of each change of the map. With more of them only the fronts of the
	// servers concerned are; the others hear of it with their next report, and until then from these fronts.
	few = 16
	// heartbeatTimeout bounds the answer to a report; the way is 20 ms at most.
	heartbeatTimeout = 700 * time.Millisecond
	// missedReports is after how many missing reports the leader drops an instance.
	missedReports = 4
	// releaseLimit bounds the answer to a release, which comes when what runs has ended.
	releaseLimit = 3 * time.Second
	// balance is between two looks at the load of servers.
	balance = 250 * time.Millisecond
	// movesAtOnce is the part of a service's servers whose ranges may be moved at the same time.
	movesAtOnce = 4
	// settleFor is how long a leader leads before it yields to a larger machine, which is muchLarger times its size.
	settleFor  = 3 * time.Second
	muchLarger = 2
	// together is the time in which changes of the map are gathered; requests for keys that move wait as long at most.
	together = 60 * time.Millisecond
	// planGather is the least time between two plans to store: moves that end shortly after one another share an append.
	planGather = 120 * time.Millisecond
	// kept is how many changes of the map the leader keeps to send instead of the whole.
	kept = 64
)

// ElectionSettings are the times of the leader election. The election timeout and one round of grants together are
// shorter than a lease.
var ElectionSettings = elector.Settings{
	LeaseDuration: 20 * time.Second, RenewInterval: 700 * time.Millisecond, ElectionTimeout: 2200 * time.Millisecond, SuspicionTimeout: 1300 * time.Millisecond,
	RetryDelay: 250 * time.Millisecond, RefusalThreshold: 2, MaxJitter: 250 * time.Millisecond,
}

// GrantSettings are the times of leases and grants.
var GrantSettings = granter.Settings{
	LeaseDuration: 4 * time.Second, RenewInterval: 1200 * time.Millisecond, TransitMargin: 100 * time.Millisecond, RetryDelay: 200 * time.Millisecond,
	PersistTimeout: 300 * time.Millisecond,
}

// Options are what a Controller needs.
type Options struct {
	Self      resolver.Member
	Store     platform.Log
	Forwarder *forwarder.Forwarder
	Meter     *meter.Meter
	// DrainTimeout is after how long a server that drains is sent nothing more, whoever owns its keys then.
	DrainTimeout time.Duration
	// MaxLeaseDuration bounds how long a lease may last; 0 is no bound.
	MaxLeaseDuration time.Duration
}

// Controller is the control side of an instance. Use New and Run.
type Controller struct {
	options Options
	events  chan func(now time.Time)
	context context.Context

	table    *matcher.Table
	catalog  cataloger.Catalog
	readable bool // whether the catalog was read at least once
	owners   *partitioner.Map
	members  []resolver.Member // without Self
	version  uint64            // of members, as the leader counts
	dirty    bool              // the view has to be made anew

	elector    *elector.Elector
	grants     granter.Settings
	plan       []byte // content of the newest plan record in the store
	ticked     time.Time
	reported   time.Time
	reporting  bool
	unreported forwarder.Loads
	leaving    bool
	peers      peers
	orders     platform.Orders
	lead       *lead // nil while this instance does not lead
	troubled   map[string]time.Time
	sources    atomic.Pointer[sources]
	relay      relay
	trust      atomic.Pointer[trust]         // nil while the leader is not heard of
	doubt      atomic.Pointer[chan struct{}] // closed to break off reads that wait for news
	leading    atomic.Bool                   // whether lead is not nil, for other goroutines
	sure       bool                          // whether news would have reached this instance
	behind     map[string]bool               // topics of which the leader knew more when it answered last
	view       *resolver.View                // the newest one that traffic has
}

// lead is what only a leader has.
type lead struct {
	since    time.Time
	granter  *granter.Granter
	sequence uint64 // of the map
	deltas   []delta
	members  map[string]*registered
	version  uint64
	loads    map[string]*balancer.Load
	speeds   map[string]*speed
	balanced time.Time
	// published is when the members were last told what has changed; unpublished says that there is something newer.
	published   time.Time
	unpublished bool
	concerned   map[string]bool // instances that front servers of unpublished changes
	plans       map[uint64][]byte
	wanted      uint64 // sequence number of the plan that was last to be stored
	wantedAt    time.Time
	// predecessor is the leader before this one, while it may still give orders.
	predecessor elector.Identity
}

// delta is one change of the map.
type delta struct {
	sequence uint64
	segments []partitioner.Segment
}

// registered is an instance that reports to this leader.
type registered struct {
	member resolver.Member
	seen   time.Time
	sent   bool // a publication is on its way
	again  bool // there is something newer to publish
	known  partitioner.Version
	listed uint64
}

// speed is the measured service time of a server, in seconds.
type speed struct {
	mean    float64
	answers float64
}

// New returns a Controller.
func New(o Options) *Controller {
	now := timekeeper.Now()
	self := elector.Identity{Instance: o.Self.Instance, Incarnation: o.Self.Incarnation, Address: o.Self.Address}
	c := &Controller{
		options: o, events: make(chan func(time.Time), 256),
		elector:    elector.New(ElectionSettings, now, self, share(o.Self)),
		ticked:     now,
		grants:     grantsWithin(o.MaxLeaseDuration),
		unreported: emptyLoads(),
		troubled:   map[string]time.Time{},
		peers:      newPeers(),
	}
	doubt := make(chan struct{})
	c.doubt.Store(&doubt)
	return c
}

// grantsWithin returns the times of grants where they may last no longer than maxHold.
func grantsWithin(maxHold time.Duration) granter.Settings {
	times := GrantSettings
	if maxHold > 0 && maxHold < times.LeaseDuration {
		times.RenewInterval = times.RenewInterval * maxHold / times.LeaseDuration
		times.LeaseDuration = maxHold
	}
	return times
}

const (
	// leadCapacity is what a machine must carry to lead a few hundred ranges, in thousandths of a core: each renewal takes
	// about 0.3 ms, and each range is renewed each 1.2 s.
	leadCapacity = 250
	// tinyShare is the place of a smaller machine in the jitter of takeovers: 0.6 s after the others.
	tinyShare = 2.4
)

// share returns the place of an instance in the jitter of takeovers, mostly from 0 to 1. Larger machines come first.
func share(m resolver.Member) float64 {
	const largest = 1000 // more capacity does not matter
	if m.Capacity < leadCapacity {
		return tinyShare
	}
	size := 1 - min(float64(m.Capacity)/largest, 1)
	return 0.7*size + 0.3*float64(m.Incarnation/1000%1000)/1000
}

func emptyLoads() forwarder.Loads {
	return forwarder.Loads{Keys: map[string]map[uint16]int{}, Answers: map[string]forwarder.AnswerStats{}}
}

// post hands an event to the control goroutine.
func (c *Controller) post(event func(now time.Time)) {
	select {
	case c.events <- event:
	case <-c.context.Done():
	}
}

// interval returns the time between two reports to the leader.
func (c *Controller) interval() time.Duration {
	return min(max(heartbeat, heartbeat*time.Duration(len(c.members)+1)/few), heartbeatMax)
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.context = ctx
	go c.watchOperators(ctx)
	go c.watchServers(ctx)
	ticker := time.NewTicker(tick)
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

// AnnounceLeaving tells the others that this instance is about to stop.
func (c *Controller) AnnounceLeaving() {
	c.post(func(now time.Time) {
		c.leaving = true
		c.reported = time.Time{}
		if c.lead != nil {
			c.lead.version++
			c.publish(now)
		}
	})
}

// step does what is due.
func (c *Controller) step(now time.Time) {
	if now.Sub(c.ticked) > stall {
		klog.InfoS("process stood still", "for", now.Sub(c.ticked))
		c.elector.SuspendLease(now)
	}
	c.ticked = now
	c.elector.SetEligible(c.table != nil && c.readable)
	if c.catalog.Expire(now) {
		c.serversChanged(now)
	}
	if call := c.elector.Tick(now); call != nil {
		c.call(now, call)
	}
	c.follow(now)
	if c.lead != nil {
		c.rule(now)
	}
	c.report(now)
	c.guardReads(now)
	if c.dirty {
		c.dirty = false
		c.renew()
	}
}

// renew hands a new view to traffic.
func (c *Controller) renew() {
	if c.table == nil || !c.readable {
		return
	}
	servers := c.catalog.Servers()
	view := resolver.New(c.self(), c.table, servers, c.owners, c.members)
	c.view = view
	c.findSources(view)
	c.options.Meter.Set(meter.BundleVersion, int64(c.table.Version()))
	c.options.Meter.Set(meter.Members, int64(len(c.members)+1))
	c.options.Forwarder.SetView(time.Now(), view)
	inUse := map[string]bool{}
	for _, s := range servers {
		inUse[s.Address] = true
	}
	c.options.Forwarder.CloseUnused(inUse)
	c.orders.CloseUnused(inUse)
}

// readers names the instance of each failure domain that reads the store for the others.
const readers = "store readers"

// readersAsked is how many instances are asked in turn to hand a topic on.
const readersAsked = 2

// findSources decides where topics are read.
func (c *Controller) findSources(view *resolver.View) {
	from := &sources{mates: 1}
	// The leader reads for itself, so that one machine that is cut off from the store can't mislead a whole domain.
	lead, _ := c.elector.Leader()
	isLeader := func(instance string) bool { return instance == lead.Identity.Instance }
	pool := resolver.ServerPool{Service: readers, Domain: c.options.Self.Domain}
	if !isLeader(c.options.Self.Instance) {
		for _, m := range view.MembersByCapacity(pool, isLeader, readersAsked) {
			if m.Instance == c.options.Self.Instance {
				break // those after it in the ranking read through this instance
			}
			from.readers = append(from.readers, m.Address)
		}
	}
	for _, m := range c.members {
		from.others = append(from.others, m.Address)
		if m.Domain == c.options.Self.Domain {
			from.mates++
		}
	}
	c.sources.Store(from)
}
