package emulator

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
	server := NewServer(ServerSettings{MaxConnections: 1}, time.UnixMilli(1))
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := server.LimitConnections(inner)
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

func TestColdIsSlower(t *testing.T) {
	is := is.New(t)
	born := time.UnixMilli(1)
	server := NewServer(ServerSettings{ServiceTime: time.Millisecond, StartWarmup: 10 * time.Second, ColdFactor: 5}, born)
	is.Equal(server.serviceTime(born, false), 5*time.Millisecond)
	is.Equal(server.serviceTime(born.Add(10*time.Second), false), time.Millisecond)
	is.Equal(server.serviceTime(born.Add(10*time.Second), true), 5*time.Millisecond)
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
			server := NewServer(ServerSettings{}, time.UnixMilli(1))
			server.SetFaults(ServerFaults{SlowFactor: 2})
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "/admin/faults", strings.NewReader(tc.body)))
			is.Equal(recorder.Code, tc.status)
			is.Equal(server.faults.get(), tc.want)
		})
	}
}
