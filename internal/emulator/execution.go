package emulator

import (
	"sync"
	"time"
)

// NoKey is the key of an execution by a server that is not keyed.
const NoKey = -1

// Execution is a request that a backend server has started to execute.
type Execution struct {
	Server string `json:"server"`
	// Incarnation is the start time of the server process in Unix milliseconds. It distinguishes restarts of a server.
	Incarnation int64 `json:"born"`
	// Sequence is the number of the execution within its incarnation, from 1.
	Sequence  int    `json:"sequence"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Service   string `json:"service"`
	Key       int    `json:"key"`
	// Fence is the fencing token of the grant under which the server owned the key.
	Fence uint64    `json:"fence"`
	Start time.Time `json:"start"`
	// End is when the execution ended or, if that was earlier, when the lease of the key expired. It is zero while the
	// execution runs, and stays zero if the server is killed.
	End time.Time `json:"end"`
}

// executionID identifies an execution across all servers.
type executionID struct {
	server      string
	incarnation int64
	sequence    int
}

// ExecutionPage is the answer to GET /admin/executions?from=N. Next is the value of from for the next page.
type ExecutionPage struct {
	Executions []Execution `json:"executions"`
	Next       int         `json:"next"`
}

// maxPageExecutions bounds the executions of a page.
const maxPageExecutions = 10_000

// executions stores the newest state of each execution in the order in which they were first added. The zero value is
// empty. It is safe for concurrent use.
type executions struct {
	mu        sync.Mutex
	list      []Execution
	positions map[executionID]int // in list
}

// add stores e and replaces an earlier state of the same execution.
func (x *executions) add(e Execution) {
	id := executionID{server: e.Server, incarnation: e.Incarnation, sequence: e.Sequence}
	x.mu.Lock()
	defer x.mu.Unlock()
	if position, ok := x.positions[id]; ok {
		x.list[position] = e
		return
	}
	if x.positions == nil {
		x.positions = map[executionID]int{}
	}
	x.positions[id] = len(x.list)
	x.list = append(x.list, e)
}

// page returns at most maxPageExecutions executions, starting at position from.
func (x *executions) page(from int) ExecutionPage {
	x.mu.Lock()
	defer x.mu.Unlock()
	from = min(max(from, 0), len(x.list))
	end := min(from+maxPageExecutions, len(x.list))
	return ExecutionPage{Executions: append([]Execution{}, x.list[from:end]...), Next: end}
}

// all returns a copy of all executions.
func (x *executions) all() []Execution {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]Execution{}, x.list...)
}
