package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

const (
	cuts        = 8
	cutDuration = 5500 * time.Millisecond
	cutInterval = 10 * time.Second
	keyedShare  = 6 // servers, one of which is cut off at a time: a share of 0.17
)

// cutOfServers cuts a server off from all entry instances, several times: each time the one with the most keys.
func cutOfServers(c *cluster, trouble bool) ([]string, error) {
	h := &holdings{}
	domains := []string{"zone-a", "zone-b", "zone-c"}
	for i := range keyedShare {
		if err := c.addServer(emulator.ServerSettings{
			ID: fmt.Sprintf("desk-%d", i+1), Service: "desk", Domain: domains[i%len(domains)], Keyed: true, Slots: 3, QueueLimit: 12,
			MaxConnections: 110, ServiceTime: 90 * time.Millisecond, Jitter: 0.3, Seed: uint64(i + 1),
		}, h); err != nil {
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
	time.Sleep(8 * time.Second)
	stop := c.startClients()
	defer stop()
	for range cuts {
		time.Sleep(cutInterval - cutDuration)
		busiest := h.busiest()
		s := c.servers[slices.IndexFunc(c.servers, func(s *server) bool { return s.id == busiest })]
		if trouble {
			c.record.write(time.Now(), "%s is cut off", s.id)
			if err := s.link.setCut(true); err != nil {
				return nil, err
			}
		}
		time.Sleep(cutDuration)
		if trouble {
			c.record.write(time.Now(), "%s is reachable again", s.id)
			if err := s.link.setCut(false); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(cutInterval - cutDuration)
	return h.result(), nil
}

// deskBundle is a configuration with one service, divided by key.
func deskBundle() *bundler.Bundle {
	return bundler.New(1, []bundler.Service{{
		Name: "desk", HealthPath: "/health", MaxConnections: 110, Keyed: true, KeyWarmup: time.Second,
	}}, []bundler.Route{{
		Name: "get", Host: "desk.example", Prefix: "/get/", Services: []bundler.WeightedService{{Service: "desk", Weight: 1}}, Idempotent: true,
		Timeout: 2 * time.Second, Objective: 300 * time.Millisecond, Priority: 2, MaxAttempts: 2,
	}}, bundler.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second})
}

// startClients sends some requests a second to each entry instance until stop is called.
func (c *cluster) startClients() (stop func()) {
	client := &http.Client{Timeout: 3 * time.Second}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, e := range c.entries {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				clients.Go(func() { c.get(client, e, fmt.Sprintf("%s-%d", e.name, n), (n*7919+len(e.name))%65536) })
			}
		})
	}
	return func() {
		close(done)
		clients.Wait()
	}
}

// get sends a request for a key.
func (c *cluster) get(client *http.Client, e *entry, id string, key int) {
	request, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/get/%s", e.address, clientPort, id), nil)
	if err != nil {
		c.record.write(time.Now(), "%s can't be sent: %v", id, err)
		return
	}
	request.Host = "desk.example"
	request.Header.Set(platform.HeaderRequestID, strings.ReplaceAll(id, "entry-", "r"))
	request.Header.Set(platform.HeaderTimeLeft, "2000")
	request.Header.Set(platform.HeaderKey, fmt.Sprint(key))
	c.record.write(time.Now(), "%s sent to %s, key %d", request.Header.Get(platform.HeaderRequestID), e.name, key)
	response, err := client.Do(request)
	if err != nil {
		c.record.write(time.Now(), "%s failed: %v", request.Header.Get(platform.HeaderRequestID), err)
		return
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	c.record.write(time.Now(), "%s answered with %d, error %v", request.Header.Get(platform.HeaderRequestID), response.StatusCode, err)
}
