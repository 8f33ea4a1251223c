package loadtester

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// serviceKey identifies a key of a service.
type serviceKey struct {
	service string
	key     int
}

// serverProcess identifies one process of a backend server.
type serverProcess struct {
	server string
	// incarnation is the start of the process in Unix milliseconds.
	incarnation int64
}

// processActivity summarises the executions of one process on a key.
type processActivity struct {
	// lastEnd is the latest end of an execution.
	lastEnd  time.Time
	maxFence uint64
}

// keyActivity holds the activity on one key by process.
type keyActivity map[serverProcess]processActivity

// countOwnershipViolations counts the executions that violate single ownership: another process was executing a
// request for the key at the same time, or had executed one before with the same or a higher fencing token. It compares
// the servers' times directly, so all servers must use the clock of one machine.
func countOwnershipViolations(executions []emulator.Execution) int {
	keyed := slices.DeleteFunc(slices.Clone(executions), func(e emulator.Execution) bool { return e.Key == emulator.NoKey })
	slices.SortStableFunc(keyed, func(a, b emulator.Execution) int { return a.Start.Compare(b.Start) })
	keys := map[serviceKey]keyActivity{}
	count := 0
	for _, e := range keyed {
		key := serviceKey{service: e.Service, key: e.Key}
		if keys[key] == nil {
			keys[key] = keyActivity{}
		}
		if keys[key].conflictsWith(e) {
			count++
		}
		keys[key].add(e)
	}
	return count
}

// conflictsWith reports whether another process was executing a request when e started, or had used a fencing token
// that is not lower than that of e.
func (k keyActivity) conflictsWith(e emulator.Execution) bool {
	for other, a := range k {
		if other != (serverProcess{server: e.Server, incarnation: e.Incarnation}) &&
			(a.lastEnd.After(e.Start) || a.maxFence >= e.Fence) {
			return true
		}
	}
	return false
}

// add records e as activity of its process.
func (k keyActivity) add(e emulator.Execution) {
	self := serverProcess{server: e.Server, incarnation: e.Incarnation}
	a := k[self]
	if end := endTime(e); end.After(a.lastEnd) {
		a.lastEnd = end
	}
	a.maxFence = max(a.maxFence, e.Fence)
	k[self] = a
}

// endTime returns when e ended. The end is unknown if the server was killed meanwhile; then it returns the start.
func endTime(e emulator.Execution) time.Time {
	if e.End.IsZero() {
		return e.Start
	}
	return e.End
}
