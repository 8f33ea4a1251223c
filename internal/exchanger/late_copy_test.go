package exchanger

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// answerByPath answers each request with the status that its path ends with.
func answerByPath(c net.Conn, in *bufio.Reader, received *atomic.Int64) {
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		received.Add(1)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s \r\nContent-Length: 0\r\n\r\n", r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	}
}

// exchangeFor sends a request with an id that is answered with the given status, and reports whether its connection was used before.
func exchangeFor(t *testing.T, p *Pool, id, status string) (reused bool) {
	t.Helper()
	now := time.Now()
	c, err := p.AcquireFor(context.Background(), now, now.Add(testTimeout), id)
	if err != nil {
		t.Fatal(err)
	}
	r := newRequest(http.MethodGet, "")
	r.URL.Opaque = "/" + status
	response, err := c.Do(context.Background(), r, now.Add(testTimeout), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	response.Close(time.Now(), true)
	return response.Reused
}

// TestConnectionIsNotUsedAgainForAFailedRequest guards against a second attempt of a request on the connection on which a late copy
// of the answer to the first may arrive, and against more connections than that needs.
func TestConnectionIsNotUsedAgainForAFailedRequest(t *testing.T) {
	type step struct {
		id, status string
		wantReused bool
	}
	tests := map[string]struct {
		maxConnections int
		steps          []step
		wantOpen       int
	}{
		"another request uses it": {steps: []step{{"a", "503", false}, {"b", "200", true}}, wantOpen: 1},
		"the same one doesn't":    {steps: []step{{"a", "503", false}, {"a", "200", false}}, wantOpen: 2},
		"nor after others": {
			steps:    []step{{"a", "500", false}, {"b", "200", true}, {"c", "421", true}, {"a", "200", false}},
			wantOpen: 2,
		},
		"a third attempt": {
			steps:    []step{{"a", "503", false}, {"a", "503", false}, {"a", "503", false}, {"b", "200", true}},
			wantOpen: 3,
		},
		"an older connection that suits": {
			steps:    []step{{"a", "200", false}, {"b", "503", true}, {"b", "503", false}, {"a", "503", true}, {"a", "200", true}},
			wantOpen: 2,
		},
		"after a success":          {steps: []step{{"a", "200", false}, {"a", "200", true}}, wantOpen: 1},
		"no more than the maximum": {maxConnections: 1, steps: []step{{"a", "503", false}, {"a", "200", false}}, wantOpen: 1},
		"without an id":            {steps: []step{{"", "200", false}, {"", "200", false}}, wantOpen: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := New(Options{Address: startScriptedServer(t, answerByPath).address, MaxConnections: test.maxConnections})
			for _, s := range test.steps {
				is.Equal(exchangeFor(t, p, s.id, s.status), s.wantReused)
			}
			is.Equal(p.Open(), test.wantOpen)
		})
	}
}

// TestFailedIDsOfAConnectionAreBounded guards against a connection that forgets a failed request, and against one whose memory of
// them grows without bound.
func TestFailedIDsOfAConnectionAreBounded(t *testing.T) {
	is := is.New(t)
	p := New(Options{Address: startScriptedServer(t, answerByPath).address})
	for i := range maxFailedIDs {
		is.Equal(exchangeFor(t, p, fmt.Sprint(i), "503"), i > 0)
	}
	is.Equal(p.Open(), 0)
}

// TestFullConnectionIsClosedWithoutReset guards against the reset of a connection whose exchanges were all complete, which servers log as
// an error of the client.
func TestFullConnectionIsClosedWithoutReset(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	p := New(Options{Address: startScriptedServer(t, func(c net.Conn, in *bufio.Reader, _ *atomic.Int64) {
		var err error
		for err == nil {
			if _, err = http.ReadRequest(in); err == nil {
				_, err = io.WriteString(c, "HTTP/1.1 503 \r\nContent-Length: 0\r\n\r\n")
			}
		}
		ended <- err
	}).address})
	for i := range maxFailedIDs {
		exchangeFor(t, p, fmt.Sprint(i), "503")
	}
	is.Equal(<-ended, io.EOF)
}
