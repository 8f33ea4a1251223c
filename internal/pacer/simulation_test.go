package pacer

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	simulatedSlots     = 6
	simulatedService   = 0.25 // mean service time at a server of speed 1, in seconds
	simulatedObjective = 800 * time.Millisecond
	simulatedStep      = 4 * time.Millisecond
	simulatedTime      = 30 * time.Second
	// simulatedPatience is the wait after which a request is refused, because its answer would be late.
	simulatedPatience = 550 * time.Millisecond
)

// simServer is a server in simulated time.
type simServer struct {
	speed    float64                                     // multiplies service times
	slowdown func(at time.Duration, running int) float64 // multiplies them too; may be nil
	reports  func(at time.Duration, running int) Load    // may be nil
	running  []*simRequest
	pacer    Pacer
}

type simRequest struct {
	arrived, began time.Time
	work           float64 // seconds left at normal speed
}

// factor returns by how much the service times at the server are multiplied at a time.
func (s *simServer) factor(at time.Duration) float64 {
	if s.slowdown == nil {
		return s.speed
	}
	return s.speed * s.slowdown(at, len(s.running))
}

// simulation sends requests to servers, to those with the least expected time to answer if it is adaptive, else to those with the
// fewest requests.
type simulation struct {
	servers  []*simServer
	adaptive bool
	random   *rand.Rand
	classes  Classes
	waiting  []*simRequest
	times    []time.Duration // to answer
	offered  int
	observe  func(at time.Duration) // called after each step; may be nil
}

// run plays simulatedTime at a load, relative to all slots of servers that don't slow down, after 5 s at a load of 0.3 at most.
func (s *simulation) run(load float64) {
	rate := 0.0
	for _, server := range s.servers {
		rate += simulatedSlots / (simulatedService * server.speed)
		server.pacer.SetSlots(time.Unix(1000, 0), simulatedSlots)
	}
	next := 0.0
	for at := time.Duration(0); at < simulatedTime; at += simulatedStep {
		now := time.Unix(1000, 0).Add(at)
		present := load
		if at < 5*time.Second {
			present = min(load, 0.3)
		}
		for next <= at.Seconds() {
			s.waiting = append(s.waiting, &simRequest{arrived: now, work: simulatedService * (0.5 + s.random.Float64())})
			s.offered++
			next += s.random.ExpFloat64() / (rate * present)
		}
		for _, server := range s.servers {
			s.work(now, at, server)
		}
		s.start(now)
		if s.observe != nil {
			s.observe(at)
		}
	}
}

// work continues the requests at a server for a step, and records those that end.
func (s *simulation) work(now time.Time, at time.Duration, server *simServer) {
	factor, running := server.factor(at), len(server.running)
	server.running = slices.DeleteFunc(server.running, func(r *simRequest) bool {
		if r.work -= simulatedStep.Seconds() / factor; r.work > 0 {
			return false
		}
		took := now.Sub(r.began)
		server.pacer.Record(now, r.began, running, s.classes.Ratio("c", took))
		s.classes.Record(now, "c", took)
		if server.reports != nil {
			server.pacer.Report(now, server.reports(at, running), running)
		}
		s.times = append(s.times, now.Sub(r.arrived))
		return true
	})
}

// start starts or refuses waiting requests.
func (s *simulation) start(now time.Time) {
	for len(s.waiting) > 0 {
		r := s.waiting[0]
		if now.Sub(r.arrived) > simulatedPatience {
			s.waiting = s.waiting[1:]
			continue
		}
		var best *simServer
		var bestScore float64
		for _, server := range s.servers {
			limit, score := simulatedSlots, float64(len(server.running))
			if s.adaptive {
				server.pacer.Advance(now)
				limit, score = server.pacer.Limit(), server.pacer.Cost(now, len(server.running))
			}
			if len(server.running) < limit && (best == nil || score < bestScore) {
				best, bestScore = server, score
			}
		}
		if best == nil {
			return
		}
		r.began = now
		best.running = append(best.running, r)
		s.waiting = s.waiting[1:]
	}
}

