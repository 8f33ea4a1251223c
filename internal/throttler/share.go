package throttler

import "time"

const (
	// contactTimeout is how long an instance keeps a limit alone without contact to a leader. Instances in contact report at least
	// each second.
	contactTimeout = 2 * time.Second
	// sharedRate is the part of a limit that an instance keeps after that.
	sharedRate = 0.5
)

// Share returns the part of a server's limit that its dispatcher may use, given the time since it was last in contact with a
// leader. Without contact the instances' lists of members may differ, and with them the dispatchers of a server; two of them
// must stay within its limit.
func Share(silence time.Duration) float64 {
	if silence > contactTimeout {
		return sharedRate
	}
	return 1
}
