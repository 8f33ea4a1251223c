package forwarder

import (
	"io"
	"net/http"

	"github.com/wasabibank/wasabibank/internal/exchanger"
	"github.com/wasabibank/wasabibank/internal/limiter"
)

// maxRefusal is how many bytes of a refusal's body are read to keep its connection.
const maxRefusal = 64 << 10

// answered handles the head of an answer.
func (l *local) answered(answer *exchanger.Response) (result, bool) {
	reason := answer.Header.Get(headerRefused)
	if reason == "" || !isRefusal(answer.Status) {
		return l.relay(answer), false
	}
	_, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusal))
	answer.Close(l.f.clock(), err == nil && answer.ContentLength <= maxRefusal)
	l.q.step(RefuseUnrun{})
	l.f.observer.Observe(l.f.clock(), ServerRefused{Server: l.b.name, Reason: reason, Term: l.route.Front().Term()})
	return l.refusedBy(reason)
}

func isRefusal(status int) bool {
	return status == http.StatusConflict || status == http.StatusServiceUnavailable
}

// refusedBy says what a server's refusal means for the request.
func (l *local) refusedBy(reason string) (result, bool) {
	v := verdict{
		reason:     ReasonServerRefused,
		message:    "the server refused: " + reason,
		retryAfter: max(l.b.expectedWait(l.f.clock()), routePause),
	}
	switch reason {
	case "shed":
		l.result = limiter.Shed{}
		return refused{verdict: v}, true
	case "expired":
		v.reason = ReasonExpired
		return refused{verdict: v}, false
	case "stale_term", "stale_epoch", "no_grant", "draining":
		v.reason = ReasonMoved
		return moved{verdict: v}, false
	}
	return refused{verdict: v}, false
}
