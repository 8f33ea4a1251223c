package allocator

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 12, 6, 12, 0, 0, 0, time.UTC)

// TestDecisions guards against a body that fits and is refused, one that takes what is kept for small bodies and answers, and one that
// waits although it can never fit.
func TestDecisions(t *testing.T) {
	const limit = 80 << 20
	tests := map[string]struct {
		held  []int64 // by other requests
		bytes int64
		want  Decision
	}{
		"no body":                          {bytes: 0, want: Grant{}},
		"large, calm":                      {bytes: 70 << 20, want: Grant{}},
		"larger than what bodies may take": {bytes: 70<<20 + 1, want: Refuse{Ticket: 1, TooLarge: true}},
		"large, beside a large one":        {held: []int64{60 << 20}, bytes: 20 << 20, want: Wait{}},
		"small, beside a large one":        {held: []int64{70 << 20}, bytes: 640 << 10, want: Grant{}},
		"over small, beside a large one":   {held: []int64{70 << 20}, bytes: 640<<10 + 1, want: Wait{}},
		"no body, everything taken":        {held: []int64{70 << 20}, bytes: 0, want: Grant{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(limit)
			for _, bytes := range test.held {
				_, d := a.Open(start, bytes, start.Add(time.Minute))
				is.Equal(d, Grant{})
			}
			_, got := a.Open(start, test.bytes, start.Add(time.Minute))
			is.Equal(got, test.want)
			is.Equal(a.Pressure(start), test.want == Wait{})
		})
	}
}

// TestStalledBodiesAreDroppedFirst guards against a stalled body that keeps others waiting, and against the drop of one that makes
// progress, whose server is at work, or that nobody waits for.
func TestStalledBodiesAreDroppedFirst(t *testing.T) {
	is := is.New(t)
	a := New(80 << 20)
	open := func(bytes int64) Ticket {
		ticket, d := a.Open(start, bytes, start.Add(time.Minute))
		is.Equal(d, Grant{})
		return ticket
	}
	working, stalled, trickling, steady := open(20<<20), open(20<<20), open(20<<20), open(10<<20)
	a.Enter(start, working, Working)
	now := start.Add(stallTimeout)
	a.Progress(now, steady, progressBytes)
	a.Progress(now, trickling, 1)
	is.Equal(len(a.Advance(now).Dropped), 0) // nobody waits
	waiter, d := a.Open(now, 30<<20, now.Add(time.Minute))
	is.Equal(d, Wait{})
	is.Equal(a.Advance(now).Dropped, []Ticket{stalled, trickling})
	is.Equal(len(a.Advance(now).Dropped), 0) // they are being closed
	is.Equal(len(a.Close(now, stalled).Granted), 0)
	is.Equal(a.Close(now, trickling).Granted, []Ticket{waiter})
	_, d = a.Open(now, 30<<20, now.Add(time.Minute))
	is.Equal(d, Wait{})
	refused := a.Advance(now.Add(maxWait)).Refused
	is.Equal(len(refused), 1)
	is.Equal(refused[0].RetryAfter, maxRetryAfter) // no hold has a known end but for its deadline
}

// TestAnswersWaitBesideWaitingBodies guards against an answer that is refused because many bodies wait for memory: its request has been
// executed, and without the answer its outcome would be unknown.
func TestAnswersWaitBesideWaitingBodies(t *testing.T) {
	tests := map[string]struct {
		answer bool
		want   Decision
	}{
		"answer": {answer: true, want: Wait{}},
		"body":   {want: Refuse{Ticket: 1, RetryAfter: maxRetryAfter}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const limit = 1 << 20
			a := New(limit)
			open := func(bytes int64) (Ticket, Decision) { return a.Open(start, bytes, start.Add(maxRetryAfter)) }
			ticket, _ := open(0)
			other, _ := open(0)
			is.Equal(a.Grow(start, other, limit, true), Grant{})
			for range maxWaiting {
				_, d := open(1)
				is.Equal(d, Wait{})
			}
			is.Equal(a.Grow(start, ticket, 1, test.answer), test.want)
		})
	}
}

