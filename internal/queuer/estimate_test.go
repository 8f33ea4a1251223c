package queuer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRequestsThatCanBeAnsweredAreStarted guards against requests that are not idempotent and are refused with slots free, though
// they would have been answered: with service times of 0.1 to 3.8 s and a time limit of 4 s, a bound of the mean and two mean
// deviations refused 103 and 143 of 500.
func TestRequestsThatCanBeAnsweredAreStarted(t *testing.T) {
	tests := map[string]func(rng *rand.Rand) time.Duration{
		"any time between": func(rng *rand.Rand) time.Duration {
			return time.Duration((0.1 + 3.7*rng.Float64()) * float64(time.Second))
		},
		"either end": func(rng *rand.Rand) time.Duration {
			return []time.Duration{100 * time.Millisecond, 3800 * time.Millisecond}[rng.IntN(2)]
		},
		"mostly long": func(rng *rand.Rand) time.Duration {
			return []time.Duration{100 * time.Millisecond, 3800 * time.Millisecond, 3800 * time.Millisecond}[rng.IntN(3)]
		},
	}
	for name, draw := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			load := simLoad{
				speeds: []float64{1}, slots: 40, duration: 200 * time.Second,
				classes: []simClass{{
					name: "c", objective: 4 * time.Second, limit: 4 * time.Second, notIdempotent: true, rate: 5, draw: draw,
				}},
			}
			for _, settings := range []Settings{{}, {Reservation: true}} {
				r := simulateSeeds(load, settings)["c"]
				t.Log(r.offered, r, r.refusals)
				is.True(r.offered > 2500)
				is.True(r.share(r.refusals) < 0.01)
				is.Equal(r.unknown, 0)
			}
		})
	}
}

// TestReasonOfRefusal guards against refusals that name a full queue although the estimate of the time made the decision, and the
// other way round.
func TestReasonOfRefusal(t *testing.T) {
	is := is.New(t)
	q := busyQueue(t)
	is.Equal(q.Offer(start, request(0, 99, 99)), Refuse{RetryAfter: minRetryAfter, Reason: TooLittleTime}) // the class takes 100 ms
	refused, ok := q.Offer(start, request(0, 140, 140)).(Refuse)
	is.True(ok)
	is.Equal(refused.Reason, NoTurn) // 50 ms for the running request, then 100 ms
	q.load = 0
	is.Equal(q.Offer(start, request(0, 250, 250)), Wait{Ticket: 2})
	is.Equal(q.Offer(start, request(0, 450, 450)), Wait{Ticket: 3})
	change := q.Advance(at(240)) // the slot is still in use
	is.Equal(len(change.Refused), 1)
	is.Equal(change.Refused[0].Reason, NoTurn)
	change = q.Done(at(400), "a", "c", Answered, 400*time.Millisecond)
	is.Equal(len(change.Refused), 1)
	is.Equal(change.Refused[0].Reason, TooLittleTime) // the slot is free
}
