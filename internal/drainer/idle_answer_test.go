package drainer

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleConnectionKeepsItsAnswer guards against the reset of a connection that is closed as idle before its client has received the
// last answer.
func TestIdleConnectionKeepsItsAnswer(t *testing.T) {
	tests := map[string]string{"nothing": "", "next request after the close": "GET / HTTP/1.1\r\nHost: h\r\n\r\n"}
	for name, later := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			written := make(chan struct{}, 2)
			d := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, answerBytes))
				written <- struct{}{}
			})
			c := dial(t, d)
			is.NoErr(c.conn.(*net.TCPConn).SetReadBuffer(16384))
			_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			<-written
			exit, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			drained := make(chan error, 1)
			go func() { drained <- d.Drain(exit) }()
			time.Sleep(3 * minIdleTime) // it is closed as idle
			_, err = io.WriteString(c.conn, later)
			is.NoErr(err)
			time.Sleep(sweepInterval)
			select {
			case <-drained:
				t.Fatal("the drain ended before the answer was received")
			default:
			}
			is.True(c.readLargeAnswer())
			is.NoErr(c.conn.Close())
			is.NoErr(<-drained)
		})
	}
}
