package bundler

import (
	"fmt"
	"strconv"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// CheckSuccessor checks that next may follow parent, the newest bundle. parent is nil if there is none yet.
// The error is a reporter.ErrFindings with the codes replay, older_version, fork, wrong_parent, missing_parent,
// name_changed and keyed_changed.
func CheckSuccessor(parent, next *Bundle) error {
	var findings reporter.Findings
	if parent == nil {
		checkFirstVersion(next, &findings)
		return findings.Err()
	}
	if !checkLineage(parent, next, &findings) {
		return findings.Err()
	}
	if parent.name != next.name {
		findings.Add(reporter.NewFinding(next.places.name, "name_changed",
			"the newest bundle is named "+strconv.Quote(parent.name), "the same name in all versions"))
	}
	for _, service := range next.services {
		before, ok := parent.service(service.Name)
		if ok && before.Keyed != service.Keyed {
			findings.Add(reporter.NewFinding(next.places.keyed[service.Name], "keyed_changed",
				fmt.Sprintf("service %q had keyed: %t", service.Name, before.Keyed), "no change, or a service with a new name"))
		}
	}
	return findings.Err()
}

// checkFirstVersion adds a finding if next is not version 1.
func checkFirstVersion(next *Bundle, findings *reporter.Findings) {
	if next.version == 1 {
		return
	}
	findings.Add(reporter.NewFinding(next.places.version, "missing_parent",
		fmt.Sprintf("version %d, but no bundle is published", next.version), "version 1"))
}

// checkLineage reports whether next is the version after parent and names its digest. If not, it adds one finding.
func checkLineage(parent, next *Bundle, findings *reporter.Findings) bool {
	message := fmt.Sprintf("version %d with digest %s, by %s and %s, is the newest",
		parent.version, parent.digest, parent.author, parent.approver)
	expected := fmt.Sprintf("version %d with parent_digest %q", parent.version+1, parent.digest)
	add := func(place reporter.Place, code reporter.Code) bool {
		findings.Add(reporter.NewFinding(place, code, message, expected))
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
		return add(next.places.parentVersion, "wrong_parent")
	case next.parentDigest != parent.digest:
		return add(next.places.parentDigest, "fork")
	}
	return true
}
