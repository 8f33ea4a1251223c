package throttler

import "time"

const (
	// warmupMargin is added to the times at which servers say that they will be warm, since a statement takes a while to arrive.
	warmupMargin = time.Second
	// sameRegistration is by how much the time of one registration may differ when it is recorded again, since it comes from another
	// clock. Registrations follow one another more slowly.
	sameRegistration = 100 * time.Millisecond
	// askInterval is the time between two questions to a server that may be cold.
	askInterval = 300 * time.Millisecond
	// doubtAfter is after which time without a request to a server its restart may have gone unnoticed: no connection has failed. A
	// server that gets five requests a second is rarely without one for so long.
	doubtAfter = time.Second
	// doubtTime is how long such a restart may go unnoticed: the registration shows it then.
	doubtTime = 2200 * time.Millisecond
	// answerTime is how long requests to a server that is not known to be warm are held for its answer. After that it gets what a cold
	// server gets.
	answerTime = 250 * time.Millisecond
	// maxDoubted is the number of requests that a server gets in doubtTime until it has answered a question, and askDoubted the number
	// with which it is asked. Servers that get few requests are not asked.
	maxDoubted = 4
	askDoubted = 2
	// forgetAfter is how long what is known of a server is kept after the server has disappeared.
	forgetAfter = 10 * time.Minute
)

// Registration is what the registration of a backend server says about its warm-up.
type Registration struct {
	Server      string
	Incarnation int64
	Started     time.Time     // by the server's clock
	Left        time.Duration // remaining warm-up time
	Unknown     bool          // Left has no meaning
	ReadAt      time.Time     // when it was read
	WarmupTime  time.Duration // the longest warm-up of the service's servers
}

// Warmups holds until when backend servers are cold, as far as one instance knows. A server is cold until the latest time that its
// registrations and answers give. One that is not known to be warm counts as cold until it says that it is warm, but not for longer
// than a warm-up takes. The zero Warmups is empty. It is not safe for concurrent use.
type Warmups struct {
	servers map[string]*warmup
}

// warmup is what is known of one server.
type warmup struct {
	incarnation  int64
	longest      time.Duration // a warm-up
	readAt       time.Time     // of the registration that was recorded last
	until        time.Time     // the latest time that a statement gives
	assumedAt    time.Time     // when it became unknown whether the server is warm
	askedFrom    time.Time     // when it was first asked since then; the zero Time before that
	assumedUntil time.Time     // the zero Time if that is known
	askedAt      time.Time
	sentAt       time.Time // of the latest request
	doubtedAt    time.Time // when requests began after a time without any; the zero Time once it is known that the server is warm
	doubted      int       // requests since then
	held         bool      // a request was held since then
	absentSince  time.Time // the zero Time while the server is registered
}

// Register records a registration, and reports whether its statement is invalid: it names no warm-up time, or a longer one than
// the service's servers have. A registration that was recorded before changes nothing.
func (w *Warmups) Register(now time.Time, r Registration) (invalid bool) {
	s := w.servers[r.Server]
	isNew := s == nil || r.Incarnation > s.incarnation
	switch {
	case isNew:
		s = &warmup{incarnation: r.Incarnation}
		if w.servers == nil {
			w.servers = map[string]*warmup{}
		}
		w.servers[r.Server] = s
	case r.Incarnation < s.incarnation:
		return false
	}
	s.longest = r.WarmupTime
	if !s.absentSince.IsZero() {
		s.absentSince = time.Time{}
		s.assume(now, now.Add(r.WarmupTime+warmupMargin))
	}
	if isNew && r.Left == 0 {
		// A registration may be older than the beginning of the warm-up.
		longest := r.WarmupTime + warmupMargin
		// From now on the time left counts by this instance's own clock, which is never set back.
		s.assume(now, now.Add(min(longest, r.Started.Add(longest).Sub(now))))
	}
	if !isNew && r.ReadAt.Sub(s.readAt).Abs() < sameRegistration {
		return false
	}
	s.readAt = r.ReadAt
	if !r.Unknown {
		s.state(r.ReadAt, r.Left)
	}
	return r.Unknown || r.Left > r.WarmupTime
}

// Answered records that a server has answered a question that was sent at a given time by naming its remaining warm-up time, and
// reports whether that is a valid one. A negative time is no statement.
func (w *Warmups) Answered(now, asked time.Time, server string, incarnation int64, left time.Duration) (valid bool) {
	s := w.servers[server]
	if s == nil || s.incarnation != incarnation {
		return true
	}
	if left < 0 {
		return false
	}
	if !asked.Before(s.assumedAt) {
		s.assumedUntil = time.Time{}
	}
	if !asked.Before(s.doubtedAt) {
		s.doubtedAt, s.sentAt = time.Time{}, later(s.sentAt, asked)
	}
	s.state(now, left)
	return left <= s.longest
}

