package emulator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/platform"
)

const longDuration = time.Hour // outlasts every test

// newGrant returns a grant of the keys from first to last.
func newGrant(first, last uint16, fence uint64) granter.Grant {
	return granter.Grant{Range: partitioner.Range{First: first, Last: last}, Fence: fence, LeaseDuration: longDuration}
}

// sendRequest sends a request for a key to the server; headers alternates between names and values.
func sendRequest(server http.Handler, key int, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/orders/1", strings.NewReader("body"))
	r.Header.Set(platform.HeaderRequestID, "r1")
	r.Header.Set(platform.HeaderKey, strconv.Itoa(key))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	server.ServeHTTP(w, r)
	return w
}

func TestServerRejectsRequestsItMustNotExecute(t *testing.T) {
	server := NewServer(ServerSettings{ID: "s1", Service: "desk", Keyed: true}, time.UnixMilli(1))
	is.New(t).True(server.Grant(newGrant(10, 20, 5)))
	tests := map[string]struct {
		key     int
		headers []string
		status  int
	}{
		"owned":         {key: 10, status: http.StatusOK},
		"not owned":     {key: 21, status: http.StatusMisdirectedRequest},
		"other server":  {key: 10, headers: []string{platform.HeaderTarget, "s2"}, status: http.StatusMisdirectedRequest},
		"this server":   {key: 10, headers: []string{platform.HeaderTarget, "s1"}, status: http.StatusOK},
		"no request id": {key: 10, headers: []string{platform.HeaderRequestID, ""}, status: http.StatusBadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := sendRequest(server, tc.key, tc.headers...)
			is.Equal(w.Code, tc.status)
			is.Equal(w.Header().Get(platform.HeaderNotExecuted) == "", tc.status == http.StatusOK)
			is.Equal(w.Header().Get(platform.HeaderSignature) != "", tc.status == http.StatusOK)
			if tc.status == http.StatusOK {
				is.Equal(w.Header().Get(HeaderBodySum), Sum(w.Body.Bytes()))
			}
		})
	}
}

// TestFencesAreKeptForEachKey guards against a server that accepts a grant of a replaced leader, and against a release of
// part of a lease that also ends the lease of the other keys.
func TestFencesAreKeptForEachKey(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true}, time.UnixMilli(1))
	is.True(server.Grant(newGrant(0, 99, 5)))
	is.True(server.Grant(newGrant(0, 99, 5))) // renewal with the same fence
	is.Equal(
		server.Release(context.Background(), granter.Release{Range: partitioner.Range{First: 40, Last: 59}, Fence: 5}),
		"s1/1",
	)
	is.Equal(sendRequest(server, 39).Code, http.StatusOK)
	is.Equal(sendRequest(server, 40).Code, http.StatusMisdirectedRequest)
	is.Equal(sendRequest(server, 60).Code, http.StatusOK)
	is.True(server.Grant(newGrant(50, 50, 9)))
	is.True(!server.Grant(newGrant(0, 99, 8))) // key 50 has accepted fence 9
	is.True(server.Grant(newGrant(0, 49, 8)))
}

// TestReleaseWaitsForRunningExecutions guards against a release that ends before an execution on the range has ended: the
// next owner could then execute requests for the same key at the same time.
func TestReleaseWaitsForRunningExecutions(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true, ServiceTime: 20 * time.Millisecond}, time.UnixMilli(1))
	is.True(server.Grant(newGrant(0, 99, 5)))
	answered := make(chan int, 1)
	go func() { answered <- sendRequest(server, 7).Code }()
	for len(server.Executions()) == 0 {
		time.Sleep(time.Millisecond)
	}
	server.Release(context.Background(), granter.Release{Range: partitioner.Range{First: 7, Last: 7}, Fence: 5})
	is.True(!server.Executions()[0].End.IsZero())
	is.Equal(<-answered, http.StatusOK)
}

// TestExecutionThatOutlastsItsLeaseFails guards against an execution that counts as exclusive although its key may have got
// another owner: its lease expires right after it has started.
func TestExecutionThatOutlastsItsLeaseFails(t *testing.T) {
	is := is.New(t)
	var server *Server
	expireLease := func(e Execution) { // runs with the server's lock, at the start and at the end of the execution
		server.leases.list[0].expiry = e.Start
	}
	server = NewServer(ServerSettings{
		ID: "s1", Keyed: true, ServiceTime: time.Millisecond, OnExecution: expireLease,
	}, time.UnixMilli(1))
	long := newGrant(0, 9, 5)
	long.LeaseDuration = time.Hour
	is.True(server.Grant(long))
	is.Equal(sendRequest(server, 7).Code, http.StatusInternalServerError)
	e := server.Executions()[0]
	is.Equal(e.End, e.Start) // the execution counts only up to the end of its lease
}

