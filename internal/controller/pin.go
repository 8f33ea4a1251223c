package controller

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/assigner"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// pinPlanEvery is the time between two looks at the hot keys.
const pinPlanEvery = 500 * time.Millisecond

// pinnedKey names a key of a service.
type pinnedKey struct {
	service identifier.ServiceName
	key     string
}

// planPins gives the hot keys on the servers that this instance fronts a partition of their own, so that they can be
// moved alone, and takes it back from keys that have ceased to be hot.
func (c *Controller) planPins(now time.Time) {
	if c.opts.Hot == nil || c.state.Bundle() == nil || now.Before(c.planPinsAt) {
		return
	}
	c.planPinsAt = now.Add(pinPlanEvery)
	hot := map[identifier.ServiceName][]assigner.HeavyKey{}
	for _, key := range c.opts.Hot(now) {
		hot[key.Service] = append(hot[key.Service], assigner.HeavyKey{Key: key.Key, Load: key.Rate})
	}
	for _, name := range c.state.ServiceNames() {
		service, _ := c.state.GetServiceByName(name)
		plan := assigner.Isolate(assigner.IsolateInput{Hot: hot[name], Pinned: c.ownPins(now, name, service)}, now)
		for _, key := range plan.Pin {
			c.pin(now, name, service, key)
		}
		for _, key := range plan.Unpin {
			c.unpin(now, name, service, key)
		}
	}
}

// ownPins returns the pinned keys on the servers that this instance fronts, each with the time since when it has seen
// the pin there.
func (c *Controller) ownPins(now time.Time, name identifier.ServiceName, service reducer.ServiceState) []assigner.PinnedKey {
	var pins []assigner.PinnedKey
	for _, pin := range service.Pins {
		id := pinnedKey{service: name, key: pin.Key}
		_, mine := c.sessions[service.Partitions[pin.Index].Owner]
		if pin.Key == "" || !mine {
			delete(c.pinSeen, id)
			continue
		}
		if _, ok := c.pinSeen[id]; !ok {
			c.pinSeen[id] = now
		}
		pins = append(pins, assigner.PinnedKey{Key: pin.Key, Since: c.pinSeen[id]})
	}
	return pins
}

// pin proposes a partition for a hot key that shares one with others.
func (c *Controller) pin(now time.Time, name identifier.ServiceName, service reducer.ServiceState, key string) {
	if _, pinned := pinOf(service, key); pinned {
		return
	}
	base := hasher.Partition(key, service.Base)
	partition := service.Partitions[base]
	s, mine := c.sessions[partition.Owner]
	if !mine || s.handing != "" || c.isClosing(s, name, base) {
		return
	}
	c.propose(now, pinPurpose(name), recorder.Pin{
		Service: name,
		Key:     key,
		Base:    base,
		Epoch:   partition.Epoch,
		Term:    s.term,
		Version: service.PinVersion,
	})
}

func pinPurpose(service identifier.ServiceName) string { return "pin/" + string(service) }

// pinOf returns the pin of key.
func pinOf(service reducer.ServiceState, key string) (reducer.PinState, bool) {
	for _, pin := range service.Pins {
		if pin.Key == key {
			return pin, true
		}
	}
	return reducer.PinState{}, false
}

func (c *Controller) isClosing(s *session, service identifier.ServiceName, index identifier.PartitionIndex) bool {
	_, closing := s.closing[identifier.PartitionID{Service: service, Index: index}]
	return closing
}

// unpin moves the partition of a key that is no longer hot back to its base's server, and then gives it up.
func (c *Controller) unpin(now time.Time, name identifier.ServiceName, service reducer.ServiceState, key string) {
	pin, _ := pinOf(service, key)
	partition := service.Partitions[pin.Index]
	base := service.Partitions[pin.Base]
	s := c.sessions[partition.Owner]
	if s.handing != "" || base.Owner == "" || c.isClosing(s, name, pin.Index) || c.isClosing(s, name, pin.Base) {
		return
	}
	if base.Owner != partition.Owner {
		c.close(now, s, identifier.PartitionID{Service: name, Index: pin.Index}, base.Owner, true)
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
