package emulator

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestConnectionsOverLimitAreClosed(t *testing.T) {
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
	firstAccepted := <-accepted
	second, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer second.Close()
	_, err = second.Read(make([]byte, 1))
	is.True(err != nil) // closed by the server
	is.NoErr(firstAccepted.Close())
	third, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer third.Close()
	is.NoErr((<-accepted).Close())
}
