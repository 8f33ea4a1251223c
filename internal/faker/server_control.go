package faker

import (
	"net/http"
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	s.freezer.wait()
	var wire commander.WireGrant
	if !decodeJSON(w, r, &wire) {
		return
	}
	s.freezer.wait()
	answer := s.acceptGrant(wire.Grant())
	s.answerControl(w, answer)
}

func (s *Server) acceptGrant(grant commander.Grant) commander.WireGrantAnswer {
	faults := s.faults.get()
	now := s.settings.Clock.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.grantLocked(grant, faults, now)
	answer := commander.WireGrantAnswer{
		Accepted: refused == "",
		Checks:   faults.checks(),
		Term:     s.fence.term,
		Refused:  string(refused),
		Load:     s.loadLocked(),
	}
	if !faults.Nonceless {
		answer.Nonce = s.nonces.issue(s.settings.Run, now)
	}
	return answer
}

func (s *Server) grantLocked(grant commander.Grant, faults ServerFaults, now time.Time) commander.Refusal {
	if faults.UncheckedControl {
		s.fence.obey(grant.Issuer, grant.Term)
		s.fence.grant(grant, now.Add(grant.TTL))
		return ""
	}
	if refused := s.fence.order(grant.Issuer, grant.Term); refused != "" {
		return refused
	}
	from, known := s.nonces.issuedAt(grant.Echo)
	if faults.Nonceless {
		from, known = now, true
	}
	if !known || !now.Before(from.Add(grant.TTL)) {
		return commander.RefusedEcho
	}
	if refused := s.fence.checkEpochs(grant); refused != "" {
		return refused
	}
	s.fence.grant(grant, from.Add(grant.TTL))
	return ""
}

// serveRevoke answers after nothing of the revoked partitions runs any more.
func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	s.freezer.wait()
	var revoke commander.Revoke
	if !decodeJSON(w, r, &revoke) {
		return
	}
	s.freezer.wait()
	answer := s.order(revoke.Issuer, revoke.Term, func() { s.fence.revoke(revoke.Partitions) })
	if answer.Accepted && !s.awaitIdle(r, revoke.Partitions) {
		breakConnection()
	}
	s.freezer.wait()
	s.answerControl(w, answer)
}

// awaitIdle waits until nothing of partitions runs; it returns false when the sender has gone.
func (s *Server) awaitIdle(r *http.Request, partitions []identifier.PartitionID) bool {
	for {
		s.mu.Lock()
		busy := s.runningLocked(partitions)
		changed := s.changed
		s.mu.Unlock()
		if !busy {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (s *Server) runningLocked(partitions []identifier.PartitionID) bool {
	for j, running := range s.jobs {
		if running && slices.Contains(partitions, j.ticket.partition) {
			return true
		}
	}
	return false
}

func (s *Server) serveDrain(w http.ResponseWriter, r *http.Request) {
	s.freezer.wait()
	var drain commander.Drain
	if !decodeJSON(w, r, &drain) {
		return
	}
	s.freezer.wait()
	s.answerControl(w, s.order(drain.Issuer, drain.Term, func() { s.draining = true }))
}

func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	s.freezer.wait()
	var cancel commander.Cancel
	if !decodeJSON(w, r, &cancel) {
		return
	}
	s.freezer.wait()
	notRun := false
	answer := s.order(cancel.Issuer, cancel.Term, func() { notRun = s.cancelLocked(cancel.ExchangeID) })
	answer.NotRun = notRun
	s.answerControl(w, answer)
}

// cancelLocked stops the request where it has had no effect yet, and reports whether it did.
func (s *Server) cancelLocked(exchangeID string) bool {
	stopped := false
	for j := range s.jobs {
		if j.exchangeID == exchangeID {
			j.cancelled = true
			j.stop()
			stopped = true
		}
	}
	return stopped
}

// order checks the sender of a command and does act where it is rightful.
func (s *Server) order(issuer identifier.InstanceID, term identifier.Term, act func()) commander.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.get().UncheckedControl {
		s.fence.obey(issuer, term)
	} else if refused := s.fence.order(issuer, term); refused != "" {
		return commander.Answer{Term: s.fence.term, Refused: string(refused)}
	}
	act()
	return commander.Answer{Accepted: true, Term: s.fence.term}
}

func (s *Server) answerControl(w http.ResponseWriter, answer any) {
	if s.faults.take(func(f *ServerFaults) *int { return &f.LoseControlReplies }) {
		breakConnection()
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	s.freezer.wait()
	s.mu.Lock()
	health := commander.Health{Healthy: true, Draining: s.draining}
	s.mu.Unlock()
	switch s.faults.get().Health {
	case HealthLieHealthy:
		health = commander.Health{Healthy: true}
	case HealthLieSick:
		health = commander.Health{Healthy: false}
	}
	writeJSON(w, http.StatusOK, health)
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.freezer.wait()
	s.mu.Lock()
	load := s.loadLocked()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, load)
}

// loadLocked returns what the server says of its load.
func (s *Server) loadLocked() commander.Load {
	if lie := s.faults.get().Load; lie != nil {
		return *lie
	}
	var load commander.Load
	for _, running := range s.jobs {
		if running {
			load.Running++
		} else {
			load.Queued++
		}
	}
	return load
}
