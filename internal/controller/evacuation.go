package controller

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	// evacuationMargin is how much earlier than demanded nothing is sent to the servers of an evacuated failure domain any more: a
	// request that has its slot may take a while until it is sent.
	evacuationMargin = time.Second
	// defaultEvacuationDrain is how long these servers drain if the settings have no time for evacuations.
	defaultEvacuationDrain = 2 * time.Second
)

// evacuationDrain returns how long servers of an evacuated failure domain that own keys get requests for these after this instance
// has read the record, which may take MaxConfigDelay.
func (c *Controller) evacuationDrain() time.Duration {
	if c.options.EvacuateTimeout == 0 {
		return defaultEvacuationDrain
	}
	return max(0, c.options.EvacuateTimeout-MaxConfigDelay-evacuationMargin)
}

// applyEvacuations applies the records of evacuations that were read. The draining is shorter by the time that the record may be late. A
// read of all records ends the evacuations that have none, unless the store came back from an older copy of itself, which may lack the
// record.
func (c *Controller) applyEvacuations(now time.Time, read topicRead) {
	changed := !c.operatorsRead
	c.operatorsRead = true
	present := map[string]bool{}
	drain := max(0, c.evacuationDrain()-max(0, read.missed-MaxConfigDelay))
	if read.full {
		drain = 0 // the record may be old, so that the time for draining has passed
	}
	for _, r := range read.records {
		domain, ok := platform.EvacuatedDomain(r.Key)
		switch {
		case !ok:
		case r.Value == nil:
			changed = c.endEvacuation(now, domain, "offset", r.Offset) || changed
		default:
			present[domain] = true
			changed = c.beginEvacuation(now, drain, domain, r.Offset) || changed
		}
	}
	if read.full {
		for _, e := range c.evacuations.All() {
			switch {
			case present[e.Domain]:
			case read.restored:
				klog.InfoS("evacuation goes on although the older copy of the store lacks it", "domain", e.Domain)
			default:
				changed = c.endEvacuation(now, e.Domain, "offset", "none") || changed
			}
		}
	}
	if changed {
		c.serversChanged(now)
	}
}

// beginEvacuation begins an evacuation, and reports whether that is a change.
func (c *Controller) beginEvacuation(now time.Time, drain time.Duration, domain string, offset int64) bool {
	if !c.evacuations.Begin(now, drain, domain) {
		return false
	}
	servers := 0
	for _, s := range c.catalog.Servers() {
		if s.Domain == domain {
			servers++
		}
	}
	c.options.Meter.Count(meter.EvacuationsBegun)
	klog.InfoS("evacuation of a failure domain begins", "domain", domain, "servers", servers, "drain", drain, "offset", offset)
	if servers == 0 && c.catalogRead {
		klog.InfoS("evacuated failure domain has no servers", "domain", domain)
	}
	return true
}

// endEvacuation ends an evacuation, and reports whether there was one.
func (c *Controller) endEvacuation(now time.Time, domain string, fields ...any) bool {
	for _, e := range c.evacuations.All() {
		if e.Domain == domain {
			klog.InfoS("evacuation of a failure domain ends", append([]any{"domain", domain, "lasted", now.Sub(e.Since)}, fields...)...)
		}
	}
	if !c.evacuations.End(domain) {
		return false
	}
	c.options.Meter.Count(meter.EvacuationsEnded)
	return true
}

// servers returns the servers, those of evacuated failure domains as draining or gone.
func (c *Controller) servers() []cataloger.Server { return c.evacuations.Apply(c.catalog.Servers()) }

// countEvacuated sets the gauges of evacuations.
func (c *Controller) countEvacuated(servers []cataloger.Server) {
	evacuated := slices.DeleteFunc(slices.Clone(servers), func(s cataloger.Server) bool { return !s.Evacuated })
	c.options.Meter.Set(meter.EvacuatedDomains, int64(len(c.evacuations.All())))
	c.options.Meter.Set(meter.EvacuatedServers, int64(len(evacuated)))
}

// evacuationStatus returns the evacuated failure domains.
func (c *Controller) evacuationStatus() []inspector.EvacuatedDomain {
	var list []inspector.EvacuatedDomain
	for _, e := range c.evacuations.All() {
		list = append(list, inspector.EvacuatedDomain{Domain: e.Domain, EvacuatedSeconds: timekeeper.Now().Sub(e.Since).Seconds()})
	}
	return list
}
