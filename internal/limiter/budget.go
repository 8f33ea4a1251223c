package limiter

import (
	"math/rand/v2"
	"time"
)

const (
	budgetReserve = 10.0  // retries that a class without recent requests may spend
	budgetCap     = 100.0 // retries that can be saved up
)

// Budget bounds retries to a share of the requests. The zero Budget allows none until it is given a share.
// It is not safe for concurrent use.
type Budget struct {
	tokens  float64
	started bool
}

// Request counts a first try; share is how many retries each request adds.
func (b *Budget) Request(share float64) {
	if !b.started {
		b.started = true
		b.tokens = min(budgetReserve, budgetCap*share)
	}
	b.tokens = min(budgetCap, b.tokens+share)
}

// Retry spends one retry and reports whether there was one.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is the pause before a retry: exponential with full jitter, between 0 and Max.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Pause returns the pause before retry number attempt, from 1 upwards.
func (b Backoff) Pause(attempt int, source *rand.Rand) time.Duration {
	ceiling := b.Max
	if shift := attempt - 1; shift < 16 {
		ceiling = min(b.Max, b.Base<<shift)
	}
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(source.Int64N(int64(ceiling) + 1))
}
