package throttler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBucketKeepsRate guards against more requests within any time than the limit allows, and against fewer than it allows.
func TestBucketKeepsRate(t *testing.T) {
	for name, rate := range map[string]float64{"a fraction": 0.4, "few": 2.7, "many": 80} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const duration = 20 * time.Second
			var b Bucket
			b.SetRate(start, rate)
			sent := 0
			for now := start; now.Before(start.Add(duration)); now = now.Add(50 * time.Millisecond) {
				for b.Allows(now) {
					b.Take(now)
					sent++
				}
			}
			is.True(float64(sent) <= rate*duration.Seconds())
			is.True(float64(sent) >= rate*duration.Seconds()-max(2, 0.05*rate))
		})
	}
}

// TestBucketDelay guards against requests that wait although they may be sent, or that are told a time at which they may not.
func TestBucketDelay(t *testing.T) {
	is := is.New(t)
	var b Bucket
	is.Equal(b.Delay(start), time.Duration(0))
	b.SetRate(start, 3)
	delay := b.Delay(start)
	is.True(!b.Allows(start.Add(delay - time.Millisecond)))
	is.True(b.Allows(start.Add(delay)))
	b.SetRate(start, 0) // asked again from time to time, because only an answer can withdraw the limit
	is.True(b.Delay(start) <= 5*time.Second+1)
	b.Unlimit()
	is.True(b.Allows(start))
}

// TestLowerLimitHoldsAtOnce guards against unused tokens of a higher limit that are spent after it was lowered.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	var b Bucket
	b.SetRate(start, 100)
	now := start.Add(10 * time.Second)
	b.SetRate(now, 1)
	b.Take(now)
	is.True(!b.Allows(now))
}

// TestTwoDispatchersWithoutLeaderStayWithinLimit guards against a server that gets twice its limit for as long as no leader makes
// two instances agree on its dispatcher.
func TestTwoDispatchersWithoutLeaderStayWithinLimit(t *testing.T) {
	for name, rate := range map[string]float64{"few": 2.7, "many": 80} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const window = 4 * time.Second
			var sent []time.Time
			buckets := make([]Bucket, 2)
			for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
				for i := range buckets {
					buckets[i].SetRate(now, Share(now.Sub(start))*rate)
					for buckets[i].Allows(now) {
						buckets[i].Take(now)
						sent = append(sent, now)
					}
				}
			}
			first := 0
			for i, now := range sent {
				for now.Sub(sent[first]) >= window {
					first++
				}
				is.True(float64(i-first+1) <= 1.5*rate*window.Seconds()+5)
			}
		})
	}
}
