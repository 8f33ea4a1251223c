package throttler

import "time"

// suspensionThreshold is the gap between two steps after which an instance counts as having been suspended.
const suspensionThreshold = 600 * time.Millisecond

// Contact tells whether an instance may rely on being the dispatcher of its server pools: it is in contact with a leader, and was
// so after its start and its latest suspension. Other instances may have sent requests in its place before. The zero Contact is
// that of an instance that has just started.
type Contact struct {
	lastStep     time.Time
	distrustedAt time.Time // when it started or was resumed
	certain      bool
}

// Certain reports whether the instance may rely on being a dispatcher.
func (c *Contact) Certain() bool { return c.certain }

// Resume must be called before a request is sent. It reports whether the instance was suspended since the last Step, or has not
// made one; only the first call after that returns true.
func (c *Contact) Resume(now time.Time) bool {
	if now.Sub(c.lastStep) <= suspensionThreshold || c.distrustedAt.After(c.lastStep) {
		return false
	}
	c.distrustedAt, c.certain = now, false
	return true
}

// Step records that the instance runs, and the time since it was last in contact with a leader. It must be called often, and
// reports whether Certain changes.
func (c *Contact) Step(now time.Time, silence time.Duration) bool {
	resumed := c.Resume(now)
	c.lastStep = now
	before := c.certain
	c.certain = silence <= contactTimeout && now.Add(-silence).After(c.distrustedAt)
	return resumed || c.certain != before
}
