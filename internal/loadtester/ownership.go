package loadtester

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// serviceKey names a key of a service.
type serviceKey struct {
	service string
	key     int
}

// owner is one incarnation of a backend server.
type owner struct {
	server string
	born   int64
}

// ownerUse is what one owner did with a key so far.
type ownerUse struct {
	lastEnd time.Time
	newest  uint64
}

// uses are what the owners of a key did with it so far.
type uses map[owner]ownerUse

// countSecondOwners counts the executions that show a second owner: another one was running something on the key at the
// same time, or had it before by the same fence or a higher one. The times are of one machine's clock.
func countSecondOwners(effects []emulator.Execution) int {
	keyed := slices.DeleteFunc(slices.Clone(effects), func(e emulator.Execution) bool { return e.Key == emulator.NoKey })
	slices.SortStableFunc(keyed, func(a, b emulator.Execution) int { return a.Start.Compare(b.Start) })
	keys := map[serviceKey]uses{}
	count := 0
	for _, e := range keyed {
		key := serviceKey{service: e.Service, key: e.Key}
		if keys[key] == nil {
			keys[key] = uses{}
		}
		if keys[key].breaks(e) {
			count++
		}
		keys[key].add(e)
	}
	return count
}

// breaks reports whether another owner was running something when e started, or had a fence that e's does not exceed.
func (u uses) breaks(e emulator.Execution) bool {
	for other, use := range u {
		if other != (owner{server: e.Server, born: e.Incarnation}) && (use.lastEnd.After(e.Start) || use.newest >= e.Fence) {
			return true
		}
	}
	return false
}

func (u uses) add(e emulator.Execution) {
	self := owner{server: e.Server, born: e.Incarnation}
	use := u[self]
	if end := ended(e); end.After(use.lastEnd) {
		use.lastEnd = end
	}
	use.newest = max(use.newest, e.Fence)
	u[self] = use
}

// ended returns when e ended; for one of a killed server that is not known, and the start stands for it.
func ended(e emulator.Execution) time.Time {
	if e.End.IsZero() {
		return e.Start
	}
	return e.End
}
