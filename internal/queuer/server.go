package queuer

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/pacer"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

// server is one backend server.
type server struct {
	id           string
	slots        int
	incarnation  int64
	adaptive     bool // whether pacer limits its requests
	pacer        pacer.Pacer
	classes      pacer.Classes // mean service times at this server, if adaptive
	running      int
	mean         time.Duration // service time of answers over all classes; 0 before any was measured
	meanBound    time.Duration // likewise, with requests that got no answer; see countsAt
	record       record
	failures     int // consecutive failures, and rejections if there is another server
	ejectedUntil time.Time
	ejectionTime time.Duration // of the last ejection
	probing      bool          // after an ejection or a pause: limited to one request at a time until one is Answered
	pausedUntil  time.Time     // until then the server wants no requests
	limit        throttler.Bucket
	cold         cold
	hasSuspect   bool // whether a suspect runs on it
	removed      bool // gets no new requests, and is dropped when none runs on it
}

// capacity returns how many requests the server is likely to run concurrently under load. A trial of another limit is over sooner
// than the requests that wait.
func (s *server) capacity(now time.Time) float64 {
	slots := float64(s.maxRunning())
	if s.adaptive && !s.probing {
		slots = float64(s.pacer.Confirmed())
	}
	rate, limited := s.rateLimit(now)
	if !limited {
		return slots
	}
	mean := s.mean
	if mean == 0 {
		mean = initialServiceTime
	}
	return min(slots, rate*mean.Seconds())
}

func (s *server) usable(now time.Time) bool { return !s.removed && !now.Before(s.usableFrom()) }

// usableFrom returns when the server may get requests again.
func (s *server) usableFrom() time.Time {
	from := s.cold.blockedUntil()
	for _, t := range []time.Time{s.pausedUntil, s.ejectedUntil} {
		if t.After(from) {
			from = t
		}
	}
	return from
}

// pause keeps requests from the server until a given time. Then it gets one at a time until one is Answered. A pause that
// has ended, or that ends before the present one, changes nothing.
func (s *server) pause(now, until time.Time) {
	if now.Before(until) && until.After(s.pausedUntil) {
		s.pausedUntil, s.probing = until, true
	}
}

// setLimit sets or ends the limit of the server's requests a second.
func (s *server) setLimit(now time.Time, limited bool, rate float64) {
	if limited {
		s.limit.SetRate(now, rate)
		return
	}
	s.limit.Unlimit()
}

// maxRunning returns how many requests the server may run concurrently.
func (s *server) maxRunning() int {
	switch {
	case s.probing:
		return 1
	case s.adaptive:
		return s.pacer.Limit()
	}
	return s.slots
}

// start begins a request at the server.
func (s *server) start(now time.Time, r Request) {
	s.running++
	s.limit.Take(now)
	s.cold.bucket.Take(now)
	s.hasSuspect = s.hasSuspect || r.Suspect
}

// betterThan reports whether s is a better choice than other for the next request.
func (s *server) betterThan(now time.Time, other *server, avoid string) bool {
	if (s.id == avoid) != (other.id == avoid) {
		return other.id == avoid
	}
	if s.adaptive && other.adaptive {
		if a, b := s.pacer.Cost(now, s.running), other.pacer.Cost(now, other.running); a != b {
			return a < b
		}
	}
	if a, b := s.running*other.slots, other.running*s.slots; a != b {
		return a < b
	}
	if s.meanBound != other.meanBound {
		return s.meanBound < other.meanBound
	}
	return s.id < other.id
}

// movedMean returns a mean service time after another one was measured. A mean of 0 has no measurement.
func movedMean(mean, took time.Duration) time.Duration {
	if mean == 0 {
		return took
	}
	return mean + time.Duration(ewmaWeight*float64(took-mean))
}
