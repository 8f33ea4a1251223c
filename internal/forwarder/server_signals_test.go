package forwarder

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
)

const (
	answerLeaving        = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nhi"
	answerLeavingToOther = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r0\r\nServer-Leaving: 1\r\nContent-Length: 2\r\n\r\nno"
	answerNotLeaving     = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Id: r1\r\nServer-Leaving: 0\r\nContent-Length: 2\r\n\r\nhi"
	answerPause          = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: full\r\nX-Id: r1\r\nRetry-After: 20\r\nContent-Length: 0\r\n\r\n"
)

// TestLeavingServerIsReported guards against a server that stays in use after it has said that it is leaving, and against
// one that leaves because of an answer that belongs to another request.
func TestLeavingServerIsReported(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   int
	}{
		"leaving":                   {answer: answerLeaving, want: 1},
		"another value":             {answer: answerNotLeaving},
		"answer to another request": {answer: answerLeavingToOther},
		"no word of it":             {answer: answerOK},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newForwarder(t, startScriptedServer(t, test.answer))
			f.headers.Leaving, f.headers.LeavingValue = "Server-Leaving", "1"
			var left []string
			f.OnLeaving(func(server string, _ int64) { left = append(left, server) })
			sendRequest(f, "POST", "/once/x", "", "")
			is.Equal(len(left), test.want)
			if test.want > 0 {
				is.Equal(left[0], "p")
			}
		})
	}
}

// limitedAnswer returns an answer in which the server names a limit, or none if it is empty.
func limitedAnswer(limit string) string {
	if limit == "" {
		return answerOK
	}
	return strings.Replace(answerOK, "X-Id", "Server-Limit: "+limit+"\r\nX-Id", 1)
}

// TestServerLimitIsCounted guards against operators who can't see that a server limits its requests, or no longer does.
func TestServerLimitIsCounted(t *testing.T) {
	tests := map[string]struct {
		limits                  []string // of consecutive answers
		named, invalid, limited int64
	}{
		"none":                {limits: []string{""}},
		"named":               {limits: []string{"100", "100"}, named: 1, limited: 1},
		"changed":             {limits: []string{"100", "90.5"}, named: 2, limited: 1},
		"withdrawn":           {limits: []string{"100", ""}, named: 1},
		"invalid":             {limits: []string{"few"}, invalid: 1},
		"invalid after valid": {limits: []string{"100", "-1"}, named: 1, invalid: 1, limited: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var answers []string
			for _, limit := range test.limits {
				answers = append(answers, limitedAnswer(limit))
			}
			f := newForwarder(t, startScriptedServer(t, answers...))
			for range test.limits {
				is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 200)
			}
			is.Equal(f.meter.Get(meter.ServerLimits), test.named)
			is.Equal(f.meter.Get(meter.InvalidServerLimits), test.invalid)
			is.Equal(f.meter.GetGauge(meter.LimitedServers), test.limited)
		})
	}
}

// TestWaitingRequestsFollowTheDispatcher guards against two instances that each send a server as many requests as it takes, since
// requests go on waiting at an instance that is no longer the dispatcher.
func TestWaitingRequestsFollowTheDispatcher(t *testing.T) {
	for _, path := range []string{"/key/x", "/idempotent/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			b := startScriptedServer(t, limitedAnswer("1"))
			second := newForwarder(t, b)
			peer := httptest.NewServer(http.HandlerFunc(second.ServeHop))
			defer peer.Close()
			f := newForwarder(t, b)
			is.Equal(sendRequest(f, "POST", path, "5", "").Code, 200) // names the limit
			done := make(chan int)
			go func() { done <- sendRequest(f, "POST", path, "5", "").Code }()
			for _, waiting := f.RequestCounts(); waiting == 0; _, waiting = f.RequestCounts() {
				time.Sleep(time.Millisecond)
			}
			v := f.View()
			self := v.Self
			self.Leaving = true
			var servers []cataloger.Server
			for _, id := range []string{"k", "p"} {
				s, _ := v.Server(id)
				servers = append(servers, s)
			}
			other := resolver.Member{Instance: "other", Domain: "d", Address: peer.Listener.Addr().String()}
			f.SetView(time.Now(), resolver.New(self, v.Table, servers, v.Owners, []resolver.Member{other}))
			_, waiting := f.RequestCounts()
			is.Equal(waiting, 0)
			is.Equal(<-done, 200) // by the new dispatcher
			is.Equal(f.meter.Get(meter.RequestsForwarded), int64(1))
		})
	}
}

