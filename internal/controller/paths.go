package controller

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// updatePaths starts due probes of backend servers, and tells the other instances when this one has lost its path to the
// servers of a service or has regained it, so that others dispatch in its place.
func (c *Controller) updatePaths(now time.Time) {
	contactNow := time.Now() // the Forwarder's times are of time.Now, not of timekeeper
	c.options.Forwarder.ProbePaths(contactNow)
	var list []resolver.LostService
	for _, s := range c.options.Forwarder.LostServices(contactNow) {
		since, known := c.lostSince[s.Service]
		if !known {
			since = s.Since
			klog.InfoS("paths to the servers of a service are lost", "service", s.Service, "lost", s.Lost, "reached", s.Reached,
				"for", contactNow.Sub(s.Since))
		}
		list = append(list, resolver.LostService{Service: s.Service, Since: since})
	}
	lost := resolver.NewLostServices(list)
	if lost == c.lost {
		return
	}
	for _, s := range c.lost.All() {
		if !lost.Contains(s.Service) {
			klog.InfoS("paths to the servers of a service are back", "service", s.Service, "after", contactNow.Sub(s.Since))
		}
	}
	c.lost, c.lostSince = lost, map[string]time.Time{}
	for _, s := range list {
		c.lostSince[s.Service] = s.Since
	}
	c.options.Meter.Set(meter.LostServices, int64(len(list)))
	c.announceSelf(now)
}

// announceSelf tells the other instances about a change of this one.
func (c *Controller) announceSelf(now time.Time) {
	c.viewOutdated = true      // its own view may name other dispatchers as well
	c.lastReport = time.Time{} // report at once
	if c.leaderState != nil {
		c.leaderState.membersVersion++
		c.publish(now)
	}
}

// encodeLostServices returns the message form of lost services.
func encodeLostServices(lost resolver.LostServices) []*herald.LostService {
	var list []*herald.LostService
	for _, s := range lost.All() {
		list = append(list, &herald.LostService{Service: s.Service, SinceMs: s.Since.UnixMilli()})
	}
	return list
}

// decodeLostServices is the inverse of encodeLostServices.
func decodeLostServices(list []*herald.LostService) resolver.LostServices {
	var lost []resolver.LostService
	for _, s := range list {
		lost = append(lost, resolver.LostService{Service: s.GetService(), Since: time.UnixMilli(s.GetSinceMs())})
	}
	return resolver.NewLostServices(lost)
}
