package emulator

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/platform"
)

const maxRequestBytes = 64 << 20

// work is one request that waits or runs.
type work struct {
	requestID string
	keyed     bool
	key       uint16
	deadline  time.Time // zero is none
	body      []byte
}

// The reasons for which a server turns a request away.
const (
	reasonTarget   = "another_server"
	reasonID       = "no_request_id"
	reasonKey      = "key_not_owned"
	reasonFull     = "full"
	reasonDeadline = "time_is_up"
)

// serveData takes one request through queue, execution and answer. Its work ends when the connection does.
func (s *Server) serveData(w http.ResponseWriter, r *http.Request) {
	j, status, reason := s.newWork(r)
	if reason == "" {
		status, reason = s.enter(r.Context(), j)
	}
	if reason != "" {
		s.reject(w, status, reason)
		return
	}
	defer func() { <-s.slots }()
	e, cold, reason := s.begin(j, r)
	if reason != "" {
		s.reject(w, http.StatusMisdirectedRequest, reason)
		return
	}
	pause(r.Context(), s.serviceTime(e.Start, cold))
	e, whole := s.end(j, e)
	if r.Context().Err() != nil {
		breakConnection()
	}
	s.answer(w, r, j, e, whole)
}

// newWork reads the request, or returns why it is turned away.
func (s *Server) newWork(r *http.Request) (j *work, status int, reason string) {
	received := time.Now()
	if target := r.Header.Get(platform.HeaderTarget); target != "" && target != s.settings.ID {
		return nil, http.StatusMisdirectedRequest, reasonTarget
	}
	j = &work{requestID: r.Header.Get(platform.HeaderRequestID)}
	if j.requestID == "" {
		return nil, http.StatusBadRequest, reasonID
	}
	if s.settings.Keyed {
		key, err := strconv.ParseUint(r.Header.Get(platform.HeaderKey), 10, 16)
		if err != nil {
			return nil, http.StatusMisdirectedRequest, reasonKey
		}
		j.keyed, j.key = true, uint16(key)
	}
	if left, err := strconv.ParseFloat(r.Header.Get(platform.HeaderTimeLeft), 64); err == nil {
		j.deadline = received.Add(time.Duration(left * float64(time.Millisecond)))
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		breakConnection()
	}
	j.body = body
	return j, 0, ""
}

// enter waits for a slot, or returns why the request is turned away.
func (s *Server) enter(ctx context.Context, j *work) (status int, reason string) {
	s.mu.Lock()
	full := s.faults.get().Shed || len(s.slots)+s.waiting >= s.settings.Slots+s.settings.QueueLimit
	if full {
		s.mu.Unlock()
		if s.settings.HangsWhenFull {
			<-ctx.Done()
			breakConnection()
		}
		return http.StatusServiceUnavailable, reasonFull
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	expired := make(<-chan time.Time)
	if !j.deadline.IsZero() {
		timer := time.NewTimer(time.Until(j.deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case s.slots <- struct{}{}:
		return 0, ""
	case <-expired:
		return http.StatusServiceUnavailable, reasonDeadline
	case <-ctx.Done():
		breakConnection()
	}
	return 0, ""
}

// begin begins to run the work, or returns why it can't be run here.
func (s *Server) begin(j *work, r *http.Request) (e Execution, cold bool, reason string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e = Execution{
		Server: s.settings.ID, Incarnation: s.born.UnixMilli(), RequestID: j.requestID, Method: r.Method, Service: s.settings.Service,
		Key: NoKey, Start: now,
	}
	if j.keyed {
		o, ok := s.keys.find(now, j.key)
		if !ok {
			return e, false, reasonKey
		}
		e.Key, e.Fence, cold = int(j.key), o.fence, now.Before(o.warm)
	}
	s.sequence++
	s.counts.Runs++
	e.Sequence = s.sequence
	s.running[j] = true
	s.note(e)
	return e, cold, ""
}

// end ends the work. whole is false where the server stopped owning the key before.
func (s *Server) end(j *work, e Execution) (ended Execution, whole bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, j)
	e.End, whole = now, true
	if j.keyed && !s.ownsStill(now, j, &e) {
		whole = false
	}
	s.note(e)
	close(s.changed)
	s.changed = make(chan struct{})
	return e, whole
}

// ownsStill reports whether the key is owned at now. Where its time ran out, it sets the end of e to that time. What was
// released while it ran is whole: the release waits for it. The caller holds mu.
func (s *Server) ownsStill(now time.Time, j *work, e *Execution) bool {
	for _, o := range s.keys.list {
		if o.keys.Contains(j.key) && !now.Before(o.until) {
			e.End = o.until
			return false
		}
	}
	return true
}

// note keeps an execution and passes it on.
func (s *Server) note(e Execution) {
	s.executions.add(e)
	if s.settings.OnExecution != nil {
		s.settings.OnExecution(e)
	}
}

// leaving reports whether the server said that it is leaving.
func (s *Server) leaving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != cataloger.Ready
}
