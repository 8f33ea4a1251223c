package runner

import (
	"sort"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// sampleEvery is the time between two samples of the load.
	sampleEvery = time.Second
	// sampleWeight is the weight of the newest sample in the moving average.
	sampleWeight = 0.2
	// negligibleLoad is the load, in slots, below which a partition is forgotten.
	negligibleLoad = 1e-4
)

// loadMeter measures how many slots each partition keeps busy.
type loadMeter struct {
	mu      sync.Mutex
	busy    map[identifier.PartitionID]time.Duration
	average map[identifier.PartitionID]float64
	sampled time.Time
	queues  map[identifier.ServerName]forwarder.ServerLoad
}

func newLoadMeter() *loadMeter {
	return &loadMeter{
		busy:    map[identifier.PartitionID]time.Duration{},
		average: map[identifier.PartitionID]float64{},
		queues:  map[identifier.ServerName]forwarder.ServerLoad{},
	}
}

// answered adds the time that a request took on its server.
func (m *loadMeter) answered(partition identifier.PartitionID, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy[partition] += took
}

// sample takes what was added since the last sample into the average when it is time.
func (m *loadMeter) sample(now time.Time, loads func(now time.Time) []forwarder.ServerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	passed := now.Sub(m.sampled)
	if passed < sampleEvery {
		return
	}
	m.sampled = now
	for partition := range m.busy {
		if _, ok := m.average[partition]; !ok {
			m.average[partition] = 0
		}
	}
	for partition, average := range m.average {
		slots := m.busy[partition].Seconds() / passed.Seconds()
		average += sampleWeight * (slots - average)
		if average < negligibleLoad {
			delete(m.average, partition)
			continue
		}
		m.average[partition] = average
	}
	clear(m.busy)
	for _, load := range loads(now) {
		m.queues[load.Server] = load
	}
}

// report returns the load of a server, which owns the partitions that owned accepts.
func (m *loadMeter) report(server identifier.ServerName, owned func(identifier.PartitionID) bool) controller.ServerReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	queue := m.queues[server]
	report := controller.ServerReport{
		Server:       server,
		Slots:        queue.Slots,
		Running:      queue.Running,
		Waiting:      queue.Waiting,
		ExpectedWait: queue.ExpectedWait,
	}
	for partition, load := range m.average {
		if owned(partition) {
			report.Partitions = append(report.Partitions, controller.PartitionLoad{Partition: partition, Load: load})
		}
	}
	sort.Slice(report.Partitions, func(i, j int) bool {
		a, b := report.Partitions[i].Partition, report.Partitions[j].Partition
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		return a.Index < b.Index
	})
	return report
}

// totals returns the requests that run on, and wait for, the servers that this instance sends to, as last sampled.
func (m *loadMeter) totals() (running, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, queue := range m.queues {
		running += queue.Running
		waiting += queue.Waiting
	}
	return running, waiting
}
