// Package simulator compares queueing policies by what clients get from each of them under several loads. It runs in
// virtual time, and all policies get the same requests for a seed. The model has servers with slots, queues and different
// speeds, which reject requests or never answer them when they are full.
package simulator

import (
	"math/rand/v2"
	"time"
)

// class is a kind of request.
type class struct {
	name        string
	share       float64       // fraction of all requests
	priority    int           // lower values go first
	meanService time.Duration // mean service time
	objective   time.Duration // latency objective
	timeout     time.Duration // how long the client waits
}

// orderPriority is the priority of paid orders, and of no other class.
const orderPriority = 0

// classes are modelled on a rendering service: previews that a user waits for, and paid orders.
var classes = []class{
	{
		name: "preview", share: 0.77, priority: 1,
		meanService: 90 * time.Millisecond, objective: 300 * time.Millisecond, timeout: 2 * time.Second,
	},
	{
		name: "order", share: 0.23, priority: orderPriority,
		meanService: 120 * time.Millisecond, objective: 400 * time.Millisecond, timeout: 2500 * time.Millisecond,
	},
}

// Load is a pattern of requests and servers under which policies are compared.
type Load struct {
	name        string
	description string
	// rate is the request rate as a fraction of the nominal capacity of all servers, which is that at slowdown 1.
	rate func(at time.Duration) float64
	// weight is proportional to the requests for the keys of a server. Weights need not add up to 1.
	weight func(server int) float64
	// slowdown is the factor by which service times at a server are multiplied.
	slowdown func(at time.Duration, server int) float64
	// hangsWhenFull makes servers leave requests that they can't queue without an answer instead of rejecting them.
	hangsWhenFull bool
}

// Name returns the name of the load.
func (l Load) Name() string { return l.name }

// Description returns a description of the load for the report.
func (l Load) Description() string { return l.description }

// The dimensions of each simulation.
const (
	serverCount        = 6
	slotsPerServer     = 3
	entryCount         = 8 // number of entry instances
	queueLimit         = 4 // maximum number of requests that wait at a server
	loadDuration       = 12 * time.Second
	disturbanceStart   = 4 * time.Second
	disturbanceEnd     = 8 * time.Second
	meanServiceSeconds = 0.0969 // 0.77 * 90 ms + 0.23 * 120 ms: the mean service time of classes, weighted by share
)

func equalWeight(int) float64                   { return 1 }
func steadyRate(time.Duration) float64          { return 0.6 }
func noSlowdown(_ time.Duration, _ int) float64 { return 1 }

// isDisturbed reports whether at is within the time of the load's burst or slowdown.
func isDisturbed(at time.Duration) bool { return at >= disturbanceStart && at < disturbanceEnd }

// disturbedValue returns one of two values, depending on whether at is within the time of the load's burst or slowdown.
func disturbedValue(at time.Duration, inside, outside float64) float64 {
	if isDisturbed(at) {
		return inside
	}
	return outside
}

// Loads returns the loads that are simulated.
func Loads() []Load {
	return []Load{
		{
			name: "steady", description: "60 % of the nominal capacity",
			rate: steadyRate, weight: equalWeight, slowdown: noSlowdown,
		},
		{
			name: "burst", description: "three times the steady rate for 4 s; full servers never answer",
			weight: equalWeight, slowdown: noSlowdown, hangsWhenFull: true,
			rate: func(at time.Duration) float64 { return disturbedValue(at, 1.8, 0.6) },
		},
		{
			name:          "hot server",
			description:   "one server gets four times as many requests as any other; full servers never answer",
			rate:          steadyRate,
			slowdown:      noSlowdown,
			hangsWhenFull: true,
			weight: func(server int) float64 {
				if server == 0 {
					return 4
				}
				return 1
			},
		},
		{
			name: "slow server", description: "one server is five times slower for 4 s; full servers reject requests",
			rate: steadyRate, weight: equalWeight,
			slowdown: func(at time.Duration, server int) float64 {
				if server == 0 {
					return disturbedValue(at, 5, 1)
				}
				return 1
			},
		},
		{
			name:        "different speeds",
			description: "servers differ in speed by a factor of three; 80 % of the nominal capacity",
			weight:      equalWeight,
			rate:        func(time.Duration) float64 { return 0.8 },
			slowdown:    func(_ time.Duration, server int) float64 { return 0.6 + 1.2*float64(server)/(serverCount-1) },
		},
	}
}

// arrival is a request of a load, as it arrives at an entry instance.
type arrival struct {
	at          time.Duration
	class       *class
	entry       int // entry instance
	server      int
	serviceTime time.Duration
}

// arrivals returns the requests of a load, drawn at random. They depend only on the load and the seed, so that all policies
// get the same ones.
func (l Load) arrivals(seed uint64) []arrival {
	random := rand.New(rand.NewPCG(seed, seed))
	total := 0.0
	for s := range serverCount {
		total += l.weight(s)
	}
	var list []arrival
	for at := time.Duration(0); at < loadDuration; {
		rate := l.rate(at) * serverCount * slotsPerServer / meanServiceSeconds
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		a := arrival{at: at, class: drawClass(random), entry: random.IntN(entryCount)}
		remaining := random.Float64() * total
		for a.server = 0; a.server < serverCount-1; a.server++ {
			if remaining -= l.weight(a.server); remaining < 0 {
				break
			}
		}
		jitter := 0.7 + 0.6*random.Float64()
		a.serviceTime = time.Duration(float64(a.class.meanService) * jitter * l.slowdown(at, a.server))
		list = append(list, a)
	}
	return list
}

// drawClass returns a random class according to the shares.
func drawClass(random *rand.Rand) *class {
	remaining := random.Float64()
	for i := range classes {
		if remaining -= classes[i].share; remaining < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}
