package queuer

import (
	"math"
	"time"
)

const (
	// failuresToEject is how many consecutive or recent failures and rejections eject a server whose pool does clearly better.
	failuresToEject = 3
	// minEjectionTime is how long a server is ejected for the first time. An ejection soon after another one is twice as long,
	// up to maxEjectionTime.
	minEjectionTime = 500 * time.Millisecond
	maxEjectionTime = 4 * time.Second
	// recordTime is the time constant with which outcomes lose weight. A server of a large pool ends some 8 requests a second,
	// so that its record holds about 16.
	recordTime = 2 * time.Second
	// clearlyWorse is the part of the share of requests that the other servers answer below which a server is ejected, after
	// an allowance of chanceDeviations standard deviations for chance. Where all servers reject 40 %, a server with 16
	// recorded outcomes falls below it by chance about once in 500 outcomes.
	clearlyWorse     = 0.7
	chanceDeviations = 1.5
	// uselessShare is the share of answers below which a server is ejected whatever the load is, because it takes no load.
	uselessShare = 0.1
	// onlyServerFailureShare is the share of failures from which the only server of a pool is ejected. A server that fails
	// half of its requests is still the only one that serves the others.
	onlyServerFailureShare = 0.75
	// maxLoadAfterEjection is the load of the remaining servers up to which a server that still answers is ejected.
	maxLoadAfterEjection = 0.9
)

// record holds the recent outcomes of requests at a server, with weights that decrease with their age. The zero record has none.
type record struct {
	answered, failed, rejected float64
	decayedAt                  time.Time
}

// decay reduces the weights to those of a given time.
func (r *record) decay(now time.Time) {
	if elapsed := now.Sub(r.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / recordTime.Seconds())
		r.answered, r.failed, r.rejected = r.answered*factor, r.failed*factor, r.rejected*factor
		r.decayedAt = now
	}
}

// total returns the weight of all outcomes.
func (r *record) total() float64 { return r.answered + r.failed + r.rejected }

// recordAnswer counts an answer, which ends the probation of the server.
func (s *server) recordAnswer(now time.Time, took time.Duration) {
	s.mean = movedMean(s.mean, took)
	s.record.decay(now)
	s.record.answered++
	s.failures, s.probing = 0, false
}

// recordFailure counts a failure of a server, and ejects the server if it does clearly worse than its pool.
func (q *Queue) recordFailure(now time.Time, s *server) {
	s.record.decay(now)
	s.record.failed++
	s.failures++
	q.considerEjection(now, s)
}

// recordRejection counts a rejection. The server did not take the request, which does not show that it is broken: it is ejected
// only if others take clearly more.
func (q *Queue) recordRejection(now time.Time, s *server) {
	s.record.decay(now)
	s.record.rejected++
	if !q.isOnlyServer(s) {
		s.failures++
	}
	q.considerEjection(now, s)
}

// considerEjection ejects a server after several failures if the rest of its pool does clearly better and can take the load.
// The requests that still run at an ejected server end by the same fault, and don't eject it again.
func (q *Queue) considerEjection(now time.Time, s *server) {
	bad := s.record.failed + s.record.rejected
	if now.Before(s.ejectedUntil) || s.failures < failuresToEject && bad < failuresToEject {
		return
	}
	if q.isOnlyServer(s) {
		if s.failures >= failuresToEject && s.record.failed >= onlyServerFailureShare*s.record.total() {
			s.eject(now)
		}
		return
	}
	if q.othersDoBetter(now, s) && (s.record.answered < uselessShare*s.record.total() || q.othersTakeLoad(now, s)) {
		s.eject(now)
	}
}

// isOnlyServer reports whether requests can't be sent elsewhere than to s.
func (q *Queue) isOnlyServer(s *server) bool {
	for _, other := range q.servers {
		if other != s && !other.removed {
			return false
		}
	}
	return true
}

// othersDoBetter reports whether the other usable servers answer a clearly larger share of their requests than s. Servers
// without outcomes count as sound, so that the first server that fails is ejected.
func (q *Queue) othersDoBetter(now time.Time, s *server) bool {
	answered, total, usable := 1.0, 1.0, false
	for _, other := range q.servers {
		if other != s && other.usable(now) {
			other.record.decay(now)
			answered, total, usable = answered+other.record.answered, total+other.record.total(), true
		}
	}
	share, n := answered/total, s.record.total()
	chance := chanceDeviations * math.Sqrt(n*share*(1-share))
	return usable && s.record.answered+chance < clearlyWorse*n*share
}

// othersTakeLoad reports whether the other usable servers have enough slots for the present load without s.
func (q *Queue) othersTakeLoad(now time.Time, s *server) bool {
	q.decayLoad(now)
	others := 0.0
	for _, other := range q.servers {
		if other != s && other.usable(now) {
			others += other.capacity(now)
		}
	}
	return q.load*q.divisor(now) <= maxLoadAfterEjection*others
}

// eject keeps requests from the server, for twice as long as the last time if it has been in use for less than that, but at
// most for maxEjectionTime.
func (s *server) eject(now time.Time) {
	if now.Sub(s.ejectedUntil) > s.ejectionTime {
		s.ejectionTime = 0
	}
	s.ejectionTime = min(max(minEjectionTime, 2*s.ejectionTime), maxEjectionTime)
	s.ejectedUntil = now.Add(s.ejectionTime)
	s.record = record{decayedAt: now}
	s.failures = failuresToEject - 1 // the next failure ejects the server again
	s.probing = true
}
