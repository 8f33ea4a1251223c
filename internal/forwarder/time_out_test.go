package forwarder

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

	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

const (
	// uneven is the service time of a server of startUnevenServer.
	uneven = 700 * time.Millisecond
	// measurementFades is the time after which a request that is not idempotent is sent whatever the likely service time was.
	measurementFades = 1100 * time.Millisecond
)

// startUnevenServer starts a backend server that answers after uneven; requests for paths with "quick" at once, those with
// "giving-up" with 504 at the end of their time, and those with "failing" with 504 at once. It never answers those with "hanging".
func startUnevenServer(t *testing.T) *scriptedServer {
	t.Helper()
	b := &scriptedServer{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.requests.Add(1)
		w.Header().Set("X-Signature", "s")
		w.Header().Set("X-Id", r.Header.Get("X-Id"))
		switch path := r.URL.Path; {
		case strings.Contains(path, "quick"):
		case strings.Contains(path, "giving-up"):
			left, err := strconv.Atoi(r.Header.Get("X-Left"))
			if err != nil {
				t.Error(err)
			}
			time.Sleep(time.Duration(left)*time.Millisecond - 10*time.Millisecond)
			w.WriteHeader(http.StatusGatewayTimeout)
		case strings.Contains(path, "failing"):
			w.WriteHeader(http.StatusGatewayTimeout)
		case strings.Contains(path, "hanging"):
			<-r.Context().Done()
		default:
			time.Sleep(uneven)
		}
	}))
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}

// setSlots sets the slots of all servers that f knows.
func setSlots(f *Forwarder, slots int) {
	old := f.View()
	servers := old.AllServers()
	for i := range servers {
		servers[i].Slots = slots
	}
	f.SetView(time.Now(), resolver.New(old.Self, old.Table, servers, old.Owners, old.Members))
}

// measureUneven makes f measure the service times of a route of the server of startUnevenServer.
func measureUneven(t *testing.T, f *Forwarder, route string) {
	t.Helper()
	for _, path := range []string{"/slow", "/quick"} {
		is.New(t).Equal(sendRequestWithTimeLeft(f, 5*time.Second, "POST", "/"+route+path, "", "").Code, http.StatusOK)
	}
	time.Sleep(measurementFades)
}

// sendTogether sends requests to f beside each other. wait returns when all have ended.
func sendTogether(f *Forwarder, count int, timeLeft time.Duration, path string) (wait func()) {
	var all sync.WaitGroup
	for range count {
		all.Go(func() { sendRequestWithTimeLeft(f, timeLeft, "POST", path, "", "") })
	}
	return all.Wait
}

// TestStoppingInstanceEjectsNoServer guards against a sound server that the dispatcher of its pool ejects because requests of an
// instance that stops had less time than the server takes.
func TestStoppingInstanceEjectsNoServer(t *testing.T) {
	for _, route := range []string{"idempotent", "once"} {
		for name, sentAfter := range map[string]bool{"sent before SIGTERM": false, "sent after SIGTERM": true} {
			t.Run(route+" "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				server := startUnevenServer(t)
				dispatcher := newForwarderWithTimeout(t, server, time.Minute)
				taker := newForwarderWithTimeout(t, server, time.Minute, startMember(t, "dispatcher", "d", dispatcher))
				setSlots(dispatcher, 20)
				setSlots(taker, 20)
				setSelf(taker, "elsewhere", false) // so that the member in domain d is the dispatcher
				measureUneven(t, dispatcher, route)
				begin := func() { taker.BeginShutdown(time.Now(), time.Now().Add(300*time.Millisecond)) }
				if sentAfter {
					begin()
				}
				wait := sendTogether(taker, 6, time.Minute, "/"+route+"/slow")
				await(t, func() bool { return server.requests.Load() == 2+6 })
				if !sentAfter {
					begin()
				}
				wait()
				is.Equal(sendRequestWithTimeLeft(dispatcher, 5*time.Second, "POST", "/"+route+"/slow", "", "").Code, http.StatusOK)
			})
		}
	}
}

// TestRequestsWithLittleTimeEjectNoServer guards against a sound server that is ejected because clients had less time than it takes,
// and against one that hangs or fails and is not ejected.
func TestRequestsWithLittleTimeEjectNoServer(t *testing.T) {
	tests := map[string]struct {
		path       string
		timeLeft   time.Duration
		wantStatus int // of a later request with enough time
	}{
		"little time, no answer":       {path: "slow", timeLeft: 300 * time.Millisecond, wantStatus: http.StatusOK},
		"little time, server gives up": {path: "giving-up", timeLeft: 300 * time.Millisecond, wantStatus: http.StatusOK},
		"little time, server fails":    {path: "failing", timeLeft: 300 * time.Millisecond, wantStatus: http.StatusServiceUnavailable},
		"enough time, server hangs":    {path: "hanging", timeLeft: 900 * time.Millisecond, wantStatus: http.StatusServiceUnavailable},
		"enough time, server gives up": {path: "giving-up", timeLeft: 900 * time.Millisecond, wantStatus: http.StatusServiceUnavailable},
		"enough time, server fails":    {path: "failing", timeLeft: 900 * time.Millisecond, wantStatus: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		for _, route := range []string{"idempotent", "once"} {
			t.Run(name+" "+route, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				f := newForwarderWithTimeout(t, startUnevenServer(t), time.Minute)
				setSlots(f, 20)
				measureUneven(t, f, route)
				sendTogether(f, 6, test.timeLeft, "/"+route+"/"+test.path)()
				is.Equal(sendRequestWithTimeLeft(f, 400*time.Millisecond, "POST", "/"+route+"/quick", "", "").Code, test.wantStatus)
			})
		}
	}
}

