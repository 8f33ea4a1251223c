package runner

import (
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

const (
	// sampleEvery is the time between two looks at the queues.
	sampleEvery = time.Second
	// negligibleLoad is the load, in slots, that is not worth a report.
	negligibleLoad = 1e-4
)

// loadMeter measures the load of the servers that this instance fronts: their queues, the slots that each partition
// keeps busy, and the hot keys.
type loadMeter struct {
	loads *detector.Loads
	hot   *detector.Detector

	mu      sync.Mutex
	sampled time.Time
	queues  map[identifier.ServerName]forwarder.ServerLoad
	bundle  *bundler.Bundle
}

func newLoadMeter() *loadMeter {
	return &loadMeter{
		loads:  detector.NewLoads(0),
		hot:    detector.New(detector.Options{}),
		queues: map[identifier.ServerName]forwarder.ServerLoad{},
	}
}

// answered adds one request with the time that it took on its server.
func (m *loadMeter) answered(now time.Time, partition identifier.PartitionID, key string, took time.Duration) {
	m.loads.Observe(partition, took.Seconds(), now)
	m.hot.Observe(partition.Service, key, took.Seconds(), now)
}

// sample looks at the queues when it is time.
func (m *loadMeter) sample(now time.Time, loads func(now time.Time) []forwarder.ServerLoad) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.sampled) < sampleEvery {
		return
	}
	m.sampled = now
	for _, load := range loads(now) {
		m.queues[load.Server] = load
	}
}

// report returns the load of a server by the ownership in view.
func (m *loadMeter) report(now time.Time, server identifier.ServerName, view *router.View) controller.ServerReport {
	m.mu.Lock()
	queue := m.queues[server]
	m.mu.Unlock()
	report := controller.ServerReport{
		Server:       server,
		Slots:        queue.Slots,
		Running:      queue.Running,
		Waiting:      queue.Waiting,
		ExpectedWait: queue.ExpectedWait,
	}
	for _, partition := range view.PartitionsOf(server) {
		if load := m.loads.Load(partition, now); load >= negligibleLoad {
			report.Partitions = append(report.Partitions, controller.PartitionLoad{Partition: partition, Load: load})
		}
	}
	return report
}

// hotKeys returns the keys that take a large share of a server, by the bundle in force.
func (m *loadMeter) hotKeys(now time.Time, bundle *bundler.Bundle) []detector.HotKey {
	if bundle == nil {
		return nil
	}
	if bundle != m.bundle {
		m.bundle = bundle
		m.setCapacities(bundle)
	}
	return m.hot.Hot(now)
}

// setCapacities tells the detector what one server of each service can take.
func (m *loadMeter) setCapacities(bundle *bundler.Bundle) {
	for _, service := range bundle.Services() {
		slots := 0
		for _, server := range service.Servers() {
			slots += server.Slots()
		}
		m.hot.SetCapacity(service.Name(), float64(slots)/float64(len(service.Servers())))
	}
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