func TestAnswerFaultsBreakOnlyTheAnswer(t *testing.T) {
	tests := map[string]struct {
		faults ServerFaults
		status int // 0 if no complete answer arrives
	}{
		"no fault":         {status: http.StatusOK},
		"failed request":   {faults: ServerFaults{FailRequests: 1}, status: http.StatusInternalServerError},
		"chunked answer":   {faults: ServerFaults{Chunked: true}, status: http.StatusOK},
		"lost answer":      {faults: ServerFaults{LoseAnswers: 1}},
		"truncated answer": {faults: ServerFaults{CutAnswers: 1}},
		"garbled answer":   {faults: ServerFaults{GarbleAnswers: 1}},
		"duplicate answer": {faults: ServerFaults{ExtraAnswers: 1}, status: http.StatusOK}, // the client reads only the first
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(ServerSettings{ID: "s1"}, time.UnixMilli(1))
			server.SetFaults(tc.faults)
			httpServer := httptest.NewServer(server)
			defer httpServer.Close()
			r, err := http.NewRequest(http.MethodPost, httpServer.URL+"/x", nil)
			is.NoErr(err)
			r.Header.Set(platform.HeaderRequestID, "r1")
			r.Header.Set(HeaderAnswerBytes, "9000")
			response, err := http.DefaultTransport.RoundTrip(r)
			status := 0
			if err == nil {
				body, err := io.ReadAll(response.Body)
				is.NoErr(response.Body.Close())
				if err == nil {
					status = response.StatusCode
					is.Equal(response.Header.Get(HeaderBodySum), Sum(body))
				}
			}
			is.Equal(status, tc.status)
			is.Equal(len(server.Executions()), 1)
		})
	}
}

// TestLeaseOfLateGrantCountsFromArrival guards against a grant that is applied late and is valid after the leader has
// granted the keys to another server.
func TestLeaseOfLateGrantCountsFromArrival(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true}, time.UnixMilli(1))
	late := lateOrderReceiver{Server: server, arrived: time.Now().Add(-2 * longDuration)}
	is.True(late.Grant(newGrant(0, 9, 5)))
	is.Equal(sendRequest(server, 7).Code, http.StatusMisdirectedRequest) // the lease expired before the grant was applied
	is.True(!server.Grant(newGrant(0, 9, 4)))
}

func TestServerRejectsRequestsWhenFull(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", ServiceTime: longDuration}, time.UnixMilli(1))
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, httpServer.URL+"/x", nil)
		is.NoErr(err)
		r.Header.Set(platform.HeaderRequestID, "r1")
		response, err := http.DefaultTransport.RoundTrip(r)
		if err == nil {
			is.NoErr(response.Body.Close())
		}
	}()
	for len(server.Executions()) == 0 {
		time.Sleep(time.Millisecond)
	}
	w := sendRequest(server, 0)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(platform.HeaderNotExecuted), reasonFull)
	cancel()
	<-done
}

func TestServiceTimeIsLongerDuringWarmup(t *testing.T) {
	is := is.New(t)
	started := time.UnixMilli(1)
	server := NewServer(ServerSettings{ServiceTime: time.Millisecond, StartWarmup: 10 * time.Second, ColdFactor: 5}, started)
	is.Equal(server.serviceTime(started, false), 5*time.Millisecond)
	is.Equal(server.serviceTime(started.Add(10*time.Second), false), time.Millisecond)
	is.Equal(server.serviceTime(started.Add(10*time.Second), true), 5*time.Millisecond)
}

// TestRejectionsRepeatTheRequestID guards against a stand-in whose rejections can't be told from late ones for an earlier
// request, unlike those of the platform's servers.
func TestRejectionsRepeatTheRequestID(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true}, time.UnixMilli(1))
	w := sendRequest(server, 7) // the server owns no keys
	is.Equal(w.Code, http.StatusMisdirectedRequest)
	is.True(w.Header().Get(platform.HeaderRequestID) != "")
}

// TestServerAnswersOnlyForItself guards against a stand-in that answers a health check or applies an order for the server that had its
// address before, and against health checks whose answer does not say whose it is.
func TestServerAnswersOnlyForItself(t *testing.T) {
	for target, status := range map[string]int{"": 200, "s": 200, "another": 421} {
		is := is.New(t)
		server := NewServer(ServerSettings{ID: "s", Service: "desk"}, time.Now())
		for _, request := range []*http.Request{
			httptest.NewRequest(http.MethodGet, "/health", http.NoBody),
			httptest.NewRequest(http.MethodPost, "/-/grant", strings.NewReader(`{"from":1,"target":2,"fence":3,"hold_ms":4000}`)),
		} {
			request.Header.Set(platform.HeaderTarget, target)
			answer := httptest.NewRecorder()
			server.ServeHTTP(answer, request)
			is.Equal(answer.Code, status)
			is.Equal(answer.Header().Get(platform.HeaderServer) == "s", request.URL.Path == "/health" || status == 421)
		}
		is.Equal(len(server.leases.list), map[int]int{200: 1}[status])
	}
}
