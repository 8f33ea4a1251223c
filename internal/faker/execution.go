package faker

import (
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// State says how far an execution has come.
type State string

// The states of an execution. A pending one of a server that was killed may have had its effect.
const (
	StatePending   State = "pending"
	StateEffect    State = "effect"
	StateWithdrawn State = "withdrawn"
)

// Execution is one execution of a request by a backend server.
type Execution struct {
	Server identifier.ServerName `json:"server"`
	// Run tells the runs of one server apart.
	Run string `json:"run"`
	// Sequence numbers the executions of one run from 1.
	Sequence  int                       `json:"sequence"`
	RequestID string                    `json:"request_id"`
	Method    string                    `json:"method"`
	Service   identifier.ServiceName    `json:"service"`
	Key       string                    `json:"key"`
	Partition identifier.PartitionIndex `json:"partition"`
	Epoch     identifier.Epoch          `json:"epoch"`
	Term      identifier.Term           `json:"term"`
	Start     time.Time                 `json:"start"`
	// End is the time of the effect or of the withdrawal.
	End     time.Time `json:"end"`
	State   State     `json:"state"`
	Refused string    `json:"refused,omitempty"`
}

// ExecutionPage is the answer of GET /admin/executions?from=N; Next is the value of from for the next page.
type ExecutionPage struct {
	Executions []Execution `json:"executions"`
	Next       int         `json:"next"`
}

// maxPageExecutions bounds one page.
const maxPageExecutions = 10_000

// journal is the list of a server's executions. The zero journal is empty.
type journal struct {
	mu         sync.Mutex
	executions []Execution
}

// begin enters an execution and returns its sequence number.
func (j *journal) begin(e Execution) Execution {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Sequence = len(j.executions) + 1
	j.executions = append(j.executions, e)
	return e
}

// finish replaces the entry of e.
func (j *journal) finish(e Execution) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.executions[e.Sequence-1] = e
}

func (j *journal) page(from int) ExecutionPage {
	j.mu.Lock()
	defer j.mu.Unlock()
	return pageOf(j.executions, from)
}

// pageOf returns the page of all that begins at position from.
func pageOf(all []Execution, from int) ExecutionPage {
	from = min(max(from, 0), len(all))
	end := min(from+maxPageExecutions, len(all))
	return ExecutionPage{Executions: append([]Execution{}, all[from:end]...), Next: end}
}
