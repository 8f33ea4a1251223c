package conductor

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/clocker"
	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/ranger"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// topic is where leaders keep their records; its name makes the store keep the newest record of each key.
	topic   = "keyed.wasabibank"
	keyLead = "lead"
	keyPlan = "plan"

	// readWait is how long a read waits for news; the store allows 30 s. A store that fails silently loses such a read
	// without a trace, so it is broken off when another instance is seen to know more, or the leader is not heard of.
	readWait = 25 * time.Second
	// leadWait is the same for the leader, which nobody else can correct.
	leadWait = time.Second
	// gather is the pause after news, in which more of it comes together into one call.
	gather = 250 * time.Millisecond
	// relayWait is how long another instance may wait for news, and relayTimeout how much later its answer may come. They
	// bound how long it goes unnoticed that the instance that reads for others has stopped.
	relayWait    = 600 * time.Millisecond
	relayTimeout = 400 * time.Millisecond
	// trustMargin is how much later than due the leader's answer to a report may come while readers are believed.
	trustMargin = 300 * time.Millisecond
	// storeSlow is how long a call of the leader to the store takes that makes others read the store themselves. The store
	// answers in 4 ms when calm.
	storeSlow = 300 * time.Millisecond
	// relayRetry is how long an instance reads the store itself after another one failed to hand on what it reads.
	relayRetry = 3 * time.Second
	// readRetry is the pause after a failed read, doubled up to readRetryMax. One look at the store, one through another
	// instance and the pause take 1.6 s, less than the 2 s in which a configuration has to be in force.
	readRetry    = 100 * time.Millisecond
	readRetryMax = 400 * time.Millisecond
	// comeBack is within which entries that lapsed during an outage of the store come back after it.
	comeBack = 1800 * time.Millisecond
)

// watchOperators follows the operators' configuration.
func (c *Conductor) watchOperators(ctx context.Context) {
	c.watch(ctx, platform.TopicOperators, func(_ time.Time, _ bool, records []platform.Record) {
		for _, r := range records {
			if r.Key != platform.KeyConfig || r.Value == nil {
				continue
			}
			table, err := platform.DecodeConfig(r.Value)
			if err != nil {
				klog.InfoS("configuration ignored", "offset", r.Offset, "error", err)
				continue
			}
			if table.Version() <= c.table.Version() {
				continue
			}
			klog.InfoS("configuration in force", "version", table.Version(), "before", c.table.Version(), "offset", r.Offset)
			c.table = table
			c.dirty = true
		}
	})
}

// watchServers follows the entries of the backend servers.
func (c *Conductor) watchServers(ctx context.Context) {
	c.watch(ctx, platform.TopicServers, func(now time.Time, whole bool, records []platform.Record) {
		settled := c.troubled[platform.TopicServers].Add(comeBack)
		present := map[string]bool{}
		changed := !c.readable
		for _, r := range records {
			if r.Value == nil {
				klog.InfoS("server left", "server", r.Key, "offset", r.Offset)
				c.catalog.Remove(now, settled, r.Key)
				changed = true
				continue
			}
			server, err := platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				klog.InfoS("entry of server ignored", "server", r.Key, "offset", r.Offset, "error", err)
				continue
			}
			present[r.Key] = true
			if c.catalog.Put(now, c.options.Drain, server) {
				klog.InfoS("server", "server", r.Key, "service", server.Service, "address", server.Address,
					"state", server.State.String(), "born", server.Born, "slots", server.Slots, "cold", server.Cold)
				changed = true
			}
		}
		if whole {
			c.catalog.Keep(now, settled, present)
			changed = true
		}
		c.readable = true
		if changed {
			c.serversChanged(now)
		}
	})
}

// serversChanged passes the servers on to whom they concern.
func (c *Conductor) serversChanged(now time.Time) {
	c.dirty = true
	if c.lead != nil {
		c.setServers(now)
	}
}

// watcher is where the reading of a topic stands.
type watcher struct {
	name  string
	from  int64
	whole bool // what comes next are all records, not changes
	lost  bool // the store did not answer the last call
	pause time.Duration
	tries int
	// direct is until when the store itself is read, after another instance failed to hand it on.
	direct time.Time
}

