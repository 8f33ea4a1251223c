package faulter

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// requestTime is the deadline of the rig's requests.
const requestTime = 2 * time.Second

// rerouteTime is the pause before a request that was certainly not run is tried again.
const rerouteTime = 5 * time.Millisecond

// outcome is what a caller is told.
type outcome int

const (
	outcomeNone outcome = iota
	outcomeAnswered
	outcomeNotRun
	outcomeUnknown
)

// request is one request that may run at most once.
type request struct {
	id        int
	key       string
	partition identifier.PartitionID
	epoch     identifier.Epoch
	term      identifier.Term
	fenced    bool
	began     time.Time
	deadline  time.Time
	told      outcome
	effects   int
}

// StartCallers lets requests arrive until StopCallers.
func (w *World) StartCallers() {
	w.callers = true
	w.nextRequest()
}

// StopCallers ends the arrival of requests.
func (w *World) StopCallers() { w.callers = false }

func (w *World) nextRequest() {
	gap := time.Duration(w.random.ExpFloat64() / w.setup.Rate * float64(time.Second))
	w.after(gap, func() {
		if !w.callers {
			return
		}
		w.arrive()
		w.nextRequest()
	})
}

// arrive gives one request to an instance that runs, as the platform's balancer would.
func (w *World) arrive() {
	running := w.alive()
	key := fmt.Sprintf("key_%d", w.random.Intn(4*w.setup.Partitions))
	r := w.ledger.newRequest(w.now, key)
	if len(running) == 0 {
		w.tell(r, outcomeNotRun)
		return
	}
	i := running[w.random.Intn(len(running))]
	w.after(requestTime+time.Second, func() { w.giveUp(r) })
	i.receive(func() { i.serve(r) })
}

// giveUp ends a request whose instance has died or is paused: the caller's connection is broken.
func (w *World) giveUp(r *request) {
	if r.told == outcomeNone {
		w.tell(r, outcomeUnknown)
	}
}

// serve routes a request at the instance that the caller reached.
func (i *instance) serve(r *request) {
	if i.naive != nil {
		i.naive.serve(r)
		return
	}
	w := i.world
	view := i.table.View()
	service, err := view.GetServiceByName(deskService)
	if err != nil {
		i.tryAgain(r)
		return
	}
	r.partition = view.PartitionOf(service, r.key)
	route, err := view.RouteKey(service, r.key)
	if err != nil {
		i.tryAgain(r)
		return
	}
	if route.Front().Instance() == view.Self() {
		i.send(r, route, func(told outcome, again bool) { i.finish(r, told, again) })
		return
	}
	i.forward(r, w.instanceAt(route.Front().PeerAddress()), route)
}

// forward passes a request to the fronting instance; once it has left, only an answer tells what became of it.
func (i *instance) forward(r *request, front *instance, route router.Route) {
	w := i.world
	if front == nil || front.dead || !w.reaches(i.name, front.name) {
		i.tryAgain(r)
		return
	}
	answered := false
	w.after(w.jitter(hopTime), func() {
		front.receive(func() {
			front.send(r, route, func(told outcome, again bool) {
				w.after(w.jitter(hopTime), func() {
					if w.reaches(front.name, i.name) && !answered {
						answered = true
						i.receive(func() { i.finish(r, told, again) })
					}
				})
			})
		})
	})
}

func (i *instance) finish(r *request, told outcome, again bool) {
	if again {
		i.tryAgain(r)
		return
	}
	i.world.tell(r, told)
}

// tryAgain routes a request anew that was certainly not run, or says so to the caller when no time is left.
func (i *instance) tryAgain(r *request) {
	w := i.world
	if !w.now.Add(rerouteTime).Before(r.deadline) {
		w.tell(r, outcomeNotRun)
		return
	}
	w.after(rerouteTime, func() { i.receive(func() { i.serve(r) }) })
}

// send is the fronting instance's part: through the gate to the server and back.
func (i *instance) send(r *request, route router.Route, done func(told outcome, again bool)) {
	w := i.world
	gate := i.table.Gate(route.Server().Name())
	term, err := gate.Enter(route.Partition(), route.Epoch(), i.clock())
	if err != nil {
		done(outcomeNotRun, true)
		return
	}
	r.partition = route.Partition()
	r.epoch = route.Epoch()
	r.term = term
	r.fenced = true
	w.checkSenders(i, route.Server().Name(), r)
	s := w.servers[route.Server().Name()]
	aborted := gate.Aborted()
	ended := false
	end := func(told outcome, again bool) {
		if ended {
			return
		}
		ended = true
		gate.Leave(route.Partition())
		done(told, again)
	}
	i.watchAbort(aborted, r.deadline, func() { end(outcomeUnknown, false) })
	w.strike(i, StepWrite, s.name)
	w.after(0, func() { i.receive(func() { i.write(r, s, end) }) })
}

// write sends a request that has passed the gate; an instance can be paused in between.
func (i *instance) write(r *request, s *fakeServer, end func(told outcome, again bool)) {
	w := i.world
	w.after(w.jitter(hopTime), func() {
		if !w.reaches(i.name, string(s.name)) {
			return
		}
		w.noteWork(s, r)
		s.receive(func() {
			s.execute(r, func(executed bool) {
				w.after(w.jitter(hopTime), func() {
					if !w.reaches(string(s.name), i.name) {
						return
					}
					i.receive(func() {
						if executed {
							end(outcomeAnswered, false)
						} else {
							end(outcomeNotRun, true)
						}
					})
				})
			})
		})
	})
}

// watchAbort ends a request when its server is given up or its deadline has passed.
func (i *instance) watchAbort(aborted <-chan struct{}, deadline time.Time, end func()) {
	w := i.world
	if !w.now.Before(deadline) {
		i.receive(end)
		return
	}
	w.after(tickTime, func() {
		select {
		case <-aborted:
			i.receive(end)
		default:
			i.watchAbort(aborted, deadline, end)
		}
	})
}
