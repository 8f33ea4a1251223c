package controller

import (
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/platform"
)

// TestReadTimeoutsStayWithinBound guards against timeouts that add up to more than the 2 s within which a configuration has
// to be applied once the platform is reachable again (MaxConfigDelay). Each case adds up the longest
// waits of one situation.
func TestReadTimeoutsStayWithinBound(t *testing.T) {
	is := is.New(t)
	const bound = MaxConfigDelay
	// A poll of the store and a read through another instance have just begun, and both fail.
	is.True(platform.PollTimeout+peerCallTimeout+maxReadRetryDelay+batchDelay < bound)
	// The relay stops.
	is.True(relayWait+relayMargin+platform.PollTimeout+batchDelay < bound)
	// The relay answers that it can't reach the store, the last time just before the store recovers.
	is.True(2*maxReadRetryDelay+platform.PollTimeout+batchDelay < bound)
	// No instance of the domain reaches the store, but others do.
	is.True(fallbackInterval+maxReadRetryDelay+peerCallTimeout+batchDelay < bound)
	// The relay's call to the store hangs while another instance makes it refresh its cache.
	is.True(refreshWait+relayMargin+2*platform.PollTimeout+batchDelay < bound)
	// A read that lacks records waits until the relay has read again.
	is.True(refreshWait > batchDelay)
	// The relay can't reach the store: the leader's next answer shows that there is more, then the store itself is read.
	is.True(batchDelay+maxReportInterval+relayWait < bound)
	// The leader can't reach it either: it notices when its next renewal is late, and its next answer interrupts the waiting
	// reads.
	is.True(ElectionSettings.RenewInterval+slowCallTime+minReportInterval+tickInterval+platform.PollTimeout < bound)
	// With more than 16 instances reports are less frequent, down to one each maxReportInterval. This test accepts half a
	// second more for this situation.
	is.True(ElectionSettings.RenewInterval+slowCallTime+maxReportInterval+tickInterval < bound+bound/4)
}
