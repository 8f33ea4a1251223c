package prover

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// ownership is the owner of one partition as executions show it.
type ownership struct {
	server identifier.ServerName
	epoch  identifier.Epoch
}

// ownershipModel allows an execution by the present owner at its epoch, or by any server at a later epoch, which
// becomes the owner.
func ownershipModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := map[identifier.PartitionID][]porcupine.Operation{}
			for _, op := range history {
				e := op.Input.(faker.Execution)
				id := identifier.PartitionID{Service: e.Service, Index: e.Partition}
				parts[id] = append(parts[id], op)
			}
			var all [][]porcupine.Operation
			for _, part := range parts {
				all = append(all, part)
			}
			return all
		},
		Init: func() any { return ownership{} },
		Step: func(state, input, _ any) (bool, any) {
			owner, e := state.(ownership), input.(faker.Execution)
			if e.Epoch > owner.epoch {
				return true, ownership{server: e.Server, epoch: e.Epoch}
			}
			return e.Epoch == owner.epoch && e.Server == owner.server, owner
		},
		Equal: func(a, b any) bool { return a == b },
	}
}

// ownershipHolds reports whether the executions can be put in one order, within their times, in which every partition
// has one owner at each epoch and the epochs only grow. Executions that were withdrawn had no effect.
func ownershipHolds(executions []faker.Execution) bool {
	var history []porcupine.Operation
	for i, e := range executions {
		if e.State == faker.StateWithdrawn {
			continue
		}
		end := e.End
		if e.State == faker.StatePending {
			end = e.Start.Add(waitBound)
		}
		history = append(history, porcupine.Operation{
			ClientId: i,
			Input:    e,
			Call:     e.Start.UnixNano(),
			Return:   end.UnixNano(),
		})
	}
	return porcupine.CheckOperations(ownershipModel(), history)
}

func TestOwnershipHolds(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(1_000_000 + ms)) }
	run := func(server identifier.ServerName, epoch identifier.Epoch, start, end int, state faker.State) faker.Execution {
		return faker.Execution{Server: server, Service: service, Epoch: epoch, Start: at(start), End: at(end), State: state}
	}
	tests := map[string]struct {
		executions []faker.Execution
		want       bool
	}{
		"one owner": {want: true, executions: []faker.Execution{
			run("s1", 1, 0, 10, faker.StateEffect), run("s1", 1, 5, 15, faker.StateEffect)}},
		"moved": {want: true, executions: []faker.Execution{
			run("s1", 1, 0, 10, faker.StateEffect), run("s2", 2, 20, 30, faker.StateEffect)}},
		"older epoch later": {executions: []faker.Execution{
			run("s2", 2, 0, 10, faker.StateEffect), run("s1", 1, 20, 30, faker.StateEffect)}},
		"older epoch later, withdrawn": {want: true, executions: []faker.Execution{
			run("s2", 2, 0, 10, faker.StateEffect), run("s1", 1, 20, 30, faker.StateWithdrawn)}},
		"two servers at one epoch": {executions: []faker.Execution{
			run("s1", 1, 0, 10, faker.StateEffect), run("s2", 1, 20, 30, faker.StateEffect)}},
		"back under an old epoch": {executions: []faker.Execution{
			run("s1", 1, 0, 10, faker.StateEffect), run("s2", 2, 20, 30, faker.StateEffect), run("s1", 1, 40, 50, faker.StateEffect)}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(ownershipHolds(tc.executions), tc.want)
		})
	}
}
