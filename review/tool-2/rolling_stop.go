package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	keyedServers   = 6
	slots          = 6
	work           = 6 * time.Second // of each request; 6.1 s is the longest of the deployments' sheets
	timeLimit      = 8 * time.Second // of clients, and timeout of the route
	requestsEach   = 10              // to each entry instance
	stopAfter      = 300 * time.Millisecond
	stopGap        = 1300 * time.Millisecond // between the stops of two instances
	settleTime     = 8 * time.Second
	lateRequest    = 3 * time.Second
	plannedWorkEnd = gracePeriod + time.Second
)

// request is a request as its client and the servers have seen it.
type request struct {
	id         string
	entry      *entry
	sent, done time.Time
	status     int
	fromServer bool // the answer has a server's signature
	err        error
	started    time.Time // when a server began to run it; zero if none did
}

// requests are all requests by id.
type requests struct {
	mu   sync.Mutex
	byID map[string]*request
}

// rollingStop stops the entry instances one after the other while requests are at work at the servers.
func rollingStop(c *cluster, trouble bool) ([]string, error) {
	all := &requests{byID: map[string]*request{}}
	domains := []string{"zone-a", "zone-b", "zone-c"}
	for i := range keyedServers {
		if err := c.addServer(emulator.ServerSettings{
			ID: fmt.Sprintf("desk-%d", i+1), Service: "desk", Domain: domains[i%len(domains)], Keyed: true, Slots: slots, QueueLimit: 12,
			MaxConnections: 110, ServiceTime: work, Seed: uint64(i + 1), OnExecution: func(e emulator.Execution) { all.ran(c, e) },
		}); err != nil {
			return nil, err
		}
	}
	if err := c.publish(deskBundle()); err != nil {
		return nil, err
	}
	for _, domain := range domains {
		if err := c.addEntry(domain); err != nil {
			return nil, err
		}
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	var clients sync.WaitGroup
	for i, e := range c.entries {
		for n := range requestsEach {
			// The keys are spread over all servers, and different for each entry instance.
			key := (n*len(c.entries) + i) * (1 << 16) / (requestsEach * len(c.entries))
			clients.Go(func() { all.post(c, e, fmt.Sprintf("order-%d-%d", i+1, n+1), key) })
		}
	}
	if trouble {
		time.Sleep(stopAfter)
		for _, e := range c.entries {
			if err := c.terminate(e); err != nil {
				return nil, err
			}
			time.Sleep(stopGap)
		}
	}
	clients.Wait()
	return all.judge(), nil
}

// deskBundle is a configuration with one service, divided by key, and a route of requests that run at most once.
func deskBundle() *bundler.Bundle {
	return bundler.New(1, []bundler.Service{{
		Name: "desk", HealthPath: "/health", MaxConnections: 110, Keyed: true, KeyWarmup: time.Second,
	}}, []bundler.Route{{
		Name: "order", Host: "desk.example", Prefix: "/order/", Services: []bundler.WeightedService{{Service: "desk", Weight: 1}},
		Timeout: timeLimit, Objective: time.Second, Priority: 1, MaxAttempts: 2,
	}}, bundler.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second})
}

// ran records that a server begins or ends to run a request.
func (r *requests) ran(c *cluster, e emulator.Execution) {
	if !e.End.IsZero() {
		c.record.write(e.End, "%s ends %s", e.Server, e.RequestID)
		return
	}
	c.record.write(e.Start, "%s runs %s, key %d", e.Server, e.RequestID, e.Key)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[e.RequestID].started = e.Start
}

// post sends a request for a key and reads its answer.
func (r *requests) post(c *cluster, e *entry, id string, key int) {
	q := &request{id: id, entry: e, sent: time.Now()}
	r.mu.Lock()
	r.byID[id] = q
	r.mu.Unlock()
	c.record.write(q.sent, "%s sent to %s, key %d", id, e.name, key)
	status, fromServer, err := exchange(c.context, e, id, key)
	r.mu.Lock()
	defer r.mu.Unlock()
	q.done, q.status, q.fromServer, q.err = time.Now(), status, fromServer, err
	c.record.write(q.done, "%s answered with %d, by a server %t, error %v", id, status, fromServer, err)
}

// exchange sends a request and returns the status of the answer, and whether a server has signed it.
func exchange(ctx context.Context, e *entry, id string, key int) (status int, fromServer bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	url := fmt.Sprintf("http://%s:%d/order/%s", e.address, clientPort, id)
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return 0, false, err
	}
	q.Host = "desk.example"
	q.Header.Set(platform.HeaderRequestID, id)
	q.Header.Set(platform.HeaderTimeLeft, fmt.Sprint(timeLimit.Milliseconds()))
	q.Header.Set(platform.HeaderKey, fmt.Sprint(key))
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, false, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Header.Get(platform.HeaderSignature) != "", errors.Join(err, response.Body.Close())
}

// judge applies LOST: a request that a stopping instance took, and that a server was at work on, ended without the server's answer.
func (r *requests) judge() []string {
	var broken []string
	for _, q := range r.byID {
		stopped := q.entry.stopped
		switch {
		case q.fromServer && q.err == nil, q.started.IsZero(), stopped.IsZero():
		case q.done.Before(stopped), q.done.Sub(stopped) > plannedWorkEnd: // not around the planned work
		case q.done.Sub(q.sent) >= timeLimit: // the time limit was reached
		case q.sent.Sub(stopped) <= lateRequest && q.done.Sub(stopped) >= gracePeriod*5/6: // at work in the last sixth of the grace period
		default:
			broken = append(broken, fmt.Sprintf("LOST: %s, sent %.2f s before the SIGTERM of %s and run by a server, ended %.2f s after it with %d, error %v",
				q.id, stopped.Sub(q.sent).Seconds(), q.entry.name, q.done.Sub(stopped).Seconds(), q.status, q.err))
		}
	}
	slices.Sort(broken)
	return broken
}

// terminate stops an entry instance as the platform does.
func (c *cluster) terminate(e *entry) error {
	e.stopped = time.Now()
	c.record.write(e.stopped, "%s gets SIGTERM", e.name)
	if err := e.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	time.AfterFunc(gracePeriod, func() {
		select {
		case <-e.ended:
		default:
			c.record.write(time.Now(), "%s gets SIGKILL", e.name)
			_ = e.command.Process.Kill() // fails if it has just ended
		}
	})
	return nil
}