// inTime returns the share of the requests that were answered within the objective.
func (s *simulation) inTime() float64 {
	count := 0
	for _, took := range s.times {
		if took <= simulatedObjective {
			count++
		}
	}
	return float64(count) / float64(s.offered)
}

// median returns the median time to answer.
func (s *simulation) median() time.Duration {
	sorted := slices.Sorted(slices.Values(s.times))
	return sorted[len(sorted)/2].Round(time.Millisecond)
}

// differentSpeeds returns twelve servers whose service times are 0.6 to 1.6 times the mean.
func differentSpeeds() []*simServer {
	var list []*simServer
	for i := range 12 {
		list = append(list, &simServer{speed: 0.6 + float64(i)/11})
	}
	return list
}

// above returns a slowdown while more requests than a number run, until a time.
func above(number int, factor float64, until time.Duration) func(time.Duration, int) float64 {
	return func(at time.Duration, running int) float64 {
		if running > number && at < until {
			return factor
		}
		return 1
	}
}

// between returns a slowdown from one time to another.
func between(from, to time.Duration, factor float64) func(time.Duration, int) float64 {
	return func(at time.Duration, _ int) float64 {
		if at >= from && at < to {
			return factor
		}
		return 1
	}
}

// TestLimitsServeMoreInTime guards against limits that keep sound servers from their load, and against servers that are slower the
// more requests they have and keep getting as many as they have slots.
func TestLimitsServeMoreInTime(t *testing.T) {
	honest := func(servers []*simServer) {
		for _, s := range servers {
			s.reports = func(at time.Duration, running int) Load {
				return Load{Running: running, Slots: simulatedSlots, Pace: s.factor(at)}
			}
		}
	}
	lying := func(servers []*simServer) {
		for i, s := range servers {
			s.reports = func(time.Duration, int) Load {
				if i%2 == 0 { // full and slow
					return Load{Running: simulatedSlots, Waiting: 1000, Slots: simulatedSlots, Pace: 100}
				}
				return Load{Slots: maxRequests, Pace: 0.01} // idle and fast
			}
		}
	}
	tests := map[string]struct {
		change func([]*simServer)
		load   float64
		least  float64 // share in time
		gain   float64 // least difference from the share without limits
	}{
		"sound, calm":           {change: func([]*simServer) {}, load: 0.5, least: 0.98, gain: -0.002},
		"sound, full":           {change: func([]*simServer) {}, load: 1, least: 0.94, gain: -0.01},
		"sound, overload":       {change: func([]*simServer) {}, load: 1.3, gain: -0.01},
		"sound, honest reports": {change: honest, load: 0.8, least: 0.98, gain: -0.005},
		"sound, false reports":  {change: lying, load: 0.8, least: 0.97, gain: -0.01},
		"one slows down 12-fold above 3": {
			change: func(l []*simServer) { l[5].slowdown = above(3, 12, simulatedTime) }, load: 0.8, least: 0.98, gain: 0,
		},
		"one slows down 12-fold above 3, full": {
			change: func(l []*simServer) { l[5].slowdown = above(3, 12, simulatedTime) }, load: 1, gain: -0.005,
		},
		"one slows down 12-fold above 3, false reports": {
			change: func(l []*simServer) { lying(l); l[5].slowdown = above(3, 12, simulatedTime) }, load: 0.8, least: 0.96, gain: -0.01,
		},
		"all slow down 3-fold above 4": {
			change: func(l []*simServer) {
				for _, s := range l {
					s.slowdown = above(4, 3, simulatedTime)
				}
			}, load: 0.5, least: 0.8, gain: 0.4,
		},
		"all slow down 3-fold above 4, more load than they take": {
			change: func(l []*simServer) {
				for _, s := range l {
					s.slowdown = above(4, 3, simulatedTime)
				}
			}, load: 0.8, least: 0.35, gain: 0.25,
		},
		"two are 4 times slower for 8 s": {
			change: func(l []*simServer) {
				l[2].slowdown, l[7].slowdown = between(8*time.Second, 16*time.Second, 4), between(8*time.Second, 16*time.Second, 4)
			}, load: 0.8, least: 0.98, gain: 0,
		},
		"a fifth is 3 times slower for 400 ms at a time": {
			change: func(l []*simServer) {
				for i, s := range l {
					s.slowdown = func(at time.Duration, _ int) float64 {
						if (int(at/(400*time.Millisecond))*7+i*3)%5 == 0 {
							return 3
						}
						return 1
					}
				}
			}, load: 0.8, least: 0.97, gain: -0.005,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var fixed, limited float64 // means over the seeds
			const seeds = 3
			for seed := range int64(seeds) {
				for _, adaptive := range []bool{false, true} {
					s := &simulation{servers: differentSpeeds(), adaptive: adaptive, random: rand.New(rand.NewSource(seed))}
					test.change(s.servers)
					s.run(test.load)
					t.Logf("seed %d, limits %t: %.3f in time, median %v", seed, adaptive, s.inTime(), s.median())
					if adaptive {
						limited += s.inTime() / seeds
					} else {
						fixed += s.inTime() / seeds
					}
				}
			}
			t.Logf("%s, load %.1f: in time %.3f with fixed slots, %.3f with limits", name, test.load, fixed, limited)
			is.True(limited >= test.least)
			is.True(limited >= fixed+test.gain)
		})
	}
}