// Suspect records that a server may have turned cold, for example because it has failed in a way in which one that starts again
// fails. It reports whether the server can be cold.
func (w *Warmups) Suspect(now time.Time, server string) bool {
	s := w.servers[server]
	if s == nil || s.longest <= 0 {
		return false
	}
	s.assume(now, now.Add(s.longest+warmupMargin))
	if s.askedFrom.IsZero() && s.inDoubt(now) && !s.askedAt.Before(s.doubtedAt) {
		s.askedFrom = s.askedAt
	}
	return true
}

// Sending records that a request is about to be sent to a server to which this instance may send most requests within a second
// while it is cold. It reports whether the request must be held instead, until the server has answered a question or counts as
// cold: the requests that begin after a time without any may be the first of a new incarnation.
func (w *Warmups) Sending(now time.Time, server string, most int) (hold bool) {
	s := w.servers[server]
	if s == nil || s.longest <= 0 {
		return false
	}
	if s.awaitsAnswer(now) {
		return !now.Before(s.until) // else it is known to be cold
	}
	// A doubt in which no request was sent goes on, since the answer to a question counts only for the doubt in which it was asked.
	if now.Sub(s.sentAt) > doubtAfter && !(s.inDoubt(now) && s.doubtedAt.After(s.sentAt)) {
		s.doubtedAt, s.doubted, s.held = now, 0, false
	}
	if s.inDoubt(now) && s.doubted >= min(maxDoubted, most) && !now.Before(s.until) && !now.Before(s.assumedUntil) {
		s.held = true
		return true
	}
	s.sentAt = now
	s.doubted++
	return false
}

// awaitsAnswer reports whether the server is not known to be warm, but may soon have answered that it is.
func (s *warmup) awaitsAnswer(now time.Time) bool {
	return now.Before(s.assumedUntil) && (s.askedFrom.IsZero() || now.Sub(s.askedFrom) < answerTime)
}

// inDoubt reports whether a restart of the server may have gone unnoticed.
func (s *warmup) inDoubt(now time.Time) bool {
	return !s.doubtedAt.IsZero() && now.Sub(s.doubtedAt) < doubtTime
}

// ColdUntil returns until when an incarnation of a server is cold, or the zero Time if nothing is known.
func (w *Warmups) ColdUntil(server string, incarnation int64) time.Time {
	s := w.servers[server]
	switch {
	case s == nil || s.incarnation != incarnation:
		return time.Time{}
	case s.assumedUntil.After(s.until):
		return s.assumedUntil
	}
	return s.until
}

// StatedUntil returns until when an incarnation of a server is cold by what it has said itself, or the zero Time.
func (w *Warmups) StatedUntil(server string, incarnation int64) time.Time {
	if s := w.servers[server]; s != nil && s.incarnation == incarnation {
		return s.until
	}
	return time.Time{}
}

// Empty reports whether no server is known.
func (w *Warmups) Empty() bool { return len(w.servers) == 0 }

// LimitedUntil returns until when a queue must limit the requests to an incarnation of a server, or the zero Time: until it is warm,
// but not while its answer may come soon, since requests would be refused that need to wait only for that. Sending holds these.
func (w *Warmups) LimitedUntil(now time.Time, server string, incarnation int64) time.Time {
	if s := w.servers[server]; s != nil && s.incarnation == incarnation && s.awaitsAnswer(now) {
		return s.until
	}
	return w.ColdUntil(server, incarnation)
}

// Ask reports whether a server must be asked now whether it is cold. The question counts as sent.
func (w *Warmups) Ask(now time.Time, server string) bool {
	s := w.servers[server]
	if s == nil || now.Sub(s.askedAt) < askInterval {
		return false
	}
	if !now.Before(s.assumedUntil) && !(s.inDoubt(now) && (s.held || s.doubted >= askDoubted) && !now.Before(s.until)) {
		return false
	}
	s.askedAt = now
	if s.askedFrom.IsZero() {
		s.askedFrom = now
	}
	return true
}

// Cold returns how many servers are cold.
func (w *Warmups) Cold(now time.Time) int {
	count := 0
	for _, s := range w.servers {
		if s.absentSince.IsZero() && (now.Before(s.until) || now.Before(s.assumedUntil)) {
			count++
		}
	}
	return count
}

// Retain marks the servers for which keep returns false as gone. One that comes back is not known to be warm.
func (w *Warmups) Retain(now time.Time, keep func(server string) bool) {
	for id, s := range w.servers {
		switch {
		case keep(id):
		case s.absentSince.IsZero():
			s.absentSince = now
		case now.Sub(s.absentSince) > forgetAfter:
			delete(w.servers, id)
		}
	}
}

// state records that the server has said at a given time how long it stays cold.
func (s *warmup) state(at time.Time, left time.Duration) {
	if left <= 0 {
		return
	}
	if until := at.Add(min(left, s.longest) + warmupMargin); until.After(s.until) {
		s.until = until
	}
}

// assume records that the server is not known to be warm.
func (s *warmup) assume(now, until time.Time) {
	if !now.Before(until) {
		return
	}
	if !now.Before(s.assumedUntil) {
		s.askedFrom = time.Time{}
	}
	s.assumedAt = now // an answer to an earlier question proves nothing
	if until.After(s.assumedUntil) {
		s.assumedUntil = until
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