// TestPausedServerGetsNoRequests guards against requests that reach a server although it has answered that it wants none
// for a while, and against clients that are not told for how long.
func TestPausedServerGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/key/x", "/keyonce/x", "/idempotent/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			b := startScriptedServer(t, answerPause, answerOK)
			f := newForwarder(t, b)
			for range 5 {
				w := sendRequest(f, "GET", path, "5", "")
				is.Equal(w.Code, http.StatusServiceUnavailable)
				seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
				is.NoErr(err)
				is.True(seconds > 10 && seconds <= 20)
			}
			is.Equal(b.requests.Load(), int64(1))
		})
	}
}

// TestPauseEndsWithNewIncarnation guards against a restarted server that gets no requests because its previous incarnation
// asked for a pause, and against a pause that a new view of the same incarnation ends.
func TestPauseEndsWithNewIncarnation(t *testing.T) {
	is := is.New(t)
	b := startScriptedServer(t, answerPause, answerOK)
	f := newForwarder(t, b)
	is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 503)
	f.SetView(time.Now(), viewWithIncarnation(f.View(), 0))
	is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 503)
	is.Equal(b.requests.Load(), int64(1))
	f.SetView(time.Now(), viewWithIncarnation(f.View(), 7))
	is.Equal(sendRequest(f, "POST", "/once/x", "", "").Code, 200)
}

// viewWithIncarnation returns a view like v in which the servers have an incarnation.
func viewWithIncarnation(v *resolver.View, incarnation int64) *resolver.View {
	var servers []cataloger.Server
	for _, id := range []string{"k", "p"} {
		s, _ := v.Server(id)
		s.Incarnation = incarnation
		servers = append(servers, s)
	}
	return resolver.New(v.Self, v.Table, servers, v.Owners, v.Members)
}

func TestParseRetryAfter(t *testing.T) {
	tests := map[string]struct {
		wanted time.Duration
		valid  bool
	}{
		"0":                             {valid: true},
		"1":                             {wanted: time.Second, valid: true},
		"0.25":                          {wanted: 250 * time.Millisecond, valid: true},
		"30":                            {wanted: maxPause, valid: true},
		"31":                            {wanted: maxPause},
		"1e300":                         {wanted: maxPause},
		"Inf":                           {wanted: maxPause},
		"-1":                            {},
		"NaN":                           {},
		"soon":                          {},
		"Fri, 04 Dec 2026 10:00:00 GMT": {},
	}
	for text, test := range tests {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			wanted, valid := parseRetryAfter(text)
			is.Equal(wanted, test.wanted)
			is.Equal(valid, test.valid)
		})
	}
}

// TestServerGetsNoMoreThanItsLimit guards against a server that goes on getting as many requests as clients send although
// it names a limit in its answers.
func TestServerGetsNoMoreThanItsLimit(t *testing.T) {
	const window = 4 * time.Second
	for name, limit := range map[string]float64{"fraction": 1.5, "few": 2.7, "many": 20} {
		for _, path := range []string{"/key/x", "/idempotent/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				b := startScriptedServer(t, limitedAnswer(strconv.FormatFloat(limit, 'f', -1, 64)))
				f := newForwarder(t, b)
				is.Equal(sendRequest(f, "GET", path, "5", "").Code, 200) // names the limit
				before := b.requests.Load()
				statuses := sendUntil(f, time.Now().Add(window), path)
				got := float64(b.requests.Load() - before)
				is.True(got <= 1.5*limit*window.Seconds()+5)    // the most that the server tolerates
				is.True(got >= limit*(window.Seconds()-1)*0.75) // what it takes is served
				for _, answer := range statuses[http.StatusServiceUnavailable] {
					is.True(answer.took < 1400*time.Millisecond) // refused before its deadline
					is.True(answer.retryAfter != "")
				}
				is.Equal(len(statuses[http.StatusOK])+len(statuses[http.StatusServiceUnavailable]), statuses.total())
			})
		}
	}
}

// timedAnswer is an answer to a client.
type timedAnswer struct {
	took       time.Duration
	retryAfter string
}

// answersByStatus holds the answers to clients by their status.
type answersByStatus map[int][]timedAnswer

func (a answersByStatus) total() int {
	count := 0
	for _, list := range a {
		count += len(list)
	}
	return count
}

// sendUntil sends requests from several clients, one after the other from each, until a given time.
func sendUntil(f http.Handler, until time.Time, path string) answersByStatus {
	const clients, pause = 12, 50 * time.Millisecond
	var mu sync.Mutex
	answers := answersByStatus{}
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for time.Now().Before(until) {
				sent := time.Now()
				w := sendRequest(f, "GET", path, "5", "")
				mu.Lock()
				answers[w.Code] = append(answers[w.Code], timedAnswer{time.Since(sent), w.Header().Get("Retry-After")})
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	running.Wait()
	return answers
}
