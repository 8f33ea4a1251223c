package bundler

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// The bounds of timings.
const (
	minTiming        = time.Millisecond
	maxTiming        = time.Minute
	maxPauseBound    = 10 * time.Minute
	maxOutageLimit   = 24 * time.Hour
	minSnapshotEvery = time.Second
	maxSnapshotEvery = 24 * time.Hour
	maxClockDrift    = 0.1
)

// minHeartbeatsPerDetection is how many heartbeats must be missed before an instance or a server counts as lost.
const minHeartbeatsPerDetection = 3

func readTimings(bundle parser.Mapping) Timings {
	t := DefaultTimings()
	m := bundle.Optional("timings").Mapping("routing_lease", "pledge", "grant_ttl", "heartbeat", "detection",
		"pause_bound", "outage_limit", "snapshot_every", "drain_notice", "move_target", "clock_drift")
	read := func(key string, field *time.Duration, least, most time.Duration) {
		if value := m.Optional(key); value.Present() {
			*field = value.Duration(least, most)
		}
	}
	read("routing_lease", &t.RoutingLease, minTiming, maxTiming)
	read("pledge", &t.Pledge, minTiming, maxTiming)
	read("grant_ttl", &t.GrantTTL, minTiming, maxTiming)
	read("heartbeat", &t.Heartbeat, minTiming, maxTiming)
	read("detection", &t.Detection, minTiming, maxTiming)
	read("pause_bound", &t.PauseBound, 0, maxPauseBound)
	read("outage_limit", &t.OutageLimit, 0, maxOutageLimit)
	read("snapshot_every", &t.SnapshotEvery, minSnapshotEvery, maxSnapshotEvery)
	read("drain_notice", &t.DrainNotice, 0, maxTiming)
	read("move_target", &t.MoveTarget, minTiming, maxTiming)
	if drift := m.Optional("clock_drift"); drift.Present() {
		t.ClockDrift = drift.Float(0, maxClockDrift)
	}
	if m.Present() {
		t.check(m)
	}
	return t
}

// check reports each rule of the chain of authority that the times break, with the sum.
func (t Timings) check(m parser.Mapping) {
	rule := func(holds bool, code reporter.Code, message, expected string) {
		if !holds {
			m.Report(code, message, expected)
		}
	}
	rule(t.Heartbeat*minHeartbeatsPerDetection <= t.Detection, "detection_too_short",
		fmt.Sprintf("%d * heartbeat %v = %v > detection %v", minHeartbeatsPerDetection, t.Heartbeat,
			t.Heartbeat*minHeartbeatsPerDetection, t.Detection),
		"detection of at least 3 heartbeats")
	rule(t.GrantTTL < t.RoutingLease, "grant_too_long",
		fmt.Sprintf("grant_ttl %v >= routing_lease %v", t.GrantTTL, t.RoutingLease),
		"a grant_ttl shorter than routing_lease")
	rule(t.Pledge <= t.RoutingLease, "pledge_too_long",
		fmt.Sprintf("pledge %v > routing_lease %v", t.Pledge, t.RoutingLease),
		"a pledge of at most routing_lease")
	rule(t.MoveTime() < t.MoveTarget, "move_too_slow",
		fmt.Sprintf("detection %v + grant_ttl %v * (1 + clock_drift %g) + %d * heartbeat %v = %v >= move_target %v",
			t.Detection, t.GrantTTL, t.ClockDrift, heartbeatsPerMove, t.Heartbeat, t.MoveTime(), t.MoveTarget),
		"a sum below move_target")
}
