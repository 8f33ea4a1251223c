package faulter

import (
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// nonceMemory is how many nonces a server remembers.
const nonceMemory = 16

// holding is a server's belief that it owns a partition.
type holding struct {
	epoch identifier.Epoch
	until time.Time
}

// fakeServer is a backend server with fenced grants.
type fakeServer struct {
	mailbox
	world   *World
	name    identifier.ServerName
	address string
	// checks says that the server turns away orders without a standing grant.
	checks  bool
	term    identifier.Term
	holds   map[identifier.PartitionID]holding
	revoked map[identifier.PartitionID]identifier.Epoch
	running map[identifier.PartitionID]int
	nonces  map[string]time.Time
	issued  int
}

func newFakeServer(w *World, name identifier.ServerName, address string, checks bool) *fakeServer {
	return &fakeServer{
		mailbox: mailbox{schedule: &w.clock},
		world:   w,
		name:    name,
		address: address,
		checks:  checks,
		holds:   map[identifier.PartitionID]holding{},
		revoked: map[identifier.PartitionID]identifier.Epoch{},
		running: map[identifier.PartitionID]int{},
		nonces:  map[string]time.Time{},
	}
}

// holdsNow reports whether the server believes that it owns the partition.
func (s *fakeServer) holdsNow(p identifier.PartitionID) bool {
	return s.world.now.Before(s.holds[p].until)
}

func (s *fakeServer) nonce() string {
	s.issued++
	name := strconv.Itoa(s.issued)
	s.nonces[name] = s.world.now
	delete(s.nonces, strconv.Itoa(s.issued-nonceMemory))
	return name
}

// grant answers a grant.
func (s *fakeServer) grant(g commander.Grant) commander.GrantAnswer {
	answer := commander.GrantAnswer{Checks: s.checks}
	if s.checks && g.Term < s.term {
		answer.Refused = string(commander.RefusedStaleTerm)
		answer.Term = s.term
		answer.Nonce = s.nonce()
		return answer
	}
	if g.Term > s.term {
		s.holds = map[identifier.PartitionID]holding{}
	}
	s.term = max(s.term, g.Term)
	answer.Term = s.term
	issued, ok := s.nonces[g.Echo]
	until := issued.Add(g.TTL)
	if !ok || !s.world.now.Before(until) {
		answer.Refused = "echo"
		answer.Nonce = s.nonce()
		return answer
	}
	s.adopt(g, until)
	answer.Accepted = true
	answer.Nonce = s.nonce()
	return answer
}

func (s *fakeServer) adopt(g commander.Grant, until time.Time) {
	s.holds = map[identifier.PartitionID]holding{}
	for _, p := range g.Partitions {
		if s.revoked[p.ID] >= p.Epoch {
			continue
		}
		s.holds[p.ID] = holding{epoch: p.Epoch, until: until}
		s.world.checkHolders(p.ID)
	}
}

// revoke gives up partitions and reports once nothing of them runs.
func (s *fakeServer) revoke(r commander.Revoke, done func()) {
	if s.checks && r.Term < s.term {
		return
	}
	for _, p := range r.Partitions {
		if held, ok := s.holds[p]; ok {
			s.revoked[p] = held.epoch
		}
		delete(s.holds, p)
	}
	s.reportIdle(r.Partitions, done)
}

func (s *fakeServer) reportIdle(partitions []identifier.PartitionID, done func()) {
	for _, p := range partitions {
		if s.running[p] > 0 {
			s.world.after(serviceTime/4, func() { s.receive(func() { s.reportIdle(partitions, done) }) })
			return
		}
	}
	done()
}

// refuses returns why the server does not execute a request now, or "".
func (s *fakeServer) refuses(r *request) commander.Refusal {
	if !s.checks {
		return ""
	}
	held, ok := s.holds[r.partition]
	switch {
	case !r.fenced:
		return commander.RefusedNoGrant
	case r.term != s.term:
		return commander.RefusedStaleTerm
	case !ok || !s.world.now.Before(held.until):
		return commander.RefusedNoGrant
	case held.epoch != r.epoch:
		return commander.RefusedStaleEpoch
	case !s.world.now.Before(r.deadline):
		return commander.RefusedExpired
	}
	return ""
}

// execute runs a request: a check, the service time, a check, the effect.
func (s *fakeServer) execute(r *request, answer func(executed bool)) {
	if s.refuses(r) != "" {
		answer(false)
		return
	}
	s.running[r.partition]++
	s.world.after(serviceTime, func() {
		s.receive(func() {
			s.running[r.partition]--
			if s.refuses(r) != "" {
				answer(false)
				return
			}
			s.world.effect(s, r)
			answer(true)
		})
	})
}
