package main

import (
	"context"
	"sync"
	"time"
)

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 1500 * time.Millisecond

// endCounts counts the processes that have ended by themselves, by instance.
type endCounts struct {
	mu   sync.Mutex
	ends map[string]int
}

func (e *endCounts) add(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ends[name]++
}

// counts returns the number of ends by instance.
func (e *endCounts) counts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := map[string]int{}
	for name, count := range e.ends {
		counts[name] = count
	}
	return counts
}

// superviseEntries starts the processes of instances again that end by themselves, until ctx ends, and counts their ends.
func (c *cluster) superviseEntries(ctx context.Context) *endCounts {
	ends := &endCounts{ends: map[string]int{}}
	for _, e := range c.entries {
		go func() {
			for {
				_, exited := e.current()
				select {
				case <-ctx.Done():
					return
				case <-exited:
				}
				ends.add(e.name)
				c.record.line("the process of %s has ended by itself", e.name)
				select {
				case <-ctx.Done():
					return
				case <-time.After(restartDelay):
				}
				if err := c.startEntry(e, false); err != nil {
					c.record.line("restart of %s failed: %v", e.name, err)
					return
				}
			}
		}()
	}
	return ends
}