// TestEstimatesFollowServers guards against a server that keeps its share of the requests after it has become slow, and against one
// that is avoided although it has recovered.
func TestEstimatesFollowServers(t *testing.T) {
	for seed := range int64(7) {
		is := is.New(t)
		s := &simulation{servers: differentSpeeds(), adaptive: true, random: rand.New(rand.NewSource(seed + 1))}
		changed := s.servers[5] // its service times are the mean
		changed.slowdown = between(10*time.Second, 18*time.Second, 4)
		ratios := map[time.Duration]float64{}
		s.observe = func(at time.Duration) { ratios[at] = changed.pacer.Ratio(time.Unix(1000, 0).Add(at), 3) }
		s.run(0.7)
		before, slow, recovered := ratios[10*time.Second], ratios[12*time.Second], ratios[23*time.Second]
		t.Logf("seed %d: ratio %.2f before, %.2f after 2 s, %.2f 5 s after its recovery", seed+1, before, slow, recovered)
		is.True(before < 1.5)
		is.True(slow > 2)
		is.True(recovered < 1.5)
	}
}

// TestLimitFollowsServer guards against a limit that stays at the slots while the server makes fewer answers with so many
// requests, and against one that stays low after the server has recovered.
func TestLimitFollowsServer(t *testing.T) {
	const slowFrom, slowUntil = 6 * time.Second, 18 * time.Second
	for seed := range int64(7) {
		is := is.New(t)
		server := &simServer{speed: 1, slowdown: func(at time.Duration, running int) float64 {
			if at >= slowFrom && at < slowUntil && running > 3 {
				return 3
			}
			return 1
		}}
		s := &simulation{servers: []*simServer{server}, adaptive: true, random: rand.New(rand.NewSource(seed + 1))}
		lowered, raised := time.Duration(0), time.Duration(0)
		s.observe = func(at time.Duration) {
			if lowered == 0 && server.pacer.Learned() == 3 {
				lowered = at
			}
			if raised == 0 && at > slowUntil && server.pacer.Learned() == simulatedSlots {
				raised = at
			}
		}
		s.run(1.2)
		t.Logf("seed %d: limit lowered after %v, raised after %v", seed+1, lowered-slowFrom, raised-slowUntil)
		is.True(lowered > slowFrom && lowered <= slowFrom+2*time.Second)
		is.True(raised > 0 && raised <= slowUntil+5*time.Second)
	}
}
