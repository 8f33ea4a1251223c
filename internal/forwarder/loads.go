package forwarder

import (
	"maps"
	"time"
)

// Answers sums up the requests that a backend server has answered.
type Answers struct {
	Count int
	Work  time.Duration
}

// Loads is what an instance has measured since the last time.
type Loads struct {
	Keys    map[string]map[uint16]int // requests by service and key
	Answers map[string]Answers        // by server
}

// loads collects Loads.
type loads struct{ Loads }

func newLoads() loads {
	return loads{Loads{Keys: map[string]map[uint16]int{}, Answers: map[string]Answers{}}}
}

// countKey counts a client's request for a key.
func (c *Carrier) countKey(service string, key uint16) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads.Keys[service] == nil {
		c.loads.Keys[service] = map[uint16]int{}
	}
	c.loads.Keys[service][key]++
}

// countAnswer counts an answer of a server. The caller holds mu.
func (l *loads) countAnswer(server string, took time.Duration) {
	a := l.Answers[server]
	l.Answers[server] = Answers{Count: a.Count + 1, Work: a.Work + took}
}

// TakeLoads returns what was measured since the last call.
func (c *Carrier) TakeLoads() Loads {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.loads.Loads
	c.loads = newLoads()
	return taken
}

// Add adds other to l, after other could not be reported.
func (l Loads) Add(other Loads) {
	for service, keys := range other.Keys {
		if l.Keys[service] == nil {
			l.Keys[service] = maps.Clone(keys)
			continue
		}
		for key, count := range keys {
			l.Keys[service][key] += count
		}
	}
	for server, a := range other.Answers {
		sum := l.Answers[server]
		l.Answers[server] = Answers{Count: sum.Count + a.Count, Work: sum.Work + a.Work}
	}
}
