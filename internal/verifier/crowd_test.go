package verifier

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/platform"
)

// The size of the crowds, and the limits of the instance that they meet: what a crowd sends is several times the memory.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 1200 // max_fds of the settings
	crowdBodies      = 96   // clients that send a body or read an answer
	crowdBodyBytes   = 4 << 20
	crowdConnections = 2000 // clients that send no whole request, or a small one
	crowdHeaderLines = 56   // of a thousand bytes
	// crowdWriteTimeout is how long a client of a crowd waits until the instance reads on.
	crowdWriteTimeout = 5 * time.Second
)

// crowdClient does what one client of a crowd does on its connection. An error says that the instance has ended it, which is allowed.
type crowdClient func(conn net.Conn) error

// writeAll writes parts to a connection until one fails, or the instance does not read for crowdWriteTimeout.
func writeAll(conn net.Conn, parts ...[]byte) error {
	for _, part := range parts {
		if err := conn.SetWriteDeadline(time.Now().Add(crowdWriteTimeout)); err != nil {
			return err
		}
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// crowdHeader returns the start of a request of the route template_pull, with further header lines.
func crowdHeader(method, id string, lines ...string) []byte {
	return fmt.Appendf(nil, "%s /frames/x HTTP/1.1\r\nHost: shelf.shashat.example\r\n%s: %s\r\n%s\r\n\r\n", method,
		platform.HeaderRequestID, id, strings.Join(lines, "\r\n"))
}

// announced is a client that announces a length and sends part of it.
func announced(length, sent int, lines ...string) crowdClient {
	lines = append(lines, "Content-Length: "+strconv.Itoa(length))
	return func(conn net.Conn) error {
		return writeAll(conn, crowdHeader(http.MethodPost, "announced", lines...), make([]byte, sent))
	}
}

// chunked is a client that sends a body in chunks of a size, without the last chunk.
func chunked(chunkBytes, sent int) crowdClient {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", chunkBytes, bytes.Repeat([]byte{'x'}, chunkBytes))
	perWrite := max(1, 1<<16/chunkBytes)
	piece := bytes.Repeat(chunk, perWrite)
	return func(conn net.Conn) error {
		if err := writeAll(conn, crowdHeader(http.MethodPost, "chunked", "Transfer-Encoding: chunked")); err != nil {
			return err
		}
		for n := 0; n < sent; n += perWrite * chunkBytes {
			if err := writeAll(conn, piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// trickledHeader is a client whose header has no end.
func trickledHeader(conn net.Conn) error {
	if err := writeAll(conn, []byte("GET /frames/x HTTP/1.1\r\nHost: shelf.shashat.example\r\n")); err != nil {
		return err
	}
	for n := range crowdHeaderLines {
		if err := writeAll(conn, fmt.Appendf(nil, "X-%d: %s\r\n", n, strings.Repeat("x", 1000))); err != nil {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// leftOpen is a client that sends a request, if it is not empty, reads the start of the answer and stays connected. Without a request
// it waits until the instance has accepted the connections.
func leftOpen(request string) crowdClient {
	return func(conn net.Conn) error {
		if request == "" {
			time.Sleep(time.Second)
			return nil
		}
		if err := writeAll(conn, []byte(request)); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(crowdWriteTimeout)); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 512))
		return err
	}
}

// otherRequest is a small request that fits no route.
const otherRequest = "GET /none HTTP/1.1\r\nHost: none.example\r\n\r\n"

// message is a client that sends an unfinished message of the protocol between instances.
func message(conn net.Conn) error {
	const length = 15 << 20
	header := fmt.Appendf(nil, "POST /twirp/wasabibank.herald.Herald/Report HTTP/1.1\r\nHost: h\r\n"+
		"Content-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n", length)
	return writeAll(conn, header, make([]byte, length-1))
}

// shortOfEnd is how many bytes of a body are missing.
const shortOfEnd = 100

// hopLine is a header of a request that another instance forwards.
const hopLine = "Wasabibank-Hop: template_shelf - muscat_a template_pull 1 true - 300 4000 0 0 - 0"

// crowdTests are the crowds, by what their clients send.
var crowdTests = map[string]struct {
	port    string
	clients int
	act     crowdClient
}{
	"whole":                 {clientPort, crowdBodies, announced(crowdBodyBytes, crowdBodyBytes)},
	"short of the end":      {clientPort, crowdBodies, announced(crowdBodyBytes, crowdBodyBytes-shortOfEnd)},
	"large chunks":          {clientPort, crowdBodies, chunked(1<<20, crowdBodyBytes-shortOfEnd)},
	"tiny chunks":           {clientPort, crowdBodies, chunked(16, crowdBodyBytes-shortOfEnd)},
	"over, announced":       {clientPort, crowdBodies, announced(1<<30, 2*crowdBodyBytes)},
	"over, not announced":   {clientPort, crowdBodies, chunked(1<<16, 2*crowdBodyBytes)},
	"trickled headers":      {clientPort, crowdConnections, trickledHeader},
	"left open":             {clientPort, crowdConnections, leftOpen("")},
	"left open, used":       {clientPort, crowdConnections, leftOpen(otherRequest)},
	"peer port, bodies":     {peerPort, crowdBodies, announced(crowdBodyBytes, crowdBodyBytes-shortOfEnd, hopLine)},
	"peer port, messages":   {peerPort, crowdBodies, message},
	"peer port, left open":  {peerPort, crowdConnections, leftOpen(otherRequest)},
	"admin port, left open": {adminPort, crowdConnections, leftOpen(otherRequest)},
	"ready port, left open": {readyPort, crowdConnections, leftOpen(otherRequest)},
	"slow readers":          {clientPort, crowdBodies, slowReader},
	"slow readers, one byte": {clientPort, crowdBodies, func(conn net.Conn) error {
		if err := slowReader(conn); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 1))
		return err
	}},
}

// slowReader is a client that asks for a large answer and does not read it.
func slowReader(conn net.Conn) error {
	if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
		return err
	}
	return writeAll(conn, crowdHeader(http.MethodGet, "slow-reader", emulator.HeaderAnswerBytes+": "+strconv.Itoa(crowdBodyBytes)))
}

// TestCrowdsStayWithinTheMachine guards against clients that together end an instance, or keep others from being served: with bodies
// that don't end, with headers, with connections, or with answers that they don't read. All clients stay connected until an ordinary
// request has been answered.
func TestCrowdsStayWithinTheMachine(t *testing.T) {
	for name, test := range crowdTests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrowdCluster(t, clusterSize{entries: 1, keyedServers: 1, unkeyedServers: 1, memoryMB: crowdMemoryMB}, "4MiB")
			e := c.entries[0]
			watch := watchDescriptors(e)
			var crowd sync.WaitGroup
			var mu sync.Mutex
			var open []net.Conn
			for range test.clients {
				crowd.Go(func() {
					conn, err := net.DialTimeout("tcp", net.JoinHostPort(e.ip, test.port), crowdWriteTimeout)
					if err != nil {
						return
					}
					mu.Lock()
					open = append(open, conn)
					mu.Unlock()
					_ = test.act(conn) // the instance may end the connection
				})
			}
			crowd.Wait()
			await(t, "an ordinary request is answered", e.answersOrdinaryRequest)
			descriptors := watch()
			for _, conn := range open {
				_ = conn.Close() // may be closed
			}
			peak := e.peakMemoryMB(t)
			t.Logf("peak of memory %d MiB, of descriptors %d", peak, descriptors)
			is.True(!e.process.hasExited())
			is.True(peak <= crowdMemoryMB)
			is.True(descriptors <= crowdDescriptors)
		})
	}
}

