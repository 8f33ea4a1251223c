package queuer

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/pacer"
	"github.com/wasabibank/wasabibank/internal/throttler"
)

// cold keeps a server that is cold from more requests than it tolerates.
type cold struct {
	until  time.Time // the server is warm from then on; the zero Time if it never was cold
	rate   float64   // requests a second; 0 means none
	bucket throttler.Bucket
}

// blockedUntil returns until when a cold server gets no requests at all.
func (c *cold) blockedUntil() time.Time {
	if c.rate > 0 {
		return time.Time{}
	}
	return c.until
}

// setCold records until when the server is cold, and what it may get until then. A server that turns cold gets its first request
// only after one interval, because other instances may just have sent requests.
func (s *server) setCold(now, until time.Time, rate float64) {
	wasCold := now.Before(s.cold.until)
	s.cold.until, s.cold.rate = until, rate
	switch {
	case !now.Before(until):
		s.cold = cold{}
	case rate <= 0:
		s.cold.bucket = throttler.Bucket{}
	default:
		if !wasCold {
			s.cold.bucket = throttler.NewBucket(throttler.ColdBurstWindow)
		}
		s.cold.bucket.SetRate(now, rate)
	}
}

// setIncarnation records the incarnation of the server. What the previous one has failed says nothing about a new one, which must
// not be left idle for it, and neither does what was learned about its load.
func (s *server) setIncarnation(incarnation int64) {
	if incarnation <= s.incarnation {
		return
	}
	if s.incarnation != 0 {
		s.record, s.failures, s.ejectionTime, s.ejectedUntil = record{}, 0, 0, time.Time{}
		s.pacer, s.classes, s.meanBound = pacer.Pacer{}, pacer.Classes{}, 0
		s.probing = !s.pausedUntil.IsZero()
	}
	s.incarnation = incarnation
}

// isCold reports whether the server is cold. Once it is warm, the limit of the cold one is dropped.
func (s *server) isCold(now time.Time) bool {
	if now.Before(s.cold.until) {
		return true
	}
	s.cold = cold{}
	return false
}

// allows reports whether the server's limits let a request begin now.
func (s *server) allows(now time.Time) bool {
	return s.limit.Allows(now) && (!s.isCold(now) || s.cold.bucket.Allows(now))
}

// rateLimit returns the requests a second that the server may get, and false if there is no limit.
func (s *server) rateLimit(now time.Time) (rate float64, limited bool) {
	rate, limited = s.limit.Rate()
	if s.isCold(now) && (!limited || s.cold.rate < rate) {
		return s.cold.rate, true
	}
	return rate, limited
}

// limitDelay returns how long the server's limits keep the next request from it.
func (s *server) limitDelay(now time.Time) time.Duration {
	delay := s.limit.Delay(now)
	if s.isCold(now) {
		delay = max(delay, min(s.cold.bucket.Delay(now), s.cold.until.Sub(now)))
	}
	return delay
}

// SetCold sets until when a server is cold, and how many requests a second it may get until then. The zero Time means that it is
// warm. Waiting requests that can't be answered in time are refused.
func (q *Queue) SetCold(now time.Time, serverID string, until time.Time, rate float64) Change {
	s := q.findServer(serverID)
	if s == nil {
		return Change{}
	}
	s.setCold(now, until, rate)
	return q.advance(now)
}

// EmptyCold takes the unused tokens of all cold servers, because this instance can't tell what others have sent meanwhile.
func (q *Queue) EmptyCold(now time.Time) {
	for _, s := range q.servers {
		if until, rate := s.cold.until, s.cold.rate; s.isCold(now) {
			s.cold.until = time.Time{}
			s.setCold(now, until, rate)
		}
	}
}
