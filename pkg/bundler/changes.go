package bundler

import (
	"fmt"
	"slices"
)

// Changes describes for people how after differs from before, one line for each change. before is nil if after is
// version 1; then the lines list all services and routes of after and mention its signers, but not its limits.
func Changes(before, after *Bundle) []string {
	if before == nil {
		before = &Bundle{limits: after.limits}
	}
	lines := serviceChanges(before, after)
	lines = append(lines, routeChanges(before, after)...)
	if before.limits != after.limits {
		lines = append(lines, "limits changed")
	}
	if !slices.EqualFunc(before.signers, after.signers, Signer.equal) {
		lines = append(lines, "signers changed")
	}
	return lines
}

func serviceChanges(before, after *Bundle) []string {
	var lines []string
	for _, s := range after.services {
		old, existed := before.service(s.Name)
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("service %s added", s.Name))
		case old != s:
			lines = append(lines, fmt.Sprintf("service %s changed", s.Name))
		}
	}
	for _, s := range before.services {
		if _, kept := after.service(s.Name); !kept {
			lines = append(lines, fmt.Sprintf("service %s removed", s.Name))
		}
	}
	return lines
}

func routeChanges(before, after *Bundle) []string {
	var lines []string
	for _, r := range after.routes {
		old, existed := before.route(r.Name)
		switch {
		case !existed:
			lines = append(lines, fmt.Sprintf("route %s added", r.Name))
		case !old.equal(r):
			lines = append(lines, fmt.Sprintf("route %s changed", r.Name))
		}
	}
	for _, r := range before.routes {
		if _, kept := after.route(r.Name); !kept {
			lines = append(lines, fmt.Sprintf("route %s removed", r.Name))
		}
	}
	return lines
}

func (s Signer) equal(other Signer) bool {
	return s.name == other.name && s.publicKey.Equal(other.publicKey)
}
