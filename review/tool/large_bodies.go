package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/platform"
)

// guard does what the platform does with an instance's process: it kills one that exceeds its memory, and starts it again.
type guard struct {
	cluster *cluster
	entry   *entry
	stop    chan struct{}
	done    chan struct{}

	mu     sync.Mutex
	kills  int
	peakMB int
}

// anonymousMB returns the memory of a process in MB without the pages of its binary.
func anonymousMB(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

func (c *cluster) guard(e *entry) *guard {
	g := &guard{cluster: c, entry: e, stop: make(chan struct{}), done: make(chan struct{})}
	go g.run()
	return g
}

func (g *guard) run() {
	const (
		checkInterval = 10 * time.Millisecond
		restartDelay  = 500 * time.Millisecond
	)
	defer close(g.done)
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(checkInterval):
		}
		process, exited := g.entry.current()
		used := anonymousMB(process.Process.Pid)
		g.mu.Lock()
		g.peakMB = max(g.peakMB, used)
		g.mu.Unlock()
		if used <= memoryMB {
			continue
		}
		_ = process.Process.Kill()
		<-exited
		g.mu.Lock()
		g.kills++
		g.mu.Unlock()
		g.cluster.record.line("%s uses %d MB, more than %d, and is killed", g.entry.name, used, memoryMB)
		time.Sleep(restartDelay)
		if err := g.cluster.startEntry(g.entry, false); err != nil {
			g.cluster.record.line("%s does not start: %v", g.entry.name, err)
			return
		}
	}
}

// end stops the guard and returns how often it killed the process, and the most memory that it saw.
func (g *guard) end() (kills, peakMB int) {
	close(g.stop)
	<-g.done
	return g.kills, g.peakMB
}

// visitor is a client that sends one request after the other on a kept connection.
type visitor struct {
	cluster *cluster
	entry   *entry
	name    string
	lost    []string // requests that were sent on a connection that was used before, and got no answer
	served  int
}

// run sends requests until the end.
func (v *visitor) run(end time.Time) {
	const (
		pause   = 100 * time.Millisecond
		timeout = 4 * time.Second
	)
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; time.Now().Before(end); n++ {
		kept := conn != nil
		if !kept {
			var err error
			if conn, err = net.DialTimeout("tcp", net.JoinHostPort(v.entry.ip, clientPort), time.Second); err != nil {
				conn = nil
				time.Sleep(pause)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%s-%04d", v.name, n)
		_ = conn.SetDeadline(time.Now().Add(timeout + time.Second))
		fmt.Fprintf(conn, "GET /archive/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", requestHost, platform.HeaderRequestID, id,
			platform.HeaderTimeLeft, timeout.Milliseconds())
		v.cluster.record.line("sent %s to %s, on a kept connection: %t", id, v.entry.name, kept)
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err != nil {
			v.cluster.record.line("no answer to %s: %v", id, err)
			if kept {
				v.lost = append(v.lost, id)
			}
			_ = conn.Close()
			conn = nil
			continue
		}
		v.cluster.record.line("answered %s status %d", id, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			v.served++
		}
		if response.Close {
			_ = conn.Close()
			conn = nil
		}
		time.Sleep(pause)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// largeBodies plays clients that send a few large bodies, within the configuration's max_body_bytes, at the same time.
func largeBodies(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, servers = 4, 6
		visitorsPerEntry = 4
		rounds           = 6
		roundInterval    = 8 * time.Second
		uploads          = 3 // at once to each of the entries that get any
		uploadEntries    = 2
		largeBytes       = 60 << 20
		smallBytes       = 1 << 20
		// tolerated is how many requests LOST tolerates, endsToFail how many ends of a process the fault rule needs.
		tolerated, endsToFail = 3, 3
	)
	services := []string{vaultService}
	routes := []route{{prefix: "/archive/", kind: "safe", service: vaultService}, {prefix: "/upload/", kind: "unsafe", service: vaultService}}
	if err := c.publish(services, routes); err != nil {
		return nil, err
	}
	for n := range servers {
		if _, err := c.startServer(serverSettings{
			id: fmt.Sprintf("i-%02d", n), service: vaultService, zone: zones[n%len(zones)], slots: 6, queue: 8,
			work: func() time.Duration { return 200 * time.Millisecond },
		}); err != nil {
			return nil, err
		}
	}
	var guards []*guard
	for range entries {
		if err := c.addEntry(); err != nil {
			return nil, err
		}
	}
	if err := c.awaitServing("/archive/probe"); err != nil {
		return nil, err
	}
	for _, e := range c.entries {
		guards = append(guards, c.guard(e))
	}
	end := time.Now().Add(rounds * roundInterval)
	var visitors []*visitor
	var pending sync.WaitGroup
	for i := range entries * visitorsPerEntry {
		v := &visitor{cluster: c, entry: c.entries[i%entries], name: fmt.Sprintf("archive-read-%02d", i)}
		visitors = append(visitors, v)
		pending.Go(func() { v.run(end) })
	}
	size := smallBytes
	if trouble {
		size = largeBytes
	}
	body := bytes.Repeat([]byte("r"), size)
	l := &load{record: c.record}
	for round := range rounds {
		time.Sleep(roundInterval / 2)
		for n := range uploads * uploadEntries {
			l.start(request{
				entry: c.entries[n%uploadEntries], method: http.MethodPost, path: "/upload/a", id: fmt.Sprintf("upload-%d-%d", round, n),
				key: noKey, body: body, timeout: 4 * time.Second,
			})
		}
		time.Sleep(roundInterval / 2)
	}
	l.pending.Wait()
	pending.Wait()
	var violations []string
	ended := 0
	for _, g := range guards {
		kills, peak := g.end()
		c.record.line("%s was killed %d times; it used at most %d MB", g.entry.name, kills, peak)
		if kills >= endsToFail {
			ended++
		}
	}
	if ended >= 2 && 10*ended >= entries {
		violations = append(violations, fmt.Sprintf(
			"Fault: %d of %d processes have ended %d times or more because they exceeded their memory of %d MB", ended, entries, endsToFail, memoryMB))
	}
	lost, served := 0, 0
	for _, v := range visitors {
		lost += c.ledger.countRun(v.lost)
		served += v.served
	}
	c.record.line("%d requests of visitors were served, %d on kept connections ran and got no answer", served, lost)
	if lost > tolerated {
		violations = append(violations, fmt.Sprintf("LOST: %d requests on kept connections were passed on to a sound server and got no answer", lost))
	}
	if served == 0 {
		return violations, fmt.Errorf("no request was served")
	}
	return violations, nil
}
