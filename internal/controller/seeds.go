package controller

import (
	"context"
	"hash/fnv"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/herald"
)

// The timings of joining through seeds.
const (
	// seedPatience is how long after the first start of the whole system an instance that is no seed leaves the store to the
	// seeds. If it knows no leader then, it reads the store, and may become the leader, like the seeds.
	seedPatience = 2 * time.Second
	// startSpread is the time within which the platform starts all machines.
	startSpread = 300 * time.Millisecond
	// seedInterval is the time between two questions to seeds who the leader is, doubled after each up to seedPatience.
	seedInterval = 300 * time.Millisecond
)

// seeds are the instances through which this one joins a system that starts for the first time: they elect the leader among
// themselves and are the relays until its members are known, so that the calls to the store don't grow with the number of
// machines. A seed itself, and an instance that starts later, has none. Only the control loop uses it.
type seeds struct {
	addresses []string
	until     time.Time // when this instance no longer relies on the seeds
	nextAt    time.Time // of the next question
	interval  time.Duration
	pending   bool // a question is not answered yet
	asked     int  // questions so far; selects the next seed
}

// newSeeds returns the seeds of an instance that starts at now. Each instance begins with another one of addresses.
func newSeeds(now time.Time, instance string, addresses []string) seeds {
	if len(addresses) == 0 {
		return seeds{}
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(instance))
	first := int(hash.Sum32() % uint32(len(addresses)))
	return seeds{
		addresses: append(append([]string{}, addresses[first:]...), addresses[:first]...), until: now.Add(seedPatience),
		nextAt: now.Add(startSpread), interval: seedInterval,
	}
}

// next returns the seed to ask at now, or "" if no question is due.
func (s *seeds) next(now time.Time) string {
	if !s.reliedOn(now) || s.pending || now.Before(s.nextAt) {
		return ""
	}
	address := s.addresses[s.asked%len(s.addresses)]
	s.asked++
	s.pending, s.nextAt, s.interval = true, now.Add(s.interval), min(2*s.interval, seedPatience)
	return address
}

// reliedOn reports whether this instance leaves the store to the seeds at now.
func (s *seeds) reliedOn(now time.Time) bool { return len(s.addresses) > 0 && now.Before(s.until) }

// startDelay returns how long the first reads of the store's topics wait, so that the seeds have started.
func (s *seeds) startDelay() time.Duration {
	if len(s.addresses) == 0 {
		return 0
	}
	return startSpread
}

// askSeeds asks a seed who the leader is while none is known.
func (c *Controller) askSeeds(now time.Time) {
	if _, ok := c.elector.Leader(); ok {
		return
	}
	address := c.seeds.next(now)
	if address == "" {
		return
	}
	request := &herald.ReportRequest{Member: c.encodeSelf(), StoreEra: c.elector.Era()}
	peer := c.peers.get(address)
	go func() {
		ctx, cancel := context.WithTimeout(c.context, peerCallTimeout)
		defer cancel()
		reply, err := peer.Report(ctx, request)
		c.post(func(now time.Time) {
			c.seeds.pending = false
			if err != nil {
				klog.InfoS("seed did not answer", "address", address, "error", err)
				return
			}
			c.observeLeader(now, reply.GetLead())
		})
	}()
}
