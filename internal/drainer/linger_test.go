package drainer

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLingeringConnectionsAreBounded guards against clients that hold connections by sending unread bytes and reading no answer.
func TestLingeringConnectionsAreBounded(t *testing.T) {
	is := is.New(t)
	const excess = 10
	d := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, answerBytes))
	})
	for range maxLingering + excess {
		c := dial(t, d)
		_, err := io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"+strings.Repeat("x", 10000))
		is.NoErr(err)
	}
	open := func() int {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.conns)
	}
	for until := time.Now().Add(maxLinger / 2); open() > maxLingering; time.Sleep(sweepInterval) {
		if time.Now().After(until) {
			t.Fatalf("%d connections are open", open())
		}
	}
	is.True(open() > 0)
}
