package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// plannedStop plays a planned stop of an instance whose clients send on connections that they have kept open, until the
// instance closes these. The requests need less time than they have, and than the rest of the grace period.
func plannedStop(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, desks, clients, rate = 3, 4, 8, 10
		calm, tail                    = 4 * time.Second, 8 * time.Second
		shortWork, longWork           = 120 * time.Millisecond, 2700 * time.Millisecond
		// firstLate is the time from SIGTERM to the first of the requests; they follow each other at lateInterval.
		firstLate, lateInterval = 3020 * time.Millisecond, 15 * time.Millisecond
	)
	err := c.newDeskCluster(entries, desks, func(_ int, s *serverSettings) {
		s.slots = 6
		s.workFor = func(path string) time.Duration {
			if path == "/sign-off/long" {
				return longWork
			}
			return shortWork
		}
	})
	if err != nil {
		return nil, err
	}
	stopped := c.entries[0]
	l := &load{record: c.record}
	start := time.Now()
	var late []answer
	var mu sync.Mutex
	var pending sync.WaitGroup
	for n := range clients {
		pending.Add(1)
		go func() {
			defer pending.Done()
			kept := newKeptConnections()
			first := sendThrough(kept.transport, order(stopped, "/sign-off/a", fmt.Sprintf("first-%d", n), n))
			c.record.line("answered %s status %d", first.id, first.status)
			time.Sleep(time.Until(start.Add(calm + firstLate + time.Duration(n)*lateInterval)))
			r := order(stopped, "/sign-off/long", fmt.Sprintf("late-%d", n), n)
			c.record.line("sent %s on the connection of first-%d", r.id, n)
			a := sendThrough(kept.transport, r)
			c.record.line("answered %s status %d after %.3f s, on a kept connection: %t%s", a.id, a.status, a.took.Seconds(), a.reused, errorText(a.err))
			mu.Lock()
			defer mu.Unlock()
			late = append(late, a)
		}()
	}
	if trouble {
		time.AfterFunc(calm, func() {
			c.record.line("%s gets SIGTERM", stopped.name)
			process, exited := stopped.current()
			_ = process.Process.Signal(syscall.SIGTERM)
			<-exited
			c.record.line("the process of %s has ended", stopped.name)
		})
	}
	l.run(start.Add(calm+tail), rate, func(n int) request {
		return order(c.entries[1+n%(entries-1)], "/sign-off/a", fmt.Sprintf("order-%d", n), n)
	})
	pending.Wait()
	if err := l.checkServed(); err != nil {
		return nil, err
	}
	var violations []string
	for _, a := range late {
		if a.reused && a.closed && c.ledger.countRun([]string{a.id}) > 0 {
			violations = append(violations, fmt.Sprintf("LOST: request %s was passed on to a server, and %.3f s after it was sent its connection ended without an answer",
				a.id, a.took.Seconds()))
		}
	}
	return violations, nil
}
