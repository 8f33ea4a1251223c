package bundler

import (
	"fmt"
	"strconv"

	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// CheckSuccessor checks that next may follow parent, the bundle in force; parent is nil before version 1.
// The error is a reporter.ErrFindings with the codes replay, older_version, fork, wrong_parent, missing_parent,
// name_changed, keyed_changed, partitions_changed, address_changed, address_reused and server_moved.
func CheckSuccessor(parent, next *Bundle) error {
	var findings reporter.Findings
	if parent == nil {
		checkFirst(next, &findings)
		return findings.Err()
	}
	if !checkLineage(parent, next, &findings) {
		return findings.Err()
	}
	if parent.name != next.name {
		findings.Add(reporter.NewFinding(next.places.name, "name_changed",
			"the bundle in force is "+strconv.Quote(parent.name), "the same name in all versions"))
	}
	addresses := serversByAddress(parent)
	for _, service := range next.services {
		checkService(parent, service, &findings)
		for _, server := range service.data.servers {
			checkServer(parent, service, server, &findings)
			checkAddress(addresses, server, &findings)
		}
	}
	return findings.Err()
}

func checkFirst(next *Bundle, findings *reporter.Findings) {
	if next.version == 1 {
		return
	}
	findings.Add(reporter.NewFinding(next.places.version, "missing_parent",
		fmt.Sprintf("version %d, but no bundle is in force", next.version), "version 1"))
}

// checkLineage reports whether next names parent as its parent, and adds one finding when it does not.
func checkLineage(parent, next *Bundle, findings *reporter.Findings) bool {
	inForce := fmt.Sprintf("version %d with digest %s, by %s and %s, is in force",
		parent.version, parent.digest, parent.author, parent.approver)
	expected := fmt.Sprintf("version %d with parent_digest %q", parent.version+1, parent.digest)
	add := func(place reporter.Place, code reporter.Code) bool {
		findings.Add(reporter.NewFinding(place, code, inForce, expected))
		return false
	}
	switch {
	case next.digest == parent.digest:
		return add(next.places.version, "replay")
	case next.version < parent.version:
		return add(next.places.version, "older_version")
	case next.version == parent.version:
		return add(next.places.version, "fork")
	case next.version > parent.version+1:
		return add(next.places.parent, "wrong_parent")
	case next.parentDigest != parent.digest:
		return add(next.places.parentDigest, "fork")
	}
	return true
}

func checkService(parent *Bundle, next Service, findings *reporter.Findings) {
	if before, ok := parent.GetServiceByName(next.Name()); ok {
		checkPlacing(before, next, findings)
	}
}

// checkPlacing reports a change that would move every key at once.
func checkPlacing(before, next Service, findings *reporter.Findings) {
	switch {
	case before.Keyed() != next.Keyed():
		findings.Add(reporter.NewFinding(next.data.keyedPlace, "keyed_changed",
			fmt.Sprintf("service %q had keyed: %t", next.Name(), before.Keyed()), "no change, or a service with a new name"))
	case before.Partitions() != next.Partitions():
		findings.Add(reporter.NewFinding(next.data.partitionPlace, "partitions_changed",
			fmt.Sprintf("service %q had %d partitions", next.Name(), before.Partitions()),
			"no change, or a service with a new name"))
	}
}

// checkServer reports a server name that would pass to another process, whose grants the old one would not know.
func checkServer(parent *Bundle, service Service, next Server, findings *reporter.Findings) {
	before, serviceBefore, ok := parent.GetServerByName(next.Name())
	if !ok {
		return
	}
	if before.Address() != next.Address() {
		findings.Add(reporter.NewFinding(next.data.addressPlace, "address_changed",
			fmt.Sprintf("server %q had the address %s", next.Name(), before.Address()), "a new server name for a new address"))
	}
	if serviceBefore != service.Name() {
		findings.Add(reporter.NewFinding(next.data.place, "server_moved",
			fmt.Sprintf("server %q belonged to service %q", next.Name(), serviceBefore), "a new server name"))
	}
}

func serversByAddress(b *Bundle) map[string]identifier.ServerName {
	servers := make(map[string]identifier.ServerName, len(b.serverByName))
	for name, found := range b.serverByName {
		servers[found.server.Address()] = name
	}
	return servers
}

// checkAddress reports an address that passes from one server name to another in one step: the process behind it may
// still act on the grants of the old name.
func checkAddress(before map[string]identifier.ServerName, next Server, findings *reporter.Findings) {
	name, ok := before[next.Address()]
	if !ok || name == next.Name() {
		return
	}
	findings.Add(reporter.NewFinding(next.data.addressPlace, "address_reused",
		fmt.Sprintf("address %s belonged to server %q", next.Address(), name),
		"a version without the old server first"))
}
