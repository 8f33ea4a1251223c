package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/platform"
)

// TestStoreThatIsBackIsFoundInTime: a configuration has to be in force 2 s after the platform is in touch again, so one
// round of looking for it, the longest that may just have begun, has to be shorter.
func TestStoreThatIsBackIsFoundInTime(t *testing.T) {
	is := is.New(t)
	const bound = 2 * time.Second
	is.True(platform.PollTimeout+heartbeatTimeout+readRetryMax+gather < bound)
	// The instance that reads for others stops.
	is.True(relayWait+relayTimeout+platform.PollTimeout+gather < bound)
	// It answers that it does not reach the store, the last time just before the store is back.
	is.True(2*readRetryMax+platform.PollTimeout+gather < bound)
	// Nobody in its domain reaches the store, but others do.
	is.True(elsewherePause+readRetryMax+heartbeatTimeout+gather < bound)
	// It hangs while an instance in doubt asks it to look at the store.
	is.True(doubtWait+relayTimeout+2*platform.PollTimeout+gather < bound)
	// It is cut off from the store: the leader's next answer shows that there is more, then the store itself is read.
	is.True(gather+heartbeatMax+relayWait < bound)
	// The leader is cut off as well: it notices when its next renewal is late, and its next answer breaks off the waits.
	is.True(ElectionSettings.RenewInterval+storeSlow+heartbeat+tick+platform.PollTimeout < bound)
	// With many instances reports are rarer, and half a second more is allowed.
	is.True(ElectionSettings.RenewInterval+storeSlow+heartbeatMax+tick < bound+bound/4)
}

func TestGrantsLastNoLongerThanAllowed(t *testing.T) {
	is := is.New(t)
	is.Equal(grantsWithin(10*time.Second), GrantSettings)
	is.Equal(grantsWithin(0), GrantSettings)
	short := grantsWithin(GrantSettings.LeaseDuration / 2)
	is.Equal(short.LeaseDuration, GrantSettings.LeaseDuration/2)
	is.Equal(short.RenewInterval, GrantSettings.RenewInterval/2)
}
