// Package chooser picks a backend server for a request of a service that is not keyed: of two random candidates, the
// one with the least expected wait. It has no clock, goroutine, lock or random number source of its own.
package chooser

import (
	"math/rand/v2"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	waitHalfLife    = 500 * time.Millisecond // a reported wait counts half after it
	serviceHalfLife = 10 * time.Second       // the same for a long service time without a new measurement
	defaultService  = 10 * time.Millisecond  // expected service time before the first answer
	serviceGain     = 8                      // one answer's weight in the mean is 1/serviceGain
	hintPenalty     = 4                      // what a bad health answer multiplies the expected wait by
	clearlyLess     = 0.75                   // share of an expected wait below which another is preferred
	forgetFactor    = 2                      // known servers over candidates before old ones are dropped
	maxEjectedShare = 2                      // at most 1/maxEjectedShare of the candidates is passed over
)

// Candidate is a server that could take the request.
type Candidate struct {
	Server  identifier.ServerName
	Slots   int
	Leaving bool
	Suspect bool // a hint of the health endpoint or the instance list; it only makes the server less likely
}

// server is what requests have shown of one server.
type server struct {
	outstanding int
	service     time.Duration // mean time of an answer, waits included
	samples     int
	measuredAt  time.Time
	wait        time.Duration // last reported
	waitAt      time.Time
	outlier     outlier
}

// Chooser keeps what this instance's own requests have shown of the servers of one service. The zero Chooser knows
// nothing. It is not safe for concurrent use.
type Chooser struct {
	servers map[identifier.ServerName]*server
}

// Choose returns the server for a request and counts it as outstanding; ok is false when there is no candidate.
// A server named in avoid is taken only when there is no other.
func (c *Chooser) Choose(now time.Time, candidates []Candidate, avoid identifier.ServerName, source *rand.Rand) (chosen identifier.ServerName, ok bool) {
	c.forget(candidates)
	usable := c.usable(now, candidates, avoid)
	if len(usable) == 0 {
		return "", false
	}
	best := c.betterOfTwo(now, usable, source)
	c.get(best.Server).outstanding++
	return best.Server, true
}

// betterOfTwo returns the one with the least expected wait of two different candidates, and either where there is
// little between them, so that a slightly faster server does not get all.
func (c *Chooser) betterOfTwo(now time.Time, usable []Candidate, source *rand.Rand) Candidate {
	at := source.IntN(len(usable))
	if len(usable) == 1 {
		return usable[at]
	}
	other := (at + 1 + source.IntN(len(usable)-1)) % len(usable)
	if float64(c.expected(now, usable[other])) < clearlyLess*float64(c.expected(now, usable[at])) {
		return usable[other]
	}
	return usable[at]
}

// usable returns the candidates without the leaving ones, the one to avoid and the outliers.
func (c *Chooser) usable(now time.Time, candidates []Candidate, avoid identifier.ServerName) []Candidate {
	staying := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if !candidate.Leaving {
			staying = append(staying, candidate)
		}
	}
	sound := c.withoutOutliers(now, staying)
	if others := without(sound, avoid); len(others) > 0 {
		return others
	}
	return sound
}

func without(candidates []Candidate, avoid identifier.ServerName) []Candidate {
	if avoid == "" {
		return candidates
	}
	others := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate.Server != avoid {
			others = append(others, candidate)
		}
	}
	return others
}

// withoutOutliers passes over ejected servers, up to the largest share.
func (c *Chooser) withoutOutliers(now time.Time, candidates []Candidate) []Candidate {
	allowed := len(candidates) / maxEjectedShare
	sound := make([]Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if allowed > 0 && c.ejected(now, candidate.Server) {
			allowed--
			continue
		}
		sound = append(sound, candidate)
	}
	return sound
}

func (c *Chooser) ejected(now time.Time, name identifier.ServerName) bool {
	s, ok := c.servers[name]
	return ok && s.outlier.ejected(now)
}

// expected returns the expected wait at a candidate: what was reported, decayed by its age, and the share of a slot
// that this instance's own outstanding requests take.
func (c *Chooser) expected(now time.Time, candidate Candidate) time.Duration {
	s, ok := c.servers[candidate.Server]
	if !ok {
		return 0
	}
	service := s.mean(now)
	own := time.Duration(s.outstanding) * service / time.Duration(max(candidate.Slots, 1))
	expected := own + service + decay(s.wait, now.Sub(s.waitAt), waitHalfLife)
	if candidate.Suspect {
		expected *= hintPenalty
	}
	return expected
}

// decay halves d for each halfLife of age.
func decay(d, age, halfLife time.Duration) time.Duration {
	halvings := age / halfLife
	if halvings > 32 {
		return 0
	}
	half := d >> halvings
	rest := float64(age%halfLife) / float64(halfLife)
	return half - time.Duration(rest*float64(half)/2)
}

// mean returns the expected time of an answer; a long one that was measured long ago counts less.
func (s *server) mean(now time.Time) time.Duration {
	if s.samples == 0 {
		return defaultService
	}
	excess := max(0, s.service-defaultService)
	return s.service - excess + decay(excess, now.Sub(s.measuredAt), serviceHalfLife)
}

func (c *Chooser) get(name identifier.ServerName) *server {
	if s, ok := c.servers[name]; ok {
		return s
	}
	if c.servers == nil {
		c.servers = map[identifier.ServerName]*server{}
	}
	s := &server{}
	c.servers[name] = s
	return s
}

// forget drops, once they are many, the servers that are not candidates any more and have nothing outstanding.
func (c *Chooser) forget(candidates []Candidate) {
	if len(c.servers) <= forgetFactor*len(candidates) {
		return
	}
	known := make(map[identifier.ServerName]struct{}, len(candidates))
	for _, candidate := range candidates {
		known[candidate.Server] = struct{}{}
	}
	for name, s := range c.servers {
		if _, ok := known[name]; !ok && s.outstanding == 0 {
			delete(c.servers, name)
		}
	}
}
