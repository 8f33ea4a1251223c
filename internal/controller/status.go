package controller

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/platform"
)

// Status returns what the control side knows, for operators.
func (c *Controller) Status(ctx context.Context) (inspector.Status, error) {
	return ask(ctx, c, func(time.Time) inspector.Status {
		lead, _ := c.elector.Leader()
		status := inspector.Status{
			Instance: c.options.Self.Instance, Domain: c.options.Self.Domain, Incarnation: c.options.Self.Incarnation,
			BundleVersion: c.table.Version(), Leader: inspector.Leader{Instance: lead.Identity.Instance, Term: lead.Term},
			IsLeader: c.lead != nil, StoreLost: c.storeLost(), OwnersVersion: shownVersion(c.owners.Version()),
		}
		for _, m := range append([]resolver.Member{c.self()}, c.members...) {
			status.Members = append(status.Members, inspector.Member{
				Instance: m.Instance, Domain: m.Domain, Address: m.Address, Leaving: m.Leaving, Capacity: m.Capacity,
			})
		}
		status.Servers = c.shownServers()
		return status
	})
}

func shownVersion(v partitioner.Version) inspector.Version {
	return inspector.Version{Term: v.Term, Sequence: v.Sequence}
}

// shownServers returns the servers with what they own.
func (c *Controller) shownServers() []inspector.Server {
	ranges, keys := map[string]int{}, map[string]int{}
	for _, s := range c.owners.All() {
		if !s.Moving {
			ranges[s.Server]++
			keys[s.Server] += s.Range.Len()
		}
	}
	var list []inspector.Server
	for _, s := range c.catalog.Servers() {
		shown := inspector.Server{
			ID: s.ID, Service: s.Service, Domain: s.Domain, Address: s.Address, State: s.State.String(), Slots: s.Slots,
			Ranges: ranges[s.ID], Keys: keys[s.ID],
		}
		if shown.Ranges > 0 && c.view != nil {
			shown.Dispatcher = frontOf(c.view, s.ID)
		}
		list = append(list, shown)
	}
	return list
}

// frontOf returns the instance that fronts a server which owns keys.
func frontOf(view *resolver.View, server string) string {
	pool, ok := view.KeyedPool(server)
	if !ok {
		return ""
	}
	return view.Dispatcher(pool, func(string) bool { return false }).Instance
}

// storeLost reports whether one of the platform's topics can't be read.
func (c *Controller) storeLost() bool {
	ends := c.relay.ends()
	_, operators := ends[platform.TopicOperators]
	_, servers := ends[platform.TopicServers]
	return !operators || !servers
}

// FindOwner returns the owner of a key according to view.
func FindOwner(view *resolver.View, service string, key uint16) (inspector.OwnerAnswer, error) {
	if view == nil {
		return inspector.OwnerAnswer{}, errors.New("no bundle is in force here")
	}
	if s, ok := view.Table.Service(service); !ok || !s.Keyed {
		return inspector.OwnerAnswer{}, inspector.NewErrNotFound("keyed service: " + service)
	}
	answer := inspector.OwnerAnswer{
		Instance: view.Self.Instance, OwnersVersion: shownVersion(view.Owners.Version()), Service: service, Key: key, Moving: true,
	}
	if segment, ok := view.Owners.Find(service, key); ok {
		answer.Server, answer.Moving = segment.Server, segment.Moving
		answer.Dispatcher = frontOf(view, segment.Server)
	}
	return answer, nil
}
