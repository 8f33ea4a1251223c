package queuer

import "time"

// Counts reports whether a request counts in the mean service time of its server with the time that it took. The arguments are those
// of Done, which must be called afterwards.
func (q *Queue) Counts(serverID, className string, outcome Outcome, took time.Duration) bool {
	if s := q.findServer(serverID); s != nil {
		return q.countsAt(s, className, outcome, took)
	}
	return outcome == Answered
}

// countsAt implements Counts. The service time of a request without an answer in time is unknown, but not less than the
// time that it had. Without these requests the slower a server is, the fewer of its requests would count, and one that answers
// nothing in time would keep its usual mean. If the request had no more time than the mean, it does not count, as it would make the
// server look faster than it is. So a retry in the rest of the time of a request does not count either. A rejection or failure
// says nothing about the service time.
func (q *Queue) countsAt(s *server, className string, outcome Outcome, took time.Duration) bool {
	switch outcome {
	case Answered:
		return true
	case TimedOut, ClientLeft:
		return took > q.meanAt(s, className)
	case Rejected, Failed, Inconclusive:
	}
	return false
}

// meanAt returns the mean service time of a class at a server: of all classes without adaptive limits, and of other servers before
// any was measured at this one.
func (q *Queue) meanAt(s *server, className string) time.Duration {
	mean := s.meanBound
	if s.adaptive {
		mean = s.classes.Mean(className)
	}
	if mean == 0 {
		mean, _ = q.expected(className)
	}
	return mean
}