// watch reads a topic whole, then its changes, for ever. take runs on the control goroutine; whole says that the records
// are all there are. While the store does not answer, it reads through other instances, which may reach it.
func (c *Conductor) watch(
	ctx context.Context, name string, take func(now time.Time, whole bool, records []platform.Record),
) {
	w := &watcher{name: name, whole: true, pause: readRetry}
	for ctx.Err() == nil {
		records, next, err := c.read(ctx, w)
		switch {
		case platform.IsErrExpired(err):
			c.options.Meter.Count(meter.LogGaps)
			w.whole = true
		case err != nil:
			c.options.Meter.Count(meter.LogReadsFailed)
			sleep(ctx, w.pause)
			w.pause = min(2*w.pause, readRetryMax)
		default:
			whole := w.whole
			w.from, w.whole = next, false
			if whole || len(records) > 0 {
				c.post(func(now time.Time) { take(now, whole, records) })
			}
			if w.lost {
				sleep(ctx, readRetryMax)
			} else if len(records) > 0 {
				sleep(ctx, gather)
			}
		}
	}
}

// sources are where an instance reads topics besides the store itself.
type sources struct {
	reader string   // address of the instance that reads the store for this failure domain; empty where it is this one
	others []string // addresses of all other instances
}

// read reads what is next: from the instance that reads for this domain, else from the store and, where that fails,
// through any other instance.
func (c *Conductor) read(ctx context.Context, w *watcher) ([]platform.Record, int64, error) {
	c.options.Meter.Count(meter.LogReads)
	from := c.sources.Load()
	if records, next, ok := c.readRelayed(ctx, w, from); ok {
		return records, next, nil
	}
	wait := readWait
	switch {
	case w.lost:
		wait = 0
	case c.leading.Load():
		wait = leadWait
	case from != nil && from.reader != "", !c.trust.Load().fresh(clocker.Now()):
		wait = relayWait // the leader may soon be heard of again
	}
	records, next, err := c.readDoubting(ctx, w, wait)
	if err == nil || platform.IsErrExpired(err) {
		if w.lost {
			klog.InfoS("store is back", "topic", w.name)
			c.post(func(now time.Time) { c.troubled[w.name] = now })
		}
		w.lost, w.pause = false, readRetry
		if err == nil {
			c.relay.add(w.name, w.whole, records, next)
		}
		return records, next, err
	}
	if !w.lost {
		klog.InfoS("store lost", "topic", w.name, "error", err)
	}
	w.lost = true
	c.relay.lose(w.name)
	c.post(func(now time.Time) { c.troubled[w.name] = now })
	if from == nil || len(from.others) == 0 {
		return nil, 0, err
	}
	w.tries++
	return c.fetch(ctx, from.others[w.tries%len(from.others)], &herald.FetchRequest{
		Topic: w.name, From: w.from, Whole: w.whole, StoreLost: true,
	}, heartbeatTimeout)
}

// readDoubting reads from the store, and once more without waiting when the wait is broken off by doubt.
func (c *Conductor) readDoubting(
	ctx context.Context, w *watcher, wait time.Duration,
) ([]platform.Record, int64, error) {
	waiting, cancel := c.untilDoubt(ctx)
	defer cancel()
	records, next, err := c.readStore(waiting, w.name, w.from, w.whole, wait)
	if err == nil || waiting.Err() == nil || ctx.Err() != nil {
		return records, next, err
	}
	return c.readStore(ctx, w.name, w.from, w.whole, 0)
}

// untilDoubt returns a context that ends when reads that wait for news are broken off.
func (c *Conductor) untilDoubt(ctx context.Context) (context.Context, context.CancelFunc) {
	waiting, cancel := context.WithCancel(ctx)
	doubt := *c.doubt.Load()
	go func() {
		select {
		case <-doubt:
			cancel()
		case <-waiting.Done():
		}
	}()
	return waiting, cancel
}

// breakOff ends the reads that wait for news.
func (c *Conductor) breakOff() {
	next := make(chan struct{})
	close(*c.doubt.Swap(&next))
}

// guardReads breaks off reads that wait when this instance may be missing news: it no longer hears the leader, or leads
// and the store keeps it waiting.
func (c *Conductor) guardReads(now time.Time) {
	c.leading.Store(c.lead != nil)
	sure := c.trust.Load().fresh(now)
	if c.lead != nil {
		sure = c.elector.Pending(now) <= storeSlow
	}
	if c.sure && !sure {
		c.breakOff()
	}
	c.sure = sure
}

// compare breaks off reads that wait when the leader has twice in a row known more of a topic than this instance.
func (c *Conductor) compare(ends map[string]int64) {
	own := c.relay.ends()
	behind := map[string]bool{}
	for topic, end := range ends {
		if have, ok := own[topic]; ok && have < end {
			behind[topic] = true
		}
	}
	for topic := range behind {
		if c.behind[topic] {
			klog.InfoS("leader knows more", "topic", topic, "here", own[topic], "leader", ends[topic])
			c.breakOff()
			behind = nil
			break
		}
	}
	c.behind = behind
}

