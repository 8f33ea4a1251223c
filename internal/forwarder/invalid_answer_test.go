package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// invalidStatusLines are the first lines of answers that are none.
var invalidStatusLines = map[string]string{
	"status 000":             "HTTP/1.1 000 OK",
	"status 000, no reason":  "HTTP/1.1 000",
	"status 099":             "HTTP/1.1 099 Odd",
	"status 600":             "HTTP/1.1 600 Odd",
	"status 999":             "HTTP/1.1 999 Odd",
	"two digits":             "HTTP/1.1 20 OK",
	"four digits":            "HTTP/1.1 2000 OK",
	"plus sign":              "HTTP/1.1 +20 OK",
	"minus sign":             "HTTP/1.1 -20 OK",
	"letters":                "HTTP/1.1 2OO OK",
	"space in the status":    "HTTP/1.1 2 00 OK",
	"two spaces":             "HTTP/1.1  200 OK",
	"tab":                    "HTTP/1.1\t200 OK",
	"no status":              "HTTP/1.1 OK",
	"unknown version":        "HTTP/3.7 200 OK",
	"later version":          "HTTP/2.0 200 OK",
	"no version":             "HTTP 200 OK",
	"lower case":             "http/1.1 200 OK",
	"control byte in reason": "HTTP/1.1 200 O\x00K",
	"escape in reason":       "HTTP/1.1 200 \x1b[2J",
	"switching protocols":    "HTTP/1.1 101 Switching Protocols",
	"short line":             "OK",
	"empty line":             "",
}

// TestInvalidAnswerIsNoAnswer guards against an answer with an invalid status line that reaches the client: with its status, or with a
// status, signature or body that the client would take for the server's. Such an answer does not say whether the request was executed.
func TestInvalidAnswerIsNoAnswer(t *testing.T) {
	heads := map[string]string{
		"signed":    "\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nhi",
		"bare":      "\r\nContent-Length: 0\r\n\r\n",
		"answer in": "\r\nContent-Length: 71\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nwrong",
		"promise":   "\r\nX-Not-Executed: 1\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
	}
	routes := map[string]struct {
		method, path string
		sends        int64
	}{
		"at most once": {method: http.MethodPost, path: "/once/x", sends: 1},
		"idempotent":   {method: http.MethodGet, path: "/idempotent/x", sends: 2},
	}
	for line, statusLine := range invalidStatusLines {
		for head, rest := range heads {
			for kind, route := range routes {
				t.Run(line+"/"+head+"/"+kind, func(t *testing.T) {
					is := is.New(t)
					server := startScriptedServer(t, statusLine+rest)
					f := newForwarder(t, server)
					r := httptest.NewRequest(route.method, route.path, nil)
					r.Host = "h"
					r.Header.Set("X-Id", "r1")
					w := httptest.NewRecorder()
					f.ServeHTTP(w, r)
					is.Equal(w.Code, http.StatusBadGateway)
					is.Equal(w.Body.Len(), 0)
					is.Equal(w.Header().Get("X-Signature"), "")
					is.Equal(server.requests.Load(), route.sends)
					is.Equal(f.meter.Get(meter.InvalidAnswers), route.sends)
					is.Equal(openConnections(f), 0)
				})
			}
		}
	}
}

// openConnections returns the number of open connections to servers.
func openConnections(f *Forwarder) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, p := range f.serverConnPools {
		total += p.Open()
	}
	return total
}

// TestInvalidAnswerOfInstanceIsNoAnswer guards against the same from another instance, at which the request may be at work.
func TestInvalidAnswerOfInstanceIsNoAnswer(t *testing.T) {
	for line, statusLine := range invalidStatusLines {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			dispatcher := startScriptedServer(t, statusLine+"\r\nWasabibank-Outcome: 0 true p 0 0 0 -\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nhi")
			f := newForwarder(t, startScriptedServer(t, answerOK), resolver.Member{
				Instance: "other", Domain: "d", Address: dispatcher.address, Capacity: 1 << 30,
			})
			r := httptest.NewRequest(http.MethodPost, "/once/x", nil)
			r.Host = "h"
			r.Header.Set("X-Id", "r1")
			w := httptest.NewRecorder()
			f.ServeHTTP(w, r)
			is.Equal(w.Code, http.StatusBadGateway)
			is.Equal(w.Header().Get("X-Signature"), "")
			is.Equal(dispatcher.requests.Load(), int64(1))
			is.Equal(f.meter.Get(meter.InvalidAnswers), int64(1))
		})
	}
}

// TestInformationalAnswersWithoutEnd guards against a server that keeps a request waiting with informational answers.
func TestInformationalAnswersWithoutEnd(t *testing.T) {
	is := is.New(t)
	server := startScriptedServer(t, strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)+answerOK)
	f := newForwarder(t, server)
	w := sendRequest(f, http.MethodPost, "/once/x", "", "order")
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(server.requests.Load(), int64(1))
	is.Equal(f.meter.Get(meter.InvalidAnswers), int64(1))
	is.Equal(openConnections(f), 0)
}
