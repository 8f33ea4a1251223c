package forwarder

import (
	"maps"
	"time"
)

// AnswerStats is the number of requests that a backend server has answered or not answered in time, their total service time, at
// least, and its pause.
type AnswerStats struct {
	Count            int
	TotalServiceTime time.Duration
	PausedFor        time.Duration // how much longer the server wants no requests from the instance
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

// countServiceTime counts the service time of a request of a class with a usual work, relative to that of the server's classes.
// The time counts relative to it, so that a server which gets more of the long requests doesn't look slower than it is. The caller
// holds mu.
func (l *loads) countServiceTime(server string, took time.Duration, work float64) {
	stats := l.Answers[server]
	stats.Count, stats.TotalServiceTime = stats.Count+1, stats.TotalServiceTime+time.Duration(float64(took)/work)
	l.Answers[server] = stats
}

// CollectLoads returns what was measured since the last call, and the pauses of servers.
func (f *Forwarder) CollectLoads(now time.Time) Loads {
	f.mu.Lock()
	defer f.mu.Unlock()
	collected := f.loads.Loads
	for server, p := range f.pauses {
		if left := p.until.Sub(now); left > 0 {
			stats := collected.Answers[server]
			stats.PausedFor = left
			collected.Answers[server] = stats
		} else {
			delete(f.pauses, server)
		}
	}
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
			PausedFor: stats.PausedFor, // the later measurement replaces the earlier one
		}
	}
}
