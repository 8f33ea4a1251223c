package quarantiner

import "time"

// contactTimeout is how long an instance leaves it to the leader to pass on what it knows. Instances in contact report at least
// each second.
const contactTimeout = 2 * time.Second

// SpreadFanOut is the number of other instances to which an instance without a leader passes on what it has learned. Each that
// learns something new does the same, so that nearly all do.
const SpreadFanOut = 3

// ShouldSpread reports whether an instance passes on what it learns to others itself, given the time since it was last in contact
// with a leader.
func ShouldSpread(silence time.Duration) bool { return silence > contactTimeout }
