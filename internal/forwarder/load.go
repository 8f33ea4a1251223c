package forwarder

import (
	"slices"
	"strings"
	"time"

	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// PartitionRequests counts the requests for one partition that came to this instance as the fronting one.
type PartitionRequests struct {
	Partition identifier.PartitionID
	Requests  uint64 // since the start of the instance
}

// ServerLoad is the load of one backend server, as this instance has sent to it.
type ServerLoad struct {
	Server            identifier.ServerName
	Slots             int // usable at present
	Running           int
	Waiting           int
	ExpectedWait      time.Duration // of a new request
	Counts            limiter.Counts
	OpenConnections   int
	PartitionRequests []PartitionRequests // by service, then index
}

// Loads returns the load of each server that this instance has sent to, by name.
func (f *Forwarder) Loads(now time.Time) []ServerLoad {
	var loads []ServerLoad
	f.backends.Range(func(_, b any) bool {
		loads = append(loads, b.(*backend).load(now))
		return true
	})
	slices.SortFunc(loads, func(a, b ServerLoad) int {
		return strings.Compare(string(a.Server), string(b.Server))
	})
	return loads
}

func (b *backend) load(now time.Time) ServerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return ServerLoad{
		Server:            b.name,
		Slots:             b.queue.Slots(now),
		Running:           b.queue.Running(),
		Waiting:           b.queue.Waiting(),
		ExpectedWait:      b.queue.ExpectedWait(now),
		Counts:            b.queue.Counts(),
		OpenConnections:   b.pool.Open(),
		PartitionRequests: b.partitionRequests(),
	}
}

func (b *backend) partitionRequests() []PartitionRequests {
	counted := make([]PartitionRequests, 0, len(b.requests))
	for partition, requests := range b.requests {
		counted = append(counted, PartitionRequests{Partition: partition, Requests: requests})
	}
	slices.SortFunc(counted, func(x, y PartitionRequests) int {
		if c := strings.Compare(string(x.Partition.Service), string(y.Partition.Service)); c != 0 {
			return c
		}
		return int(x.Partition.Index - y.Partition.Index)
	})
	return counted
}

// Restarted begins the cold start of a server that was seen to come back.
func (f *Forwarder) Restarted(server identifier.ServerName, now time.Time) {
	if b, ok := f.backends.Load(server); ok {
		b.(*backend).restart(now)
	}
}

// Repeats returns how many at-most-once requests are remembered, and how many were forgotten before their age.
func (f *Forwarder) Repeats() (remembered int, evicted uint64) {
	f.repeatsMu.Lock()
	defer f.repeatsMu.Unlock()
	return f.repeats.Len(), f.repeats.Evicted()
}
