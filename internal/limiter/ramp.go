package limiter

import "time"

const (
	shedFactor   = 0.7                    // what one shed answer leaves of the slots
	shedInterval = 100 * time.Millisecond // sheds within it count as one
	minSlots     = 1.0
)

// ramp says how many slots of a server are usable: all of them, fewer during a cold start and after it shed load.
type ramp struct {
	slots     int
	coldStart time.Duration
	started   time.Time
	allowed   float64 // 0 stands for all slots
	lastShed  time.Time
}

// usable returns the slots that may run at once at now, at least 1.
func (r *ramp) usable(now time.Time) int {
	limit := float64(r.slots)
	if r.allowed > 0 {
		limit = min(limit, r.allowed)
	}
	if since := now.Sub(r.started); r.coldStart > 0 && since < r.coldStart {
		share := float64(since) / float64(r.coldStart)
		limit = min(limit, minSlots+share*float64(r.slots-1))
	}
	return int(max(limit, minSlots))
}

// shed lowers the usable slots by a factor, once per shedInterval.
func (r *ramp) shed(now time.Time) {
	if !r.lastShed.IsZero() && now.Sub(r.lastShed) < shedInterval {
		return
	}
	if r.allowed == 0 {
		r.allowed = float64(r.slots)
	}
	r.lastShed = now
	r.allowed = max(minSlots, r.allowed*shedFactor)
}

// served raises the usable slots by one for each round of served requests.
func (r *ramp) served() {
	if r.allowed == 0 {
		return
	}
	r.allowed += 1 / r.allowed
	if r.allowed >= float64(r.slots) {
		r.allowed = 0
	}
}
