package controller

import (
	"context"
	"slices"
	"time"
)

// drainPollInterval is the time between two checks whether ranges are moving during Drain.
const drainPollInterval = 50 * time.Millisecond

// Drain waits until this instance, if it leads, moves no range, or until ctx ends. AnnounceLeaving must have been called, so that it
// begins no more moves but those that draining servers need. A range whose release the leader doesn't see answered is not served until
// its lease has expired, if its owner can't keep it.
func (c *Controller) Drain(ctx context.Context) {
	for {
		moving, err := runInLoop(ctx, c, func(time.Time) bool { return c.leaderState != nil && c.rangesMove() })
		if err != nil || !moving {
			return
		}
		sleep(ctx, drainPollInterval)
	}
}

// rangesMove reports whether a range of a configured service is not granted.
func (c *Controller) rangesMove() bool {
	return slices.ContainsFunc(c.table.KeyedServices(), func(service string) bool {
		return c.leaderState.granter.UngrantedRanges(service) > 0
	})
}
