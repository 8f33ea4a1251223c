// Package limiter enforces an instance's part of the retry budget that all instances share.
package limiter

import (
	"sync"
	"time"
)

const (
	// ratioUsed is the fraction of the allowed retries per request that is spent. The rest is kept for retries that can't be
	// planned and are not counted, such as those of requests that arrive at a server that has just released their key: one request
	// in 25 at a budget of one retry for each five requests.
	ratioUsed = 0.8
	// extraUsed is the fraction of the extra retries that all instances together spend.
	extraUsed = 0.5
)

// Settings are the limits on the retries of one service over all instances.
type Settings struct {
	Ratio  float64       // retries per client's request; counted by the instance that the client chose
	Extra  float64       // additional retries per window, of all instances together
	Window time.Duration // over which retries are counted
}

// RetryBudget counts requests and retries by service. Use New; it is safe for concurrent use.
type RetryBudget struct {
	settings Settings
	mu       sync.Mutex
	buckets  map[string]*tokenBucket
}

// tokenBucket holds the tokens of a service. Each token allows one retry; the maximum number of tokens bounds bursts of
// retries.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// New returns a RetryBudget.
func New(s Settings) *RetryBudget {
	return &RetryBudget{settings: s, buckets: map[string]*tokenBucket{}}
}

// CountRequest adds the retries that a client's request for a service allows. instances is how many instances share the
// budget, this one included.
func (b *RetryBudget) CountRequest(now time.Time, service string, instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refilledBucket(now, service, instances)
	bucket.tokens = min(bucket.tokens+ratioUsed*b.settings.Ratio, b.maxTokens(instances))
}

// AllowRetry reports whether a retry may be sent, and takes it from the budget.
func (b *RetryBudget) AllowRetry(now time.Time, service string, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.refilledBucket(now, service, instances)
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// maxTokens returns how many tokens a bucket holds at most: this instance's part of the extra retries, at least one.
func (b *RetryBudget) maxTokens(instances int) float64 {
	return max(1, extraUsed*b.settings.Extra/float64(max(1, instances)))
}

// refilledBucket returns the bucket of a service, refilled with the extra retries that have become available since it was
// last refilled.
func (b *RetryBudget) refilledBucket(now time.Time, service string, instances int) *tokenBucket {
	bucket := b.buckets[service]
	if bucket == nil {
		bucket = &tokenBucket{tokens: b.maxTokens(instances), refilledAt: now}
		b.buckets[service] = bucket
	}
	if elapsed := now.Sub(bucket.refilledAt); elapsed > 0 && b.settings.Window > 0 {
		// A bucket is refilled over two windows, so that a full one and its refill in one window together stay under the extra.
		bucket.tokens = min(
			bucket.tokens+b.maxTokens(instances)*elapsed.Seconds()/(2*b.settings.Window.Seconds()), b.maxTokens(instances),
		)
		bucket.refilledAt = now
	}
	return bucket
}
