package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// endsToBreak and machinesToBreak are the bounds of the rule Fault: on a tenth of the machines, but two at least, processes end
	// by themselves three times.
	endsToBreak, machinesToBreak = 3, 2
	// maxLost is how often the rule LOST allows that a passed-on request of a kept connection ends without an answer.
	maxLost = 3
)

// unreadableKey plays another writer whose entry among the servers' registrations has a key that is no text. The platform
// starts a process again that has ended by itself.
func unreadableKey(c *cluster, trouble bool) ([]string, error) {
	const (
		entries, desks  = 3, 4
		rate            = 40
		calm, disturbed = 4 * time.Second, 70 * time.Second
		writeInterval   = 1500 * time.Millisecond
		work            = 200 * time.Millisecond
	)
	err := c.newDeskCluster(entries, desks, func(_ int, s *serverSettings) {
		s.slots = 4
		s.work = func() time.Duration { return work }
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ends := c.superviseEntries(ctx)
	start := time.Now()
	if trouble {
		go c.writeUnreadable(ctx, start.Add(calm), writeInterval)
	}
	l := &load{record: c.record, kept: newKeptConnections()}
	l.run(start.Add(calm+disturbed), rate, func(n int) request {
		return order(c.entries[n%entries], "/sign-off/a", fmt.Sprintf("order-%d", n), n)
	})
	cancel()
	if err := l.checkServed(); err != nil {
		return nil, err
	}
	return append(c.checkEnds(ends.counts()), c.checkLost(l.answers)...), nil
}

// checkEnds checks the rule Fault.
func (c *cluster) checkEnds(ends map[string]int) []string {
	machines := 0
	for name, count := range ends {
		c.record.line("processes of %s have ended by themselves %d times", name, count)
		if count >= endsToBreak {
			machines++
		}
	}
	if machines < machinesToBreak {
		return nil
	}
	return []string{fmt.Sprintf("Fault: on %d of %d machines processes have ended by themselves %d times or more: %v",
		machines, len(c.entries), endsToBreak, ends)}
}

// checkLost checks the rule LOST for requests of kept connections.
func (c *cluster) checkLost(answers []answer) []string {
	var lost []string
	for _, a := range answers {
		if a.closed && a.reused && c.ledger.countRun([]string{a.id}) > 0 {
			lost = append(lost, a.id)
		}
	}
	c.record.line("%d requests of kept connections were passed on and have ended without an answer", len(lost))
	if len(lost) <= maxLost {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d requests of kept connections were passed on to a sound server, and their connections closed without an answer: %v",
		len(lost), lost)}
}

// writeUnreadable writes the entry again and again, as a server does with its own.
func (c *cluster) writeUnreadable(ctx context.Context, from time.Time, interval time.Duration) {
	time.Sleep(time.Until(from))
	const slots = 8
	entry := foreignEntry(deskService, "127.0.0.1:1")
	entry["info"].(map[string]any)["max_concurrency"] = slots
	for sequence := 1; ctx.Err() == nil; sequence++ {
		entry["status"].(map[string]any)["sequence"] = sequence
		if err := c.writeForeign(ctx, "i-\xff\xfe\x01", entry); err != nil {
			return
		}
		c.record.line("another writer writes an entry whose key is no text")
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}
