package chooser

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	failuresToEject = 5
	minEjection     = time.Second
	maxEjection     = 30 * time.Second
	slowFactor      = 4  // a server this many times slower than the median is an outlier
	slowSamples     = 20 // answers between two comparisons with the other servers
)

// Result is what a request showed of a server: Answered, Refused, Failed or Withdrawn.
type Result interface{ result() }

// Answered is a whole answer after Took, from a server that expects a new request to wait for Wait.
type Answered struct {
	Took time.Duration
	Wait time.Duration
}

// Refused is a refusal for load by a server that expects a new request to wait for Wait.
type Refused struct {
	Wait time.Duration
}

// Failed is a request without an answer.
type Failed struct{}

// Withdrawn is a request that showed nothing of the server.
type Withdrawn struct{}

func (Answered) result()  {}
func (Refused) result()   {}
func (Failed) result()    {}
func (Withdrawn) result() {}

// outlier counts what speaks against a server.
type outlier struct {
	failures int
	times    int // ejections in a row
	until    time.Time
}

func (o *outlier) ejected(now time.Time) bool { return now.Before(o.until) }

// failed counts a failure; after enough in a row the server is ejected, each time for twice as long.
func (o *outlier) failed(now time.Time) {
	o.failures++
	if o.failures < failuresToEject || o.ejected(now) {
		return
	}
	o.eject(now)
}

func (o *outlier) eject(now time.Time) {
	o.until = now.Add(min(maxEjection, minEjection<<min(o.times, 10)))
	o.times++
	o.failures = failuresToEject - 1
}

func (o *outlier) answered() {
	o.failures = 0
	o.times = 0
	o.until = time.Time{}
}

// Finish takes a request out of the outstanding ones and learns from its result.
func (c *Chooser) Finish(now time.Time, name identifier.ServerName, result Result) {
	s, ok := c.servers[name]
	if !ok {
		return
	}
	s.outstanding = max(0, s.outstanding-1)
	switch r := result.(type) {
	case Answered:
		s.report(now, r.Wait)
		s.measure(now, r.Took)
		s.outlier.answered()
		if c.slow(name, s) {
			s.outlier.eject(now)
			s.samples = 0
		}
	case Refused:
		s.report(now, r.Wait)
	case Failed:
		s.outlier.failed(now)
	case Withdrawn:
	}
}

func (s *server) report(now time.Time, wait time.Duration) {
	s.wait = wait
	s.waitAt = now
}

func (s *server) measure(now time.Time, took time.Duration) {
	s.samples++
	s.measuredAt = now
	if s.samples == 1 {
		s.service = took
		return
	}
	s.service += (took - s.service) / serviceGain
}

// slow reports whether s is far slower than the median of the other servers.
func (c *Chooser) slow(name identifier.ServerName, s *server) bool {
	if s.samples == 0 || s.samples%slowSamples != 0 {
		return false
	}
	others := make([]time.Duration, 0, len(c.servers))
	for other, known := range c.servers {
		if other != name && known.samples >= slowSamples {
			others = append(others, known.service)
		}
	}
	if len(others) == 0 {
		return false
	}
	slices.Sort(others)
	median := others[len(others)/2]
	return s.service > slowFactor*max(median, time.Millisecond)
}
