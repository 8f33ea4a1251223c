package loadtester

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// TestCountOwnershipViolations guards against violations that are missed, and against moves of keys that count as
// violations.
func TestCountOwnershipViolations(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	execution := func(server string, fence uint64, start, end int) emulator.Execution {
		return emulator.Execution{Server: server, Service: "d", Key: 7, Fence: fence, Start: at(start), End: at(end)}
	}
	withoutKey := func(e emulator.Execution) emulator.Execution {
		e.Key = emulator.NoKey
		return e
	}
	restarted := func(e emulator.Execution) emulator.Execution {
		e.Incarnation = 1
		return e
	}
	otherKey := func(e emulator.Execution) emulator.Execution {
		e.Key = 8
		return e
	}
	killed := execution("a", 1, 5, 0)
	killed.End = time.Time{}
	tests := map[string]struct {
		executions []emulator.Execution
		want       int
	}{
		"one owner": {executions: []emulator.Execution{execution("a", 1, 0, 5), execution("a", 1, 2, 6)}},
		"key moved": {executions: []emulator.Execution{execution("a", 1, 0, 5), execution("b", 2, 5, 9)}},
		"key moved back": {
			executions: []emulator.Execution{execution("a", 1, 0, 5), execution("b", 2, 5, 9), execution("a", 3, 9, 12)},
		},
		"overlapping executions": {
			executions: []emulator.Execution{execution("a", 1, 0, 5), execution("b", 2, 4, 9)}, want: 1,
		},
		"lower fence later": {
			executions: []emulator.Execution{execution("b", 2, 0, 3), execution("a", 1, 4, 6)}, want: 1,
		},
		"same fence, other server": {executions: []emulator.Execution{execution("a", 2, 0, 3), execution("b", 2, 4, 6)}, want: 1},
		"same fence, new incarnation": {
			executions: []emulator.Execution{execution("a", 2, 0, 3), restarted(execution("a", 2, 4, 6))}, want: 1,
		},
		"service without keys": {
			executions: []emulator.Execution{withoutKey(execution("a", 0, 0, 3)), withoutKey(execution("b", 0, 1, 6))},
		},
		"killed, then key moved": {executions: []emulator.Execution{killed, execution("b", 2, 9, 12)}},
		"different keys": {
			executions: []emulator.Execution{execution("a", 1, 0, 5), otherKey(execution("b", 1, 4, 9))},
		},
		"not sorted by start": {executions: []emulator.Execution{execution("b", 2, 5, 9), execution("a", 1, 0, 5)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(countOwnershipViolations(tc.executions), tc.want)
		})
	}
}
