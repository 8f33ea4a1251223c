// Package faker holds the project's stand-ins for the platform's log and instance list and for backend servers, each as
// an http.Handler whose faults are switched at run time through POST /admin/faults.
package faker

import (
	"context"
	"time"
)

// Clock gives a stand-in its time. The zero Clock is the machine's.
type Clock struct {
	// Now returns the present time; nil is time.Now.
	Now func() time.Time
	// Sleep waits until d has passed or ctx has ended; nil waits on the machine's clock.
	Sleep func(ctx context.Context, d time.Duration)
}

func (c Clock) now() time.Time {
	if c.Now != nil {
		return c.Now()
	}
	return time.Now()
}

func (c Clock) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	if c.Sleep != nil {
		c.Sleep(ctx, d)
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// milliseconds returns ms, as wire formats carry it, as a duration.
func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
