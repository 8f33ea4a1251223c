package controller

import (
	"sort"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// owned is a set of partitions with the epochs of their ownership.
type owned map[identifier.PartitionID]identifier.Epoch

// session is this instance's dealing with one backend server that it fronts at one term.
type session struct {
	server  identifier.ServerName
	address string
	term    identifier.Term
	// exclusive says that the server's keys have a single owner.
	exclusive bool
	checks    bool
	nonceless bool
	fenced    bool
	down      bool
	busy      bool
	dirty     bool

	lastAnswer time.Time
	lastSent   time.Time
	// openAt is when traffic may begin.
	openAt time.Time
	// lapse is when every grant that this instance or an earlier one has given has run out.
	lapse time.Time
	// uncertainUntil is when a grant whose answer was lost has run out.
	uncertainUntil time.Time

	nonce      string
	nonceAsked time.Time
	nonceHeard time.Time

	sent       owned
	sentTTL    time.Duration
	granted    owned
	grantUntil time.Time

	// seen is the change of ownership that the newest grant took into account.
	seen    int
	closing map[identifier.PartitionID]*closing
	handing identifier.InstanceID
}

// syncSessions begins and ends sessions as the fold says.
func (c *Controller) syncSessions(now time.Time) {
	for _, name := range c.state.ServerNames() {
		known, _ := c.state.GetServerByName(name)
		s, ok := c.sessions[name]
		mine := known.Front.Holder == c.id && !c.expelled
		if ok && (!mine || s.term != known.Front.Term) {
			c.opts.Table.Gate(name).SetPermit(router.Permit{})
			delete(c.sessions, name)
			ok = false
		}
		if mine && !ok {
			c.sessions[name] = c.newSession(now, name, known)
		}
		if mine {
			c.refreshSession(now, c.sessions[name], known)
		}
	}
}

func (c *Controller) newSession(now time.Time, name identifier.ServerName, known reducer.ServerState) *session {
	widest := c.state.Widest()
	s := &session{
		server:     name,
		term:       known.Front.Term,
		checks:     known.Met && known.Checks,
		lastAnswer: now,
		openAt:     now,
		lapse:      now.Add(leaser.Stretch(widest.GrantTTL, widest.ClockDrift)),
		closing:    map[identifier.PartitionID]*closing{},
	}
	c.refreshSession(now, s, known)
	if s.exclusive && !s.checks && !known.Front.Clean {
		c.awaitStaleSenders(now, s)
	}
	return s
}

// awaitStaleSenders closes a server that turns nobody away until an earlier fronting instance that was paused just
// before it sent has sent or is past its pause bound.
func (c *Controller) awaitStaleSenders(now time.Time, s *session) {
	widest := c.state.Widest()
	if !now.Before(s.openAt) {
		s.dirty = true
	}
	s.openAt = now.Add(leaser.Stretch(widest.PauseBound, widest.ClockDrift))
}

// refreshSession takes over what the fold says of the server.
func (c *Controller) refreshSession(now time.Time, s *session, known reducer.ServerState) {
	s.address = known.Address
	s.exclusive = c.exclusive(s.server)
	checked := s.checks
	if known.Met && !known.Checks {
		s.checks = false
	}
	found := checked && !s.checks && !known.Front.Clean
	if s.exclusive && !s.checks && (found || len(known.Front.Unsettled) > 0) {
		c.awaitStaleSenders(now, s)
	}
}

// exclusive reports whether the server belongs to a keyed service, or to one that is no longer declared.
func (c *Controller) exclusive(server identifier.ServerName) bool {
	b := c.state.Bundle()
	if b == nil {
		return true
	}
	_, service, ok := b.GetServerByName(server)
	if !ok {
		return true
	}
	_, keyed := c.state.GetServiceByName(service)
	return keyed
}

// sortedSessions returns the sessions in order of server name.
func (c *Controller) sortedSessions() []*session {
	all := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		all = append(all, s)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].server < all[j].server })
	return all
}

// advanceSessions notices lost servers and sends the grants that are due.
func (c *Controller) advanceSessions(now time.Time) {
	for _, s := range c.sortedSessions() {
		c.noticeDown(now, s)
		c.sendGrant(now, s)
	}
}

func (c *Controller) noticeDown(now time.Time, s *session) {
	if s.down || now.Sub(s.lastAnswer) <= c.timings().Detection {
		return
	}
	s.down = true
	c.note(tracer.KindServerSuspected, string(s.server), "")
	c.opts.Table.Gate(s.server).Abort()
}

// closeAll ends every session and takes every permit back.
func (c *Controller) closeAll() {
	for name := range c.sessions {
		c.opts.Table.Gate(name).SetPermit(router.Permit{})
	}
	c.sessions = map[identifier.ServerName]*session{}
}

// ownedBy returns the partitions that the fold gives to the server. The caller must not change it.
func (c *Controller) ownedBy(server identifier.ServerName) owned {
	if c.owners == nil {
		c.owners = c.ownersByServer()
	}
	return c.owners[server]
}

func (c *Controller) ownersByServer() map[identifier.ServerName]owned {
	owners := map[identifier.ServerName]owned{}
	for _, name := range c.state.ServiceNames() {
		service, _ := c.state.GetServiceByName(name)
		for i, partition := range service.Partitions {
			if partition.Owner == "" {
				continue
			}
			if owners[partition.Owner] == nil {
				owners[partition.Owner] = owned{}
			}
			id := identifier.PartitionID{Service: name, Index: identifier.PartitionIndex(i)}
			owners[partition.Owner][id] = partition.Epoch
		}
	}
	return owners
}

// sorted returns the partitions in order of service and index.
func (o owned) sorted() []identifier.PartitionID {
	ids := make([]identifier.PartitionID, 0, len(o))
	for id := range o {
		ids = append(ids, id)
	}
	sortPartitions(ids)
	return ids
}

func (o owned) list() []commander.PartitionGrant {
	list := make([]commander.PartitionGrant, 0, len(o))
	for _, id := range o.sorted() {
		list = append(list, commander.PartitionGrant{ID: id, Epoch: o[id]})
	}
	return list
}

func sortPartitions(ids []identifier.PartitionID) {
	sort.Slice(ids, func(i, j int) bool {
		if ids[i].Service != ids[j].Service {
			return ids[i].Service < ids[j].Service
		}
		return ids[i].Index < ids[j].Index
	})
}
