package faulter

import (
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/detector"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// plainLoad is the load of a partition without the hot key, in slots.
const plainLoad = 0.1

// Heat makes one key take load slots, and every partition its plain load; "" is none.
func (w *World) Heat(key string, load float64) {
	w.hotKey = key
	w.hotLoad = load
}

// hot is what an instance's traffic shows of hot keys: only the front of the key's server sees it.
func (i *instance) hot(time.Time) []detector.HotKey {
	w := i.world
	if w.hotKey == "" || i.hotOwner() == "" {
		return nil
	}
	return []detector.HotKey{{Service: deskService, Key: w.hotKey, Share: w.hotLoad / 3, Rate: w.hotLoad}}
}

// hotOwner returns the server of the hot key where this instance fronts it.
func (i *instance) hotOwner() identifier.ServerName {
	view := i.table.View()
	service, err := view.GetServiceByName(deskService)
	if err != nil {
		return ""
	}
	route, err := view.RouteKey(service, i.world.hotKey)
	if err != nil || route.Front().Instance() != view.Self() {
		return ""
	}
	return route.Server().Name()
}

// load is what an instance measures of a server that it fronts.
func (i *instance) load(_ time.Time, server identifier.ServerName) controller.ServerReport {
	report := controller.ServerReport{Server: server}
	w := i.world
	if w.hotKey == "" {
		return report
	}
	view := i.table.View()
	service, err := view.GetServiceByName(deskService)
	if err != nil {
		return report
	}
	hot := view.PartitionOf(service, w.hotKey)
	for _, partition := range view.PartitionsOf(server) {
		load := plainLoad
		if int(partition.Index) >= service.Partitions() {
			load = 0
		}
		if partition == hot {
			load += w.hotLoad
		}
		report.Partitions = append(report.Partitions, controller.PartitionLoad{Partition: partition, Load: load})
	}
	return report
}

// Imbalance returns the greatest load of a server in service over the mean.
func (w *World) Imbalance() float64 {
	loads := map[identifier.ServerName]float64{}
	service, _ := w.fold().GetServiceByName(deskService)
	hot := w.hotPartition()
	for i, partition := range service.Partitions {
		load := plainLoad
		if i >= service.Base {
			load = 0
		}
		if identifier.PartitionIndex(i) == hot {
			load += w.hotLoad
		}
		loads[partition.Owner] += load
	}
	greatest, sum, servers := 0.0, 0.0, 0
	for _, name := range w.names {
		if !w.servers[name].dead {
			greatest = max(greatest, loads[name])
			sum += loads[name]
			servers++
		}
	}
	return greatest / (sum / float64(servers))
}

// hotPartition returns the partition of the hot key by the log.
func (w *World) hotPartition() identifier.PartitionIndex {
	service, _ := w.fold().GetServiceByName(deskService)
	for _, pin := range service.Pins {
		if pin.Key == w.hotKey {
			return pin.Index
		}
	}
	return hasher.Partition(w.hotKey, service.Base)
}
