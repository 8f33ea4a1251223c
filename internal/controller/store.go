package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
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
)

const (
	// reappearTimeout is how long the registrations that expired while the store was unreachable may take to
	// reappear afterwards.
	reappearTimeout = 1800 * time.Millisecond
)

// watchOperators applies each new configuration that the operators publish.
func (c *Controller) watchOperators(ctx context.Context) {
	c.watchTopic(ctx, platform.TopicOperators, func(now time.Time, read topicRead) {
		for _, r := range read.records {
			if r.Key != platform.KeyConfig || r.Value == nil {
				continue
			}
			c.applyConfig(r.Value, "offset", r.Offset)
		}
		c.applyEvacuations(now, read)
	})
}

// applyConfig applies a configuration if it is newer than the present one. The fields say in the log where it came from.
func (c *Controller) applyConfig(value []byte, fields ...any) {
	bundle, err := platform.DecodeConfig(value)
	if err != nil {
		klog.InfoS("configuration ignored", append([]any{"error", err}, fields...)...)
		return
	}
	if bundle.Version() <= c.table.Version() {
		return
	}
	klog.InfoS("configuration applied",
		append([]any{"version", bundle.Version(), "before", c.table.Version()}, fields...)...)
	c.table, c.config, c.configEra = matcher.NewTable(bundle), value, c.elector.Era()
	c.viewOutdated = true
}

// watchServers applies changes of the backend servers' registrations.
func (c *Controller) watchServers(ctx context.Context) {
	c.watchTopic(ctx, platform.TopicServers, c.applyServers)
}

// applyServers applies registrations that were read. One that can't be used names no server; a server that was registered under its
// id before stays, until the store removes the record or has another one.
func (c *Controller) applyServers(now time.Time, read topicRead) {
	reappearDeadline := c.lastUnreachable[platform.TopicServers].Add(reappearTimeout)
	if read.restored {
		reappearDeadline = now.Add(c.confirmationTime())
	}
	present := map[string]bool{}
	changed := !c.catalogRead
	for _, r := range read.records {
		if r.Value == nil {
			klog.InfoS("server registration removed", "server", r.Key, "offset", r.Offset)
			c.catalog.Remove(now, reappearDeadline, r.Key)
			changed = true
			continue
		}
		present[r.Key] = true
		server, err := platform.DecodeServer(time.Now(), r.Key, r.Value)
		if err != nil {
			klog.InfoS("server registration ignored", "server", r.Key, "offset", r.Offset, "error", err)
			continue
		}
		if c.putServer(now, read.restored, server) {
			klog.InfoS("server registered or changed", "server", r.Key, "service", server.Service, "address", server.Address,
				"state", server.State.String(), "born", server.Incarnation, "slots", server.Slots, "cold", server.WarmupLeft)
			changed = true
		}
	}
	if read.full {
		c.catalog.Retain(now, reappearDeadline, present)
		changed = true
	}
	c.catalogRead = true
	if changed {
		c.serversChanged(now)
	}
}

// putServer records a registration, and reports whether that changes the catalog.
func (c *Controller) putServer(now time.Time, restored bool, server cataloger.Server) bool {
	if restored {
		return c.catalog.PutRestored(now, now.Add(c.confirmationTime()), c.options.DrainTimeout, server)
	}
	return c.catalog.Put(now, c.options.DrainTimeout, server)
}

// expiryHeartbeats is the number of missing heartbeats after which the store removes a registration.
const expiryHeartbeats = 3

