package forwarder

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func ok(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") }

// TestRequestArrivesAsItWasSent covers the raw path, the headers and the fence, direct and by way of a peer.
func TestRequestArrivesAsItWasSent(t *testing.T) {
	s := newFakeServer(t, ok)
	c := newCluster(t, s.address())
	tests := map[string]*entry{"direct": c.a, "by a peer": c.b}
	for name, e := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer, body, err := send(t, e, "GET", "/s/desk/a%2Fb/x//y?q=%20&r", nil,
				"Wasabibank-Request-Id", "r1", "Wasabibank-Epoch", "99", "X-Own", "1", "Connection", "X-Gone", "X-Gone", "1")
			is.NoErr(err)
			is.Equal(body, "hello")
			is.Equal(answer.StatusCode, 200)
			is.Equal(answer.Header.Get(headerOutcome), "answered")
			is.Equal(answer.Header.Get(headerRequestID), "r1")
			is.Equal(answer.Header.Get(headerEntry), string(e.self))
			is.Equal(answer.Header.Get(headerExpectedWait), "")
			seen := s.last()
			is.Equal(seen.RequestURI, "/desk/a%2Fb/x//y?q=%20&r")
			is.Equal(seen.Header.Get(headerEpoch), "1")
			is.Equal(seen.Header.Get(headerTerm), "7")
			is.Equal(seen.Header.Get(headerRequestID), "r1")
			is.Equal(seen.Header.Get("X-Own"), "1")
			is.Equal(seen.Header.Get("X-Gone"), "")
			left, err := strconv.Atoi(seen.Header.Get(headerDeadline))
			is.NoErr(err)
			is.True(left > 0 && left <= 30_000)
		})
	}
}

func TestAnswersPassWhole(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 20_000)
	tests := map[string]struct {
		method string
		serve  http.HandlerFunc
		status int
		body   string
		header string // of X-Own or its trailer
	}{
		"empty":     {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(204) }, status: 204},
		"not found": {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "none", 404) }, status: 404, body: "none\n"},
		"own 409":   {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "clash", http.StatusConflict) }, status: http.StatusConflict, body: "clash\n"},
		"head":      {method: "HEAD", serve: ok, status: 200},
		"long":      {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }, status: 200, body: long},
		"known long": {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(len(long)))
			_, _ = io.WriteString(w, long)
		}, status: 200, body: long},
		"http 1.0": {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) { hijack(w, "HTTP/1.0 200 OK\r\n\r\nold") }, status: 200, body: "old"},
		"trailer": {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Own")
			_, _ = io.WriteString(w, long)
			w.Header().Set("X-Own", "7")
		}, status: 200, body: long, header: "7"},
		"short trailer": {method: "GET", serve: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Trailer", "X-Own")
			_, _ = io.WriteString(w, "short")
			w.Header().Set("X-Own", "7")
		}, status: 200, body: "short", header: "7"},
		"early hints": {method: "GET", serve: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Own", "7")
			w.WriteHeader(http.StatusEarlyHints)
			ok(w, r)
		}, status: 200, body: "hello", header: "7"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, test.serve)
			c := newCluster(t, s.address())
			for _, e := range []*entry{c.a, c.b} {
				is := is.New(t)
				answer, body, err := send(t, e, test.method, "/s/desk/k/x", nil)
				is.NoErr(err)
				is.Equal(answer.StatusCode, test.status)
				is.Equal(answer.Header.Get(headerOutcome), "answered")
				is.True(body == test.body)
				is.Equal(answer.Header.Get("X-Own")+answer.Trailer.Get("X-Own"), test.header)
			}
			is.New(t).Equal(s.executed.Load(), int64(2))
		})
	}
}

