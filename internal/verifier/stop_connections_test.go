package verifier

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/platform"
)

// TestPlannedStopAnswersOnEachConnection guards against connections that close without an answer in a planned stop because of when the
// bytes of their requests arrive.
func TestPlannedStopAnswersOnEachConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, defaultSize, "-slots", "40", "-service-time", "2700ms", "-jitter", "0")
	stopped := c.entries[0]
	c.shortenGrace(stopped)
	c.publishBundle([]string{"timeout: 2500ms", "timeout: 5s", "objective: 400ms", "objective: 5s", "timeout: 2s", "timeout: 5s"})
	c.awaitAgreement(c.entries...)
	request := func(id, length string) string {
		return fmt.Sprintf("POST /orders/a HTTP/1.1\r\nHost: render.shashat.example\r\n%s: stop-%s\r\n%s: 7\r\nContent-Length: %s\r\n\r\n",
			platform.HeaderRequestID, id, platform.HeaderKey, length)
	}
	const unknownRoute = "GET /none HTTP/1.1\r\nHost: none.example\r\n\r\n"
	tests := map[string]struct {
		before, after string // sent before SIGTERM and a second after it
		wantStatuses  []int
		wantRuns      int
	}{
		"second half of a body": {before: request("half", "8") + "half", after: "rest", wantStatuses: []int{200}, wantRuns: 1},
		"stalled body":          {before: request("stalled", "8") + "half", wantStatuses: []int{503}},
		"stalled chunks": {
			before:       strings.Replace(request("chunks", "8"), "Content-Length: 8", "Transfer-Encoding: chunked", 1) + "4\r\nhalf\r\n",
			wantStatuses: []int{503},
		},
		"pipelined": {
			before:       unknownRoute + strings.Replace(request("pipelined", "0"), "POST /orders/", "GET /previews/", 1),
			wantStatuses: []int{404, 200}, wantRuns: 1,
		},
	}
	conns := map[string]net.Conn{}
	for name, test := range tests {
		conn, err := net.Dial("tcp", net.JoinHostPort(stopped.ip, clientPort))
		is.NoErr(err)
		defer conn.Close()
		_, err = io.WriteString(conn, test.before)
		is.NoErr(err)
		conns[name] = conn
	}
	time.Sleep(300 * time.Millisecond) // all are read
	start := time.Now()
	stopped.process.exitExpected.Store(true)
	stopped.process.signal(t, syscall.SIGTERM)
	time.Sleep(time.Second)
	var pending sync.WaitGroup
	for name, test := range tests {
		_, err := io.WriteString(conns[name], test.after)
		is.NoErr(err)
		pending.Go(func() {
			in := bufio.NewReader(conns[name])
			for _, want := range test.wantStatuses {
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Errorf("%s: no answer %v after SIGTERM: %v", name, time.Since(start), err)
					return
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != want {
					t.Errorf("%s: status %d %v after SIGTERM, want %d, %v", name, response.StatusCode, time.Since(start), want, err)
				}
				must(t, response.Body.Close())
			}
		})
	}
	pending.Wait()
	<-stopped.process.exited
	if took := time.Since(start); took >= stopGrace {
		t.Errorf("the entry exited %v after SIGTERM", took)
	}
	is.Equal(stopped.process.cmd.ProcessState.ExitCode(), 0)
	runs := c.countExecutions()
	for name, id := range map[string]string{
		"second half of a body": "stop-half", "stalled body": "stop-stalled", "stalled chunks": "stop-chunks", "pipelined": "stop-pipelined",
	} {
		if runs[id] != tests[name].wantRuns {
			t.Errorf("%s: executed %d times, want %d", name, runs[id], tests[name].wantRuns)
		}
	}
}
