// Package limiter keeps an instance's part of the retry budget that all instances share.
package limiter

import (
	"sync"
	"time"
)

const (
	// shareUsed is the part of the allowed share of repeats that is spent; the rest is for what can't be planned, such as
	// requests that arrive at a server that has just given up their key.
	shareUsed = 0.6
	// extraUsed is the part of the fixed extra that is spent by all instances together.
	extraUsed = 0.5
)

// Settings are the limits on retries of one service over all instances.
type Settings struct {
	Ratio  float64       // retries for each request
	Extra  float64       // retries in a window besides
	Window time.Duration // over which retries are counted
}

// RetryBudget counts requests and retries by service. Use New; it is safe for concurrent use.
type RetryBudget struct {
	settings Settings
	mu       sync.Mutex
	services map[string]*account
}

// account has tokens for repeats; at most as many as may be spent at once.
type account struct {
	tokens float64
	at     time.Time
}

// New returns a RetryBudget.
func New(s Settings) *RetryBudget { return &RetryBudget{settings: s, services: map[string]*account{}} }

// CountRequest counts a client's request for a service. members is how many instances share the budget.
func (b *RetryBudget) CountRequest(now time.Time, service string, members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service, members)
	a.tokens = min(a.tokens+shareUsed*b.settings.Ratio, b.most(members))
}

// AllowRetry reports whether a retry may be sent, and takes it from the budget.
func (b *RetryBudget) AllowRetry(now time.Time, service string, members int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(now, service, members)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// CountRetry takes a retry that has already happened from the budget, whether the budget had room for it or not.
func (b *RetryBudget) CountRetry(now time.Time, service string, members int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.account(now, service, members).tokens--
}

// most returns how many repeats may be saved up: this instance's part of the extra, at least one.
func (b *RetryBudget) most(members int) float64 {
	return max(1, extraUsed*b.settings.Extra/float64(max(1, members)))
}

// account returns the account of a service, refilled at the pace at which the extra comes back.
func (b *RetryBudget) account(now time.Time, service string, members int) *account {
	a := b.services[service]
	if a == nil {
		a = &account{tokens: b.most(members), at: now}
		b.services[service] = a
	}
	if passed := now.Sub(a.at); passed > 0 && b.settings.Window > 0 {
		// Twice the span: what is saved up and what comes back within one span together stay under the extra.
		a.tokens = min(a.tokens+b.most(members)*passed.Seconds()/(2*b.settings.Window.Seconds()), b.most(members))
		a.at = now
	}
	return a
}
