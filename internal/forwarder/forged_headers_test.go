package forwarder

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestCrashesAreBelievedFromInstancesOnly guards against a client, or a server, that makes instances bar the requests of others because it
// sends the header in which instances tell each other under which requests servers have crashed.
func TestCrashesAreBelievedFromInstancesOnly(t *testing.T) {
	const forged = "1234;-;k,1,0,true;k,2,0,true;p,3,0,true"
	tests := map[string]struct {
		byClient, byServer string // lines of a header
	}{
		"client": {byClient: forged},
		"server": {byServer: headerCrashes + ": " + forged + "\r\n"},
	}
	for name, test := range tests {
		for _, path := range []string{"/keyonce/x", "/idempotent/x"} {
			for place, domain := range map[string]string{"hop": "elsewhere", "direct": "d"} {
				t.Run(name+path+"/"+place, func(t *testing.T) {
					is := is.New(t)
					server := startScriptedServer(t, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n"+test.byServer+"Content-Length: 0\r\n\r\n")
					dispatcher := newForwarder(t, server)
					f := newForwarder(t, server)
					if place == "hop" {
						f = newForwarder(t, server, startMember(t, "dispatcher", "d", dispatcher))
					}
					setSelf(f, domain, false)
					r := httptest.NewRequest(http.MethodGet, path, nil)
					r.Host = "h"
					r.Header.Set("X-Id", "r1")
					r.Header.Set("X-Key", "5")
					if test.byClient != "" {
						r.Header.Set(headerCrashes, test.byClient)
					}
					w := httptest.NewRecorder()
					f.ServeHTTP(w, r)
					is.Equal(w.Code, http.StatusOK)
					is.Equal(w.Header().Get(headerCrashes), "")
					is.Equal((<-server.headers).Get(headerCrashes), "")
					is.Equal(len(dispatcher.QuarantinedRequests()), 0)
					is.Equal(len(f.QuarantinedRequests()), 0)
				})
			}
		}
	}
}

// TestConnectionHeaderKeepsTheID guards against a client that names the header of its request's id in Connection: the server would answer
// without an id, which counts as a failure of the server on a connection that was used before.
func TestConnectionHeaderKeepsTheID(t *testing.T) {
	is := is.New(t)
	server := startScriptedServer(t, answerOK)
	f := newForwarder(t, server)
	r := httptest.NewRequest(http.MethodGet, "/idempotent/x", nil)
	r.Host = "h"
	r.Header.Set("X-Id", "r1")
	r.Header.Set("X-Key", "5")
	r.Header.Set("X-Other", "o")
	r.Header.Set("Connection", "X-Id, x-key, X-Other")
	w := httptest.NewRecorder()
	f.ServeHTTP(w, r)
	is.Equal(w.Code, http.StatusOK)
	sent := <-server.headers
	is.Equal(sent.Get("X-Id"), "r1")
	is.Equal(sent.Get("X-Key"), "5")
	is.Equal(sent.Get("X-Other"), "")
}
