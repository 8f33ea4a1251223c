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
	// leaderTopic is the topic of the leaders' records. Its prefix makes the store keep the newest record of each key.
	leaderTopic = "keyed.wasabibank"
	keyLeader   = "lead"
	keyPlan     = "plan"

	// readWait is how long a read waits for new records; the store allows 30 s. A store that fails silently loses such a
	// read without an error, so the read is interrupted when the leader has read more, or stops answering.
	readWait = 25 * time.Second
	// leaderReadWait is the same for the leader, which has no other instance to compare itself with.
	leaderReadWait = time.Second
	// batchDelay is the pause after a read that returned records, so that the next call fetches several changes at once.
	batchDelay = 250 * time.Millisecond
	// relayWait is how long a read through a relay waits for new records, and relayMargin how much later its answer may
	// arrive. Together they bound the time until a stopped relay is noticed.
	relayWait   = 600 * time.Millisecond
	relayMargin = 400 * time.Millisecond
	// refreshWait is the same for a read that makes the relay refresh its cache first, because records may be missing.
	refreshWait = 300 * time.Millisecond
	// leaderOffsetsMargin is how much later than due the leader's answer to a report may arrive before its offsets become
	// invalid.
	leaderOffsetsMargin = 300 * time.Millisecond
	// slowCallTime is the duration of a leader's call to the store from which on its offsets are not valid, so that relays
	// refresh their caches before they answer. The store answers in 4 ms when calm.
	slowCallTime = 300 * time.Millisecond
	// busyCallTime is the duration of a leader's call to the store from which on no ranges are moved to balance load.
	busyCallTime = 150 * time.Millisecond
	// relayRetryDelay is how long a relay is skipped after a failed read through it.
	relayRetryDelay = 3 * time.Second
	// readRetryDelay is the pause after a failed read, doubled up to maxReadRetryDelay. One poll of the store, one read
	// through another instance and the pause take 1.6 s, less than the 2 s within which a configuration has to be applied.
	readRetryDelay    = 100 * time.Millisecond
	maxReadRetryDelay = 400 * time.Millisecond
	// maxPollInterval bounds the time between two polls of the store by an instance whose relays can't reach it either.
	maxPollInterval = 4 * time.Second
	// fallbackInterval is the time between two rounds of reads through other instances while this domain can't reach the
	// store. With the pauses after failed reads and one call it stays below the 2 s within which a configuration has to be
	// applied.
	fallbackInterval = 600 * time.Millisecond
	// fallbackAttempts is the number of instances asked in such a round, as some may not reach it either.
	fallbackAttempts = 3
	// reappearTimeout is how long the registrations that expired while the store was unreachable may take to
	// reappear afterwards.
	reappearTimeout = 1800 * time.Millisecond
)

// watchOperators applies each new configuration that the operators publish.
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
			klog.InfoS("configuration applied", "version", bundle.Version(), "before", c.table.Version(), "offset", r.Offset)
			c.table = matcher.NewTable(bundle)
			c.viewOutdated = true
		}
	})
}

// watchServers applies changes of the backend servers' registrations.
func (c *Controller) watchServers(ctx context.Context) {
	c.watch(ctx, platform.TopicServers, func(now time.Time, full bool, records []platform.Record) {
		reappearDeadline := c.lastUnreachable[platform.TopicServers].Add(reappearTimeout)
		present := map[string]bool{}
		changed := !c.catalogRead
		for _, r := range records {
			if r.Value == nil {
				klog.InfoS("server left", "server", r.Key, "offset", r.Offset)
				c.catalog.Remove(now, reappearDeadline, r.Key)
				changed = true
				continue
			}
			server, err := platform.DecodeServer(r.Key, r.Value)
			if err != nil {
				klog.InfoS("server registration ignored", "server", r.Key, "offset", r.Offset, "error", err)
				continue
			}
			present[r.Key] = true
			if c.catalog.Put(now, c.options.DrainTimeout, server) {
				klog.InfoS("server changed", "server", r.Key, "service", server.Service, "address", server.Address,
					"state", server.State.String(), "born", server.Incarnation, "slots", server.Slots, "cold", server.WarmupLeft)
				changed = true
			}
		}
		if full {
			c.catalog.Retain(now, reappearDeadline, present)
			changed = true
		}
		c.catalogRead = true
		if changed {
			c.serversChanged(now)
		}
	})
}