// TestLargeBodiesFitTheMachine guards against bodies of legal size that are not served in calm, that end an instance when a few arrive
// at once, or that can't pass between instances.
func TestLargeBodiesFitTheMachine(t *testing.T) {
	tests := map[string]struct {
		memoryMB, clients, bodyBytes int
		wantOK                       int // at least
		wantStatus                   int // of the others
	}{
		"one of 64 MiB":                     {memoryMB: 284, clients: 1, bodyBytes: 64 << 20, wantOK: 1},
		"three of 60 MiB":                   {memoryMB: 284, clients: 3, bodyBytes: 60 << 20, wantOK: 1, wantStatus: 503},
		"one of 64 MiB, on a small machine": {memoryMB: 120, clients: 1, bodyBytes: 64 << 20, wantStatus: 503},
		"three of 12 MiB":                   {memoryMB: 284, clients: 3, bodyBytes: 12 << 20, wantOK: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrowdCluster(t, clusterSize{entries: 2, keyedServers: 1, unkeyedServers: 1, memoryMB: test.memoryMB}, "64MiB")
			for _, e := range c.entries { // one of them is the dispatcher, the other one forwards
				statuses := make([]int, test.clients)
				var clients sync.WaitGroup
				for n := range test.clients {
					clients.Go(func() { statuses[n] = e.sendBody(t, test.bodyBytes) })
				}
				clients.Wait()
				t.Logf("%s: statuses %v, peak of memory %d MiB", e.name, statuses, e.peakMemoryMB(t))
				ok := 0
				for _, status := range statuses {
					if status == http.StatusOK {
						ok++
					} else {
						is.Equal(status, test.wantStatus)
					}
				}
				is.True(ok >= test.wantOK)
			}
			for _, e := range c.entries {
				peak := e.peakMemoryMB(t)
				t.Logf("%s: peak of memory %d MiB", e.name, peak)
				is.True(!e.process.hasExited())
				is.True(peak <= test.memoryMB)
			}
		})
	}
}

