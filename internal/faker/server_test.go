package faker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func TestServerChecksBeforeExecution(t *testing.T) {
	tests := map[string]struct {
		headers map[string]string
		wait    time.Duration
		faults  ServerFaults
		status  int
		refused string
	}{
		"rightful":             {status: 200},
		"index alone":          {headers: map[string]string{headerPartition: "7"}, status: 200},
		"older term":           {headers: map[string]string{headerTerm: "4"}, status: 409, refused: "stale_term"},
		"newer term":           {headers: map[string]string{headerTerm: "6"}, status: 409, refused: "no_grant"},
		"older epoch":          {headers: map[string]string{headerEpoch: "2"}, status: 409, refused: "stale_epoch"},
		"no epoch, keyed":      {headers: map[string]string{headerEpoch: "0"}, status: 409, refused: "stale_epoch"},
		"other partition":      {headers: map[string]string{headerPartition: "8"}, status: 409, refused: "no_grant"},
		"grant lapsed":         {wait: 10 * time.Second, status: 409, refused: "no_grant"},
		"deadline passed":      {headers: map[string]string{headerDeadline: "0"}, status: 409, refused: "expired"},
		"unchecked fence":      {headers: map[string]string{headerTerm: "1"}, faults: ServerFaults{UncheckedFence: true}, status: 200},
		"shedding":             {faults: ServerFaults{Shed: true}, status: 503, refused: "shed"},
		"headers no numbers":   {headers: map[string]string{headerTerm: "x"}, status: 400},
		"answer without bound": {faults: ServerFaults{Chunked: true}, status: 200},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, ServerSettings{})
			close(r.goOn)
			r.grant()
			r.advance(tc.wait)
			r.server.SetFaults(tc.faults)
			got := r.send("id-1", tc.headers)
			is.NoErr(got.err)
			is.Equal(got.status, tc.status)
			is.Equal(got.refused, tc.refused)
			effects := r.server.GetCounts().Effects
			if tc.status != 200 {
				is.Equal(effects, 0)
				return
			}
			is.Equal(effects, 1)
			is.Equal(got.sum, Sum([]byte(got.body)))
			is.True(strings.Contains(got.body, `"key":"k%2F1"`)) // the raw segment
		})
	}
}

func TestServerChecksAgainBeforeEffect(t *testing.T) {
	id := identifier.PartitionID{Service: "render_desk", Index: 7}
	tests := map[string]struct {
		meanwhile func(*rig)
		want      string
	}{
		"nothing": {meanwhile: func(*rig) {}},
		"revoked": {meanwhile: func(r *rig) {
			r.server.order("a", 5, func() { r.server.fence.revoke([]identifier.PartitionID{id}) })
		}, want: "no_grant"},
		"newer term":      {meanwhile: func(r *rig) { r.server.order("b", 6, func() {}) }, want: "stale_term"},
		"grant lapsed":    {meanwhile: func(r *rig) { r.advance(11 * time.Second) }, want: "expired"},
		"cancelled":       {meanwhile: func(r *rig) { r.server.order("a", 5, func() { r.server.cancelLocked("exchange-id-1") }) }, want: "cancelled"},
		"drained is kept": {meanwhile: func(r *rig) { r.server.order("a", 5, func() { r.server.draining = true }) }},
		"frozen, lapsed": {meanwhile: func(r *rig) {
			r.server.SetFaults(ServerFaults{Frozen: true})
			r.advance(time.Minute)
			r.server.SetFaults(ServerFaults{})
		}, want: "expired"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, ServerSettings{})
			r.grant()
			replies := r.sendLater("id-1")
			r.await(1, 0)
			tc.meanwhile(r)
			close(r.goOn)
			got := <-replies
			is.NoErr(got.err)
			is.Equal(got.refused, tc.want)
			executions := r.server.Executions(0).Executions
			is.Equal(len(executions), 1)
			is.Equal(executions[0].State == StateEffect, tc.want == "")
			is.Equal(executions[0].Refused, tc.want)
		})
	}
}

