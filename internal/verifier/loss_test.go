package verifier

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

const (
	// lossSlack is how long after its last byte a request that was passed on to no server may still cross a close.
	lossSlack = 200 * time.Millisecond
	// clockSlack is how much earlier than its client sees the end of a request a server or an entry may end it.
	clockSlack = 100 * time.Millisecond
	// lastSentAfterStop is how long after SIGTERM a request may be sent whose server may still be at work at the end.
	lastSentAfterStop = 3 * time.Second
	// plannedTail is how long after the grace period a request that ends still counts as ended by the stop.
	plannedTail = time.Second
	// reloadWindow is how long after SIGHUP a request that is sent must not be cut: the time to apply a configuration.
	reloadWindow = 2 * time.Second
)

// signals are the signals that one process of an entry got.
type signals struct {
	stopped  time.Time // first SIGTERM; zero for none
	reloaded []time.Time
}

// sentRequest is what a client saw of a request that it sent completely.
type sentRequest struct {
	id         string
	idempotent bool
	sent       time.Time // last byte
	limit      time.Time // end of the client's time or of the route's timeout
	ended      time.Time
	status     int  // 0 if there was no complete answer
	signed     bool // the answer is a server's
}

// loss says why the request counts as lost by planned work, by the platform's rules, or is empty. executions are those of the
// request, and to are the signals of the process that took it.
func (r sentRequest) loss(to signals, executions []emulator.Execution) string {
	atWork := func(from, until time.Time) bool {
		return slices.ContainsFunc(executions, func(e emulator.Execution) bool {
			return !e.Start.After(until) && (e.End.IsZero() || !e.End.Before(from))
		})
	}
	switch {
	case !r.idempotent && len(executions) > 1:
		return fmt.Sprintf("executed %d times", len(executions))
	case r.status == http.StatusServiceUnavailable && len(executions) > 0:
		return "reported as not executed"
	case r.signed, r.status == http.StatusServiceUnavailable, !r.ended.Before(r.limit.Add(-clockSlack)):
		return ""
	case r.status == 0 && len(executions) == 0 && r.ended.Sub(r.sent) <= lossSlack:
		return "" // it crossed the close
	case !to.stopped.IsZero() && !r.sent.After(to.stopped.Add(lastSentAfterStop)) &&
		!r.ended.Before(to.stopped.Add(stopGrace*5/6-clockSlack)) &&
		atWork(to.stopped.Add(stopGrace*5/6), to.stopped.Add(stopGrace)):
		return ""
	}
	if r.status == 0 {
		return "closed without an answer"
	}
	stopping := !to.stopped.IsZero() && r.ended.Before(to.stopped.Add(stopGrace+plannedTail)) && atWork(to.stopped, r.ended)
	reloading := slices.ContainsFunc(to.reloaded, func(at time.Time) bool {
		return !r.sent.After(at.Add(reloadWindow)) && atWork(at, r.ended)
	})
	if stopping || reloading {
		return "broken off at work"
	}
	return "" // no server was at work, or only another instance stopped
}

// TestLoss guards against a check of planned work that can't fail, and against one that counts what the rules allow.
func TestLoss(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	run := func(from, until float64) []emulator.Execution {
		return []emulator.Execution{{Start: at(from), End: at(until)}}
	}
	stop := signals{stopped: start}
	request := func(sent, ended float64, status int) sentRequest {
		return sentRequest{sent: at(sent), limit: at(sent + 8), ended: at(ended), status: status}
	}
	repeated := request(0, 6, http.StatusBadGateway)
	repeated.idempotent = true
	answered := request(0, 5, http.StatusGatewayTimeout)
	answered.signed = true
	tests := map[string]struct {
		request    sentRequest
		signals    signals
		executions []emulator.Execution
		want       string
	}{
		"closed at work":                 {request: request(0, 2, 0), signals: stop, executions: run(0, 2), want: "closed without an answer"},
		"closed at work, no stop":        {request: request(0, 2, 0), executions: run(0, 2), want: "closed without an answer"},
		"closed, not executed, late":     {request: request(0, 0.3, 0), signals: stop, want: "closed without an answer"},
		"crossed a close":                {request: request(2.5, 2.6, 0), signals: stop},
		"closed at the time limit":       {request: request(-3, 5, 0), signals: stop, executions: run(-3, 5)},
		"closed in the last sixth":       {request: request(1, 5.5, 0), signals: stop, executions: run(1, 5.5)},
		"late, closed in the last":       {request: request(3.1, 5.5, 0), signals: stop, executions: run(3.2, 5.5), want: "closed without an answer"},
		"502 in the last sixth":          {request: request(1, 5.3, http.StatusBadGateway), signals: stop, executions: run(1, 5.3)},
		"502 while the server works on":  {request: request(0, 1, http.StatusBadGateway), signals: stop, executions: run(0, 5.5), want: "broken off at work"},
		"502 before the last sixth":      {request: request(1, 4.8, http.StatusBadGateway), signals: stop, executions: run(1, 4.8), want: "broken off at work"},
		"504 before the last sixth":      {request: request(1, 4.8, http.StatusGatewayTimeout), signals: stop, executions: run(1, 4.8), want: "broken off at work"},
		"502, no stop":                   {request: request(1, 4.8, http.StatusBadGateway), executions: run(1, 4.8)},
		"502 after SIGHUP":               {request: request(1, 4.8, http.StatusBadGateway), signals: signals{reloaded: []time.Time{start}}, executions: run(1, 4.8), want: "broken off at work"},
		"502 after a repeat in vain":     {request: request(0, 4.8, http.StatusBadGateway), signals: stop, executions: run(0, 3), want: "broken off at work"},
		"502, broken off before SIGTERM": {request: request(-3, 1, http.StatusBadGateway), signals: stop, executions: run(-3, -0.5)},
		"502, its server not at work":    {request: request(0, 4.8, http.StatusBadGateway), signals: stop},
		"502 at work, then repeated":     {request: repeated, signals: stop, executions: append(run(0, 3), run(3, 5.5)...)},
		"answer of the server":           {request: answered, signals: stop, executions: run(0, 5)},
		"not run, but executed":          {request: request(0, 2, http.StatusServiceUnavailable), signals: stop, executions: run(0, 1), want: "reported as not executed"},
		"refused":                        {request: request(0, 2, http.StatusServiceUnavailable), signals: stop},
		"executed twice":                 {request: request(0, 2, http.StatusOK), signals: stop, executions: append(run(0, 1), run(1, 2)...), want: "executed 2 times"},
		"in progress in the last sixth":  {request: request(0, 5.3, http.StatusBadGateway), signals: stop, executions: []emulator.Execution{{Start: at(0)}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.request.loss(test.signals, test.executions), test.want)
		})
	}
}
