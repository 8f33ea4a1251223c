package verifier

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// ownership is the owner of one key as executions show it.
type ownership struct {
	server string
	born   int64
	fence  uint64
}

// ownershipModel allows an execution by the present owner at its fence or a higher one, or by any server at a higher
// fence, which becomes the owner.
func ownershipModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[int][]porcupine.Operation{}
			for _, op := range history {
				key := op.Input.(emulator.Execution).Key
				parts[key] = append(parts[key], op)
			}
			var all [][]porcupine.Operation
			for _, part := range parts {
				all = append(all, part)
			}
			return all
		},
		Init: func() any { return ownership{} },
		Step: func(state, input, _ any) (bool, any) {
			owner, e := state.(ownership), input.(emulator.Execution)
			if e.Fence > owner.fence {
				return true, ownership{server: e.Server, born: e.Incarnation, fence: e.Fence}
			}
			return e.Fence == owner.fence && e.Server == owner.server && e.Incarnation == owner.born, owner
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// ownershipHolds reports whether the beginnings of executions can be put in one order, within their times, in which
// every key has one owner at each fence and the fences only grow.
func ownershipHolds(executions []emulator.Execution) bool {
	var history []porcupine.Operation
	for i, e := range executions {
		if e.Key == emulator.NoKey {
			continue
		}
		end := e.End
		if end.IsZero() {
			end = e.Start.Add(waitBound) // its server was killed at an unknown time
		}
		history = append(history, porcupine.Operation{ClientId: i, Input: e, Call: e.Start.UnixNano(), Return: end.UnixNano()})
	}
	return porcupine.CheckOperations(ownershipModel(), history)
}

func TestOwnershipHolds(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	run := func(server string, fence uint64, start, end int) emulator.Execution {
		return emulator.Execution{Server: server, Key: 7, Fence: fence, Start: at(start), End: at(end)}
	}
	reborn := run("s1", 1, 20, 30)
	reborn.Incarnation = 5
	unkeyed := run("s2", 0, 0, 10)
	unkeyed.Key = emulator.NoKey
	tests := map[string]struct {
		executions []emulator.Execution
		want       bool
	}{
		"one owner":                {want: true, executions: []emulator.Execution{run("s1", 1, 0, 10), run("s1", 1, 5, 15)}},
		"one owner, fence rises":   {want: true, executions: []emulator.Execution{run("s1", 1, 0, 10), run("s1", 2, 20, 30)}},
		"moved":                    {want: true, executions: []emulator.Execution{run("s1", 1, 0, 10), run("s2", 2, 20, 30)}},
		"not keyed":                {want: true, executions: []emulator.Execution{run("s1", 1, 0, 10), unkeyed}},
		"lower fence later":        {executions: []emulator.Execution{run("s2", 2, 0, 10), run("s1", 1, 20, 30)}},
		"two servers at one fence": {executions: []emulator.Execution{run("s1", 1, 0, 10), run("s2", 1, 20, 30)}},
		"new life at one fence":    {executions: []emulator.Execution{run("s1", 1, 0, 10), reborn}},
		"back under an old fence":  {executions: []emulator.Execution{run("s1", 1, 0, 10), run("s2", 2, 20, 30), run("s1", 1, 40, 50)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(ownershipHolds(tc.executions), tc.want)
		})
	}
}
