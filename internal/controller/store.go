package controller

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
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
	// doubtWait is the same for an instance that may be missing news, and makes the other one look at the store first.
	doubtWait = 300 * time.Millisecond
	// trustMargin is how much later than due the leader's answer to a report may come while readers are believed.
	trustMargin = 300 * time.Millisecond
	// storeSlow is how long a call of the leader to the store takes that makes others read the store themselves. The store
	// answers in 4 ms when calm.
	storeSlow = 300 * time.Millisecond
	// storeBusy is how long a call to the store may take while ranges are moved for balance.
	storeBusy = 150 * time.Millisecond
	// relayRetry is how long an instance reads the store itself after another one failed to hand on what it reads.
	relayRetry = 3 * time.Second
	// readRetry is the pause after a failed read, doubled up to readRetryMax. One look at the store, one through another
	// instance and the pause take 1.6 s, less than the 2 s in which a configuration has to be in force.
	readRetry    = 100 * time.Millisecond
	readRetryMax = 400 * time.Millisecond
	// probePauseMax bounds the pause between two looks for the store of an instance whose readers do not reach it.
	probePauseMax = 4 * time.Second
	// elsewherePause is between two reads through other domains, while this one is cut off from the store. With the pauses of
	// failed reads and one call it stays under the 2 s in which a configuration has to be in force.
	elsewherePause = 600 * time.Millisecond
	// elsewhereTries is how many instances are asked at once then, as some are cut off like this one.
	elsewhereTries = 3
	// comeBack is within which entries that lapsed during an outage of the store come back after it.
	comeBack = 1800 * time.Millisecond
)

// watchOperators follows the operators' configuration.
func (c *Controller) watchOperators(ctx context.Context) {
	c.watch(ctx, platform.TopicOperators, func(_ time.Time, _ bool, records []platform.Record) {
		for _, r := range records {
			if r.Key != platform.KeyConfig || r.Value == nil {
				continue
			}
			bundle, err := platform.DecodeConfig(r.Value)
			if err != nil {
				klog.InfoS("configuration ignored", "offset", r.Offset, "error", err)
				continue
			}
			if bundle.Version() <= c.table.Version() {
				continue
			}
			klog.InfoS("configuration in force", "version", bundle.Version(), "before", c.table.Version(), "offset", r.Offset)
			c.table = matcher.NewTable(bundle)
			c.dirty = true
		}
	})
}

// watchServers follows the entries of the backend servers.
func (c *Controller) watchServers(ctx context.Context) {
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
			if c.catalog.Put(now, c.options.DrainTimeout, server) {
				klog.InfoS("server", "server", r.Key, "service", server.Service, "address", server.Address,
					"state", server.State.String(), "born", server.Incarnation, "slots", server.Slots, "cold", server.WarmupLeft)
				changed = true
			}
		}
		if whole {
			c.catalog.Retain(now, settled, present)
			changed = true
		}
		c.readable = true
		if changed {
			c.serversChanged(now)
		}
	})
}

// serversChanged passes the servers on to whom they concern.
func (c *Controller) serversChanged(now time.Time) {
	c.dirty = true
	if c.lead != nil {
		c.setServers(now)
	}
}

// call makes the elector's call to the store.
func (c *Controller) call(now time.Time, call elector.Call) {
	switch call := call.(type) {
	case elector.ReadLeader:
		go c.readLead(call)
	case elector.AppendLeader:
		go c.append(now, call, keyLead, encode(encodeLead(call.Leader, c.options.Self.Domain)), call.Offset)
	case elector.AppendPlan:
		go c.append(now, call, keyPlan, c.lead.plans[call.Sequence], call.Offset)
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

func (c *Controller) append(sent time.Time, call elector.Call, key string, value []byte, at int64) {
	c.options.Meter.Count(meter.Appends)
	began := time.Now()
	offset, err := c.options.Store.Append(c.context, topic, key, value, at)
	c.options.Meter.Observe(meter.AppendTime, time.Since(began))
	c.post(func(now time.Time) {
		if err == nil {
			c.elector.AppendAcknowledged(now, sent, call, offset)
			return
		}
		c.options.Meter.Count(meter.AppendsFailed)
		klog.InfoS("append to store failed", "key", key, "at", at, "error", err)
		c.elector.CallFailed(now, call, platform.IsErrRefused(err), platform.IsErrConflict(err))
	})
}

func (c *Controller) readLead(call elector.Call) {
	records, end, err := c.options.Store.Newest(c.context, topic)
	c.post(func(now time.Time) {
		if err != nil {
			klog.InfoS("reading the leader's record failed", "error", err)
			c.elector.CallFailed(now, call, false, false)
			return
		}
		c.takeLead(now, records, end)
	})
}

func (c *Controller) takeLead(now time.Time, records []platform.Record, end int64) {
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
	c.elector.LeaderRead(now, end, decodeLead(&lead), stored)
}

// encodePlan returns the record of a plan.
func encodePlan(term, sequence uint64, holdings []granter.Assignment) []byte {
	var segments []partitioner.Segment
	for _, h := range holdings {
		segments = append(segments, partitioner.Segment{Service: h.Service, Range: h.Range, Server: h.Server})
	}
	services, encoded := herald.EncodeSegments(segments)
	return encode(&herald.Plan{Term: term, Sequence: sequence, Services: services, Segments: encoded})
}

// decodePlan returns the holdings of the record of a plan.
func decodePlan(data []byte) []granter.Assignment {
	var plan herald.Plan
	if err := proto.Unmarshal(data, &plan); err != nil {
		klog.InfoS("plan in the store can't be read", "error", err)
		return nil
	}
	var holdings []granter.Assignment
	for _, s := range herald.DecodeSegments(plan.GetServices(), plan.GetSegments()) {
		holdings = append(holdings, granter.Assignment{Service: s.Service, Range: s.Range, Server: s.Server})
	}
	return holdings
}
