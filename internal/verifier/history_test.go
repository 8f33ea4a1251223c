package verifier

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// ownership is the owner of one key as derived from executions.
type ownership struct {
	server      string
	incarnation int64
	fence       uint64
}

// ownershipModel returns a model with one state per key. It accepts an execution by the current owner at its current fence,
// and an execution by any server at a higher fence; that server then becomes the owner.
func ownershipModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byKey := map[int][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(emulator.Execution).Key
				byKey[key] = append(byKey[key], op)
			}
			var partitions [][]porcupine.Operation
			for _, part := range byKey {
				partitions = append(partitions, part)
			}
			return partitions
		},
		Init: func() any { return ownership{} },
		Step: func(state, input, _ any) (bool, any) {
			owner, e := state.(ownership), input.(emulator.Execution)
			if e.Fence > owner.fence {
				return true, ownership{server: e.Server, incarnation: e.Incarnation, fence: e.Fence}
			}
			return e.Fence == owner.fence && e.Server == owner.server && e.Incarnation == owner.incarnation, owner
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// isOwnershipExclusive reports whether the executions are linearizable in ownershipModel: within their start and end times
// they can be ordered so that, for each key, every fence has a single owner and fences never decrease.
func isOwnershipExclusive(executions []emulator.Execution) bool {
	var history []porcupine.Operation
	for i, e := range executions {
		if e.Key == emulator.NoKey {
			continue
		}
		end := e.End
		if end.IsZero() {
			// The execution is in progress, or its server was killed at an unknown time. waitTimeout is used as the upper
			// bound of its duration.
			end = e.Start.Add(waitTimeout)
		}
		history = append(history, porcupine.Operation{
			ClientId: i, Input: e, Call: e.Start.UnixNano(), Return: end.UnixNano(),
		})
	}
	return porcupine.CheckOperations(ownershipModel(), history)
}

// TestIsOwnershipExclusive guards against a check of ownership that can't fail, and against one that rejects a valid move.
func TestIsOwnershipExclusive(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	execution := func(server string, fence uint64, start, end int) emulator.Execution {
		return emulator.Execution{Server: server, Key: 7, Fence: fence, Start: at(start), End: at(end)}
	}
	restarted := execution("s1", 1, 20, 30)
	restarted.Incarnation = 5
	unkeyed := execution("s2", 0, 0, 10)
	unkeyed.Key = emulator.NoKey
	tests := map[string]struct {
		executions []emulator.Execution
		want       bool
	}{
		"one owner": {
			want: true, executions: []emulator.Execution{execution("s1", 1, 0, 10), execution("s1", 1, 5, 15)},
		},
		"one owner, higher fence": {
			want: true, executions: []emulator.Execution{execution("s1", 1, 0, 10), execution("s1", 2, 20, 30)},
		},
		"key moved": {
			want: true, executions: []emulator.Execution{execution("s1", 1, 0, 10), execution("s2", 2, 20, 30)},
		},
		"service without keys":        {want: true, executions: []emulator.Execution{execution("s1", 1, 0, 10), unkeyed}},
		"lower fence later":           {executions: []emulator.Execution{execution("s2", 2, 0, 10), execution("s1", 1, 20, 30)}},
		"same fence, other server":    {executions: []emulator.Execution{execution("s1", 1, 0, 10), execution("s2", 1, 20, 30)}},
		"same fence, new incarnation": {executions: []emulator.Execution{execution("s1", 1, 0, 10), restarted}},
		"former owner at its old fence": {
			executions: []emulator.Execution{execution("s1", 1, 0, 10), execution("s2", 2, 20, 30), execution("s1", 1, 40, 50)},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(isOwnershipExclusive(tc.executions), tc.want)
		})
	}
}
