package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/wasabibank/wasabibank/platform"
)

// writeForeign writes a record of another writer into the topic of the servers' registrations. Its service is none of the
// configuration.
func (c *cluster) writeForeign(ctx context.Context, key string, entry map[string]any) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	_, err = platform.NewStore(c.address).Append(ctx, platform.TopicServers, key, value, platform.AnyOffset)
	return err
}

// foreignEntry is an entry of another writer, for a service that no configuration names, with a server's address.
func foreignEntry(service, address string) map[string]any {
	return map[string]any{
		"address": address, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": service, "zone": zones[0], "version": "v1", "max_concurrency": 1},
		"status": map[string]any{"state": "ready", "sequence": 1, "warmup_remaining_ms": 0},
	}
}

// foreignEntryAtAddress plays a server that is partitioned from the store while requests and orders still reach it. Another
// writer's entry, for a service that isn't named, has the server's address.
func foreignEntryAtAddress(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, desks, rate = 3, 5, 30
		calm, cut, after     = 5 * time.Second, 10 * time.Second, 3 * time.Second
		work                 = 150 * time.Millisecond
	)
	for n := range desks {
		if _, err := c.startServer(serverSettings{
			id: fmt.Sprintf("i-desk-%d", n+1), service: deskService, zone: zones[n%len(zones)], slots: 2, queue: 8,
			work: func() time.Duration { return work },
		}); err != nil {
			return nil, err
		}
	}
	if err := c.publish([]string{deskService}, []route{{prefix: "/sign-off/", kind: "unsafe", service: deskService}}); err != nil {
		return nil, err
	}
	for range entries {
		if err := c.addEntry(); err != nil {
			return nil, err
		}
	}
	if err := c.awaitServing("/sign-off/probe"); err != nil {
		return nil, err
	}
	cutServer := c.servers[0]
	if os.Getenv("FOREIGN") != "0" { // for comparison
		entry := foreignEntry("metrics-agent", cutServer.listener.Addr().String())
		if err := c.writeForeign(context.Background(), "agent-1", entry); err != nil {
			return nil, err
		}
		c.record.line("another writer's entry agent-1 has the address of server %s", cutServer.id)
	}
	l := &load{record: c.record}
	start := time.Now()
	if trouble {
		time.AfterFunc(calm, func() { cutServer.cutFromStore(true) })
		time.AfterFunc(calm+cut, func() { cutServer.cutFromStore(false) })
	}
	l.run(start.Add(calm+cut+after), rate, func(n int) request {
		return request{
			entry: c.entries[n%entries], method: http.MethodPost, path: "/sign-off/a", id: fmt.Sprintf("order-%d", n),
			key: n * 7919 % keyCount, body: []byte("{}"), timeout: 4 * time.Second,
		}
	})
	if err := l.checkServed(); err != nil {
		return nil, err
	}
	return c.ledger.ownerViolations(), nil
}