// TestOnlyMissingMemoryIsDropped guards against stalled bodies that are dropped although fewer of them make room for all that wait, and
// against ones that are dropped too late because the bytes of several waiting bodies count as if each had the free memory to itself.
func TestOnlyMissingMemoryIsDropped(t *testing.T) {
	const limit, mib = 80 << 20, 1 << 20 // bodies may take 70 MiB
	tests := map[string]struct {
		stalled []int64 // each is the larger one of those that are left
		answer  int64   // bytes of an answer at work
		waiting []int64
		want    []Ticket
	}{
		"one waits, the reserve is in use":     {stalled: []int64{30 * mib, 20 * mib, 20 * mib}, answer: 8 * mib, waiting: []int64{mib}, want: []Ticket{1}},
		"several wait, the reserve is in use":  {stalled: []int64{30 * mib, 20 * mib, 20 * mib}, answer: 8 * mib, waiting: []int64{mib, mib, mib, mib}, want: []Ticket{1}},
		"several wait for what is partly free": {stalled: []int64{20 * mib, 15 * mib, 15 * mib}, answer: 10 * mib, waiting: []int64{20 * mib, 20 * mib}, want: []Ticket{1, 2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(limit)
			open := func(now time.Time, bytes int64) (Ticket, Decision) { return a.Open(now, bytes, now.Add(time.Minute)) }
			for _, bytes := range test.stalled {
				_, d := open(start, bytes)
				is.Equal(d, Grant{})
			}
			working, _ := open(start, 0)
			a.Enter(start, working, Working)
			is.Equal(a.Grow(start, working, test.answer, true), Grant{})
			now := start.Add(stallTimeout)
			for _, bytes := range test.waiting {
				_, d := open(now, bytes)
				is.Equal(d, Wait{})
			}
			is.Equal(a.Advance(now).Dropped, test.want)
		})
	}
}

// TestRandomBodies guards against memory beyond the limit or lost from the accounts, waits without an end, and small bodies that are not
// served beside a crowd of large, mostly stalled ones.
func TestRandomBodies(t *testing.T) {
	const limit, step = 40 << 20, 50 * time.Millisecond
	for seed := range uint64(50) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		a := New(limit)
		waitSince := map[Ticket]time.Time{}
		var open []Ticket
		opened := func(now time.Time, ticket Ticket, d Decision) {
			switch d.(type) {
			case Grant:
				open = append(open, ticket)
			case Wait:
				waitSince[ticket] = now
			}
		}
		var apply func(now time.Time, c Change)
		apply = func(now time.Time, c Change) {
			for _, ticket := range c.Granted {
				delete(waitSince, ticket)
				open = append(open, ticket)
			}
			for _, refusal := range c.Refused {
				delete(waitSince, refusal.Ticket)
				is.True(!refusal.TooLarge && refusal.RetryAfter >= minRetryAfter)
				apply(now, a.Close(now, refusal.Ticket))
			}
			for _, ticket := range c.Dropped {
				for i, other := range open {
					if other == ticket {
						open = append(open[:i], open[i+1:]...)
						break
					}
				}
				apply(now, a.Close(now, ticket))
			}
		}
		smallRefused := 0
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(step) {
			for range random.IntN(4) { // the crowd
				ticket, d := a.Open(now, random.Int64N(30<<20), now.Add(4*time.Second))
				opened(now, ticket, d)
			}
			ticket, d := a.Open(now, random.Int64N(SmallBytes), now.Add(time.Second))
			if _, granted := d.(Grant); !granted {
				smallRefused++
				opened(now, ticket, d)
			} else {
				apply(now, a.Close(now, ticket))
			}
			apply(now, a.Advance(now))
			is.True(a.Held() <= limit)
			for _, since := range waitSince {
				is.True(now.Sub(since) <= maxWait)
			}
		}
		is.Equal(smallRefused, 0)
		end := start.Add(time.Minute)
		for range 2 {
			for _, ticket := range open {
				open = open[1:]
				apply(end, a.Close(end, ticket))
			}
			apply(end, a.Advance(end))
		}
		for _, ticket := range open {
			a.Close(end, ticket)
		}
		is.Equal(a.Held(), int64(0))
		is.True(!a.Pressure(end.Add(time.Minute)))
	}
}
