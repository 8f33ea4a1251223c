package faker

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// fence is what a backend server knows of who may order it. The zero fence allows nothing.
// It decides by the present time that it is given.
type fence struct {
	term    identifier.Term
	issuer  identifier.InstanceID
	until   time.Time
	granted map[identifier.PartitionID]identifier.Epoch
	newest  map[identifier.PartitionID]identifier.Epoch
}

// ticket is what a request says of its right to be executed.
type ticket struct {
	partition identifier.PartitionID
	epoch     identifier.Epoch
	term      identifier.Term
	deadline  time.Time
}

// order checks the sender of a command; a newer term takes the place of the old one and of its grant.
func (f *fence) order(issuer identifier.InstanceID, term identifier.Term) commander.Refusal {
	if term < f.term || term == f.term && issuer != f.issuer && f.issuer != "" {
		return commander.RefusedStaleTerm
	}
	if term > f.term {
		f.until = time.Time{}
		f.granted = nil
	}
	f.term, f.issuer = term, issuer
	return ""
}

// obey takes the sender of a command as rightful, whoever it is.
func (f *fence) obey(issuer identifier.InstanceID, term identifier.Term) {
	f.term, f.issuer = term, issuer
}

// checkEpochs refuses a grant with a partition at an epoch older than one that was granted here.
func (f *fence) checkEpochs(grant commander.Grant) commander.Refusal {
	for _, p := range grant.Partitions {
		if p.Epoch < f.newest[p.ID] {
			return commander.RefusedStaleEpoch
		}
	}
	return ""
}

// grant replaces the whole grant; it ends at until.
func (f *fence) grant(grant commander.Grant, until time.Time) {
	f.until = until
	f.granted = map[identifier.PartitionID]identifier.Epoch{}
	if f.newest == nil {
		f.newest = map[identifier.PartitionID]identifier.Epoch{}
	}
	for _, p := range grant.Partitions {
		f.granted[p.ID] = p.Epoch
		f.newest[p.ID] = max(f.newest[p.ID], p.Epoch)
	}
}

func (f *fence) revoke(partitions []identifier.PartitionID) {
	for _, p := range partitions {
		delete(f.granted, p)
	}
}

// check returns why a request may not be executed at now, or "".
func (f *fence) check(t ticket, now time.Time) commander.Refusal {
	if t.term < f.term {
		return commander.RefusedStaleTerm
	}
	if t.term > f.term || !now.Before(f.until) {
		return commander.RefusedNoGrant
	}
	epoch, owned := f.granted[t.partition]
	switch {
	case t.epoch == 0 && !f.grantsService(t.partition.Service):
		return ""
	case !owned:
		return commander.RefusedNoGrant
	case epoch != t.epoch:
		return commander.RefusedStaleEpoch
	}
	return ""
}

// grantsService reports whether partitions of service are granted; if none is, the service counts as not keyed.
func (f *fence) grantsService(service identifier.ServiceName) bool {
	for p := range f.granted {
		if p.Service == service {
			return true
		}
	}
	return false
}
