package drainer

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnreadBodyDoesNotHoldItsConnection guards against connections that unfinished bodies hold for ever where the handler does not read
// them: readiness checks then find no free connection.
func TestUnreadBodyDoesNotHoldItsConnection(t *testing.T) {
	const handlerTimeout = 3 * unreadTimeout
	tests := map[string]struct {
		handler  http.HandlerFunc
		body     string // of eight bytes
		at, from time.Duration
		reused   bool
	}{
		"stops":    {handler: func(http.ResponseWriter, *http.Request) {}, body: "half", from: unreadTimeout, at: 3 * unreadTimeout},
		"complete": {handler: func(http.ResponseWriter, *http.Request) {}, body: "complete", at: unreadTimeout, reused: true},
		"the handler sets a timeout": {handler: func(w http.ResponseWriter, _ *http.Request) {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(handlerTimeout))
		}, body: "half", from: handlerTimeout, at: 2 * handlerTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := dial(t, startServer(t, test.handler))
			is.NoErr(c.conn.SetDeadline(time.Now().Add(10 * unreadTimeout)))
			start := time.Now()
			_, err := io.WriteString(c.conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n"+test.body)
			is.NoErr(err)
			is.Equal(c.readStatus(), 200)
			took := time.Since(start)
			is.True(took >= test.from && took < test.at)
			if test.reused {
				time.Sleep(unreadTimeout + unreadTimeout/2) // the deadline is over
				c.sendRequest()
				is.Equal(c.readStatus(), 200)
			}
		})
	}
}
