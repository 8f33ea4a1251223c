package faulter

import (
	"bytes"
	"time"

	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Script lets every path of the system happen once while requests arrive: a server is lost, an instance joins, one
// stops, a server leaves, an instance is lost, operators compete. Then the world rests, and what must hold is checked.
func (w *World) Script() {
	w.Run(2500 * time.Millisecond)
	w.StartCallers()
	w.Run(500 * time.Millisecond)
	w.KillServer(w.names[1])
	w.Run(3 * time.Second)
	w.Join()
	w.Run(3 * time.Second)
	w.Stop(0)
	w.Run(3 * time.Second)
	w.Leave(w.names[2])
	w.Run(4 * time.Second)
	w.Kill(1)
	w.Run(4 * time.Second)
	w.Compete()
	w.Run(3 * time.Second)
	w.StopCallers()
	if w.setup.Naive {
		w.Run(requestTime + time.Second)
		return
	}
	w.Run(restTime)
	w.probeAll()
	w.checkEnd()
}

// restTime is how long the world rests at the end, so that the last fault is over and repaired.
const restTime = 15 * time.Second

// Kill stops an instance for good, without a word.
func (w *World) Kill(i int) { w.instances[i].dead = true }

// Stop asks an instance to hand over and leave.
func (w *World) Stop(i int) {
	at := w.instances[i]
	if at.dead {
		return
	}
	if at.naive != nil {
		at.leave()
		return
	}
	at.receive(func() { at.stop() })
}

// Join starts one more instance.
func (w *World) Join() { w.startInstance() }

// KillServer stops a server for good.
func (w *World) KillServer(name identifier.ServerName) { w.servers[name].dead = true }

// Leave publishes the next bundle, in which a server is leaving.
func (w *World) Leave(name identifier.ServerName) {
	next := w.firstBundle()
	next.parent = w.bundleInForce()
	next.leaving = name
	w.publish(next)
	w.leaving = name
	w.ledger.leftAt[name] = w.now
}

// Compete publishes two successors of the bundle in force, and replays the first bundle and an unsigned one.
func (w *World) Compete() {
	parent := w.bundleInForce()
	for range 2 {
		next := w.firstBundle()
		next.parent = parent
		next.leaving = w.leaving
		next.partitions = w.setup.Partitions
		w.publish(next)
	}
	w.publish(w.firstBundle())
}

// probeAll sends one request for each of many keys, so that every partition must serve again.
func (w *World) probeAll() {
	first := len(w.ledger.requests)
	for range 4 * w.setup.Partitions {
		w.arrive()
	}
	w.Run(requestTime + 2*time.Second)
	for _, r := range w.ledger.requests[first:] {
		if r.told != outcomeAnswered {
			w.ledger.unserved++
		}
	}
}

// checkEnd checks what must hold when the world has come to rest.
func (w *World) checkEnd() {
	entries := w.log.from(identifier.Offset(w.log.first))
	fresh, err := reducer.Load(w.operators.genesis(), entries)
	if err != nil {
		w.broken(PromiseDurable, "the log does not give the state back: "+err.Error())
		return
	}
	want, _ := fresh.Marshal()
	for _, i := range w.alive() {
		got, _ := i.control.State().Marshal()
		if i.control.State().Next() == fresh.Next() && !bytes.Equal(got, want) {
			w.broken(PromiseDurable, i.name+" folds the log to another state")
		}
		if !sameBundle(i.control.State().Bundle(), fresh.Bundle()) {
			w.broken(PromiseBundle, i.name+" has another bundle in force at the end")
		}
	}
}

func sameBundle(a, b *bundler.Bundle) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Digest() == b.Digest()
}
