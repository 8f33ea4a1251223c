// Package simulator compares queueing policies in virtual time and with the same seeds: what clients get from a policy
// under a load. It models servers with slots, queues and speeds that hang when they are full.
package simulator

import (
	"math/rand/v2"
	"time"
)

// class is one kind of request.
type class struct {
	name      string
	share     float64 // of all requests
	priority  int
	work      time.Duration // mean
	objective time.Duration
	limit     time.Duration
}

// classes are like those of the render desk: previews that somebody waits for, and paid orders.
var classes = []class{
	{name: "preview", share: 0.77, priority: 1, work: 90 * time.Millisecond, objective: 300 * time.Millisecond, limit: 2 * time.Second},
	{name: "order", share: 0.23, priority: 0, work: 120 * time.Millisecond, objective: 400 * time.Millisecond, limit: 2500 * time.Millisecond},
}

// Load is one situation in which policies are compared.
type Load struct {
	name string
	help string
	// rate is the requests a second, as a part of what all servers can run.
	rate func(at time.Duration) float64
	// share is the part of the requests for a server's keys, before it is divided by the sum.
	share func(server int) float64
	// speed multiplies a server's service times.
	speed func(at time.Duration, server int) float64
	// hangs says that servers never answer what they can't queue.
	hangs bool
}

// Name returns the name of the load.
func (l Load) Name() string { return l.name }

// Description says what situation the load stands for.
func (l Load) Description() string { return l.help }

// The size of the plays.
const (
	servers   = 6
	slots     = 3
	entries   = 8
	queued    = 4 // requests that a server queues
	length    = 12 * time.Second
	burstFrom = 4 * time.Second
	burstTo   = 8 * time.Second
	work      = 0.0969 // seconds of a mean request, over the classes
)

func even(int) float64                         { return 1 }
func steady(time.Duration) float64             { return 0.6 }
func sameSpeed(_ time.Duration, _ int) float64 { return 1 }
func inBurst(at time.Duration) bool            { return at >= burstFrom && at < burstTo }
func during(at time.Duration, x, y float64) float64 {
	if inBurst(at) {
		return x
	}
	return y
}

// Loads returns the situations that are played.
func Loads() []Load {
	return []Load{
		{name: "steady", help: "60 % of what the servers can run", rate: steady, share: even, speed: sameSpeed},
		{
			name: "burst", help: "three times as much for 4 s; full servers hang", share: even, speed: sameSpeed, hangs: true,
			rate: func(at time.Duration) float64 { return during(at, 1.8, 0.6) },
		},
		{
			name: "hot server", help: "one server owns four times the mean; full servers hang", rate: steady, speed: sameSpeed, hangs: true,
			share: func(server int) float64 {
				if server == 0 {
					return 4
				}
				return 1
			},
		},
		{
			name: "slow server", help: "one server is five times slower for 4 s, and turns away what it can't queue", rate: steady, share: even,
			speed: func(at time.Duration, server int) float64 {
				if server == 0 {
					return during(at, 5, 1)
				}
				return 1
			},
		},
		{
			name: "different speeds", help: "servers differ by a factor of three, at 80 %", share: even,
			rate:  func(time.Duration) float64 { return 0.8 },
			speed: func(_ time.Duration, server int) float64 { return 0.6 + 1.2*float64(server)/(servers-1) },
		},
	}
}

// arrival is a request of the load.
type arrival struct {
	at     time.Duration
	class  *class
	entry  int
	server int
	work   time.Duration
}

// arrivals draws the requests of a load. The same seed gives the same ones to each policy.
func (l Load) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	total := 0.0
	for s := range servers {
		total += l.share(s)
	}
	var list []arrival
	for at := time.Duration(0); at < length; {
		rate := l.rate(at) * servers * slots / work
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		a := arrival{at: at, class: drawClass(random), entry: random.IntN(entries)}
		left := random.Float64() * total
		for a.server = 0; a.server < servers-1; a.server++ {
			if left -= l.share(a.server); left < 0 {
				break
			}
		}
		spread := 0.7 + 0.6*random.Float64()
		a.work = time.Duration(float64(a.class.work) * spread * l.speed(at, a.server))
		list = append(list, a)
	}
	return list
}

func drawClass(random *rand.Rand) *class {
	left := random.Float64()
	for i := range classes {
		if left -= classes[i].share; left < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}