// serversChanged marks the view as outdated and, on the leader, passes the servers to the granter.
func (c *Controller) serversChanged(now time.Time) {
	c.viewOutdated = true
	if c.leaderState != nil {
		c.setServers(now)
	}
}

// startCall starts the elector's call to the store.
func (c *Controller) startCall(now time.Time, call elector.Call) {
	switch call := call.(type) {
	case elector.ReadLeader:
		go c.readLeader(call)
	case elector.AppendLeader:
		go c.append(now, call, keyLeader, marshal(encodeLeader(call.Leader, c.options.Self.Domain)), call.Offset)
	case elector.AppendPlan:
		go c.append(now, call, keyPlan, c.leaderState.plans[call.Sequence], call.Offset)
	}
}

// marshal returns the wire format of a message.
func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic("message can't be encoded: " + err.Error()) // only invalid UTF-8 does this, and names are checked on input
	}
	return data
}

func (c *Controller) append(sent time.Time, call elector.Call, key string, value []byte, expectedNext int64) {
	c.options.Meter.Count(meter.Appends)
	start := time.Now()
	offset, err := c.options.Store.Append(c.context, leaderTopic, key, value, expectedNext)
	c.options.Meter.Observe(meter.AppendTime, time.Since(start))
	c.post(func(now time.Time) {
		if err == nil {
			c.elector.AppendAcknowledged(now, sent, call, offset)
			return
		}
		c.options.Meter.Count(meter.AppendsFailed)
		klog.InfoS("append to store failed", "key", key, "at", expectedNext, "error", err)
		c.elector.CallFailed(now, call, platform.IsErrStatus(err), platform.IsErrConflict(err))
	})
}

func (c *Controller) readLeader(call elector.Call) {
	records, next, err := c.options.Store.Newest(c.context, leaderTopic)
	c.post(func(now time.Time) {
		if err != nil {
			klog.InfoS("reading the leader's record failed", "error", err)
			c.elector.CallFailed(now, call, false, false)
			return
		}
		c.handleLeaderRecords(now, records, next)
	})
}

func (c *Controller) handleLeaderRecords(now time.Time, records []platform.Record, next int64) {
	var leader herald.Lead
	var plan herald.Plan
	for _, r := range records {
		var err error
		switch r.Key {
		case keyLeader:
			err = proto.Unmarshal(r.Value, &leader)
		case keyPlan:
			err = proto.Unmarshal(r.Value, &plan)
			c.plan = r.Value
		}
		if err != nil {
			klog.InfoS("record in the store can't be decoded", "key", r.Key, "offset", r.Offset, "error", err)
		}
	}
	storedPlan := uint64(0)
	if plan.GetTerm() == leader.GetTerm() {
		storedPlan = plan.GetSequence()
	}
	c.elector.LeaderRead(now, next, decodeLeader(&leader), storedPlan)
}

// encodePlan returns the stored form of a plan.
func encodePlan(term, sequence uint64, assignments []granter.Assignment) []byte {
	var segments []partitioner.Segment
	for _, h := range assignments {
		segments = append(segments, partitioner.Segment{Service: h.Service, Range: h.Range, Server: h.Server})
	}
	services, encoded := herald.EncodeSegments(segments)
	return marshal(&herald.Plan{Term: term, Sequence: sequence, Services: services, Segments: encoded})
}

// decodePlan returns the assignments of a stored plan, or none if it can't be decoded.
func decodePlan(data []byte) []granter.Assignment {
	var plan herald.Plan
	if err := proto.Unmarshal(data, &plan); err != nil {
		klog.InfoS("plan in the store can't be decoded", "error", err)
		return nil
	}
	var assignments []granter.Assignment
	for _, s := range herald.DecodeSegments(plan.GetServices(), plan.GetSegments()) {
		assignments = append(assignments, granter.Assignment{Service: s.Service, Range: s.Range, Server: s.Server})
	}
	return assignments
}
