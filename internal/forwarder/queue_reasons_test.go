package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTooLittleTimeIsNamed guards against a refusal that operators take for a full queue although slots are free and the
// request's time left is too short for its route, here and at another instance that dispatches.
func TestTooLittleTimeIsNamed(t *testing.T) {
	for name, hop := range map[string]bool{"here": false, "at the dispatcher": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			server := startUnevenServer(t)
			taker := newForwarderWithTimeout(t, server, time.Minute)
			if hop {
				dispatcher := newForwarderWithTimeout(t, server, time.Minute)
				taker = newForwarderWithTimeout(t, server, time.Minute, startMember(t, "dispatcher", "d", dispatcher))
				setSelf(taker, "elsewhere", false) // so that the member in domain d is the dispatcher
			}
			is.Equal(sendRequestWithTimeLeft(taker, 5*time.Second, "POST", "/once/slow", "", "").Code, http.StatusOK)
			w := sendRequestWithTimeLeft(taker, 300*time.Millisecond, "POST", "/once/slow", "", "")
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.True(w.Header().Get("Retry-After") != "")
			is.Equal(server.requests.Load(), int64(1))
			is.Equal(taker.meter.GetRefusalCount("too_little_time"), int64(1))
		})
	}
}
