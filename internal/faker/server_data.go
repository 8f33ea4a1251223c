package faker

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// The headers of a request to a backend server and of its answer.
const (
	headerPartition  = "Wasabibank-Partition"
	headerEpoch      = "Wasabibank-Epoch"
	headerTerm       = "Wasabibank-Term"
	headerDeadline   = "Wasabibank-Deadline-Ms"
	headerRequestID  = "Wasabibank-Request-Id"
	headerExchangeID = "Wasabibank-Exchange-Id"
	headerRefused    = "Wasabibank-Refused"
)

const maxRequestBytes = 64 << 20

// job is one request that waits or executes. Its fields change under the server's mutex.
type job struct {
	ticket     ticket
	exchangeID string
	execution  Execution
	sum        string
	bytes      int
	cancelled  bool
	ctx        context.Context
	stop       context.CancelFunc
}

// serveData takes one request through queue, execution, effect and answer. It goes on when the sender has gone.
func (s *Server) serveData(w http.ResponseWriter, r *http.Request) {
	s.freezer.wait()
	j, ok := s.newJob(w, r)
	if !ok {
		return
	}
	defer j.stop()
	s.freezer.wait()
	refused := s.enter(j)
	if refused == "" {
		refused = s.execute(j)
		s.leave(j)
	}
	s.freezer.wait()
	if refused != "" {
		s.refuse(w, refused)
		return
	}
	s.answer(w, r, j)
}

// newJob reads the request, or answers 400 and returns false.
func (s *Server) newJob(w http.ResponseWriter, r *http.Request) (*job, bool) {
	received := s.settings.Clock.now()
	service, key, ok := splitPath(r.URL.EscapedPath())
	if !ok {
		writeJSON(w, http.StatusNotFound, refusal{Message: "paths are /{service}/{key}"})
		return nil, false
	}
	t, ok := newTicket(r, service, received)
	if !ok {
		writeJSON(w, http.StatusBadRequest, refusal{Message: "partition, epoch, term and deadline are whole numbers"})
		return nil, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, refusal{Message: err.Error()})
		return nil, false
	}
	j := &job{ticket: t, exchangeID: r.Header.Get(headerExchangeID), sum: Sum(body), bytes: len(body)}
	j.ctx, j.stop = context.WithCancel(context.Background())
	j.execution = Execution{
		Server:    s.settings.Name,
		Run:       s.settings.Run,
		RequestID: r.Header.Get(headerRequestID),
		Method:    r.Method,
		Service:   service,
		Key:       key,
		Partition: t.partition.Index,
		Epoch:     t.epoch,
		Term:      t.term,
	}
	return j, true
}

// splitPath returns service and key, as raw segments, of /{service}/{key}[/rest].
func splitPath(path string) (identifier.ServiceName, string, bool) {
	segments := strings.SplitN(strings.TrimPrefix(path, "/"), "/", 3)
	if len(segments) < 2 || segments[0] == "" || segments[1] == "" {
		return "", "", false
	}
	return identifier.ServiceName(segments[0]), segments[1], true
}

func newTicket(r *http.Request, service identifier.ServiceName, received time.Time) (ticket, bool) {
	partition := r.Header.Get(headerPartition)
	partition = partition[strings.LastIndexByte(partition, '/')+1:]
	index, err := strconv.ParseUint("0"+partition, 10, 31)
	epoch, okEpoch := headerNumber(r, headerEpoch)
	term, okTerm := headerNumber(r, headerTerm)
	left, okDeadline := headerNumber(r, headerDeadline)
	if err != nil || !okEpoch || !okTerm || !okDeadline {
		return ticket{}, false
	}
	t := ticket{
		partition: identifier.PartitionID{Service: service, Index: identifier.PartitionIndex(index)},
		epoch:     identifier.Epoch(epoch),
		term:      identifier.Term(term),
	}
	if r.Header.Get(headerDeadline) != "" {
		t.deadline = received.Add(milliseconds(int64(left)))
	}
	return t, true
}

// enter puts the job into the queue, or returns why it is refused.
func (s *Server) enter(j *job) commander.Refusal {
	faults := s.faults.get()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return commander.RefusedDraining
	}
	if faults.Shed || len(s.jobs) >= s.settings.Slots+s.settings.QueueBound {
		return commander.RefusedShed
	}
	s.jobs[j] = false
	return ""
}

func (s *Server) leave(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, j)
	s.wakeLocked()
}

// execute waits for a slot and executes the job. It returns why the job had no effect, or "".
func (s *Server) execute(j *job) commander.Refusal {
	select {
	case s.slots <- struct{}{}:
	case <-j.ctx.Done():
		return commander.RefusedCancelled
	}
	defer func() { <-s.slots }()
	s.freezer.wait()
	if refused := s.begin(j); refused != "" {
		return refused
	}
	s.pause(j.ctx, s.serviceTime())
	s.collect(j.execution)
	s.freezer.wait()
	refused := s.effect(j)
	s.collect(j.execution)
	return refused
}

// begin checks the job when it starts to execute.
func (s *Server) begin(j *job) commander.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.now()
	if refused := s.checkLocked(j, now); refused != "" {
		return refused
	}
	s.jobs[j] = true
	j.execution.Start = now
	j.execution.State = StatePending
	j.execution = s.journal.begin(j.execution)
	return ""
}

// effect checks the job again and brings about its effect, both at one moment.
func (s *Server) effect(j *job) commander.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.now()
	refused := s.checkLocked(j, now)
	j.execution.End = now
	j.execution.State = StateEffect
	if refused != "" {
		j.execution.State = StateWithdrawn
		j.execution.Refused = string(refused)
	} else {
		s.counts.Effects++
	}
	delete(s.jobs, j)
	s.journal.finish(j.execution)
	s.wakeLocked()
	return refused
}

func (s *Server) checkLocked(j *job, now time.Time) commander.Refusal {
	if j.cancelled {
		return commander.RefusedCancelled
	}
	if !j.ticket.deadline.IsZero() && !now.Before(j.ticket.deadline) {
		return commander.RefusedExpired
	}
	if s.faults.get().UncheckedFence {
		return ""
	}
	return s.fence.check(j.ticket, now)
}

// refuse answers that the request was not executed and will not be.
func (s *Server) refuse(w http.ResponseWriter, refused commander.Refusal) {
	s.mu.Lock()
	s.counts.Refused[refused]++
	s.mu.Unlock()
	status := http.StatusConflict
	if refused == commander.RefusedShed || refused == commander.RefusedDraining {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set(headerRefused, string(refused))
	writeJSON(w, status, refusal{Message: string(refused)})
}
