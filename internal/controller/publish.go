package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// sharedPermit is how long a permit of a server without exclusive keys lasts unless it is renewed.
const sharedPermit = time.Minute

// publishPermits tells traffic what it may send to each server that this instance fronts.
func (c *Controller) publishPermits(now time.Time) {
	for _, s := range c.sessions {
		c.publishPermit(now, s)
	}
}

func (c *Controller) publishPermit(now time.Time, s *session) {
	c.opts.Table.Gate(s.server).SetPermit(c.permitOf(now, s))
}

func (c *Controller) permitOf(now time.Time, s *session) router.Permit {
	if c.closed || s.down || s.handing != "" || now.Before(s.openAt) {
		return router.Permit{}
	}
	if !s.exclusive {
		return router.NewPermit(s.term, now.Add(sharedPermit), nil)
	}
	until := c.LeaseUntil()
	if s.grantUntil.Before(until) {
		until = s.grantUntil
	}
	held := c.ownedBy(s.server)
	allowed := map[identifier.PartitionID]identifier.Epoch{}
	for partition, epoch := range s.granted {
		if _, closing := s.closing[partition]; !closing && held[partition] == epoch {
			allowed[partition] = epoch
		}
	}
	return router.NewPermit(s.term, until, allowed)
}

// publishView gives traffic the state as it stands.
func (c *Controller) publishView() {
	p := router.Picture{
		Offset: c.state.Next(),
		Self:   c.id,
		Bundle: c.state.Bundle(),
		Owners: map[identifier.ServiceName][]router.Owner{},
		Pins:   map[identifier.ServiceName]map[string]identifier.PartitionIndex{},
		Fronts: map[identifier.ServerName]router.Front{},
	}
	for _, name := range c.state.ServiceNames() {
		c.pictureService(&p, name)
	}
	for _, name := range c.state.ServerNames() {
		known, _ := c.state.GetServerByName(name)
		holder, ok := c.state.GetMemberByID(known.Front.Holder)
		if ok {
			p.Fronts[name] = router.NewFront(holder.ID, holder.PeerAddress, known.Front.Term)
		}
	}
	c.opts.Table.Publish(router.NewView(p))
}

func (c *Controller) pictureService(p *router.Picture, name identifier.ServiceName) {
	service, _ := c.state.GetServiceByName(name)
	owners := make([]router.Owner, len(service.Partitions))
	for i, partition := range service.Partitions {
		owners[i] = router.Owner{Server: partition.Owner, Epoch: partition.Epoch}
	}
	p.Owners[name] = owners
	pins := map[string]identifier.PartitionIndex{}
	for _, pin := range service.Pins {
		if pin.Key != "" {
			pins[pin.Key] = pin.Index
		}
	}
	p.Pins[name] = pins
}
