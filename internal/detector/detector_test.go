package detector

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// drive sends keys for a while, a hundred a second, and evaluates after each ten.
func drive(d *Detector, from time.Time, lasting time.Duration, key func(n int) string) time.Time {
	now := from
	for n := 0; now.Before(from.Add(lasting)); n++ {
		d.Observe("desk", key(n), 0.02, now)
		now = now.Add(10 * time.Millisecond)
		if n%10 == 0 {
			d.Hot(now)
		}
	}
	return now
}

func TestHotKeyIsFoundAndForgotten(t *testing.T) {
	is := is.New(t)
	d := New(Options{})
	d.SetCapacity("desk", 3)
	cold := func(n int) string { return fmt.Sprint("key-", n) }
	half := func(n int) string {
		if n%2 == 0 {
			return "hot"
		}
		return cold(n)
	}
	now := drive(d, start, 20*time.Second, cold)
	is.Equal(len(d.Hot(now)), 0)

	now = drive(d, now, 10*time.Second, half)
	hot := d.Hot(now)
	is.Equal(len(hot), 1)
	is.Equal(hot[0].Key, "hot")
	is.True(hot[0].Rate > 0.8 && hot[0].Rate < 1.05) // 50 a second of 20 ms

	now = drive(d, now, 10*time.Second, cold)
	is.Equal(len(d.Hot(now)), 1) // not yet cool for long enough
	now = drive(d, now, 30*time.Second, cold)
	is.Equal(len(d.Hot(now)), 0)
}

func TestShortPeakIsNotHot(t *testing.T) {
	is := is.New(t)
	var d Detector
	now := drive(&d, start, 500*time.Millisecond, func(int) string { return "peak" })
	is.Equal(len(d.Hot(now)), 0)
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	var d Detector
	for n := range 100_000 {
		d.Observe(identifier.ServiceName(fmt.Sprint("service-", n%100)), fmt.Sprint("key-", n), 1, start)
	}
	is.True(len(d.sketches) <= maxServices)
	for _, s := range d.sketches {
		is.True(len(s.counters) <= DefaultTracked)
		is.True(len(s.index) <= DefaultTracked)
	}
}

// The certain weight of a counter never passes the true one, and no key heavier than the rest's share is missed.
func TestSketchBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(2, 16).Draw(t, "limit")
		s := newSketch(limit, time.Second)
		truth := map[string]float64{}
		total := 0.0
		for _, k := range rapid.SliceOfN(rapid.IntRange(0, 40), 1, 300).Draw(t, "keys") {
			s.add(fmt.Sprint(k), 1, start)
			truth[fmt.Sprint(k)]++
			total++
		}
		for _, c := range s.counters {
			if c.weight-c.excess > truth[c.key] || c.weight < truth[c.key] {
				t.Fatalf("%s: weight %v, excess %v, truth %v", c.key, c.weight, c.excess, truth[c.key])
			}
		}
		for key, w := range truth {
			if _, ok := s.index[key]; !ok && w > total/float64(limit) {
				t.Fatalf("%s with %v of %v is missing", key, w, total)
			}
		}
	})
}

func TestSamplingKeepsTheRate(t *testing.T) {
	is := is.New(t)
	d := New(Options{Samples: 100})
	now := start
	var hot []HotKey
	for range 200_000 {
		now = now.Add(100 * time.Microsecond)
		d.Observe("desk", "hot", 0.0001, now)
	}
	for range 20 {
		hot = d.Hot(now)
		now = now.Add(100 * time.Millisecond)
	}
	is.True(d.every.Load() > 50)
	is.Equal(len(hot), 1)
	is.True(hot[0].Rate > 0.4 && hot[0].Rate < 1.4)
}

func BenchmarkObserve(b *testing.B) {
	tests := map[string]struct{ perSecond int }{
		"1000 a second":   {perSecond: 1000},
		"100000 a second": {perSecond: 100_000},
	}
	for name, tt := range tests {
		b.Run(name, func(b *testing.B) {
			d := New(Options{})
			r := rand.New(rand.NewPCG(1, 1))
			zipf := rand.NewZipf(r, 1.1, 1, 100_000)
			keys := make([]string, 1<<14)
			for i := range keys {
				keys[i] = fmt.Sprint("key-", zipf.Uint64())
			}
			step := time.Second / time.Duration(tt.perSecond)
			now := start
			for i := range 2 * tt.perSecond {
				now = now.Add(step)
				d.Observe("desk", keys[i%len(keys)], 0.02, now)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(step)
				d.Observe("desk", keys[i%len(keys)], 0.02, now)
			}
		})
	}
}
