package bundler

import (
	"fmt"
	"slices"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Changes tells a person, line by line, what after changes against before; before is nil when after is version 1.
func Changes(before, after *Bundle) []string {
	if before == nil {
		before = &Bundle{timings: after.timings}
	}
	var lines []string
	for _, service := range after.services {
		old, ok := before.GetServiceByName(service.Name())
		lines = append(lines, serviceChanges(old, ok, service)...)
	}
	for _, service := range before.services {
		if _, ok := after.GetServiceByName(service.Name()); !ok {
			lines = append(lines, fmt.Sprintf("service %s removed", service.Name()))
		}
	}
	return append(lines, settingChanges(before, after)...)
}

func serviceChanges(before Service, existed bool, after Service) []string {
	if !existed {
		return []string{fmt.Sprintf("service %s added with %d servers", after.Name(), len(after.get().servers))}
	}
	var lines []string
	for _, server := range after.get().servers {
		old, ok := before.GetServerByName(server.Name())
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("server %s added", server.Name()))
		case server.Leaving() != old.Leaving():
			lines = append(lines, fmt.Sprintf("server %s leaving: %t", server.Name(), server.Leaving()))
		case !sameCapacity(*old.data, *server.data):
			lines = append(lines, fmt.Sprintf("server %s changed", server.Name()))
		}
	}
	for _, server := range before.get().servers {
		if _, ok := after.GetServerByName(server.Name()); !ok {
			lines = append(lines, fmt.Sprintf("server %s removed", server.Name()))
		}
	}
	return append(lines, classChanges(before, after)...)
}

func sameCapacity(a, b serverData) bool {
	a.place, a.addressPlace = b.place, b.addressPlace
	return a == b
}

func classChanges(before, after Service) []string {
	var lines []string
	if before.ImbalanceBound() != after.ImbalanceBound() || before.ChurnBudget() != after.ChurnBudget() {
		lines = append(lines, fmt.Sprintf("placing of %s changed", after.Name()))
	}
	if !slices.EqualFunc(before.get().classes, after.get().classes, sameClass) {
		lines = append(lines, fmt.Sprintf("classes of %s changed", after.Name()))
	}
	return lines
}

func sameClass(a, b Class) bool {
	x, y := *a.get(), *b.get()
	samePatterns := slices.EqualFunc(x.patterns, y.patterns, match.equal)
	return samePatterns && x.name == y.name && x.idempotent == y.idempotent && x.priority == y.priority &&
		x.deadline == y.deadline && x.mayWait == y.mayWait && x.retries == y.retries &&
		x.retryBudget == y.retryBudget && x.hedged == y.hedged && x.bodyBytes == y.bodyBytes
}

func settingChanges(before, after *Bundle) []string {
	var lines []string
	add := func(same bool, line string) {
		if !same {
			lines = append(lines, line)
		}
	}
	add(before.timings == after.timings, "timings changed")
	add(slices.Equal(before.callerLimits, after.callerLimits), "caller limits changed")
	add(slices.Equal(before.domains, after.domains), "failure domains changed")
	add(slices.EqualFunc(before.signers, after.signers, Signer.equal), "signers changed")
	for _, id := range newlyRetired(before, after) {
		lines = append(lines, fmt.Sprintf("instance %s retired", id))
	}
	return lines
}

func (s Signer) equal(other Signer) bool {
	return s.name == other.name && s.publicKey.Equal(other.publicKey)
}

func newlyRetired(before, after *Bundle) []identifier.InstanceID {
	return slices.DeleteFunc(after.RetiredInstances(), func(id identifier.InstanceID) bool {
		return slices.Contains(before.retiredInstances, id)
	})
}
