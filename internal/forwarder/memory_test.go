package forwarder

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/allocator"
	"github.com/wasabibank/wasabibank/internal/queuer"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

// TestLackOfMemoryIsNoFaultOfOthers guards against servers that are ejected, and dispatchers that count as unreachable, because this
// instance has no memory for their answers.
func TestLackOfMemoryIsNoFaultOfOthers(t *testing.T) {
	tests := map[string]struct {
		err         error
		want        queuer.Outcome
		unreachable bool
	}{
		"no room in time":         {err: noMemoryError{allocator.Refuse{RetryAfter: time.Second}}, want: queuer.Inconclusive},
		"does not fit":            {err: noMemoryError{allocator.Refuse{TooLarge: true}}, want: queuer.Inconclusive},
		"answer without an end":   {err: errAnswerTooLong, want: queuer.Failed, unreachable: true},
		"answer that comes late":  {err: os.ErrDeadlineExceeded, want: queuer.TimedOut, unreachable: true},
		"answer that is cut":      {err: errors.New("cut"), want: queuer.Failed, unreachable: true},
		"answer in invalid chunk": {err: errors.New("malformed chunked encoding"), want: queuer.Failed, unreachable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, answerOK))
			req := &clientRequest{deadline: time.Now().Add(time.Minute)}
			r := f.exchangeFailure(t.Context(), req, "p", test.err)
			is.Equal(r.outcome, broken)
			is.True(r.maybeSent)
			is.Equal(queueOutcome(r, time.Second, time.Minute), test.want)
			r = f.hopFailure(t.Context(), req, resolver.Member{Instance: "other"}, test.err)
			is.Equal(r.outcome, broken)
			is.True(r.maybeSent)
			is.Equal(f.unreachableAt(time.Now())("other"), test.unreachable)
		})
	}
}
