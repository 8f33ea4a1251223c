package quarantiner

import "time"

const (
	// catchupTimeout bounds the time for which an instance that hears of no leader holds back suspects: then other instances may
	// be out of reach for long. It covers the election of a new leader (2.5 s) and leaderCatchup; with 2 s, instances that started
	// while the leader was suspended for 3 s sent the request to two servers each.
	catchupTimeout = 4 * time.Second
	// suspensionThreshold is the gap between two steps after which an instance counts as having been suspended.
	suspensionThreshold = 600 * time.Millisecond
	// leaderCatchup is how long after its election a new leader may lack crashes that other instances have noticed. These report
	// all that they know when they hear of it, and at least each second.
	leaderCatchup = time.Second
)

// Catchup tells whether crashes that other instances have noticed may be unknown to this one, because it has just started or was
// suspended. It must hold back suspects then: an instance that counts from zero sends a request that crashes servers to three
// more of them. The zero Catchup has ended.
type Catchup struct {
	since    time.Time // of the start, or of the end of the latest suspension
	lastStep time.Time
	active   bool
}

// Begin records that the instance starts.
func (c *Catchup) Begin(now time.Time) { c.since, c.active = now, true }

// Active reports whether crashes may be unknown. It must be called before a suspect is sent: it notices a suspension since the
// last Step.
func (c *Catchup) Active(now time.Time) bool {
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > suspensionThreshold && !c.since.After(c.lastStep) {
		c.Begin(now)
	}
	return c.active && now.Sub(c.since) < catchupTimeout
}

// Step records that the instance runs. silence is the time since a leader last told it what it lacks, and leading the time since
// it became the leader itself, or 0 if it is not. Step must be called often.
func (c *Catchup) Step(now time.Time, silence, leading time.Duration) {
	active := c.Active(now)
	c.lastStep = now
	if leading > 0 {
		c.active = active && min(leading, now.Sub(c.since)) < leaderCatchup
	} else {
		c.active = active && !now.Add(-silence).After(c.since)
	}
}
