package loadtester

import (
	"slices"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// Verdict is the result of comparing the outcomes of a Run with the executions at the backend servers. A request counts as
// executed once a server has begun to work on it.
type Verdict struct {
	// Executions counts the executions of requests of the run.
	Executions int `json:"executions"`
	// Duplicated counts the requests of at-most-once classes that were executed more than once.
	Duplicated int `json:"doubled"`
	// Reexecuted counts the requests of idempotent classes that were executed more than once.
	Reexecuted int `json:"repeated"`
	// OwnershipViolations counts the executions that conflict with one of another server process on the same key.
	OwnershipViolations int `json:"second_owners"`
	// FalseNotExecuted counts the requests whose outcome is not_run although they were executed.
	FalseNotExecuted int `json:"false_not_run"`
	// Unexecuted counts the requests that were answered but not executed.
	Unexecuted int `json:"unexecuted"`
	// Servers holds the executions by server, sorted by the servers' names.
	Servers []ServerCount `json:"servers"`
}

// ServerCount counts the executions of one server.
type ServerCount struct {
	Server     string `json:"server"`
	Executions int    `json:"effects"`
}

// Verify compares the outcomes of the requests with the executions of the servers. Executions of requests that do not
// belong to the run are ignored.
func (t *Tally) Verify(executions []emulator.Execution) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	ofRun := t.executionsOfRun(executions)
	verdict := Verdict{Executions: len(ofRun), Servers: countByServer(ofRun)}
	countByRequest := map[string]int{}
	for _, e := range ofRun {
		countByRequest[e.RequestID]++
	}
	for id, s := range t.requests {
		verdict.addRequest(s, countByRequest[id])
	}
	verdict.OwnershipViolations = countOwnershipViolations(ofRun)
	return verdict
}

// executionsOfRun returns those of executions whose request belongs to the run.
func (t *Tally) executionsOfRun(executions []emulator.Execution) []emulator.Execution {
	var ofRun []emulator.Execution
	for _, e := range executions {
		if _, ok := t.requests[e.RequestID]; ok {
			ofRun = append(ofRun, e)
		}
	}
	return ofRun
}

// addRequest counts a request that was executed the given number of times.
func (v *Verdict) addRequest(s finishedRequest, executions int) {
	if executions > 1 && s.class.AtMostOnce {
		v.Duplicated++
	}
	if executions > 1 && !s.class.AtMostOnce {
		v.Reexecuted++
	}
	if executions > 0 && s.outcome == OutcomeNotExecuted {
		v.FalseNotExecuted++
	}
	if executions == 0 && s.outcome == OutcomeAnswered {
		v.Unexecuted++
	}
}

// countByServer returns the number of executions of each server, sorted by the servers' names.
func countByServer(executions []emulator.Execution) []ServerCount {
	counts := map[string]int{}
	for _, e := range executions {
		counts[e.Server]++
	}
	servers := []ServerCount{}
	for name, n := range counts {
		servers = append(servers, ServerCount{Server: name, Executions: n})
	}
	slices.SortFunc(servers, func(a, b ServerCount) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return servers
}
