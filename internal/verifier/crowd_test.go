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
	"sync/atomic"
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
	crowdRequests    = 20   // whole requests of one client
	crowdTrickled    = 5    // bytes that a client sends, one a second
	idInBody         = "in-a-body"
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

// zeroes are shared by all clients, which only send them.
var zeroes = make([]byte, 1<<20)

// writeZeroes writes so many zero bytes, in pieces.
func writeZeroes(conn net.Conn, count int) error {
	for count > 0 {
		n := min(count, len(zeroes))
		if err := writeAll(conn, zeroes[:n]); err != nil {
			return err
		}
		count -= n
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
		if err := writeAll(conn, crowdHeader(http.MethodPost, "announced", lines...)); err != nil {
			return err
		}
		return writeZeroes(conn, sent)
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
	if err := writeAll(conn, header); err != nil {
		return err
	}
	return writeZeroes(conn, length-1)
}

// shortOfEnd is how many bytes of a body are missing.
const shortOfEnd = 100

// hopLine is a header of a request that another instance forwards.
const hopLine = "Wasabibank-Hop: template_shelf - muscat_a template_pull 1 true - 300 4000 0 0 - 0"

// crowd is a number of clients that do the same on connections to one port of an instance.
type crowd struct {
	port    string
	clients int
	act     crowdClient
}

// newCrowds returns the crowds by what their clients send: bodies of so many bytes, or no whole request.
func newCrowds(bodyClients, connections, bodyBytes int) map[string]crowd {
	return map[string]crowd{
		"whole":                 {clientPort, bodyClients, announced(bodyBytes, bodyBytes)},
		"short of the end":      {clientPort, bodyClients, announced(bodyBytes, bodyBytes-shortOfEnd)},
		"large chunks":          {clientPort, bodyClients, chunked(1<<20, bodyBytes-shortOfEnd)},
		"tiny chunks":           {clientPort, bodyClients, chunked(16, bodyBytes-shortOfEnd)},
		"over, announced":       {clientPort, bodyClients, announced(1<<30, 2*bodyBytes)},
		"over, not announced":   {clientPort, bodyClients, chunked(1<<16, 2*bodyBytes)},
		"trickled headers":      {clientPort, connections, trickledHeader},
		"left open":             {clientPort, connections, leftOpen("")},
		"left open, used":       {clientPort, connections, leftOpen(otherRequest)},
		"peer port, bodies":     {peerPort, bodyClients, announced(bodyBytes, bodyBytes-shortOfEnd, hopLine)},
		"peer port, messages":   {peerPort, bodyClients, message},
		"peer port, left open":  {peerPort, connections, leftOpen(otherRequest)},
		"admin port, left open": {adminPort, connections, leftOpen(otherRequest)},
		"ready port, left open": {readyPort, connections, leftOpen(otherRequest)},
		"slow readers":          {clientPort, bodyClients, slowReader},
		"slow readers, one byte": {clientPort, bodyClients, func(conn net.Conn) error {
			if err := slowReader(conn); err != nil {
				return err
			}
			_, err := conn.Read(make([]byte, 1))
			return err
		}},
		"small beside unfinished": {clientPort, bodyClients, inTurn(smallRequests, announced(bodyBytes, bodyBytes-shortOfEnd))},
		"small beside chunks":     {clientPort, bodyClients, inTurn(smallRequests, chunked(1<<16, bodyBytes-shortOfEnd))},
		"stops and continues":     {clientPort, bodyClients, inTurn(continued(announced(bodyBytes, 1<<16)), continued(chunked(1<<16, bodyBytes/4)))},
		"one byte a second": {clientPort, connections, inTurn(
			aByteASecond("GET /frames/x HTTP/1.1\r\nHost: shelf.shashat.example\r\nX-Trickled: "),
			aByteASecond(string(crowdHeader(http.MethodPost, "trickled", "Content-Length: "+strconv.Itoa(bodyBytes)))),
			aByteASecond(string(crowdHeader(http.MethodPost, "trickled", "Transfer-Encoding: chunked"))+"ffff\r\n"),
			aByteASecond(""))},
		"pipelined behind unfinished": {clientPort, bodyClients, pipelined(bodyBytes)},
	}
}

// inTurn is a client that does what the next one of several does.
func inTurn(clients ...crowdClient) crowdClient {
	var count atomic.Int32
	return func(conn net.Conn) error { return clients[int(count.Add(1))%len(clients)](conn) }
}

// smallRequests is a client that sends small requests one after the other.
func smallRequests(conn net.Conn) error {
	for n := range crowdRequests {
		id := fmt.Sprintf("small-%d", n)
		if err := writeAll(conn, crowdHeader(http.MethodPost, id, "Content-Length: 1000"), zeroes[:1000]); err != nil {
			return err
		}
		if err := conn.SetReadDeadline(time.Now().Add(crowdWriteTimeout)); err != nil {
			return err
		}
		if _, err := conn.Read(make([]byte, 4096)); err != nil {
			return err
		}
	}
	return nil
}

// continued is a client that stops after what start sends, and continues with a little just before it would be dropped.
func continued(start crowdClient) crowdClient {
	const (
		stop  = 450 * time.Millisecond // bodies are dropped after 0.5 s without progress
		count = 10
	)
	return func(conn net.Conn) error {
		if err := start(conn); err != nil {
			return err
		}
		for range count {
			time.Sleep(stop)
			if err := writeAll(conn, []byte("4000\r\n"), zeroes[:16<<10], []byte("\r\n")); err != nil { // any bytes, or a chunk
				return err
			}
		}
		return nil
	}
}

// aByteASecond is a client that sends a start, and then one byte a second.
func aByteASecond(start string) crowdClient {
	return func(conn net.Conn) error {
		if err := writeAll(conn, []byte(start)); err != nil {
			return err
		}
		for range crowdTrickled {
			if err := writeAll(conn, []byte{'x'}); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		return nil
	}
}

// pipelined is a client that sends whole requests, an unfinished one, and what would be further requests after it.
func pipelined(bodyBytes int) crowdClient {
	small := crowdHeader(http.MethodGet, "pipelined", "X-Small: 1")
	inBody := bytes.Repeat(crowdHeader(http.MethodGet, idInBody, "X-Small: 1"), 1000)
	return func(conn net.Conn) error {
		unfinished := crowdHeader(http.MethodPost, "unfinished", "Content-Length: "+strconv.Itoa(bodyBytes))
		if err := writeAll(conn, bytes.Repeat(small, crowdRequests), unfinished); err != nil {
			return err
		}
		for range bodyBytes / 2 / len(inBody) {
			if err := writeAll(conn, inBody); err != nil {
				return err
			}
		}
		return nil
	}
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
	for name, test := range newCrowds(crowdBodies, crowdConnections, crowdBodyBytes) {
		t.Run(name, func(t *testing.T) {
			c := newCrowdCluster(t, clusterSize{entries: 1, keyedServers: 1, unkeyedServers: 1, memoryMB: crowdMemoryMB}, "body_bytes: 4MiB")
			c.meetCrowd(test, crowdMemoryMB, crowdDescriptors)
		})
	}
}

// meetCrowd connects a crowd to each entry and requires that all keep within memory and descriptors, and answer an ordinary request.
func (c *cluster) meetCrowd(test crowd, memoryMB, maxDescriptors int) {
	c.t.Helper()
	is := is.New(c.t)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	var usages []func() usage
	for _, e := range c.entries {
		usages = append(usages, watchUsage(e))
	}
	for range test.clients {
		for _, e := range c.entries {
			clients.Go(func() {
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
	}
	clients.Wait()
	for _, e := range c.entries {
		await(c.t, "an ordinary request is answered", e.answersOrdinaryRequest)
	}
	var peaks []int
	var used []usage
	for n, e := range c.entries {
		peaks, used = append(peaks, e.peakMemoryMB(c.t)), append(used, usages[n]())
		c.t.Logf("%s: peak of memory %d MiB, with received bytes %d MiB, of descriptors %d", e.name, peaks[n], used[n].memoryMB, used[n].descriptors)
	}
	for n, e := range c.entries {
		is.True(!e.process.hasExited())
		is.True(peaks[n] <= memoryMB)
		is.True(used[n].memoryMB <= memoryMB)
		is.True(used[n].descriptors <= maxDescriptors)
	}
	for _, conn := range open {
		_ = conn.Close() // may be closed
	}
	is.Equal(c.countExecutions()[idInBody], 0) // it was no request
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
			c := newCrowdCluster(t, clusterSize{entries: 2, keyedServers: 1, unkeyedServers: 1, memoryMB: test.memoryMB}, "body_bytes: 64MiB")
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

// newCrowdCluster starts a cluster whose configuration has a limit on bodies, perhaps further limits in place of the example's, and times
// that a busy machine keeps.
func newCrowdCluster(t *testing.T, size clusterSize, bodyBytes string, limits ...string) *cluster {
	t.Helper()
	c := newCluster(t, size)
	c.publishBundle(append([]string{"body_bytes: 8MiB", bodyBytes, " timeout: 2s", " timeout: 20s", " timeout: 4s", " timeout: 20s"}, limits...))
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

// usage is the largest use of the machine by a process.
type usage struct {
	descriptors int
	memoryMB    int // resident, and received by the system for it but not read
}

// watchUsage observes the entry's process until the function that it returns is called.
func watchUsage(e *entry) (stop func() usage) {
	dir := filepath.Join("/proc", strconv.Itoa(e.process.cmd.Process.Pid))
	done, most := make(chan struct{}), make(chan usage)
	go func() {
		var largest usage
		for {
			if entries, err := os.ReadDir(filepath.Join(dir, "fd")); err == nil { // else it has exited, which the test notices
				largest.descriptors = max(largest.descriptors, len(entries))
			}
			if statm, err := os.ReadFile(filepath.Join(dir, "statm")); err == nil {
				var total, resident int
				if _, err := fmt.Sscan(string(statm), &total, &resident); err == nil {
					largest.memoryMB = max(largest.memoryMB, (resident*os.Getpagesize()+e.receivedBytes())>>20)
				}
			}
			select {
			case <-done:
				most <- largest
				return
			case <-time.After(5 * pollInterval):
			}
		}
	}()
	return func() usage {
		close(done)
		return <-most
	}
}

// receivedBytes returns how many bytes the system has received on the entry's address that were not read.
func (e *entry) receivedBytes() int {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip := net.ParseIP(e.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	total := 0
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line) // number, local address, remote address, state, queues
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listenState {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		bytes, err := strconv.ParseInt(received, 16, 64)
		if err == nil {
			total += int(bytes)
		}
	}
	return total
}

// listenState is the state of a listening socket in /proc/net/tcp, whose queue is counted in connections.
const listenState = "0A"
