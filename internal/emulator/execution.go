package emulator

import (
	"sync"
	"time"
)

// NoKey is the key of an execution at a service that is not keyed.
const NoKey = -1

// Execution is one request that a backend server began to run.
type Execution struct {
	Server string `json:"server"`
	// Incarnation is the start of the server as Unix time in milliseconds. It tells the incarnations of one server
	// apart.
	Incarnation int64 `json:"born"`
	// Sequence numbers the executions of one incarnation from 1.
	Sequence  int    `json:"sequence"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Service   string `json:"service"`
	Key       int    `json:"key"`
	// Fence is the fencing token of the grant under which the server owned the key.
	Fence uint64    `json:"fence"`
	Start time.Time `json:"start"`
	// End is when the work ended, or when the server stopped owning the key; zero for a server that was killed.
	End time.Time `json:"end"`
}

// executionID names one execution over all servers.
type executionID struct {
	server   string
	born     int64
	sequence int
}

// ExecutionPage is the answer of GET /admin/executions?from=N; Next is the value of from for the next page.
type ExecutionPage struct {
	Executions []Execution `json:"executions"`
	Next       int         `json:"next"`
}

// maxPageExecutions bounds one page.
const maxPageExecutions = 10_000

// executions is a list that keeps the newest state of each execution. The zero executions is empty.
type executions struct {
	mu        sync.Mutex
	list      []Execution
	positions map[executionID]int
}

// add keeps e in place of an older state of the same execution.
func (x *executions) add(e Execution) {
	id := executionID{server: e.Server, born: e.Incarnation, sequence: e.Sequence}
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

// page returns the executions from the given position on, at most maxPageExecutions.
func (x *executions) page(from int) ExecutionPage {
	x.mu.Lock()
	defer x.mu.Unlock()
	from = min(max(from, 0), len(x.list))
	end := min(from+maxPageExecutions, len(x.list))
	return ExecutionPage{Executions: append([]Execution{}, x.list[from:end]...), Next: end}
}

// all returns all executions.
func (x *executions) all() []Execution {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]Execution{}, x.list...)
}
