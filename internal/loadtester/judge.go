package loadtester

import (
	"slices"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

// Verdict is what the servers' executions say of a Run. A request has run when a server began to work on it.
type Verdict struct {
	// Executions are the effects that belong to the run.
	Executions int `json:"executions"`
	// Doubled are the requests of at-most-once classes that were executed more than once.
	Doubled int `json:"doubled"`
	// Repeated are the requests of idempotent classes that were executed more than once.
	Repeated int `json:"repeated"`
	// SecondOwners are the executions by a server that did not own the key.
	SecondOwners int `json:"second_owners"`
	// FalseNotRun are the requests that were told not_run and were executed.
	FalseNotRun int `json:"false_not_run"`
	// Unexecuted are the requests that were answered and not executed.
	Unexecuted int `json:"unexecuted"`
	// Servers are the effects by server, in the order of their names.
	Servers []ServerCount `json:"servers"`
}

// ServerCount is how many effects one server had.
type ServerCount struct {
	Server  string `json:"server"`
	Effects int    `json:"effects"`
}

// Verify compares what the callers were told with the executions of the servers.
func (t *Tally) Verify(executions []emulator.Execution) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	effects := t.effects(executions)
	verdict := Verdict{Executions: len(effects), Servers: countServers(effects)}
	byRequest := map[string]int{}
	for _, e := range effects {
		byRequest[e.RequestID]++
	}
	for id, s := range t.requests {
		verdict.addRequest(s, byRequest[id])
	}
	verdict.SecondOwners = countSecondOwners(effects)
	return verdict
}

// effects returns the executions of the run.
func (t *Tally) effects(executions []emulator.Execution) []emulator.Execution {
	var effects []emulator.Execution
	for _, e := range executions {
		if _, ours := t.requests[e.RequestID]; ours {
			effects = append(effects, e)
		}
	}
	return effects
}

func (v *Verdict) addRequest(s sent, effects int) {
	if effects > 1 && s.class.AtMostOnce {
		v.Doubled++
	}
	if effects > 1 && !s.class.AtMostOnce {
		v.Repeated++
	}
	if effects > 0 && s.outcome == OutcomeNotRun {
		v.FalseNotRun++
	}
	if effects == 0 && s.outcome == OutcomeAnswered {
		v.Unexecuted++
	}
}

func countServers(effects []emulator.Execution) []ServerCount {
	counts := map[string]int{}
	for _, e := range effects {
		counts[e.Server]++
	}
	servers := []ServerCount{}
	for name, n := range counts {
		servers = append(servers, ServerCount{Server: name, Effects: n})
	}
	slices.SortFunc(servers, func(a, b ServerCount) int {
		if a.Server < b.Server {
			return -1
		}
		return 1
	})
	return servers
}
