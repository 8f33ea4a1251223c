package tracer

import (
	"cmp"
	"fmt"
	"time"
)

// maxClockAhead bounds how far a reading of another process may be ahead of this process's wall time to be followed.
const maxClockAhead = time.Minute

// HybridTime is a reading of a hybrid logical clock. Readings of one process are distinct and grow; a reading that was
// taken after another process's reading was observed is greater than that one.
type HybridTime struct {
	// WallMS is wall time in milliseconds since the Unix epoch, of the fastest clock that was observed.
	WallMS int64 `json:"wall_ms"`
	// Count tells readings of the same millisecond apart.
	Count uint32 `json:"count"`
}

// Compare returns -1, 0 or 1 where h is before, equal to or after other.
func (h HybridTime) Compare(other HybridTime) int {
	return cmp.Or(cmp.Compare(h.WallMS, other.WallMS), cmp.Compare(h.Count, other.Count))
}

// String returns the reading as milliseconds and count.
func (h HybridTime) String() string {
	return fmt.Sprintf("%d.%d", h.WallMS, h.Count)
}

// hybridClock is a hybrid logical clock. The zero hybridClock has read nothing yet.
type hybridClock struct {
	last HybridTime
}

// read returns a reading that is greater than every earlier one.
func (c *hybridClock) read(now time.Time) HybridTime {
	if wall := now.UnixMilli(); wall > c.last.WallMS {
		c.last = HybridTime{WallMS: wall}
	} else {
		c.last.Count++
	}
	return c.last
}

// observe makes later readings greater than remote. A remote reading that is more than maxClockAhead ahead of now is
// ignored, so that one wrong clock doesn't carry all others away.
func (c *hybridClock) observe(now time.Time, remote HybridTime) {
	if remote.WallMS > now.Add(maxClockAhead).UnixMilli() {
		return
	}
	if remote.Compare(c.last) > 0 {
		c.last = remote
	}
}
