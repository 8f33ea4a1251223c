package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/wasabibank/wasabibank/platform"
)

// writeForeign writes a record of another writer into the topic of the servers' registrations.
func (c *cluster) writeForeign(ctx context.Context, key string, entry map[string]any) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	_, err = platform.NewStore(c.address).Append(ctx, platform.TopicServers, key, value, platform.AnyOffset)
	return err
}

// foreignEntry returns an entry of another writer, which has the form of a server's registration.
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
	err := c.newDeskCluster(entries, desks, func(_ int, s *serverSettings) {
		s.work = func() time.Duration { return work }
	})
	if err != nil {
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
		return order(c.entries[n%entries], "/sign-off/a", fmt.Sprintf("order-%d", n), n)
	})
	if err := l.checkServed(); err != nil {
		return nil, err
	}
	return c.ledger.ownerViolations(), nil
}
