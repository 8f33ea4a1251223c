package loadtester

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// request is one generated request.
type request struct {
	id    string
	class *Class
	key   uint16
	// due is the scheduled send time, as the time since the start of the run.
	due time.Duration
	// seed seeds the generator of the body.
	seed uint64
}

// generator generates the requests of a plan in the order of their send times.
type generator struct {
	plan        Plan
	runID       string
	random      *rand.Rand
	sampler     keySampler
	totalWeight float64
	count       int           // requests generated so far
	lastDue     time.Duration // due time of the last of them
}

// newGenerator returns a generator for plan, whose defaults must be filled in. runID is the prefix of each request id.
func newGenerator(plan Plan, runID string) *generator {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	g := &generator{plan: plan, runID: runID, random: random, sampler: plan.Keys.newSampler(random)}
	for _, c := range plan.Classes {
		g.totalWeight += c.Weight
	}
	return g
}

// next returns the next request, or false after the last one.
func (g *generator) next() (request, bool) {
	g.lastDue += time.Duration(g.random.ExpFloat64() / g.plan.Rate * float64(time.Second))
	if g.plan.Count > 0 && g.count == g.plan.Count {
		return request{}, false
	}
	if g.plan.Duration > 0 && g.lastDue > g.plan.Duration {
		return request{}, false
	}
	g.count++
	class := g.sampleClass()
	key := g.plan.Keys.sample(g.sampler, g.random, g.lastDue)
	id := g.runID + "-" + strconv.Itoa(g.count)
	return request{id: id, class: class, key: key, due: g.lastDue, seed: g.random.Uint64()}, true
}

// sampleClass picks a class with a probability in proportion to its weight.
func (g *generator) sampleClass() *Class {
	left := g.random.Float64() * g.totalWeight
	for i := range g.plan.Classes {
		left -= g.plan.Classes[i].Weight
		if left < 0 {
			return &g.plan.Classes[i]
		}
	}
	return &g.plan.Classes[len(g.plan.Classes)-1]
}

// path returns the path of the request's URL: the path of its class, then the key.
func (r request) path() string { return r.class.Path + strconv.Itoa(int(r.key)) }

// body returns the request's body, or nil if its class has none. Its content is random, so that bodies of different requests
// can be told apart.
func (r request) body() []byte {
	if r.class.BodyBytes == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(r.seed, r.seed))
	body := make([]byte, r.class.BodyBytes)
	for i := range body {
		body[i] = byte('a' + random.IntN(26))
	}
	return body
}
