package forwarder

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wasabibank/wasabibank/internal/resolver"
)

// TestDispatcherLearnsThatClientLeft guards against requests that are sent to a server although their client left while they were on
// their way to a dispatcher, or waited there.
func TestDispatcherLearnsThatClientLeft(t *testing.T) {
	for name, path := range map[string]string{"idempotent": "/idempotent/x", "at most once": "/once/x"} {
		t.Run(name, func(t *testing.T) {
			arrived, left := make(chan struct{}), make(chan struct{})
			dispatcher := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that the client has disconnected
				close(arrived)
				<-r.Context().Done()
				close(left)
			}))
			defer dispatcher.Close()
			f := newForwarderWithTimeout(t, startScriptedServer(t, answerOK), time.Minute, resolver.Member{
				Instance: "dispatcher", Domain: "d", Address: strings.TrimPrefix(dispatcher.URL, "http://"), Capacity: 1 << 30,
			})
			ctx, leave := context.WithCancel(t.Context())
			r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader("order"))
			r.Host = "h"
			r.Header.Set("X-Id", "r1")
			served := make(chan struct{})
			go func() {
				f.ServeHTTP(httptest.NewRecorder(), r)
				close(served)
			}()
			<-arrived
			leave()
			select {
			case <-left:
			case <-time.After(10 * time.Second):
				t.Error("the dispatcher does not learn that the client has left")
			}
			dispatcher.CloseClientConnections() // ends the wait if the test fails
			<-served
		})
	}
}
