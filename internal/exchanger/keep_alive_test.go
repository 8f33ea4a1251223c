package exchanger

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// dropSegments makes the kernel drop all segments that arrive on a connection, or none.
func dropSegments(t *testing.T, conn *net.TCPConn, drop bool) {
	t.Helper()
	accepted := uint32(0xffffffff)
	if drop {
		accepted = 0
	}
	filter := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: accepted}}
	program := unix.SockFprog{Len: 1, Filter: &filter[0]}
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		if err := unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program); err != nil {
			t.Error(err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestLostProbeDoesNotEndExchange guards against requests that fail while a server executes them because one keep-alive probe is
// lost: TCP_USER_TIMEOUT also decides when probes give up.
func TestLostProbeDoesNotEndExchange(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			t.Error(err)
			return
		}
		time.Sleep(800 * time.Millisecond)
		dropSegments(t, conn.(*net.TCPConn), true)
		time.Sleep(800 * time.Millisecond) // the first probe is sent after a second
		dropSegments(t, conn.(*net.TCPConn), false)
		time.Sleep(2 * time.Second)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}()
	p := New(Options{Address: listener.Addr().String(), AckTimeout: 750 * time.Millisecond})
	ticker := time.NewTicker(250 * time.Millisecond)
	defer ticker.Stop()
	go func() {
		for now := range ticker.C {
			p.Relax(now)
		}
	}()
	r, err := do(p, newRequest("GET", ""))
	is.NoErr(err)
	body, err := readAndClose(r)
	is.NoErr(err)
	is.Equal(body, "hi")
}

// TestSilentPathEndsExchange guards against exchanges that wait until their deadline on a path that is lost.
func TestSilentPathEndsExchange(t *testing.T) {
	tests := map[string]struct {
		silentAfter time.Duration // after the connection was accepted
		most        time.Duration // until the exchange fails
	}{
		"before the request arrives": {most: 1500 * time.Millisecond},
		"while the server executes":  {silentAfter: 500 * time.Millisecond, most: 5 * time.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			silent, ended := make(chan struct{}), make(chan struct{})
			defer close(ended)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				time.Sleep(tc.silentAfter)
				dropSegments(t, conn.(*net.TCPConn), true)
				close(silent)
				<-ended
			}()
			p := New(Options{Address: listener.Addr().String(), AckTimeout: 750 * time.Millisecond})
			now := time.Now()
			c, err := p.Acquire(t.Context(), now, now.Add(testTimeout))
			is.NoErr(err)
			if tc.silentAfter == 0 {
				<-silent
			}
			started := time.Now()
			ticker := time.NewTicker(250 * time.Millisecond)
			defer ticker.Stop()
			go func() {
				for at := range ticker.C {
					p.Relax(at)
				}
			}()
			_, err = c.Do(t.Context(), newRequest("GET", ""), now.Add(testTimeout), nil)
			is.True(IsErrMaybeSent(err))
			is.True(time.Since(started) < tc.most)
		})
	}
}
