package cataloger

import (
	"maps"
	"slices"
	"time"
)

// Evacuation is the evacuation of a failure domain: its servers get no new requests.
type Evacuation struct {
	Domain string
	Since  time.Time // when it became known here
}

// Evacuations holds the failure domains that are evacuated. The zero Evacuations has none. It is not safe for concurrent use.
type Evacuations struct {
	domains map[string]evacuation
}

// evacuation is the state of one evacuation.
type evacuation struct {
	since time.Time
	// goneAt is when the servers of the domain get no requests any more. Until then those that own keys get requests for these as
	// draining servers do, so that the keys can move without a pause.
	goneAt time.Time
	gone   bool
}

// Begin records that a domain is evacuated, and reports whether that is new. Its servers drain for drainTimeout.
func (e *Evacuations) Begin(now time.Time, drainTimeout time.Duration, domain string) bool {
	if _, known := e.domains[domain]; known {
		return false
	}
	if e.domains == nil {
		e.domains = map[string]evacuation{}
	}
	e.domains[domain] = evacuation{since: now, goneAt: now.Add(drainTimeout), gone: drainTimeout <= 0}
	return true
}

// End records that a domain is no longer evacuated, and reports whether it was.
func (e *Evacuations) End(domain string) bool {
	_, known := e.domains[domain]
	delete(e.domains, domain)
	return known
}

// Expire ends the draining that is due, and reports whether it has changed anything.
func (e *Evacuations) Expire(now time.Time) bool {
	changed := false
	for domain, state := range e.domains {
		if !state.gone && !now.Before(state.goneAt) {
			state.gone = true
			e.domains[domain] = state
			changed = true
		}
	}
	return changed
}

// All returns the evacuations, sorted by domain.
func (e *Evacuations) All() []Evacuation {
	var all []Evacuation
	for _, domain := range slices.Sorted(maps.Keys(e.domains)) {
		all = append(all, Evacuation{Domain: domain, Since: e.domains[domain].since})
	}
	return all
}

// Apply marks the servers of evacuated domains as Evacuated, and as Draining or Gone, in a list that the caller no longer needs.
func (e *Evacuations) Apply(servers []Server) []Server {
	for i, s := range servers {
		state, evacuated := e.domains[s.Domain]
		if !evacuated {
			continue
		}
		servers[i].Evacuated = true
		if state.gone {
			servers[i].State = Gone
		} else if s.State == Ready {
			servers[i].State = Draining
		}
	}
	return servers
}
