package verifier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/platform"
)

// shortLimits are short limits on clients' connections in place of the example's.
var shortLimits = []string{"header_bytes: 32KiB", "header_bytes: 16KiB", "header_timeout: 5s", "header_timeout: 1s", "idle_timeout: 20s", "idle_timeout: 2s"}

// limitedClient is a client's connection to an instance.
type limitedClient struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func (e *entry) connect(t *testing.T) *limitedClient {
	t.Helper()
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(e.ip, clientPort), crowdWriteTimeout)
	must(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &limitedClient{t: t, conn: conn, in: bufio.NewReader(conn)}
}

// send writes bytes; the instance may have closed the connection, which the next read notices.
func (c *limitedClient) send(parts ...[]byte) { _ = writeAll(c.conn, parts...) }

// status reads an answer and returns its status, or 0 if the connection ends or nothing arrives within the time.
func (c *limitedClient) status(timeout time.Duration) int {
	must(c.t, c.conn.SetReadDeadline(time.Now().Add(timeout)))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// endsWithin reports whether the instance ends the connection within the time, after a refusal or without an answer.
func (c *limitedClient) endsWithin(timeout time.Duration) bool {
	must(c.t, c.conn.SetReadDeadline(time.Now().Add(timeout)))
	_, err := io.Copy(io.Discard, c.in)
	if err == nil {
		return true
	}
	netErr, ok := err.(net.Error)
	return err != nil && !(ok && netErr.Timeout())
}

// ask sends a small request and returns its status.
func (c *limitedClient) ask(id string) int {
	c.send(crowdHeader(http.MethodPost, id, "Content-Length: 0"))
	return c.status(waitTimeout)
}

// TestConnectionsFollowTheConfiguration guards against clients that keep connections longer than the configuration allows, against the end
// of connections whose clients keep within it, and against limits that hold only from a restart on.
func TestConnectionsFollowTheConfiguration(t *testing.T) {
	c := newCrowdCluster(t, clusterSize{entries: 1, keyedServers: 1, unkeyedServers: 1}, "body_bytes: 8MiB")
	e := c.entries[0]
	unfinished := []byte("GET /frames/x HTTP/1.1\r\nHost: shelf.shashat.example\r\nX-Unfinished: ")
	open, started := e.connect(t), e.connect(t)
	before := is.New(t)
	before.Equal(open.ask("before"), http.StatusOK)
	before.Equal(started.ask("before"), http.StatusOK)
	c.publishBundle(append([]string{" timeout: 4s", " timeout: 20s"}, shortLimits...))
	c.awaitAgreement(e)
	tests := map[string]func(is *is.I){
		"unfinished header": func(is *is.I) {
			client := e.connect(t)
			client.send(unfinished)
			is.True(client.endsWithin(6 * time.Second))
		},
		"unfinished header, byte by byte": func(is *is.I) {
			client := e.connect(t)
			client.send(unfinished)
			ended := false
			for n := 0; n < 12 && !ended; n++ {
				client.send([]byte("x"))
				ended = client.endsWithin(500 * time.Millisecond)
			}
			is.True(ended)
		},
		"unfinished header of an open connection": func(is *is.I) {
			is.Equal(started.ask("next"), http.StatusOK)
			started.send(unfinished)
			is.True(started.endsWithin(6 * time.Second))
		},
		"idle": func(is *is.I) {
			client := e.connect(t)
			is.Equal(client.ask("idle"), http.StatusOK)
			is.True(client.endsWithin(10 * time.Second))
		},
		"idle, new": func(is *is.I) { is.True(e.connect(t).endsWithin(6 * time.Second)) },
		"idle, open before the change": func(is *is.I) {
			is.Equal(open.ask("next"), http.StatusOK)
			is.True(open.endsWithin(10 * time.Second))
		},
		"idle for four fifths": func(is *is.I) {
			client := e.connect(t)
			for n := range 3 {
				time.Sleep(1600 * time.Millisecond) // the first time on a new connection
				is.Equal(client.ask(fmt.Sprintf("idle-%d", n)), http.StatusOK)
			}
		},
		"whole header in time": func(is *is.I) {
			client := e.connect(t)
			header := crowdHeader(http.MethodPost, "slow", "Content-Length: 0")
			for _, part := range [][]byte{header[:3], header[3:30], header[30:]} {
				client.send(part)
				time.Sleep(300 * time.Millisecond)
			}
			is.Equal(client.status(waitTimeout), http.StatusOK)
		},
		"slow answer": func(is *is.I) { // longer than all limits
			client := e.connect(t)
			client.send(crowdHeader(http.MethodPost, "slow-body", "Content-Length: 5"))
			for range 5 {
				time.Sleep(700 * time.Millisecond)
				client.send([]byte("x"))
			}
			is.Equal(client.status(waitTimeout), http.StatusOK)
		},
		"header too large": func(is *is.I) {
			client := e.connect(t)
			client.send(crowdHeader(http.MethodPost, "large", "Content-Length: 0", "X-Large: "+strings.Repeat("x", 17<<10)))
			is.Equal(client.status(waitTimeout), http.StatusRequestHeaderFieldsTooLarge)
		},
		"unfinished header, too large": func(is *is.I) { // an instance that reads on answers only after 64 KiB
			client := e.connect(t)
			client.send(unfinished, repeated(24<<10, 'x'))
			is.Equal(client.status(waitTimeout), http.StatusRequestHeaderFieldsTooLarge)
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { test(is.New(t)) })
	}
}

// repeated returns count times the same byte.
func repeated(count int, b byte) []byte { return []byte(strings.Repeat(string(b), count)) }

// TestRefusedRequestsAreNotExecuted guards against the execution of a request that was refused while it was read, and of bytes of its body
// as a request, when its client goes on sending.
func TestRefusedRequestsAreNotExecuted(t *testing.T) {
	const memoryMB = 96
	c := newCrowdCluster(t, clusterSize{entries: 2, keyedServers: 1, unkeyedServers: 1, memoryMB: memoryMB}, "body_bytes: 64MiB", deploymentLimits...)
	length := func(n int) string { return "Content-Length: " + strconv.Itoa(n) }
	inBody := crowdHeader(http.MethodPost, idInBody, "Content-Length: 0")
	tests := map[string]struct {
		lines []string // of the header
		sent  int      // bytes of the body before the refusal
		want  int
	}{
		"408, stopped":               {[]string{length(100_000), platform.HeaderTimeLeft + ": 400"}, 1000, http.StatusRequestTimeout},
		"408, stopped in a chunk":    {[]string{"Transfer-Encoding: chunked", platform.HeaderTimeLeft + ": 400"}, 1000, http.StatusRequestTimeout},
		"413, announced":             {[]string{length(65 << 20)}, 0, http.StatusRequestEntityTooLarge},
		"431, over the limit":        {[]string{length(100_000), "X-Large: " + strings.Repeat("x", 17<<10)}, 0, http.StatusRequestHeaderFieldsTooLarge},
		"431, far over the limit":    {[]string{length(100_000), "X-Large: " + strings.Repeat("x", 200<<10)}, 0, http.StatusRequestHeaderFieldsTooLarge},
		"503, larger than a machine": {[]string{length(60 << 20)}, 0, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, e := range c.entries {
				id := "refused-" + strings.NewReplacer(" ", "-", ",", "").Replace(name) + e.name
				client := e.connect(t)
				start := crowdHeader(http.MethodPost, id, test.lines...)
				if strings.HasPrefix(test.lines[0], "Transfer") {
					start = append(start, "ffff\r\n"...)
				}
				client.send(start, repeated(test.sent, '0'))
				is.Equal(client.status(waitTimeout), test.want)
				for range 10 { // the client goes on
					client.send(inBody)
				}
				is.Equal(e.connect(t).ask("after-"+id), http.StatusOK)
				is.Equal(c.countExecutions()[id], 0)
			}
			is.Equal(c.countExecutions()[idInBody], 0)
		})
	}
}
