package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRangeLeasesStayWithinPlatformLimit guards against range leases that are longer than the platform allows, and against
// renewals that come too late for shorter ones.
func TestRangeLeasesStayWithinPlatformLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(limitedGrantSettings(10*time.Second), GrantSettings)
	is.Equal(limitedGrantSettings(0), GrantSettings)
	short := limitedGrantSettings(GrantSettings.LeaseDuration / 2)
	is.Equal(short.LeaseDuration, GrantSettings.LeaseDuration/2)
	is.Equal(short.RenewInterval, GrantSettings.RenewInterval/2)
}
