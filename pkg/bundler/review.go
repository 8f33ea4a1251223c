package bundler

import (
	"fmt"
	"slices"
	"strings"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// ReviewSettings are what Review knows of the instances.
type ReviewSettings struct {
	// RequestBytes is how much an instance can hold of one request, with its header; 0 means unknown.
	RequestBytes int64
}

// Review returns warnings about a valid bundle: entries that never take effect, and limits that contradict each other. It does not
// decide whether a bundle is accepted. Places are known if the bundle is from Decode.
func Review(b *Bundle, settings ReviewSettings) []reporter.Finding {
	r := review{bundle: b, services: map[string]Service{}}
	for _, s := range b.services {
		r.services[s.Name] = s
	}
	r.checkPrefixes()
	r.checkServices()
	for _, route := range b.routes {
		r.checkWeights(route)
		r.checkAttempts(route)
		r.checkWarmups(route)
	}
	r.checkPriorities()
	r.checkBodyLimit(settings)
	return r.warnings
}

// review collects the warnings about one bundle.
type review struct {
	bundle   *Bundle
	services map[string]Service // by name
	warnings []reporter.Finding
}

func (r *review) warn(place reporter.Place, code reporter.Code, message, expected string) {
	r.warnings = append(r.warnings, reporter.NewWarning(place, code, message, expected))
}

// checkPrefixes warns of routes that no request can match. Of the routes of a host the one with the longest prefix is used, so a
// route is shadowed only by an equal prefix: a path that equals its prefix matches no longer one. Decode rejects equal prefixes, so
// only bundles from New can have them.
func (r *review) checkPrefixes() {
	type target struct{ host, prefix string }
	first := map[target]string{} // names of routes
	for _, route := range r.bundle.routes {
		place := r.bundle.places.routes[route.Name].prefix
		t := target{route.Host, route.Prefix}
		if name, shadowed := first[t]; shadowed {
			r.warn(place, "shadowed_route", fmt.Sprintf("route %s never matches: route %s has the same host and prefix", route.Name, name),
				"another prefix, or no such route")
		} else {
			first[t] = route.Name
		}
		segments := strings.Split(route.Prefix, "/")
		if slices.Contains(segments, ".") || slices.Contains(segments, "..") {
			r.warn(place, "dot_segment",
				fmt.Sprintf("route %s has a prefix with . or .., which clients resolve before they send a path", route.Name), "the resolved path")
		}
	}
}

// checkServices warns of services that get no requests.
func (r *review) checkServices() {
	named, used := map[string]bool{}, map[string]bool{}
	for _, route := range r.bundle.routes {
		for _, part := range route.Services {
			named[part.Service] = true
			used[part.Service] = used[part.Service] || part.Weight > 0
		}
	}
	for _, s := range r.bundle.services {
		switch {
		case !named[s.Name]:
			r.warn(r.bundle.places.services[s.Name], "unused_service", fmt.Sprintf("no route names service %s", s.Name),
				"a route to it, or no such service")
		case !used[s.Name]:
			r.warn(r.bundle.places.services[s.Name], "unused_service", fmt.Sprintf("service %s has weight 0 in all routes that name it", s.Name),
				"a route with a weight above 0")
		}
	}
}

// checkWeights warns of services that get no requests of a route.
func (r *review) checkWeights(route Route) {
	for _, part := range route.Services {
		if part.Weight <= 0 {
			r.warn(r.bundle.places.routes[route.Name].weights[part.Service], "zero_weight",
				fmt.Sprintf("service %s gets no requests of route %s", part.Service, route.Name), "a weight above 0, or no such entry")
		}
	}
}

// checkAttempts warns of attempts that are never made: a request that may be executed only once is not sent again once it may have
// reached a server, and a rejected one is sent again whatever the number of attempts.
func (r *review) checkAttempts(route Route) {
	if !route.Idempotent && route.MaxAttempts > 1 {
		r.warn(r.bundle.places.routes[route.Name].attempts, "unused_attempts",
			fmt.Sprintf("route %s is not idempotent, so its requests are never repeated", route.Name), "attempts: 1")
	}
}

// checkWarmups warns of a timeout that ends before a server with cold keys, or a cold server, can have answered.
func (r *review) checkWarmups(route Route) {
	for _, part := range route.Services {
		s, known := r.services[part.Service]
		if !known || part.Weight <= 0 {
			continue
		}
		place := r.bundle.places.routes[route.Name].timeout
		if s.Keyed && route.Timeout < s.KeyWarmup {
			r.warn(place, "timeout_below_cold_keys", fmt.Sprintf("route %s ends after %v, while keys of service %s may be cold for %v",
				route.Name, route.Timeout, s.Name, s.KeyWarmup), "a timeout of at least cold_keys")
		}
		// A cold server is sent requests at its rate, so the warm-up as a whole may be longer than a timeout.
		if s.WarmupTime > route.Timeout && s.WarmupRate > 0 && route.Timeout.Seconds()*s.WarmupRate < 1 {
			r.warn(place, "timeout_below_warmup",
				fmt.Sprintf("route %s ends after %v, in which a cold server of service %s tolerates less than one request (%g a second)",
					route.Name, route.Timeout, s.Name, s.WarmupRate), "a longer timeout or a higher warmup_rate")
		}
	}
}

// checkPriorities warns of routes whose requests wait behind those of a route to the same service with a longer objective. There is
// at most one warning for a route.
func (r *review) checkPriorities() {
	routes := map[string][]Route{} // by service name
	for _, route := range r.bundle.routes {
		for _, part := range route.Services {
			if part.Weight > 0 {
				routes[part.Service] = append(routes[part.Service], route)
			}
		}
	}
	warned := map[string]bool{}
	for _, s := range r.bundle.services {
		list := routes[s.Name]
		slices.SortStableFunc(list, func(a, b Route) int { return a.Priority - b.Priority })
		var higher, patient Route // of the routes with a higher priority, and of all before, the one with the longest objective
		for i, route := range list {
			if i > 0 && list[i-1].Priority != route.Priority {
				higher = patient
			}
			if higher.Objective > route.Objective && !warned[route.Name] {
				warned[route.Name] = true
				r.warn(r.bundle.places.routes[route.Name].priority, "inverted_priority",
					fmt.Sprintf("route %s (objective %v, priority %d) waits behind route %s (objective %v, priority %d) of service %s",
						route.Name, route.Objective, route.Priority, higher.Name, higher.Objective, higher.Priority, s.Name),
					"no lower priority than that of a route with a longer objective")
			}
			if route.Objective > patient.Objective {
				patient = route
			}
		}
	}
}

// checkBodyLimit warns of a body limit that the instances can't hold. They hold the header of a request in the same memory, and reserve
// the announced length of its body; a body without one needs up to a piece more, which the check leaves out.
func (r *review) checkBodyLimit(settings ReviewSettings) {
	limits := r.bundle.limits
	most := max(0, settings.RequestBytes-int64(limits.HeaderBytes))
	if settings.RequestBytes > 0 && limits.BodyBytes > most {
		r.warn(r.bundle.places.bodyBytes, "body_exceeds_memory",
			fmt.Sprintf("with a header of %d bytes, an instance of this memory refuses bodies above %d bytes", limits.HeaderBytes, most), "a lower body_bytes, or instances with more memory")
	}
}
