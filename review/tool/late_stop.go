package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/wasabibank/wasabibank/platform"
)

// idler is a client with a kept connection, which it uses again after a pause.
type idler struct {
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// ask sends a request and waits for the answer. It returns the status and whether the answer was complete.
func (i *idler) ask(r *record, id, path string, timeout time.Duration) (status int, err error) {
	if err := i.conn.SetDeadline(time.Now().Add(timeout + time.Second)); err != nil {
		return 0, err
	}
	r.line("sent %s on the kept connection of %s", id, i.name)
	if _, err := fmt.Fprintf(i.conn, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n\r\n", path, requestHost,
		platform.HeaderRequestID, id, platform.HeaderTimeLeft, timeout.Milliseconds()); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(i.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		r.line("no complete answer to %s: %v", id, err)
		return 0, err
	}
	r.line("answered %s status %d", id, response.StatusCode)
	return response.StatusCode, nil
}

// lateStop plays the planned stop of an instance, and clients that use their kept connections shortly before the instance closes
// these.
func lateStop(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, servers = 3, 6
		clients          = 6
		rounds           = 3
		// sendAfter is when a request is sent after the SIGTERM. LOST excuses those of up to 3 s that still run in the last sixth of
		// grace_period_s.
		sendAfter = 3050 * time.Millisecond
		// work is within the site's 3 s at most for an archive-read, timeout its time limit.
		work    = 2800 * time.Millisecond
		timeout = 8 * time.Second
	)
	routes := []route{{prefix: "/archive/", kind: "safe", service: vaultService}}
	if err := c.publishWithTimeout([]string{vaultService}, routes, timeout); err != nil {
		return nil, err
	}
	for n := range servers {
		if _, err := c.startServer(serverSettings{
			id: fmt.Sprintf("i-%02d", n), service: vaultService, zone: zones[n%len(zones)], slots: 6, queue: 8,
			workFor: func(path string) time.Duration {
				if path == "/archive/long" {
					return work
				}
				return 50 * time.Millisecond
			},
		}); err != nil {
			return nil, err
		}
	}
	for range entries {
		if err := c.addEntry(); err != nil {
			return nil, err
		}
	}
	if err := c.awaitServing("/archive/probe"); err != nil {
		return nil, err
	}
	var violations []string
	for round := range rounds {
		lost, err := c.stopRound(round, clients, trouble, sendAfter, timeout)
		if err != nil {
			return violations, err
		}
		for _, id := range lost {
			if runs := c.ledger.countRun([]string{id}); runs > 0 {
				violations = append(violations, fmt.Sprintf("LOST: request %s was passed on to a server, and its connection ended without an answer", id))
			}
		}
	}
	return violations, nil
}

// stopRound stops an instance, unless trouble is false, and returns the requests that got no complete answer.
func (c *cluster) stopRound(round, clients int, trouble bool, sendAfter, timeout time.Duration) ([]string, error) {
	e := c.entries[round%len(c.entries)]
	var idlers []*idler
	for n := range clients {
		conn, err := net.DialTimeout("tcp", net.JoinHostPort(e.ip, clientPort), time.Second)
		if err != nil {
			return nil, err
		}
		defer conn.Close()
		i := &idler{name: fmt.Sprintf("auditor %d.%d", round, n), conn: conn, reader: bufio.NewReader(conn)}
		if status, err := i.ask(c.record, fmt.Sprintf("first-%d-%d", round, n), "/archive/short", timeout); err != nil || status != http.StatusOK {
			return nil, fmt.Errorf("first request of %s: status %d, %v", i.name, status, err)
		}
		idlers = append(idlers, i)
	}
	process, exited := e.current()
	stopped := time.Now()
	if trouble {
		c.record.line("SIGTERM to %s", e.name)
		if err := process.Process.Signal(syscall.SIGTERM); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(stopped.Add(sendAfter)))
	var mu sync.Mutex
	var lost []string
	var pending sync.WaitGroup
	for n, i := range idlers {
		pending.Go(func() {
			id := fmt.Sprintf("archive-read-%d-%d", round, n)
			if _, err := i.ask(c.record, id, "/archive/long", timeout); err != nil {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, id)
			}
		})
	}
	pending.Wait()
	if trouble {
		<-exited
		c.record.line("%s has exited %.3f s after the SIGTERM", e.name, time.Since(stopped).Seconds())
		if err := c.startEntry(e, false); err != nil {
			return lost, err
		}
		return lost, c.awaitServing("/archive/probe")
	}
	return lost, nil
}