// TestCutAnswerIsVisible cuts answers; a short one, of which nothing went to the caller, becomes unknown.
func TestCutAnswerIsVisible(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	tests := map[string]struct {
		text   string
		status int // 0 where the connection breaks
	}{
		"long of known length":  {text: "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + long},
		"long in chunks":        {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + long},
		"short of known length": {text: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", status: 502},
		"short in chunks":       {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", status: 502},
		"no head":               {text: "", status: 502},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFakeServer(t, func(w http.ResponseWriter, _ *http.Request) { hijack(w, test.text) })
			c := newCluster(t, s.address())
			for i, e := range []*entry{c.a, c.b} {
				is := is.New(t)
				answer, body, err := send(t, e, "POST", "/s/desk/k/orders", strings.NewReader("o"), "Idempotency-Key", "1")
				is.Equal(s.executed.Load(), int64(i+1)) // never repeated
				if test.status == 0 {
					is.True(errors.Is(err, io.ErrUnexpectedEOF))
					continue
				}
				is.NoErr(err)
				is.Equal(answer.StatusCode, test.status)
				is.Equal(answer.Header.Get(headerOutcome), "unknown")
				is.True(strings.Contains(body, `"reason":"broken"`))
			}
		})
	}
}

func TestBadInputIsNotRun(t *testing.T) {
	s := newFakeServer(t, ok)
	c := newCluster(t, s.address())
	tests := map[string]struct {
		method, path string
		body         io.Reader
		header       []string
		status       int
		reason       Reason
	}{
		"no such service": {method: "GET", path: "/s/nowhere/k", status: 404, reason: ReasonNoSuchService},
		"no key":          {method: "GET", path: "/s/desk", status: 400, reason: ReasonBadPath},
		"empty key":       {method: "GET", path: "/s/desk//x", status: 400, reason: ReasonBadPath},
		"long key":        {method: "GET", path: "/s/desk/" + strings.Repeat("k", 1025), status: 400, reason: ReasonBadKey},
		"no class":        {method: "DELETE", path: "/s/desk/k/x", status: 405, reason: ReasonMethodNotAllowed},
		"hidden class":    {method: "POST", path: "/s/desk/k/%6frders", status: 405, reason: ReasonMethodNotAllowed},
		"open class":      {method: "GET", path: "/s/desk/k/%73pecial", status: 400, reason: ReasonBadPath},
		"long body":       {method: "POST", path: "/s/desk/k/orders", body: strings.NewReader(strings.Repeat("x", 1025)), status: 413, reason: ReasonBodyTooLarge},
		"long chunks":     {method: "POST", path: "/s/desk/k/orders", body: io.MultiReader(strings.NewReader(strings.Repeat("x", 1025))), status: 413, reason: ReasonBodyTooLarge},
		"no duration":     {method: "GET", path: "/s/desk/k", header: []string{headerTimeout, "soon"}, status: 400, reason: ReasonBadTimeout},
		"negative":        {method: "GET", path: "/s/desk/k", header: []string{headerTimeout, "-1s"}, status: 400, reason: ReasonBadTimeout},
		"years":           {method: "GET", path: "/s/desk/k", header: []string{headerTimeout, "99999h"}, status: 400, reason: ReasonBadTimeout},
		"long id":         {method: "GET", path: "/s/desk/k", header: []string{headerRequestID, strings.Repeat("i", 200)}, status: 400, reason: ReasonBadHeader},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer, body, err := send(t, c.a, test.method, test.path, test.body, test.header...)
			is.NoErr(err)
			is.Equal(answer.StatusCode, test.status)
			is.Equal(answer.Header.Get(headerOutcome), "not_run")
			var made routerAnswer
			is.NoErr(json.Unmarshal([]byte(body), &made))
			is.Equal(made.Outcome, OutcomeNotRun)
			is.Equal(made.Reason, test.reason)
			is.Equal(made.Entry, "a")
			is.True(made.RequestID != "")
		})
	}
	is.New(t).Equal(s.executed.Load(), int64(0))
}

func TestBrokenChunkingIsNotRun(t *testing.T) {
	is := is.New(t)
	s := newFakeServer(t, ok)
	c := newCluster(t, s.address())
	answer, err := rawSend(t, c.a, "POST /s/desk/k/orders HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")
	is.NoErr(err)
	is.Equal(answer.StatusCode, 400)
	is.Equal(answer.Header.Get(headerOutcome), "not_run")
	is.Equal(s.executed.Load(), int64(0))
}

// TestIdempotentIsRetried breaks the first answers of a read.
func TestIdempotentIsRetried(t *testing.T) {
	is := is.New(t)
	var broken atomic.Int64
	s := newFakeServer(t, func(w http.ResponseWriter, r *http.Request) {
		if broken.Add(1) <= 2 {
			hijack(w, "")
			return
		}
		ok(w, r)
	})
	c := newCluster(t, s.address())
	answer, body, err := send(t, c.b, "GET", "/s/desk/k/x", nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, 200)
	is.Equal(body, "hello")
	is.Equal(s.executed.Load(), int64(3))
}
