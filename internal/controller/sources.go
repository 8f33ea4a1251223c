package controller

import (
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
)

// sources are the instances through which topics can be read.
type sources struct {
	relays []string // addresses of the relays of this instance, in order of preference
	others []string // addresses of all other instances
	// seeds says that the relays are the seeds: what is read through them is cached, as if this instance had read the store,
	// so that it can be a relay itself once the members are known.
	seeds bool
	// domainSize is the number of instances in this failure domain.
	domainSize int
}

// relayPool names the pool by which relays are ranked. The ranking hashes it, so it must be the same in all instances.
const relayPool = "store readers"

// maxRelays is the number of relays in a failure domain.
const maxRelays = 2

// updateSources decides where this instance reads topics.
func (c *Controller) updateSources(view *resolver.View) {
	if len(c.members) == 0 && c.seeds.reliedOn(timekeeper.Now()) {
		return // the seeds are the sources until the members are known
	}
	src := &sources{domainSize: 1}
	// The leader reads the store itself, so that a relay that can't reach the store can't leave its whole domain
	// outdated.
	leader, _ := c.elector.Leader()
	isLeader := func(instance string) bool { return instance == leader.Identity.Instance }
	pool := resolver.ServerPool{Service: relayPool, Domain: c.options.Self.Domain}
	if !isLeader(c.options.Self.Instance) {
		for _, m := range view.MembersByCapacity(pool, isLeader, maxRelays) {
			if m.Instance == c.options.Self.Instance {
				break // lower-ranked instances read through this one
			}
			src.relays = append(src.relays, m.Address)
		}
	}
	for _, m := range c.members {
		src.others = append(src.others, m.Address)
		if m.Domain == c.options.Self.Domain {
			src.domainSize++
		}
	}
	c.sources.Store(src)
}
