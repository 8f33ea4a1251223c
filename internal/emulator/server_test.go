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

const long = time.Hour

func grantOf(first, last uint16, fence uint64) granter.Grant {
	return granter.Grant{Range: partitioner.Range{First: first, Last: last}, Fence: fence, LeaseDuration: long}
}

// ask sends a request for a key to the server.
func ask(server http.Handler, key int, headers ...string) *httptest.ResponseRecorder {
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

func TestServerRunsOnlyWhatItMay(t *testing.T) {
	server := NewServer(ServerSettings{ID: "s1", Service: "desk", Keyed: true}, time.UnixMilli(1))
	is.New(t).True(server.Grant(grantOf(10, 20, 5)))
	tests := map[string]struct {
		key     int
		headers []string
		status  int
	}{
		"owned":         {key: 10, status: http.StatusOK},
		"not owned":     {key: 21, status: http.StatusMisdirectedRequest},
		"for another":   {key: 10, headers: []string{platform.HeaderTarget, "s2"}, status: http.StatusMisdirectedRequest},
		"for this one":  {key: 10, headers: []string{platform.HeaderTarget, "s1"}, status: http.StatusOK},
		"without an id": {key: 10, headers: []string{platform.HeaderRequestID, ""}, status: http.StatusBadRequest},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := ask(server, tc.key, tc.headers...)
			is.Equal(w.Code, tc.status)
			is.Equal(w.Header().Get(platform.HeaderNotRun) == "", tc.status == http.StatusOK)
			is.Equal(w.Header().Get(platform.HeaderSignature) != "", tc.status == http.StatusOK)
			if tc.status == http.StatusOK {
				is.Equal(w.Header().Get(HeaderBodySum), Sum(w.Body.Bytes()))
			}
		})
	}
}

func TestServerComparesFences(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true}, time.UnixMilli(1))
	is.True(server.Grant(grantOf(0, 99, 5)))
	is.True(server.Grant(grantOf(0, 99, 5))) // a renewal
	is.Equal(server.Release(context.Background(), granter.Release{Range: partitioner.Range{First: 40, Last: 59}, Fence: 5}), "s1/1")
	is.Equal(ask(server, 39).Code, http.StatusOK)
	is.Equal(ask(server, 40).Code, http.StatusMisdirectedRequest)
	is.Equal(ask(server, 60).Code, http.StatusOK)
	is.True(server.Grant(grantOf(50, 50, 9)))
	is.True(!server.Grant(grantOf(0, 99, 8))) // one of its keys has seen more
	is.True(server.Grant(grantOf(0, 49, 8)))
}

func TestReleaseWaitsForWhatRuns(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true, ServiceTime: 20 * time.Millisecond}, time.UnixMilli(1))
	is.True(server.Grant(grantOf(0, 99, 5)))
	answered := make(chan int, 1)
	go func() { answered <- ask(server, 7).Code }()
	for len(server.Executions()) == 0 {
		time.Sleep(time.Millisecond)
	}
	server.Release(context.Background(), granter.Release{Range: partitioner.Range{First: 7, Last: 7}, Fence: 5})
	is.True(!server.Executions()[0].End.IsZero())
	is.Equal(<-answered, http.StatusOK)
}

func TestWorkThatOutlastsItsGrantFails(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true, ServiceTime: 20 * time.Millisecond}, time.UnixMilli(1))
	short := grantOf(0, 9, 5)
	short.LeaseDuration = 10 * time.Millisecond
	is.True(server.Grant(short))
	w := ask(server, 7)
	if w.Code != http.StatusMisdirectedRequest { // where the grant ran out before the work began
		is.Equal(w.Code, http.StatusInternalServerError)
		e := server.Executions()[0]
		is.True(e.End.Sub(e.Start) <= short.LeaseDuration)
	}
}

func TestServerAnswerFaults(t *testing.T) {
	tests := map[string]struct {
		faults ServerFaults
		status int // 0 is no whole answer
	}{
		"none":    {status: http.StatusOK},
		"failed":  {faults: ServerFaults{FailRequests: 1}, status: http.StatusInternalServerError},
		"chunked": {faults: ServerFaults{Chunked: true}, status: http.StatusOK},
		"lost":    {faults: ServerFaults{LoseAnswers: 1}},
		"cut":     {faults: ServerFaults{CutAnswers: 1}},
		"garbled": {faults: ServerFaults{GarbleAnswers: 1}},
		"extra":   {faults: ServerFaults{ExtraAnswers: 1}, status: http.StatusOK},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(ServerSettings{ID: "s1"}, time.UnixMilli(1))
			server.SetFaults(tc.faults)
			host := httptest.NewServer(server)
			defer host.Close()
			r, err := http.NewRequest(http.MethodPost, host.URL+"/x", nil)
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

func TestLateOrderLastsFromItsArrival(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true}, time.UnixMilli(1))
	late := lateOrderReceiver{Server: server, arrived: time.Now().Add(-2 * long)}
	is.True(late.Grant(grantOf(0, 9, 5)))
	is.Equal(ask(server, 7).Code, http.StatusMisdirectedRequest) // it ran out before it was carried out
	is.True(!server.Grant(grantOf(0, 9, 4)))
}

func TestServerTurnsAwayWhatItCannotQueue(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", ServiceTime: long}, time.UnixMilli(1))
	host := httptest.NewServer(server)
	defer host.Close()
	ctx, leave := context.WithCancel(context.Background())
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, host.URL+"/x", nil)
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
	w := ask(server, 0)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(w.Header().Get(platform.HeaderNotRun), reasonFull)
	leave()
	<-gone
}