// newCrowdCluster starts a cluster whose configuration has a limit on bodies, and times that a busy machine keeps.
func newCrowdCluster(t *testing.T, size clusterSize, bodyBytes string) *cluster {
	t.Helper()
	c := newCluster(t, size)
	c.publishBundle([]string{"body_bytes: 8MiB", "body_bytes: " + bodyBytes, "timeout: 2s", "timeout: 20s", "timeout: 4s", "timeout: 20s"})
	c.awaitAgreement(c.entries...)
	return c
}

// sendBody sends a body of a size to the route preview, and returns the status of the answer, or 0.
func (e *entry) sendBody(t *testing.T, size int) int {
	client := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+e.ip+":"+clientPort+"/previews/x", bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Error(err)
		return 0
	}
	r.Host = "render.shashat.example"
	r.Header.Set(platform.HeaderRequestID, "body")
	r.Header.Set(platform.HeaderKey, "7")
	response, err := client.Do(r)
	if err != nil {
		t.Log(err)
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Log(err)
		return 0
	}
	return response.StatusCode
}

// answersOrdinaryRequest reports whether a small request on a new connection is answered with 200.
func (e *entry) answersOrdinaryRequest() bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+e.ip+":"+clientPort+"/frames/x", strings.NewReader("ordinary"))
	if err != nil {
		return false
	}
	r.Host = "shelf.shashat.example"
	r.Header.Set(platform.HeaderRequestID, "ordinary")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}

// peakMemoryMB returns the largest resident memory of the entry's process so far, in MiB.
func (e *entry) peakMemoryMB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(e.process.cmd.Process.Pid), "status"))
	must(t, err)
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	var kilobytes int
	_, err = fmt.Sscanf(rest, "%d kB", &kilobytes)
	must(t, err)
	return kilobytes >> 10
}

// watchDescriptors counts the open descriptors of the entry's process until the function that it returns is called, which returns the
// largest number.
func watchDescriptors(e *entry) (stop func() int) {
	dir := filepath.Join("/proc", strconv.Itoa(e.process.cmd.Process.Pid), "fd")
	done, most := make(chan struct{}), make(chan int)
	go func() {
		largest := 0
		for {
			if entries, err := os.ReadDir(dir); err == nil { // else it has exited, which the test notices
				largest = max(largest, len(entries))
			}
			select {
			case <-done:
				most <- largest
				return
			case <-time.After(pollInterval):
			}
		}
	}()
	return func() int {
		close(done)
		return <-most
	}
}
