package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/tracer"
)

// sendGrant renews the grant of a server when it is due: with each heartbeat, and at once after a change of ownership.
func (c *Controller) sendGrant(now time.Time, s *session) {
	timings := c.timings()
	if s.busy || !s.dirty && s.seen == c.ownerChanges && now.Sub(s.lastSent) < timings.Heartbeat {
		return
	}
	ttl, echo, ok := c.grantTerms(now, s)
	if !ok {
		return
	}
	s.sent = c.grantSet(now, s, echo)
	s.sentTTL = ttl
	s.busy = true
	s.dirty = false
	s.seen = c.ownerChanges
	s.lastSent = now
	c.extendLapse(now, s, echo, ttl)
	c.do(SendGrant{
		Server:  s.server,
		Address: s.address,
		Timeout: timings.Detection / 2,
		Grant: commander.Grant{
			Issuer:     c.id,
			Term:       s.term,
			TTL:        ttl,
			Echo:       echo,
			Partitions: s.sent.list(),
		},
	})
}

// grantTerms returns the time to live of the next grant and the nonce that it echoes. A grant ends before the lease of
// its issuer does; without a usable nonce it only asks for a fresh one.
func (c *Controller) grantTerms(now time.Time, s *session) (time.Duration, string, bool) {
	timings := c.timings()
	lease := c.LeaseUntil()
	if !now.Before(lease) {
		return 0, "", false
	}
	from := now
	if s.nonce != "" {
		from = s.nonceHeard
	}
	ttl := min(timings.GrantTTL, leaser.Shrink(lease.Sub(from), timings.ClockDrift))
	ttl = ttl.Truncate(time.Millisecond)
	if s.nonce != "" && !now.Before(s.nonceAsked.Add(ttl)) {
		return timings.GrantTTL, "", true
	}
	return ttl, s.nonce, ttl > 0
}

// grantSet returns the partitions of the next grant.
func (c *Controller) grantSet(now time.Time, s *session, echo string) owned {
	set := owned{}
	if echo == "" && !s.nonceless || now.Before(s.openAt) {
		return set
	}
	for partition, epoch := range c.ownedBy(s.server) {
		if _, closing := s.closing[partition]; !closing {
			set[partition] = epoch
		}
	}
	return set
}

func (c *Controller) extendLapse(now time.Time, s *session, echo string, ttl time.Duration) {
	if len(s.sent) == 0 {
		return
	}
	widest := c.state.Widest()
	ends := s.nonceHeard.Add(leaser.Stretch(ttl, widest.ClockDrift))
	if echo == "" {
		ends = now.Add(leaser.Stretch(ttl+widest.PauseBound, widest.ClockDrift))
	}
	if ends.After(s.lapse) {
		s.lapse = ends
	}
}

func (c *Controller) onGrantAnswered(now time.Time, e GrantAnswered) {
	s, ok := c.sessions[e.Server]
	if !ok || s.term != e.Term {
		return
	}
	s.busy = false
	s.lastAnswer = now
	if s.down {
		s.down = false
		c.note(tracer.KindServerBack, string(s.server), "")
	}
	c.learnChecks(now, s, e.Answer.Checks)
	if e.Answer.Term > s.term {
		s.granted = nil
		s.grantUntil = time.Time{}
		return
	}
	s.fenced = e.Answer.Term == s.term
	c.takeAnswer(now, s, e.Answer)
}

func (c *Controller) takeAnswer(now time.Time, s *session, answer commander.GrantAnswer) {
	if answer.Accepted {
		first := s.grantUntil.IsZero()
		s.granted = s.sent
		s.nonceless = answer.Nonce == ""
		begin := s.nonceAsked
		if s.nonce == "" {
			begin = s.lastSent
		}
		s.grantUntil = begin.Add(leaser.Shrink(s.sentTTL, c.timings().ClockDrift))
		if first {
			c.note(tracer.KindGrantAccepted, string(s.server), "")
		}
	}
	fresh := s.nonce == ""
	s.nonce = answer.Nonce
	s.nonceAsked = s.lastSent
	s.nonceHeard = now
	if fresh && s.nonce != "" {
		s.dirty = true
	}
}

func (c *Controller) onGrantFailed(e GrantFailed) {
	s, ok := c.sessions[e.Server]
	if !ok || s.term != e.Term {
		return
	}
	s.busy = false
	s.uncertainUntil = s.lapse
}

// learnChecks takes over at once that a server does not check its orders, and records either finding.
func (c *Controller) learnChecks(now time.Time, s *session, checks bool) {
	known, _ := c.state.GetServerByName(s.server)
	if !checks {
		if s.checks && s.exclusive && !known.Front.Clean {
			c.awaitStaleSenders(now, s)
		}
		s.checks = false
	} else if known.Met && known.Checks {
		s.checks = true
	}
	if known.Met && known.Checks == checks {
		return
	}
	c.propose(now, "meet/"+string(s.server), recorder.MeetServer{Server: s.server, Version: known.Version, Checks: checks})
}
