package faulter

import (
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Unserved counts the partitions for which no instance could send a request to a server that would take it now.
func (w *World) Unserved() int {
	if _, ok := w.fold().GetServiceByName(deskService); !ok {
		return w.setup.Partitions
	}
	unserved := 0
	for _, served := range w.served() {
		if !served {
			unserved++
		}
	}
	return unserved
}

// served reports for each partition whether its owner would execute a request that its fronting instance may send now.
func (w *World) served() []bool {
	service, _ := w.fold().GetServiceByName(deskService)
	fronts := map[identifier.ServerName]*instance{}
	for _, name := range w.names {
		fronts[name] = w.openFront(name)
	}
	served := make([]bool, w.setup.Partitions)
	for i := range served {
		partition := service.Partitions[i]
		front := fronts[partition.Owner]
		if front == nil {
			continue
		}
		id := identifier.PartitionID{Service: deskService, Index: identifier.PartitionIndex(i)}
		s := w.servers[partition.Owner]
		allowed := front.table.Gate(s.name).Allows(id, partition.Epoch, front.clock())
		served[i] = allowed && (!s.checks || s.holdsNow(id))
	}
	return served
}

// openFront returns the instance that can send to the server now, or nil.
func (w *World) openFront(name identifier.ServerName) *instance {
	s := w.servers[name]
	if s.dead || s.halted {
		return nil
	}
	front := w.frontOf(name)
	if front == nil || front.dead || front.halted || !w.reaches(front.name, string(name)) {
		return nil
	}
	return front
}

// frontOf returns the instance that the log makes the front of a server, or nil.
func (w *World) frontOf(server identifier.ServerName) *instance {
	known, _ := w.fold().GetServerByName(server)
	for _, i := range w.instances {
		if i.control.ID() == known.Front.Holder {
			return i
		}
	}
	return nil
}

// Gap is what a watch of the partitions found.
type Gap struct {
	// Longest is the longest time for which any partition went unserved.
	Longest time.Duration
	// Mean is the unserved time of all partitions together, divided by their number.
	Mean time.Duration
	// Open counts the partitions that were unserved at the end.
	Open int
}

// Watch lets d pass and samples every step which partitions are served.
func (w *World) Watch(d, step time.Duration) Gap {
	lengths := make([]time.Duration, w.setup.Partitions)
	var gap Gap
	var sum time.Duration
	for passed := time.Duration(0); passed < d; passed += step {
		w.Run(step)
		gap.Open = 0
		for i, served := range w.served() {
			if served {
				lengths[i] = 0
				continue
			}
			lengths[i] += step
			sum += step
			gap.Open++
			gap.Longest = max(gap.Longest, lengths[i])
		}
	}
	gap.Mean = sum / time.Duration(w.setup.Partitions)
	return gap
}

// Settle lets time pass until every partition is served and the roster has been steady for a while.
func (w *World) Settle() {
	w.Run(4 * time.Second)
	for range 100 {
		if w.Unserved() == 0 {
			return
		}
		w.Run(100 * time.Millisecond)
	}
}

// Appends returns how many records the log holds.
func (w *World) Appends() int { return w.log.appends }

// InForce reports whether every running instance has the bundle in force that the log gives.
func (w *World) InForce() bool {
	want := w.bundleInForce()
	for _, i := range w.alive() {
		if !sameBundle(i.control.State().Bundle(), want) {
			return false
		}
	}
	return true
}

// owners returns the owner of each partition by the log.
func (w *World) owners() []identifier.ServerName {
	service, _ := w.fold().GetServiceByName(deskService)
	names := make([]identifier.ServerName, len(service.Partitions))
	for i, partition := range service.Partitions {
		names[i] = partition.Owner
	}
	return names
}