// TestQueueOutcome guards against a result that is held against a sound server, or not held against one that failed.
func TestQueueOutcome(t *testing.T) {
	tests := map[string]struct {
		result result
		took   time.Duration
		want   queuer.Outcome
	}{
		"answer":                        {result: result{outcome: answered, status: 200}, want: queuer.Answered},
		"server's error":                {result: result{outcome: answered, status: 500}, took: time.Second, want: queuer.Failed},
		"504 at once":                   {result: result{outcome: answered, status: 504}, want: queuer.Failed},
		"504 with time left":            {result: result{outcome: answered, status: 504}, took: 800 * time.Millisecond, want: queuer.Failed},
		"504 shortly before its time":   {result: result{outcome: answered, status: 504}, took: 990 * time.Millisecond, want: queuer.TimedOut},
		"504 after its time":            {result: result{outcome: answered, status: 504}, took: 1010 * time.Millisecond, want: queuer.TimedOut},
		"no answer in time":             {result: result{outcome: broken, timedOut: true}, took: time.Second, want: queuer.TimedOut},
		"not sent in time":              {result: result{outcome: unreached, timedOut: true}, took: time.Second, want: queuer.TimedOut},
		"connection ended":              {result: result{outcome: broken, connectionLost: true}, took: time.Second, want: queuer.Failed},
		"client left":                   {result: result{outcome: broken, timedOut: true, reason: reasonClientLeft}, want: queuer.ClientLeft},
		"client left, not sent":         {result: result{outcome: unreached, reason: reasonClientLeft}, want: queuer.Inconclusive},
		"client left in the queue":      {result: result{outcome: abandoned, reason: reasonClientLeft}, want: queuer.Inconclusive},
		"instance exits":                {result: result{outcome: broken, timedOut: true, reason: reasonShuttingDown}, want: queuer.Inconclusive},
		"time up before it was sent":    {result: result{outcome: abandoned}, want: queuer.Inconclusive},
		"no connection to the server":   {result: result{outcome: unreached, reason: reasonNoConnection + ": x"}, want: queuer.Inconclusive},
		"held because it is cold":       {result: result{outcome: unreached, reason: reasonCold}, want: queuer.Inconclusive},
		"rejected":                      {result: result{outcome: rejected, status: 503}, want: queuer.Rejected},
		"rejected with 504 at its time": {result: result{outcome: rejected, status: 504}, took: time.Second, want: queuer.Rejected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(queueOutcome(test.result, test.took, time.Second), test.want) })
	}
}

// TestReportCountsUnansweredRequests guards against a leader that leaves keys at a server which answers nothing in time, because
// the reports show no service time of it, and against one that takes rejections for fast answers.
func TestReportCountsUnansweredRequests(t *testing.T) {
	const given = 300 * time.Millisecond
	const least = given - answerMargin - 20*time.Millisecond // some time passes before the request is sent
	uneven := startUnevenServer(t)
	tests := map[string]struct {
		server *scriptedServer
		path   string
		leaves time.Duration // when the client leaves; 0 if it waits
		want   int
		least  time.Duration
	}{
		"no answer in time":                  {server: uneven, path: "hanging", want: 1, least: least},
		"server gives up at its time":        {server: uneven, path: "giving-up", want: 1, least: least},
		"client leaves later than the mean":  {server: uneven, path: "hanging", leaves: 200 * time.Millisecond, want: 1, least: 180 * time.Millisecond},
		"client leaves earlier than it":      {server: uneven, path: "hanging", leaves: 50 * time.Millisecond},
		"server fails at once":               {server: uneven, path: "failing"},
		"rejection":                          {server: startScriptedServer(t, answerNotExecuted), path: "x"},
		"connection ends without the answer": {server: startScriptedServer(t, ""), path: "x"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, test.server)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			if test.leaves > 0 {
				time.AfterFunc(test.leaves, leave)
			}
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/idempotent/"+test.path, strings.NewReader(""))
			r.Host = "h"
			r.Header.Set("X-Id", "r1")
			r.Header.Set("X-Left", strconv.FormatInt(given.Milliseconds(), 10))
			f.ServeHTTP(httptest.NewRecorder(), r)
			stats := f.CollectLoads(time.Now()).Answers["p"]
			is.Equal(stats.Count, test.want)
			is.True(stats.TotalServiceTime >= test.least)
		})
	}
}
