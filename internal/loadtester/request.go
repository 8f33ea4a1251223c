package loadtester

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// request is one request of the load.
type request struct {
	id    string
	class *Class
	key   uint16
	// due is the intended send time, counted from the start.
	due  time.Duration
	seed uint64
}

// sequence draws the requests of a plan one after the other.
type sequence struct {
	plan    Plan
	run     string
	random  *rand.Rand
	drawer  keyDrawer
	weights float64
	number  int
	due     time.Duration
}

// newSequence returns the sequence of plan, which is complete; run begins each request id.
func newSequence(plan Plan, run string) *sequence {
	random := rand.New(rand.NewPCG(plan.Seed, plan.Seed))
	s := &sequence{plan: plan, run: run, random: random, drawer: plan.Keys.drawer(random)}
	for _, c := range plan.Classes {
		s.weights += c.Weight
	}
	return s
}

// next returns the next request, and false after the last.
func (s *sequence) next() (request, bool) {
	s.due += time.Duration(s.random.ExpFloat64() / s.plan.Rate * float64(time.Second))
	if s.plan.Count > 0 && s.number == s.plan.Count {
		return request{}, false
	}
	if s.plan.Duration > 0 && s.due > s.plan.Duration {
		return request{}, false
	}
	s.number++
	class := s.drawClass()
	key := s.plan.Keys.draw(s.drawer, s.random, s.due)
	id := s.run + "-" + strconv.Itoa(s.number)
	return request{id: id, class: class, key: key, due: s.due, seed: s.random.Uint64()}, true
}

func (s *sequence) drawClass() *Class {
	left := s.random.Float64() * s.weights
	for i := range s.plan.Classes {
		left -= s.plan.Classes[i].Weight
		if left < 0 {
			return &s.plan.Classes[i]
		}
	}
	return &s.plan.Classes[len(s.plan.Classes)-1]
}

// uri returns the request's path.
func (r request) uri() string { return r.class.Path + strconv.Itoa(int(r.key)) }

// body returns the request's body, whose bytes differ from those of other requests.
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