func TestServerKeepsToSlotsAndQueue(t *testing.T) {
	is := is.New(t)
	r := newRig(t, ServerSettings{Slots: 2, QueueBound: 1})
	r.grant()
	first, second := r.sendLater("id-1"), r.sendLater("id-2")
	r.await(2, 0)
	third := r.sendLater("id-3")
	r.await(2, 1)
	is.Equal(r.send("id-4", nil).refused, "shed")
	r.server.order("a", 5, func() { is.True(r.server.cancelLocked("exchange-id-3")) })
	is.Equal((<-third).refused, "cancelled")
	close(r.goOn)
	is.Equal((<-first).status, 200)
	is.Equal((<-second).status, 200)
	is.Equal(r.server.GetCounts(), Counts{Effects: 2, Refused: map[commander.Refusal]int{"shed": 1, "cancelled": 1}})
}

func TestRevokeAwaitsWhatRuns(t *testing.T) {
	is := is.New(t)
	r := newRig(t, ServerSettings{})
	r.grant()
	replies := r.sendLater("id-1")
	r.await(1, 0)
	client := commander.NewClient(commander.Timeouts{})
	defer client.Close()
	id := identifier.PartitionID{Service: "render_desk", Index: 7}
	answers := make(chan commander.Answer, 1)
	go func() {
		revoke := commander.Revoke{Issuer: "a", Term: 5, Partitions: []identifier.PartitionID{id}}
		answer, _ := client.Revoke(context.Background(), strings.TrimPrefix(r.http.URL, "http://"), revoke)
		answers <- answer
	}()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	waiting := httptest.NewRequest(http.MethodPost, "/control/revoke", nil).WithContext(gone)
	is.True(!r.server.awaitIdle(waiting, []identifier.PartitionID{id})) // it still runs
	close(r.goOn)
	is.True((<-answers).Accepted)
	executions := r.server.Executions(0).Executions
	is.True(executions[0].State != StatePending)
	is.True(r.server.awaitIdle(waiting, []identifier.PartitionID{id}))
	<-replies
}

func TestFrozenServerGoesOnWithoutItsSender(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var states []State
	r := newRig(t, ServerSettings{Collect: func(e Execution) {
		mu.Lock()
		defer mu.Unlock()
		states = append(states, e.State)
	}})
	r.grant()
	replies := r.sendLater("id-1")
	r.await(1, 0)
	r.server.SetFaults(ServerFaults{Frozen: true})
	r.http.CloseClientConnections()
	is.True((<-replies).err != nil)
	close(r.goOn)
	is.Equal(r.server.GetCounts().Effects, 0)
	r.server.SetFaults(ServerFaults{})
	r.await(0, 0)
	is.Equal(r.server.GetCounts().Effects, 1)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(states[0], StatePending) // posted before the effect
}

func TestServerBreaksAnswers(t *testing.T) {
	tests := map[string]ServerFaults{
		"reply lost": {LoseReplies: 1},
		"answer cut": {CutAnswers: 1},
		"cut stream": {CutAnswers: Endless, Chunked: true},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, ServerSettings{})
			close(r.goOn)
			r.grant()
			r.server.SetFaults(faults)
			got := r.send("id-1", map[string]string{HeaderAnswerBytes: strconv.Itoa(1 << 20)})
			is.True(got.err != nil)
			is.Equal(r.server.GetCounts().Effects, 1)
			is.Equal(r.server.Executions(0).Executions[0].RequestID, "id-1")
		})
	}
}

func TestDrainingServerRefusesNewWork(t *testing.T) {
	is := is.New(t)
	r := newRig(t, ServerSettings{})
	r.grant()
	r.server.order("a", 5, func() { r.server.draining = true })
	got := r.send("id-1", nil)
	is.Equal(got.status, 503)
	is.Equal(got.refused, "draining")
}
