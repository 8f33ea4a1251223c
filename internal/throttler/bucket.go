package throttler

import "time"

const (
	// probeRate is the least rate, in requests a second, at which requests are sent to a server: only its answers can withdraw a
	// limit, also one of 0.
	probeRate = 0.2
	// burstWindow is the time for which unused tokens are kept. Longer than the pause between two checks of a queue, so that all
	// of a high limit can be used.
	burstWindow = 250 * time.Millisecond
)

// Bucket is a token bucket: each token allows one request to a server that names a limit. The zero Bucket has no limit. It is
// not safe for concurrent use.
type Bucket struct {
	limited    bool
	rate       float64 // tokens a second
	tokens     float64
	refilledAt time.Time
	window     time.Duration // for which unused tokens are kept; 0 means burstWindow
}

// NewBucket returns a Bucket without a limit that keeps unused tokens for window.
func NewBucket(window time.Duration) Bucket { return Bucket{window: window} }

// SetRate sets a limit in requests a second. A bucket that had none starts without tokens, since other instances may just have
// sent requests.
func (b *Bucket) SetRate(now time.Time, rate float64) {
	b.refill(now)
	if !b.limited {
		b.limited, b.tokens, b.refilledAt = true, 0, now
	}
	b.rate = max(rate, probeRate)
	b.tokens = min(b.tokens, b.burst())
}

// Unlimit ends the limit.
func (b *Bucket) Unlimit() { *b = Bucket{window: b.window} }

// Rate returns the rate that is kept, in requests a second, and false if there is no limit.
func (b *Bucket) Rate() (float64, bool) { return b.rate, b.limited }

// Allows reports whether a request may be sent at now.
func (b *Bucket) Allows(now time.Time) bool { return b.Delay(now) == 0 }

// Delay returns how long after now the next request may be sent.
func (b *Bucket) Delay(now time.Time) time.Duration {
	if !b.limited {
		return 0
	}
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	// One nanosecond more than the quotient, which is rounded down.
	return time.Duration((1-b.tokens)/b.rate*float64(time.Second)) + 1
}

// Take takes the token of a request.
func (b *Bucket) Take(now time.Time) {
	if !b.limited {
		return
	}
	b.refill(now)
	b.tokens--
}

// burst returns how many tokens the bucket holds at most.
func (b *Bucket) burst() float64 {
	window := burstWindow
	if b.window > 0 {
		window = b.window
	}
	return 1 + b.rate*window.Seconds()
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); b.limited && elapsed > 0 {
		b.tokens = min(b.tokens+b.rate*elapsed.Seconds(), b.burst())
		b.refilledAt = now
	}
}
