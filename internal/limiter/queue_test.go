package limiter

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

func urgent(deadline time.Duration) Request {
	return Request{Class: "urgent", Priority: 0, Deadline: at(deadline)}
}

func patient(deadline time.Duration) Request {
	return Request{Class: "patient", Priority: 2, MayWait: true, Deadline: at(deadline)}
}

func newQueue(slots int) *Queue {
	q := &Queue{}
	q.SetSlots(slots, 0)
	return q
}

// started returns the ticket of a request that must start at once.
func started(is *is.I, d Decision) Ticket {
	is.Helper()
	s, ok := d.(Start)
	is.True(ok)
	return s.Ticket
}

func waits(is *is.I, d Decision) Ticket {
	is.Helper()
	w, ok := d.(Wait)
	is.True(ok)
	return w.Ticket
}

func TestOrderIsByPriorityThenDeadline(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	running := started(is, q.Offer(start, urgent(time.Hour)))
	low := waits(is, q.Offer(start, Request{Class: "low", Priority: 1, Deadline: at(time.Hour)}))
	late := waits(is, q.Offer(start, urgent(2*time.Hour)))
	soon := waits(is, q.Offer(start, urgent(time.Hour)))
	for _, want := range []Ticket{soon, late, low} {
		change := q.Done(at(time.Second), running, Served{Took: time.Second})
		is.Equal(change.Started, []Ticket{want})
		running = want
	}
}

// TestMayWaitNeverStarves keeps urgent work waiting at all times; the patient requests take their reserved share.
func TestMayWaitNeverStarves(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	running := started(is, q.Offer(start, urgent(time.Hour)))
	for range 10 {
		waits(is, q.Offer(start, patient(2*time.Hour)))
	}
	for range 100 {
		waits(is, q.Offer(start, urgent(time.Hour)))
	}
	served := 0
	for range 50 {
		change := q.Done(start, running, Lost{})
		is.Equal(len(change.Started), 1)
		running = change.Started[0]
		if q.running[running].lane.mayWait {
			served++
		}
	}
	is.Equal(served, 50/mayWaitShare)
}

func TestMayWaitIsKeptWhileItsDeadlineStands(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	started(is, q.Offer(start, urgent(time.Hour)))
	kept := waits(is, q.Offer(start, patient(time.Minute)))
	waits(is, q.Offer(start, urgent(30*time.Second)))
	change := q.Expire(at(59 * time.Second)) // the running request overran by far
	is.Equal(len(change.GivenUp), 1)
	is.True(change.GivenUp[0].Ticket != kept)
	change = q.Expire(at(time.Minute))
	is.Equal(change.GivenUp[0].Ticket, kept)
	is.Equal(change.GivenUp[0].Reason, ReasonExpired)
}

func TestRefusalsNameTheWait(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	running := started(is, q.Offer(start, urgent(time.Hour)))
	q.Done(at(time.Second), running, Served{Took: time.Second})
	started(is, q.Offer(at(time.Second), urgent(time.Hour)))
	refusal, ok := q.Offer(at(time.Second), urgent(2*time.Second)).(Refuse)
	is.True(ok)
	is.Equal(refusal.Reason, ReasonOverloaded)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter < 5*time.Second)
	refusal, ok = q.Offer(at(time.Second), urgent(time.Second)).(Refuse)
	is.True(ok)
	is.Equal(refusal.Reason, ReasonExpired)
}

// TestLateStartIsPassedOver frees a slot when the first request has less time left than it needs.
func TestLateStartIsPassedOver(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	first := started(is, q.Offer(start, urgent(time.Hour)))
	q.Done(at(time.Second), first, Served{Took: time.Second})
	second := started(is, q.Offer(at(time.Second), urgent(time.Hour)))
	tight := waits(is, q.Offer(at(time.Second), urgent(4*time.Second)))
	ample := waits(is, q.Offer(at(time.Second), urgent(time.Hour)))
	change := q.Done(at(3500*time.Millisecond), second, Lost{})
	is.Equal(change.Started, []Ticket{ample})
	is.Equal(change.GivenUp[0].Ticket, tight)
}

func TestStuckServerIsNoticed(t *testing.T) {
	is := is.New(t)
	q := newQueue(1)
	started(is, q.Offer(start, urgent(time.Hour)))
	waiting := waits(is, q.Offer(start, urgent(10*time.Second)))
	is.Equal(len(q.Expire(at(time.Second)).GivenUp), 0)
	change := q.Expire(at(6 * time.Second)) // overran 6 s: 6 s more are expected, 4 s are left
	is.Equal(len(change.GivenUp), 1)
	is.Equal(change.GivenUp[0].Ticket, waiting)
	is.Equal(change.GivenUp[0].Reason, ReasonOverloaded)
	is.True(change.GivenUp[0].RetryAfter > 0)
}

func TestSlotsFollowColdStartAndShedding(t *testing.T) {
	is := is.New(t)
	q := &Queue{}
	q.SetSlots(3, 2*time.Second)
	is.Equal(q.Slots(start), 3)
	q.Restart(start)
	is.Equal(q.Slots(start), 1)
	is.Equal(q.Slots(at(time.Second)), 2)
	is.Equal(q.Slots(at(2*time.Second)), 3)
	now := at(10 * time.Second)
	for range 2 {
		q.Done(now, started(is, q.Offer(now, urgent(time.Hour))), Shed{}) // two within one interval count as one
	}
	is.Equal(q.Slots(now), 2)
	for range 20 {
		q.Done(now, started(is, q.Offer(now, urgent(time.Hour))), Served{Took: time.Millisecond})
	}
	is.Equal(q.Slots(now), 3)
}

// TestQueueKeepsItsPromises drives a Queue at random.
func TestQueueKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		q := newQueue(slots)
		now := start
		running := map[Ticket]bool{}
		waiting := map[Ticket]bool{}
		take := func(c Change) {
			for _, ticket := range c.Started {
				if !waiting[ticket] {
					t.Fatalf("%d started without waiting", ticket)
				}
				delete(waiting, ticket)
				running[ticket] = true
			}
			for _, gone := range c.GivenUp {
				if !waiting[gone.Ticket] {
					t.Fatalf("%d given up without waiting", gone.Ticket)
				}
				delete(waiting, gone.Ticket)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				r := Request{
					Class:    rapid.SampledFrom([]identifier.ClassName{"a", "b"}).Draw(t, "class"),
					Priority: rapid.IntRange(0, 1).Draw(t, "priority"),
					MayWait:  rapid.Bool().Draw(t, "may wait"),
					Deadline: now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "deadline")) * time.Millisecond),
				}
				free := len(running) < slots
				switch d := q.Offer(now, r).(type) {
				case Start:
					running[d.Ticket] = true
				case Wait:
					waiting[d.Ticket] = true
				case Refuse:
					if free {
						t.Fatal("refused while a slot was free")
					}
				}
			case 2:
				for ticket := range running {
					delete(running, ticket)
					took := time.Duration(rapid.IntRange(1, 50).Draw(t, "took")) * time.Millisecond
					take(q.Done(now, ticket, Served{Took: took}))
					break
				}
			case 3:
				take(q.Expire(now))
			}
			if len(running) > slots || q.Running() != len(running) || q.Waiting() != len(waiting) {
				t.Fatalf("%d of %d slots, %d waiting of %d", len(running), slots, q.Waiting(), len(waiting))
			}
			if len(running) < slots && len(waiting) > 0 {
				t.Fatal("a request waits while a slot is free")
			}
		}
	})
}
