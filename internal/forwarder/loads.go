package forwarder

import (
	"maps"
	"time"
)

// AnswerStats is the number of requests that a backend server has answered, and their total service time.
type AnswerStats struct {
	Count            int
	TotalServiceTime time.Duration
}

// Loads is the load that an instance has measured since the last CollectLoads.
type Loads struct {
	Keys    map[string]map[uint16]int // requests by service and key
	Answers map[string]AnswerStats    // by server
}

// loads are the Loads since the last CollectLoads.
type loads struct{ Loads }

func newLoads() loads {
	return loads{Loads{Keys: map[string]map[uint16]int{}, Answers: map[string]AnswerStats{}}}
}

// countKey counts a client's request for a key.
func (f *Forwarder) countKey(service string, key uint16) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loads.Keys[service] == nil {
		f.loads.Keys[service] = map[uint16]int{}
	}
	f.loads.Keys[service][key]++
}

// countAnswer counts an answer of a server. The caller holds mu.
func (l *loads) countAnswer(server string, took time.Duration) {
	stats := l.Answers[server]
	l.Answers[server] = AnswerStats{Count: stats.Count + 1, TotalServiceTime: stats.TotalServiceTime + took}
}

// CollectLoads returns what was measured since the last call.
func (f *Forwarder) CollectLoads() Loads {
	f.mu.Lock()
	defer f.mu.Unlock()
	collected := f.loads.Loads
	f.loads = newLoads()
	return collected
}

// Add adds other to l.
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
	for server, stats := range other.Answers {
		sum := l.Answers[server]
		l.Answers[server] = AnswerStats{
			Count: sum.Count + stats.Count, TotalServiceTime: sum.TotalServiceTime + stats.TotalServiceTime,
		}
	}
}
