package controller

import (
	"context"
	"time"

	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/internal/quarantiner"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/platform"
)

// Status returns the state of the control plane, for operators.
func (c *Controller) Status(ctx context.Context) (inspector.Status, error) {
	return runInLoop(ctx, c, func(time.Time) inspector.Status {
		leader, _ := c.elector.Leader()
		status := inspector.Status{
			Instance: c.options.Self.Instance, Domain: c.options.Self.Domain, Incarnation: c.options.Self.Incarnation,
			BundleVersion: c.table.Version(), Leader: inspector.Leader{Instance: leader.Identity.Instance, Term: leader.Term},
			IsLeader: c.leaderState != nil, StoreUnreachable: c.storeUnreachable(),
			OwnerMapVersion: encodeVersion(c.owners.Version()),
		}
		for _, m := range append([]resolver.Member{c.self()}, c.members...) {
			status.Members = append(status.Members, inspector.Member{
				Instance: m.Instance, Domain: m.Domain, Address: m.Address, Leaving: m.Leaving, Capacity: m.Capacity,
				LostServices: lostServiceStatus(m.Lost),
			})
		}
		status.Servers = c.serverStatus()
		status.Evacuated = c.evacuationStatus()
		status.Barred = c.barredStatus()
		return status
	})
}

// lostServiceStatus returns the services that an instance has lost.
func lostServiceStatus(lost resolver.LostServices) []inspector.LostService {
	var list []inspector.LostService
	for _, s := range lost.All() {
		list = append(list, inspector.LostService{Service: s.Service, LostSeconds: max(0, time.Since(s.Since).Seconds())})
	}
	return list
}

// barredStatus returns the barred requests.
func (c *Controller) barredStatus() []inspector.BarredRequest {
	now := time.Now() // the Forwarder's times are of time.Now
	var list []inspector.BarredRequest
	for _, f := range c.options.Forwarder.QuarantinedRequests() {
		record, _ := c.options.Forwarder.QuarantineRecord(f)
		if v, barred := record.Verdict(now).(quarantiner.Barred); barred {
			list = append(list, inspector.BarredRequest{
				Fingerprint: f.String(), Request: record.Name, Crashes: v.Crashes, BarredSeconds: now.Sub(v.Since).Seconds(),
			})
		}
	}
	return list
}

func encodeVersion(v partitioner.Version) inspector.Version {
	return inspector.Version{Term: v.Term, Sequence: v.Sequence}
}

// serverStatus returns the servers, with the number of ranges of the owner map and of keys that each serves. Ranges that no
// server serves at present are left out.
func (c *Controller) serverStatus() []inspector.Server {
	ranges, keys := map[string]int{}, map[string]int{}
	for _, s := range c.owners.All() {
		if !s.Moving {
			ranges[s.Server]++
			keys[s.Server] += s.Range.Len()
		}
	}
	var list []inspector.Server
	for _, s := range c.servers() {
		server := inspector.Server{
			ID: s.ID, Service: s.Service, Domain: s.Domain, Address: s.Address, State: s.State.String(), Slots: s.Slots,
			Ranges: ranges[s.ID], Keys: keys[s.ID], Unreachable: c.options.Forwarder.ServerLost(s.ID),
			Evacuated: s.Evacuated, ColdSeconds: max(0, time.Until(c.options.Forwarder.ColdUntil(s.ID, s.Incarnation)).Seconds()),
		}
		if server.Ranges > 0 && c.view != nil {
			server.Dispatcher = dispatcherOf(c.view, s.ID)
		}
		if limit, limited := c.options.Forwarder.Limit(s.ID, s.Incarnation); limited {
			server.Limited, server.Limit = true, limit.Rate
			server.LimitedSeconds = time.Since(limit.Since).Seconds()
		}
		list = append(list, server)
	}
	return list
}

// storeUnreachable reports whether this instance's last call to the store for one of the platform's topics failed, or
// none was made yet. Reads through relays do not count.
func (c *Controller) storeUnreachable() bool {
	next := c.cache.nextPositions()
	_, operators := next[platform.TopicOperators]
	_, servers := next[platform.TopicServers]
	return !operators || !servers
}