// confirmationTime is how long after the store came back from an older copy a registration may be one of a server that has
// left, or be missing although its server lives.
func (c *Controller) confirmationTime() time.Duration {
	return expiryHeartbeats*c.options.HeartbeatInterval + reappearTimeout
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
		go c.appendRecord(now, call, keyLeader, marshal(encodeLeader(call.Leader, c.options.Self.Domain)), call.Offset)
	case elector.AppendPlan:
		go c.appendRecord(now, call, keyPlan, c.leaderState.plans[call.Sequence], call.Offset)
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

// appendRecord appends a record to leaderTopic and passes the result to the elector.
func (c *Controller) appendRecord(sent time.Time, call elector.Call, key string, value []byte, expectedNext int64) {
	c.options.Meter.Count(meter.Appends)
	start := time.Now()
	position, err := c.options.Store.Append(c.context, leaderTopic, key, value, expectedNext)
	c.options.Meter.Observe(meter.AppendTime, time.Since(start))
	c.post(func(now time.Time) {
		if err == nil {
			c.elector.AppendAcknowledged(now, sent, call, position.Era, position.Offset)
			return
		}
		c.options.Meter.Count(meter.AppendsFailed)
		klog.InfoS("append to store failed", "key", key, "at", expectedNext, "error", err)
		c.elector.CallFailed(now, call, position.Era, platform.IsErrStatus(err), platform.IsErrConflict(err))
	})
}

// readLeader reads leaderTopic and passes the leader that it names to the elector.
func (c *Controller) readLeader(call elector.Call) {
	records, end, err := c.options.Store.Newest(c.context, leaderTopic)
	c.post(func(now time.Time) {
		if err != nil {
			klog.InfoS("reading the leader's record failed", "error", err)
			c.elector.CallFailed(now, call, 0, false, false)
			return
		}
		c.handleLeaderRecords(now, records, end)
	})
}

// handleLeaderRecords keeps the plan of leaderTopic and passes the leader to the elector. If the store came back from an
// older copy, which has an older plan or none, the plan that was read before stays.
func (c *Controller) handleLeaderRecords(now time.Time, records []platform.Record, end platform.Position) {
	var leader herald.Lead
	var plan herald.Plan
	for _, r := range records {
		var err error
		switch r.Key {
		case keyLeader:
			if err = proto.Unmarshal(r.Value, &leader); err != nil {
				leader.Reset() // of its fields, some may have been read
			}
		case keyPlan:
			if err = proto.Unmarshal(r.Value, &plan); err != nil {
				plan.Reset()
			}
			if err != nil || plan.GetTerm() >= c.planTerm {
				c.plan, c.planTerm = r.Value, max(c.planTerm, plan.GetTerm())
			}
		}
		if err != nil {
			klog.InfoS("record in the store can't be decoded", "key", r.Key, "offset", r.Offset, "error", err)
		}
	}
	storedPlan := uint64(0)
	c.planIsOfLeader = plan.GetTerm() != 0 && plan.GetTerm() == leader.GetTerm() && plan.GetTerm() == c.planTerm
	if plan.GetTerm() == leader.GetTerm() {
		storedPlan = plan.GetSequence()
	}
	c.elector.CompleteRead(now, end.Era, end.Offset, decodeLeader(&leader), storedPlan)
}

// encodePlan returns the stored form of a plan.
func encodePlan(term, sequence uint64, assignments []granter.Assignment) []byte {
	var segments []partitioner.Segment
	var incarnations []int64
	for _, a := range assignments {
		segments = append(segments, partitioner.Segment{Service: a.Service, Range: a.Range, Server: a.Server})
		incarnations = append(incarnations, a.Incarnation)
	}
	services, encoded := herald.EncodeSegments(segments)
	return marshal(&herald.Plan{
		Term: term, Sequence: sequence, Services: services, Segments: encoded, Incarnations: incarnations,
	})
}

// readPlan returns the assignments of the plan that was read last. It leaves out the incarnations unless the latest leader has stored it:
// that may be of a build that grants ranges to a new incarnation and does not record it.
func (c *Controller) readPlan() ([]granter.Assignment, error) {
	assignments, err := decodePlan(c.plan)
	if !c.planIsOfLeader {
		for i := range assignments {
			assignments[i].Incarnation = 0
		}
	}
	return assignments, err
}

// decodePlan returns the assignments of a stored plan. The error says that it can't be decoded, or that it does not name one server
// at most for each key.
func decodePlan(data []byte) ([]granter.Assignment, error) {
	var plan herald.Plan
	if err := proto.Unmarshal(data, &plan); err != nil {
		return nil, errors.Wrap(err, "decode plan")
	}
	segments := herald.DecodeSegments(plan.GetServices(), plan.GetSegments())
	if len(segments) != len(plan.GetSegments()) {
		return nil, errors.Errorf("%d of %d segments of the plan are invalid", len(plan.GetSegments())-len(segments), len(plan.GetSegments()))
	}
	incarnations := plan.GetIncarnations()
	if len(incarnations) != len(segments) {
		incarnations = make([]int64, len(segments)) // by a build that does not record them
	}
	planned := map[string]*[partitioner.MaxKey + 1]bool{}
	var assignments []granter.Assignment
	for i, s := range segments {
		if planned[s.Service] == nil {
			planned[s.Service] = new([partitioner.MaxKey + 1]bool)
		}
		for key := int(s.Range.First); key <= int(s.Range.Last); key++ {
			if planned[s.Service][key] {
				return nil, errors.Errorf("the plan has key %d of %q twice", key, s.Service)
			}
			planned[s.Service][key] = true
		}
		assignments = append(assignments, granter.Assignment{
			Service: s.Service, Range: s.Range, Server: s.Server, Incarnation: incarnations[i],
		})
	}
	return assignments, nil
}
