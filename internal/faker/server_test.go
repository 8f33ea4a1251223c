package faker

import (
	"context"
	"io"
	"net"
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

// rig is a server whose clock a test moves; an execution waits until the test lets it go on.
type rig struct {
	t      *testing.T
	server *Server
	http   *httptest.Server
	goOn   chan struct{}

	mu  sync.Mutex
	now time.Time
}

func newRig(t *testing.T, settings ServerSettings) *rig {
	t.Helper()
	r := &rig{t: t, now: time.Unix(1000, 0), goOn: make(chan struct{})}
	settings.Name, settings.Run, settings.ServiceTime = "render-1", "r1", time.Millisecond
	settings.Clock = Clock{Now: r.present, Sleep: r.sleep}
	r.server = NewServer(settings)
	r.http = httptest.NewServer(r.server)
	t.Cleanup(func() {
		r.server.SetFaults(ServerFaults{})
		r.http.CloseClientConnections()
		r.http.Close()
	})
	return r
}

func (r *rig) present() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now
}

func (r *rig) advance(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = r.now.Add(d)
}

func (r *rig) sleep(ctx context.Context, _ time.Duration) {
	select {
	case <-r.goOn:
	case <-ctx.Done():
	}
}

// grant gives the server partition render_desk/7 at epoch 3 under term 5 for ten seconds.
func (r *rig) grant() {
	r.t.Helper()
	id := identifier.PartitionID{Service: "render_desk", Index: 7}
	grant := commander.Grant{Issuer: "a", Term: 5, TTL: 10 * time.Second}
	grant.Echo = r.server.acceptGrant(grant).Nonce
	grant.Partitions = []commander.PartitionGrant{{ID: id, Epoch: 3}}
	if answer := r.server.acceptGrant(grant); !answer.Accepted {
		r.t.Fatalf("grant refused: %s", answer.Refused)
	}
}

// reply is what a request came back with.
type reply struct {
	status  int
	refused string
	sum     string
	body    string
	err     error
}

// send sends a request with the rightful headers, but for those that changed names.
func (r *rig) send(id string, changed map[string]string) reply {
	request, err := http.NewRequest(http.MethodPost, r.http.URL+"/render_desk/k%2F1/orders", strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	headers := map[string]string{headerPartition: "render_desk/7", headerEpoch: "3", headerTerm: "5", headerDeadline: "5000", headerRequestID: id}
	for name, value := range changed {
		headers[name] = value
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, refused: response.Header.Get(headerRefused), sum: response.Header.Get(HeaderBodySum), body: string(body), err: err}
}

func (r *rig) sendLater(id string) <-chan reply {
	replies := make(chan reply, 1)
	go func() { replies <- r.send(id, nil) }()
	return replies
}

// await waits until condition holds of the server's load.
func (r *rig) await(running, queued int) {
	r.t.Helper()
	for range 10_000 {
		r.server.mu.Lock()
		load := r.server.loadLocked()
		r.server.mu.Unlock()
		if load.Running == running && load.Queued == queued {
			return
		}
		time.Sleep(time.Millisecond)
	}
	r.t.Fatalf("load never became %d running, %d queued", running, queued)
}

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
		"cancelled":       {meanwhile: func(r *rig) { r.server.order("a", 5, func() { r.server.cancelLocked("id-1") }) }, want: "cancelled"},
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
	r.server.order("a", 5, func() { is.True(r.server.cancelLocked("id-3")) })
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

func TestLimitClosesConnectionsOverTheBound(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{Connections: 1})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := server.Limit(inner)
	defer listener.Close()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	first, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer first.Close()
	held := <-accepted
	second, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // closed at once
	is.NoErr(held.Close())
	third, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer third.Close()
	is.NoErr((<-accepted).Close())
}

func TestColdStartIsSlower(t *testing.T) {
	is := is.New(t)
	r := newRig(t, ServerSettings{ColdStart: 10 * time.Second, ColdFactor: 5})
	is.Equal(r.server.serviceTime(), 5*time.Millisecond)
	r.advance(5 * time.Second)
	is.Equal(r.server.serviceTime(), 3*time.Millisecond)
	r.advance(5 * time.Second)
	is.Equal(r.server.serviceTime(), time.Millisecond)
}

func TestFaultsAreSwitchedByName(t *testing.T) {
	tests := map[string]struct {
		body   string
		status int
		want   ServerFaults
	}{
		"one of them":  {body: `{"shed":true}`, status: 200, want: ServerFaults{Shed: true, SlowFactor: 2}},
		"unknown name": {body: `{"shedd":true}`, status: 400, want: ServerFaults{SlowFactor: 2}},
		"no JSON":      {body: `shed`, status: 400, want: ServerFaults{SlowFactor: 2}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(ServerSettings{})
			server.SetFaults(ServerFaults{SlowFactor: 2})
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/admin/faults", strings.NewReader(tc.body)))
			is.Equal(recorder.Code, tc.status)
			is.Equal(server.faults.get(), tc.want)
		})
	}
}

func TestCollectorKeepsTheNewestState(t *testing.T) {
	is := is.New(t)
	c := NewCollector()
	for _, body := range []string{
		`{"server":"s1","run":"a","sequence":1,"state":"pending"}`,
		`{"server":"s1","run":"b","sequence":1,"state":"pending"}`,
		`{"server":"s1","run":"a","sequence":1,"state":"effect"}`,
	} {
		recorder := httptest.NewRecorder()
		c.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/executions", strings.NewReader(body)))
		is.Equal(recorder.Code, 200)
	}
	page := c.Executions(0)
	is.Equal(page.Next, 2)
	is.Equal(page.Executions[0].State, StateEffect)
	is.Equal(page.Executions[1].State, StatePending)
}
