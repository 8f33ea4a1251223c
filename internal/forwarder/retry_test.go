package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/limiter"
)

// TestRetryDelay guards against an urgent request that is tried again after others with more time, and against a delay that is
// too short for the server's state to change or long enough to miss the objective.
func TestRetryDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct{ left, want time.Duration }{
		"much time left":   {left: 10 * time.Second, want: maxRetryDelay},
		"half a second":    {left: 480 * time.Millisecond, want: 30 * time.Millisecond},
		"little time left": {left: 20 * time.Millisecond, want: minRetryDelay},
		"late":             {left: -time.Millisecond, want: maxRetryDelay},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(retryDelay(now, now.Add(test.left)), test.want)
		})
	}
}

// TestRejectedRequestIsRetriedWithinBudget guards against a client that gets the first rejection of its key's only server,
// although retries are left, and against retries beyond the budget.
func TestRejectedRequestIsRetriedWithinBudget(t *testing.T) {
	tests := map[string]struct {
		answers    []string
		extra      float64 // retries in the budget are half of it
		wantStatus int
		wantSends  int64
	}{
		"accepted at the second attempt":  {answers: []string{answerNotExecuted, answerOK}, extra: 20, wantStatus: 200, wantSends: 2},
		"accepted at the fourth attempt":  {answers: []string{answerNotExecuted, answerNotExecuted, answerNotExecuted, answerOK}, extra: 20, wantStatus: 200, wantSends: 4},
		"budget of one retry is used up":  {answers: []string{answerNotExecuted, answerNotExecuted, answerOK}, extra: 2, wantStatus: 503, wantSends: 2},
		"rejected as often as it is sent": {answers: []string{answerNotExecuted}, extra: 20, wantStatus: 503, wantSends: maxSends},
	}
	for name, test := range tests {
		for _, path := range []string{"/key/x", "/keyonce/x"} {
			t.Run(name+path, func(t *testing.T) {
				is := is.New(t)
				server := startScriptedServer(t, test.answers...)
				f := newForwarder(t, server)
				f.budget = limiter.New(limiter.Settings{Extra: test.extra, Window: time.Minute})
				is.Equal(sendRequest(f, "POST", path, "5", "").Code, test.wantStatus)
				is.Equal(server.requests.Load(), test.wantSends)
			})
		}
	}
}
