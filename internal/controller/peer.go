package controller

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/leaser"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// relayBatch is how many records one heartbeat answer passes on.
const relayBatch = 64

// peer is what this instance knows of another member by their heartbeats.
type peer struct {
	address   string
	lastHeard time.Time
	lastSent  time.Time
	hears     []identifier.InstanceID
	reports   map[identifier.ServerName]ServerReport
	reported  time.Time
	busy      bool
}

// meetMember begins to exchange heartbeats with a member of the roster.
func (c *Controller) meetMember(now time.Time, m reducer.Member) {
	if m.ID == c.id {
		return
	}
	if _, ok := c.peers[m.ID]; !ok {
		c.peers[m.ID] = &peer{address: m.PeerAddress, lastHeard: now}
	}
}

// heard returns the other members in good standing that this instance hears, sorted.
func (c *Controller) heard(now time.Time) []identifier.InstanceID {
	var ids []identifier.InstanceID
	for _, m := range c.state.Members() {
		if m.Expelled || m.ID == c.id {
			continue
		}
		if p, ok := c.peers[m.ID]; ok && now.Sub(p.lastHeard) <= c.timings().Detection {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// exchangeAll sends the heartbeats that are due.
func (c *Controller) exchangeAll(now time.Time) {
	if !c.Active() {
		return
	}
	timings := c.timings()
	var request *ExchangeRequest
	for _, m := range c.state.Members() {
		p, ok := c.peers[m.ID]
		if !ok || m.Expelled || p.busy || now.Sub(p.lastSent) < timings.Heartbeat {
			continue
		}
		if request == nil {
			request = c.exchangeRequest(now)
		}
		p.busy = true
		p.lastSent = now
		c.do(ExchangePeer{Peer: m.ID, Address: p.address, Request: *request, Timeout: timings.Detection / 2})
	}
}

func (c *Controller) exchangeRequest(now time.Time) *ExchangeRequest {
	return &ExchangeRequest{
		Instance: c.id,
		Offset:   c.state.Next(),
		Hears:    c.heard(now),
		Reports:  c.serverReports(now),
	}
}

// RespondExchange answers a heartbeat of another instance.
func (c *Controller) RespondExchange(now time.Time, request ExchangeRequest) ExchangeReply {
	c.noticePause(now)
	reply := ExchangeReply{Instance: c.id}
	if !c.loaded {
		reply.Refused = "not_loaded"
		return reply
	}
	c.hear(now, request.Instance, request.Hears)
	if p, ok := c.peers[request.Instance]; ok {
		p.takeReports(now, request.Reports)
	}
	reply.Offset = c.state.Next()
	reply.Hears = c.heard(now)
	reply.Entries = c.entriesFrom(request.Offset)
	reply.Pledge, reply.Refused = c.pledgeTo(now, request.Instance)
	return reply
}

// pledgeTo decides whether to promise that no handover past id is completed for a while.
func (c *Controller) pledgeTo(now time.Time, id identifier.InstanceID) (time.Duration, string) {
	member, ok := c.state.GetMemberByID(id)
	switch {
	case !ok:
		return 0, "unknown_instance"
	case member.Expelled:
		return 0, "expelled"
	case c.stopping || !now.Before(c.LeaseUntil()):
		return 0, "no_lease"
	}
	c.promises.Give(id, now)
	return c.timings().Pledge, ""
}

// entriesFrom returns the records from offset that this instance has kept.
func (c *Controller) entriesFrom(offset identifier.Offset) []reducer.Entry {
	if len(c.relay) == 0 || offset >= c.state.Next() || offset < c.relay[0].Offset {
		return nil
	}
	first := int(offset - c.relay[0].Offset)
	last := min(first+relayBatch, len(c.relay))
	return slices.Clone(c.relay[first:last])
}

func (c *Controller) onPeerAnswered(now time.Time, e PeerAnswered) {
	p, ok := c.peers[e.Peer]
	if !ok {
		return
	}
	p.busy = false
	if e.Reply.Instance != e.Peer || !c.loaded {
		return
	}
	c.hear(now, e.Peer, e.Reply.Hears)
	if e.Reply.Pledge > 0 {
		c.lease.Pledged(e.Peer, e.SentAt, e.Reply.Pledge)
	}
	c.foldAll(now, e.Reply.Entries)
}

func (c *Controller) onPeerSilent(e PeerSilent) {
	if p, ok := c.peers[e.Peer]; ok {
		p.busy = false
	}
}

// hear notes a sign of life.
func (c *Controller) hear(now time.Time, id identifier.InstanceID, hears []identifier.InstanceID) {
	p, ok := c.peers[id]
	if !ok {
		return
	}
	p.lastHeard = now
	p.hears = hears
}

func (p *peer) takeReports(now time.Time, reports []ServerReport) {
	p.reported = now
	p.reports = make(map[identifier.ServerName]ServerReport, len(reports))
	for _, r := range reports {
		p.reports[r.Server] = r
	}
}

// witnessSets returns the sets of instances whose pledges the lease needs: the recorded one and, while a change of it
// is under way, the next one as well.
func (c *Controller) witnessSets() []leaser.WitnessSet {
	member, ok := c.state.GetMemberByID(c.id)
	if !ok {
		return []leaser.WitnessSet{{}}
	}
	sets := []leaser.WitnessSet{{Witnesses: member.Witnesses, Needed: member.PledgesNeeded()}}
	if next, ok := c.pendingWitnesses(); ok {
		member.Witnesses = next
		sets = append(sets, leaser.WitnessSet{Witnesses: next, Needed: member.PledgesNeeded()})
	}
	return sets
}
