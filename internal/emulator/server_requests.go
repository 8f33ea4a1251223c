package emulator

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/platform"
)

// maxRequestBytes bounds the body of a request; the rest is ignored.
const maxRequestBytes = 64 << 20

// job is a request from its arrival until its execution ends.
type job struct {
	requestID string
	keyed     bool
	key       uint16
	deadline  time.Time // zero if there is none
	body      []byte
}

// The reasons for which a server rejects a request.
const (
	reasonTarget    = "another_server"
	reasonRequestID = "no_request_id"
	reasonKey       = "key_not_owned" // also for a missing or malformed key
	reasonFull      = "full"
	reasonDeadline  = "time_is_up"
)

// serveRequest queues, executes and answers a request. The execution ends early if the client closes the connection.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID)) // also in rejections
	j, status, reason := s.newJob(r)
	if reason == "" {
		status, reason = s.acquireSlot(r.Context(), j)
	}
	if reason != "" {
		if ms := s.faults.get().RetryAfterMS; reason == reasonFull && ms > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(float64(ms)/1000, 'f', -1, 64))
		}
		s.reject(w, status, reason)
		return
	}
	defer func() { <-s.slots }()
	e, inWarmup, reason := s.beginExecution(j, r)
	if reason != "" {
		s.reject(w, http.StatusMisdirectedRequest, reason)
		return
	}
	pause(r.Context(), s.serviceTime(e.Start, inWarmup))
	e, owned := s.endExecution(j, e)
	if r.Context().Err() != nil {
		abortConnection()
	}
	s.sendAnswer(w, r, j, e, owned)
}

// newJob reads a request. If the request is rejected, it returns the status of the answer and the reason.
func (s *Server) newJob(r *http.Request) (j *job, status int, reason string) {
	received := time.Now()
	if target := r.Header.Get(platform.HeaderTarget); target != "" && target != s.settings.ID {
		return nil, http.StatusMisdirectedRequest, reasonTarget
	}
	j = &job{requestID: r.Header.Get(platform.HeaderRequestID)}
	if j.requestID == "" {
		return nil, http.StatusBadRequest, reasonRequestID
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
	s.countArrival(received, j)
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		abortConnection()
	}
	j.body = body
	return j, 0, ""
}

// acquireSlot waits for a slot. If the request is rejected, it returns the status of the answer and the reason.
func (s *Server) acquireSlot(ctx context.Context, j *job) (status int, reason string) {
	s.mu.Lock()
	full := s.faults.get().Shed || len(s.slots)+s.waiting >= s.settings.Slots+s.settings.QueueLimit
	if full {
		s.mu.Unlock()
		if s.settings.HangsWhenFull {
			<-ctx.Done()
			abortConnection()
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
		abortConnection()
	}
	return 0, ""
}

// beginExecution starts an execution. It returns a reason if the server doesn't own the key. inWarmup says that the key is
// in its warm-up.
func (s *Server) beginExecution(j *job, r *http.Request) (e Execution, inWarmup bool, reason string) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	e = Execution{
		Server: s.settings.ID, Incarnation: s.started.UnixMilli(), RequestID: j.requestID, Method: r.Method,
		Service: s.settings.Service, Key: NoKey, Start: now,
	}
	if j.keyed {
		l, ok := s.leases.find(now, j.key)
		if !ok {
			return e, false, reasonKey
		}
		e.Key, e.Fence, inWarmup = int(j.key), l.fence, now.Before(l.warmupEnd)
	}
	s.sequence++
	s.counts.Executed++
	e.Sequence = s.sequence
	s.running[j] = true
	s.recordExecution(e)
	if s.settings.CrashOn != "" && strings.Contains(r.RequestURI, s.settings.CrashOn) {
		s.settings.OnCrash()
	}
	return e, inWarmup, ""
}

// endExecution ends an execution. owned is false if the lease of the key has expired; see limitEndToLease.
func (s *Server) endExecution(j *job, e Execution) (ended Execution, owned bool) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, j)
	e.End, owned = now, true
	if j.keyed && !s.limitEndToLease(now, j, &e) {
		owned = false
	}
	s.recordExecution(e)
	close(s.executionEnded)
	s.executionEnded = make(chan struct{})
	return e, owned
}

// limitEndToLease reports whether the lease of the job's key is still valid at now. If the lease has expired, it sets the
// end of e to the expiry. A key that was released during the execution counts as owned, because the release waits for the
// execution to end. The caller holds mu.
func (s *Server) limitEndToLease(now time.Time, j *job, e *Execution) bool {
	for _, l := range s.leases.list {
		if l.keys.Contains(j.key) && !now.Before(l.expiry) {
			e.End = l.expiry
			return false
		}
	}
	return true
}

// recordExecution stores the state of an execution and calls OnExecution. The caller holds mu.
func (s *Server) recordExecution(e Execution) {
	s.executions.add(e)
	if s.settings.OnExecution != nil {
		s.settings.OnExecution(e)
	}
}

// draining reports whether the server is draining.
func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != cataloger.Ready
}
