package bundler

import "time"

// Timings are the times of the chain of authority and of the processes around it. The zero Timings is not usable:
// start from DefaultTimings.
type Timings struct {
	// RoutingLease is how long an instance may act after it has read the log up to its tail.
	RoutingLease time.Duration
	// Pledge is how long another instance's promise to complete no handover stands.
	Pledge time.Duration
	// GrantTTL is how long a backend server may act on a grant.
	GrantTTL time.Duration
	// Heartbeat is the time between two heartbeats of an instance to a peer or a backend server.
	Heartbeat time.Duration
	// Detection is the silence after which an instance or a server counts as lost.
	Detection time.Duration
	// PauseBound is the worst pause of an instance, or of a server that does not check its fencing token.
	PauseBound time.Duration
	// OutageLimit is the longest time that instances go on with pledges while the log is down.
	OutageLimit time.Duration
	// SnapshotEvery is the time between two snapshots of the folded state in the log.
	SnapshotEvery time.Duration
	// DrainNotice is the time after which a leaving server receives no new work.
	DrainNotice time.Duration
	// MoveTarget is the longest time from the loss of a server to its keys being served again.
	MoveTarget time.Duration
	// ClockDrift is the largest share by which two monotonic clocks may differ in speed, such as 0.01.
	ClockDrift float64
}

// DefaultTimings returns the times that a bundle has where it names none.
func DefaultTimings() Timings {
	return Timings{
		RoutingLease:  time.Second,
		Pledge:        time.Second,
		GrantTTL:      800 * time.Millisecond,
		Heartbeat:     100 * time.Millisecond,
		Detection:     500 * time.Millisecond,
		PauseBound:    5 * time.Second,
		OutageLimit:   15 * time.Minute,
		SnapshotEvery: 10 * time.Minute,
		DrainNotice:   3 * time.Second,
		MoveTarget:    2 * time.Second,
		ClockDrift:    0.01,
	}
}

// heartbeatsPerMove is how many heartbeat times a move spends on append, read-back and grant.
const heartbeatsPerMove = 4

// MoveTime returns the longest time from the loss of a checking server to its keys being granted to another.
func (t Timings) MoveTime() time.Duration {
	grant := time.Duration(float64(t.GrantTTL) * (1 + t.ClockDrift))
	return t.Detection + grant + heartbeatsPerMove*t.Heartbeat
}
