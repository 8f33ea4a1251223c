package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// pinPlanEvery is the time between two looks at the hot keys.
	pinPlanEvery = 500 * time.Millisecond
	// unpinAfter is how long a pinned key must have ceased to be hot before it goes back.
	unpinAfter = 5 * time.Minute
)

// pinnedKey names a key of a service.
type pinnedKey struct {
	service identifier.ServiceName
	key     string
}

// planPins gives the hot keys on the servers that this instance fronts a partition of their own, so that they can be
// moved alone, and takes it back from keys that have long ceased to be hot.
func (c *Controller) planPins(now time.Time) {
	if c.opts.Hot == nil || c.state.Bundle() == nil || now.Before(c.planPinsAt) {
		return
	}
	c.planPinsAt = now.Add(pinPlanEvery)
	hot := map[pinnedKey]bool{}
	for _, key := range c.opts.Hot(now) {
		hot[pinnedKey{service: key.Service, key: key.Key}] = true
		c.pin(now, key)
	}
	for _, name := range c.state.ServiceNames() {
		service, _ := c.state.GetServiceByName(name)
		for _, pin := range service.Pins {
			c.considerUnpin(now, name, service, pin, hot)
		}
	}
}

// pin proposes a partition for a hot key that shares one with others.
func (c *Controller) pin(now time.Time, key detector.HotKey) {
	service, ok := c.state.GetServiceByName(key.Service)
	if !ok || isPinned(service, key.Key) {
		return
	}
	base := hasher.Partition(key.Key, service.Base)
	partition := service.Partitions[base]
	s, mine := c.sessions[partition.Owner]
	if !mine || s.handing != "" || c.isClosing(s, key.Service, base) {
		return
	}
	c.propose(now, pinPurpose(key.Service), recorder.Pin{
		Service: key.Service,
		Key:     key.Key,
		Base:    base,
		Epoch:   partition.Epoch,
		Term:    s.term,
		Version: service.PinVersion,
	})
}

func pinPurpose(service identifier.ServiceName) string { return "pin/" + string(service) }

func isPinned(service reducer.ServiceState, key string) bool {
	for _, pin := range service.Pins {
		if pin.Key == key {
			return true
		}
	}
	return false
}

func (c *Controller) isClosing(s *session, service identifier.ServiceName, index identifier.PartitionIndex) bool {
	_, closing := s.closing[identifier.PartitionID{Service: service, Index: index}]
	return closing
}

// considerUnpin moves the partition of a key that is no longer hot back to its base's server, and then gives it up.
func (c *Controller) considerUnpin(now time.Time, name identifier.ServiceName, service reducer.ServiceState, pin reducer.PinState, hot map[pinnedKey]bool) {
	partition := service.Partitions[pin.Index]
	s, mine := c.sessions[partition.Owner]
	id := pinnedKey{service: name, key: pin.Key}
	if pin.Key == "" || !mine || hot[id] {
		delete(c.coolSince, id)
		return
	}
	since, ok := c.coolSince[id]
	if !ok {
		c.coolSince[id] = now
		return
	}
	base := service.Partitions[pin.Base]
	if now.Sub(since) < unpinAfter || s.handing != "" || c.isClosing(s, name, pin.Index) || base.Owner == "" {
		return
	}
	if base.Owner != partition.Owner {
		c.close(now, s, identifier.PartitionID{Service: name, Index: pin.Index}, base.Owner, true)
		return
	}
	if c.isClosing(s, name, pin.Base) {
		return
	}
	c.propose(now, pinPurpose(name), recorder.Unpin{
		Service: name,
		Key:     pin.Key,
		Base:    pin.Base,
		Epoch:   base.Epoch,
		Term:    s.term,
		Version: service.PinVersion,
	})
}
