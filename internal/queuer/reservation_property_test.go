package queuer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReservationUnderRandomCalls guards against servers with more requests than slots, runs that are never dropped, requests that
// are started or refused twice or never, and delays that are not bounded, in any order of calls: servers that come, go, eject, pause
// and name limits, absurd objectives, and outcomes with false times.
func TestReservationUnderRandomCalls(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(seed, 2))
			q := New(&ServiceTimes{}, Settings{Reservation: true})
			now := start
			running := map[string][]string{} // classes by server
			waiting := map[Ticket]string{}
			slots := map[string]int{}
			begin := func(server, class string) {
				running[server] = append(running[server], class)
				if n, known := slots[server]; known {
					is.True(len(running[server]) <= n)
				}
			}
			apply := func(change Change) {
				for _, s := range change.Started {
					class, waits := waiting[s.Ticket]
					is.True(waits)
					delete(waiting, s.Ticket)
					begin(s.Server, class)
				}
				for _, r := range change.Refused {
					_, waits := waiting[r.Ticket]
					is.True(waits)
					delete(waiting, r.Ticket)
					is.True(r.RetryAfter > 0 && r.RetryAfter <= maxLimitRetryAfter+10*time.Second)
				}
			}
			end := func() {
				first := rng.IntN(3)
				for i := range 3 {
					server := string(rune('a' + (first+i)%3))
					classes := running[server]
					if len(classes) == 0 {
						continue
					}
					running[server] = classes[1:]
					apply(q.Done(now, server, classes[0], Outcome(rng.IntN(5)), time.Duration(rng.Int64N(int64(3*time.Second)))))
					return
				}
			}
			for range 400 {
				now = now.Add(time.Duration(rng.Int64N(int64(100 * time.Millisecond))))
				switch rng.IntN(12) {
				case 0: // a server with running requests keeps its slots, which may not fall below them
					var servers []Server
					clear(slots)
					for _, id := range []string{"a", "b", "c"}[:rng.IntN(4)] {
						slots[id] = max(1+rng.IntN(6), len(running[id]))
						servers = append(servers, Server{ID: id, Slots: slots[id], Limited: rng.IntN(4) == 0, Rate: 5})
					}
					apply(q.SetServers(now, servers))
				case 1:
					apply(q.Pause(now, "a", now.Add(time.Duration(rng.Int64N(int64(time.Second))))))
				case 2, 3, 4, 5:
					priority := rng.IntN(3)
					class := fmt.Sprint("c", priority)
					d := q.Offer(now, Request{
						Class: class, Priority: priority, Objective: now.Add(time.Duration(rng.Int64N(int64(4*time.Second)) - int64(time.Second))),
						Deadline: now.Add(time.Duration(rng.Int64N(int64(6 * time.Second)))), NotIdempotent: rng.IntN(2) == 0,
					})
					switch d := d.(type) {
					case Start:
						begin(d.Server, class)
					case Wait:
						waiting[d.Ticket] = class
					case Refuse:
						is.True(d.RetryAfter > 0 && d.RetryAfter <= maxLimitRetryAfter+10*time.Second)
					}
				case 6:
					ticket := Ticket(rng.Uint64N(uint64(q.lastTicket) + 1))
					q.Cancel(ticket)
					delete(waiting, ticket)
				case 7:
					apply(q.Advance(now))
				default:
					end()
				}
				is.Equal(len(q.runs), q.Running())
				is.Equal(len(waiting), q.Waiting())
			}
			for q.Running() > 0 {
				end()
			}
			apply(q.Advance(now.Add(time.Minute)))
			is.Equal(q.Waiting(), 0)
			is.Equal(len(q.runs), q.Running())
		})
	}
}
