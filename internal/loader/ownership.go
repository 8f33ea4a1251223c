package loader

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// serviceKey names a key of a service.
type serviceKey struct {
	service identifier.ServiceName
	key     string
}

// serverUse is what one server did with a key or a partition so far.
type serverUse struct {
	lastEnd time.Time
	newest  identifier.Epoch
}

// uses are what the servers did with one key or partition so far.
type uses map[identifier.ServerName]serverUse

// countSecondOwners counts the executions that show a second owner: another server was executing the key or its
// partition at the same time, or had the partition before at the same epoch or a newer one. Executions without an epoch
// belong to services that are not keyed. The times are of one machine's clock.
func countSecondOwners(effects []faker.Execution) int {
	keyed := slices.DeleteFunc(slices.Clone(effects), func(e faker.Execution) bool { return e.Epoch == 0 })
	slices.SortStableFunc(keyed, func(a, b faker.Execution) int { return ended(a).Compare(ended(b)) })
	keys := map[serviceKey]uses{}
	partitions := map[identifier.PartitionID]uses{}
	count := 0
	for _, e := range keyed {
		key := usesOf(keys, serviceKey{service: e.Service, key: e.Key})
		partition := usesOf(partitions, identifier.PartitionID{Service: e.Service, Index: e.Partition})
		if key.overlaps(e) || partition.overlaps(e) || partition.outdates(e) {
			count++
		}
		key.add(e)
		partition.add(e)
	}
	return count
}

func usesOf[K comparable](all map[K]uses, k K) uses {
	if all[k] == nil {
		all[k] = uses{}
	}
	return all[k]
}

// overlaps reports whether another server was executing when e started.
func (u uses) overlaps(e faker.Execution) bool {
	for server, use := range u {
		if server != e.Server && use.lastEnd.After(e.Start) {
			return true
		}
	}
	return false
}

// outdates reports whether another server had an epoch that e's does not exceed.
func (u uses) outdates(e faker.Execution) bool {
	for server, use := range u {
		if server != e.Server && use.newest >= e.Epoch {
			return true
		}
	}
	return false
}

func (u uses) add(e faker.Execution) {
	use := u[e.Server]
	use.lastEnd = ended(e)
	use.newest = max(use.newest, e.Epoch)
	u[e.Server] = use
}

// ended returns when e had its effect; for one of a killed server that is not known, and the start stands for it.
func ended(e faker.Execution) time.Time {
	if e.End.IsZero() {
		return e.Start
	}
	return e.End
}
