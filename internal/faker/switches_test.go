package faker

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