// readRelayed reads from the instance that reads for this domain; ok is false where the store itself has to be read: that
// instance fails, or it has less than the leader.
func (c *Conductor) readRelayed(
	ctx context.Context, w *watcher, from *sources,
) (records []platform.Record, next int64, ok bool) {
	trust := c.trust.Load()
	if from == nil || from.reader == "" || w.whole || w.lost || time.Now().Before(w.direct) || !trust.fresh(clocker.Now()) {
		return nil, 0, false
	}
	behind := trust.behind(w.name, w.from)
	wait := relayWait
	if behind {
		wait = 0
	}
	request := &herald.FetchRequest{Topic: w.name, From: w.from, WaitMs: uint32(wait.Milliseconds())}
	waiting, cancel := c.untilDoubt(ctx)
	defer cancel()
	records, next, err := c.fetch(waiting, from.reader, request, wait+relayTimeout)
	if waiting.Err() != nil {
		return nil, 0, false
	}
	if err != nil {
		klog.InfoS("topic is not handed on", "topic", w.name, "reader", from.reader, "from", w.from, "error", err)
		w.direct = time.Now().Add(relayRetry)
		return nil, 0, false
	}
	return records, next, len(records) > 0 || !behind
}

func (c *Conductor) readStore(
	ctx context.Context, name string, from int64, whole bool, wait time.Duration,
) ([]platform.Record, int64, error) {
	if whole {
		return c.options.Store.Newest(ctx, name)
	}
	return c.options.Store.Changes(ctx, name, from, wait)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// call makes the elector's call to the store.
func (c *Conductor) call(now time.Time, call elector.Call) {
	switch call := call.(type) {
	case elector.Read:
		go c.readLead(call)
	case elector.Take:
		go c.append(now, call, keyLead, encode(encodeLead(call.Lead, c.options.Self.Domain)), call.At)
	case elector.Store:
		go c.append(now, call, keyPlan, c.lead.plans[call.Sequence], call.At)
	}
}

// encode returns the wire form of a message.
func encode(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic("message can't be encoded: " + err.Error()) // only invalid UTF-8 does this, and names are checked on input
	}
	return data
}

func (c *Conductor) append(sent time.Time, call elector.Call, key string, value []byte, at int64) {
	c.options.Meter.Count(meter.Appends)
	offset, err := c.options.Store.Append(c.context, topic, key, value, at)
	c.post(func(now time.Time) {
		if err == nil {
			c.elector.Appended(now, sent, call, offset)
			return
		}
		c.options.Meter.Count(meter.AppendsFailed)
		klog.InfoS("append to store failed", "key", key, "at", at, "error", err)
		c.elector.Failed(now, call, platform.IsErrRefused(err), platform.IsErrConflict(err))
	})
}

func (c *Conductor) readLead(call elector.Call) {
	records, end, err := c.options.Store.Newest(c.context, topic)
	c.post(func(now time.Time) {
		if err != nil {
			klog.InfoS("reading the leader's record failed", "error", err)
			c.elector.Failed(now, call, false, false)
			return
		}
		c.takeLead(now, records, end)
	})
}

func (c *Conductor) takeLead(now time.Time, records []platform.Record, end int64) {
	var lead herald.Lead
	var plan herald.Plan
	for _, r := range records {
		var err error
		switch r.Key {
		case keyLead:
			err = proto.Unmarshal(r.Value, &lead)
		case keyPlan:
			err = proto.Unmarshal(r.Value, &plan)
			c.plan = r.Value
		}
		if err != nil {
			klog.InfoS("record in the store can't be read", "key", r.Key, "offset", r.Offset, "error", err)
		}
	}
	stored := uint64(0)
	if plan.GetTerm() == lead.GetTerm() {
		stored = plan.GetSequence()
	}
	c.elector.WasRead(now, end, decodeLead(&lead), stored)
}

// encodePlan returns the record of a plan.
func encodePlan(term, sequence uint64, holdings []granter.Holding) []byte {
	var segments []ranger.Segment
	for _, h := range holdings {
		segments = append(segments, ranger.Segment{Service: h.Service, Range: h.Range, Server: h.Server})
	}
	services, encoded := herald.EncodeSegments(segments)
	return encode(&herald.Plan{Term: term, Sequence: sequence, Services: services, Segments: encoded})
}

// decodePlan returns the holdings of the record of a plan.
func decodePlan(data []byte) []granter.Holding {
	var plan herald.Plan
	if err := proto.Unmarshal(data, &plan); err != nil {
		klog.InfoS("plan in the store can't be read", "error", err)
		return nil
	}
	var holdings []granter.Holding
	for _, s := range herald.DecodeSegments(plan.GetServices(), plan.GetSegments()) {
		holdings = append(holdings, granter.Holding{Service: s.Service, Range: s.Range, Server: s.Server})
	}
	return holdings
}
