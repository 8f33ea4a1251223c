package limiter

import (
	"math/rand"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestInstancesTogetherStayWithinBudget guards against instances which together exceed the retry budget of a service in some
// window, although each stays within its own part. They have random loads and send every retry that they are allowed.
func TestInstancesTogetherStayWithinBudget(t *testing.T) {
	settings := Settings{Ratio: 0.2, Extra: 56, Window: 10 * time.Second}
	for seed := range int64(20) {
		is := is.New(t)
		random := rand.New(rand.NewSource(seed))
		instances := 1 + random.Intn(12)
		var all []*RetryBudget
		for range instances {
			all = append(all, New(settings))
		}
		var requests, retries []time.Duration
		for at := time.Duration(0); at < 60*time.Second; at += 10 * time.Millisecond {
			now := time.Unix(1000, 0).Add(at)
			b := all[random.Intn(instances)]
			if random.Float64() < 0.5 {
				b.CountRequest(now, "s", instances)
				requests = append(requests, at)
			}
			for _, b := range all {
				if b.AllowRetry(now, "s", instances) {
					retries = append(retries, at)
				}
			}
		}
		for _, start := range retries {
			countInWindow := func(list []time.Duration) float64 {
				count := 0.0
				for _, at := range list {
					if at >= start && at < start+settings.Window {
						count++
					}
				}
				return count
			}
			if start+settings.Window <= 60*time.Second {
				is.True(countInWindow(retries) <= settings.Ratio*countInWindow(requests)+settings.Extra)
			}
		}
	}
}

// TestMostOfTheBudgetIsSpent guards against rejected requests that are not tried again although the budget allows it, while most
// requests of a service are rejected for several seconds.
func TestMostOfTheBudgetIsSpent(t *testing.T) {
	is := is.New(t)
	settings := Settings{Ratio: 0.2, Extra: 10, Window: 10 * time.Second}
	b := New(settings)
	const requests = 5000
	retries := 0
	for n := range requests {
		now := time.Unix(1000, 0).Add(time.Duration(n) * 2 * time.Millisecond)
		b.CountRequest(now, "s", 1)
		if b.AllowRetry(now, "s", 1) {
			retries++
		}
	}
	is.True(retries >= requests*3/20) // three quarters of the budget
	is.True(float64(retries) <= settings.Ratio*requests+settings.Extra)
}

// TestServicesHaveSeparateBudgets guards against a failing service that uses up the retries of others.
func TestServicesHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	b := New(Settings{Ratio: 0.2, Extra: 2, Window: 10 * time.Second})
	now := time.Unix(1000, 0)
	is.True(b.AllowRetry(now, "a", 1))
	is.True(!b.AllowRetry(now, "a", 1))
	is.True(b.AllowRetry(now, "b", 1))
}
