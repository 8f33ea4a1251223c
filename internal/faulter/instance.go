package faulter

import (
	"fmt"
	"time"

	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/router"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// instance is one entry of the rig: the real control decider with a shell that is only the agenda.
type instance struct {
	mailbox
	world   *World
	number  int
	name    string
	address string
	table   *router.Table
	control *controller.Controller
	naive   *naiveInstance
	left    bool
	leaving bool
	// skew is by how much its clock runs fast.
	skew    float64
	born    time.Time
	ahead   time.Duration
	notes   []controller.Note
	delayed time.Duration
	lose    int
	repeat  int
}

// startInstance starts one more instance.
func (w *World) startInstance() *instance {
	n := len(w.instances) + 1
	i := &instance{
		mailbox: mailbox{schedule: &w.clock},
		world:   w,
		number:  n - 1,
		name:    fmt.Sprintf("entry_%d", n),
		address: fmt.Sprintf("10.0.1.%d:7000", n),
		table:   &router.Table{},
		born:    w.now,
	}
	w.instances = append(w.instances, i)
	if w.setup.Naive {
		i.naive = newNaiveInstance(i)
		return i
	}
	i.control = controller.New(controller.Options{
		Run:         identifier.InstanceID(fmt.Sprintf("%s-%d", i.name, n)),
		Name:        i.name,
		Domain:      identifier.DomainName(rune('a' + (n-1)%4)),
		PeerAddress: i.address,
		Genesis:     w.operators.genesis(),
		Policy:      w.setup.Policy,
		Table:       i.table,
		Load:        i.load,
		Hot:         i.hot,
	})
	i.perform(i.control.Start(i.clock()))
	i.tickLater()
	return i
}

// clock returns the instance's own reading of the time.
func (i *instance) clock() time.Time {
	lived := i.world.now.Sub(i.born)
	return i.world.now.Add(i.ahead + time.Duration(float64(lived)*i.skew))
}

func (i *instance) tickLater() {
	i.world.after(tickTime, func() {
		if i.dead {
			return
		}
		i.receive(func() { i.step(controller.Tick{}) })
		i.tickLater()
	})
}

// step feeds one event to the decider and does what it asks for.
func (i *instance) step(event controller.Event) {
	if i.dead {
		return
	}
	i.perform(i.control.Step(i.clock(), event))
}

func (i *instance) perform(actions []controller.Action) {
	for _, action := range actions {
		i.world.watch(i, action)
		if i.dead {
			return
		}
		switch a := action.(type) {
		case controller.ReadLog:
			i.world.after(a.After, func() { i.receive(func() { i.readLog(a) }) })
		case controller.AppendLog:
			i.appendLog(a)
		case controller.ExchangePeer:
			i.exchange(a)
		case controller.SendGrant:
			i.sendGrant(a)
		case controller.SendRevoke:
			i.sendRevoke(a)
		case controller.Note:
			i.notes = append(i.notes, a)
		case controller.Stopped:
			i.leave()
		}
	}
}

// stop begins a planned stop: the platform's balancer sends no more callers.
func (i *instance) stop() {
	i.leaving = true
	i.step(controller.StopRequested{})
}

// leave ends a planned stop. A request that is still on its way to or from a server would be cut.
func (i *instance) leave() {
	for _, name := range i.world.names {
		if n := i.table.Gate(name).Total(); n > 0 {
			i.world.broken(PromiseGraceful, fmt.Sprintf("%s left with %d requests in flight to %s", i.name, n, name))
		}
	}
	if i.naive != nil && i.naive.open > 0 {
		i.world.broken(PromiseGraceful, fmt.Sprintf("%s left with %d requests in flight", i.name, i.naive.open))
	}
	i.left = true
	i.dead = true
}

func (i *instance) logReachable() bool {
	return !i.world.log.down && i.world.reaches(i.name, "log")
}

// readLog reads at once when there is something new, and otherwise waits for a while.
func (i *instance) readLog(a controller.ReadLog) {
	start := i.clock()
	w := i.world
	w.after(w.jitter(logTime)+w.log.slow, func() {
		if !i.logReachable() {
			i.receive(func() { i.step(controller.LogUnavailable{}) })
			return
		}
		if int(a.From) < w.log.first {
			first := identifier.Offset(w.log.first)
			i.receive(func() { i.step(controller.LogExpired{FirstRetained: first}) })
			return
		}
		if int(a.From) < len(w.log.records) {
			i.answerRead(start, a.From)
			return
		}
		answered := false
		answer := func() {
			if !answered {
				answered = true
				i.answerRead(start, a.From)
			}
		}
		w.log.waiters = append(w.log.waiters, answer)
		w.after(longPoll, answer)
	})
}

func (i *instance) answerRead(start time.Time, from identifier.Offset) {
	w := i.world
	entries := w.log.from(from)
	next := identifier.Offset(len(w.log.records))
	w.after(w.jitter(hopTime), func() {
		if !i.logReachable() {
			i.receive(func() { i.step(controller.LogUnavailable{}) })
			return
		}
		i.receive(func() { i.step(controller.LogRead{Start: start, Entries: entries, Next: next}) })
	})
}

// appendLog appends now or late, once or twice or never, as the faults of the instance say.
func (i *instance) appendLog(a controller.AppendLog) {
	w := i.world
	copies := 1 + i.repeat
	if i.lose > 0 {
		i.lose--
		copies = 0
	}
	for n := range copies {
		w.after(w.jitter(logTime)+w.log.slow+i.delayed+time.Duration(n)*logTime, func() {
			if !i.logReachable() {
				return
			}
			for _, data := range a.Records {
				w.log.append(data)
			}
		})
	}
}

func (w *World) instanceAt(address string) *instance {
	for _, i := range w.instances {
		if i.address == address {
			return i
		}
	}
	return nil
}

func (i *instance) exchange(a controller.ExchangePeer) {
	w := i.world
	peer := w.instanceAt(a.Address)
	sent := i.clock()
	answered := false
	w.after(w.jitter(hopTime), func() {
		if peer == nil || !w.reaches(i.name, peer.name) {
			return
		}
		peer.receive(func() {
			reply := peer.control.RespondExchange(peer.clock(), a.Request)
			w.after(w.jitter(hopTime), func() {
				if !w.reaches(peer.name, i.name) || answered {
					return
				}
				answered = true
				i.receive(func() { i.step(controller.PeerAnswered{Peer: a.Peer, SentAt: sent, Reply: reply}) })
			})
		})
	})
	w.after(a.Timeout, func() {
		if !answered {
			answered = true
			i.receive(func() { i.step(controller.PeerSilent{Peer: a.Peer}) })
		}
	})
}

// command carries a command to a server and its answer back, or reports silence after the timeout.
func (i *instance) command(server identifier.ServerName, timeout time.Duration, run func(s *fakeServer, answer func(controller.Event)), silence controller.Event) {
	w := i.world
	s := w.servers[server]
	answered := false
	answer := func(event controller.Event) {
		w.after(w.jitter(hopTime), func() {
			if answered || !w.reaches(string(server), i.name) {
				return
			}
			answered = true
			i.receive(func() { i.step(event) })
		})
	}
	w.after(w.jitter(hopTime), func() {
		if w.reaches(i.name, string(server)) {
			s.receive(func() { run(s, answer) })
		}
	})
	w.after(timeout, func() {
		if !answered {
			answered = true
			i.receive(func() { i.step(silence) })
		}
	})
}

func (i *instance) sendGrant(a controller.SendGrant) {
	run := func(s *fakeServer, answer func(controller.Event)) {
		answer(controller.GrantAnswered{Server: a.Server, Term: a.Grant.Term, Answer: s.grant(a.Grant)})
	}
	i.command(a.Server, a.Timeout, run, controller.GrantFailed{Server: a.Server, Term: a.Grant.Term})
}

func (i *instance) sendRevoke(a controller.SendRevoke) {
	run := func(s *fakeServer, answer func(controller.Event)) {
		s.revoke(a.Revoke, func() {
			answer(controller.RevokeAnswered{
				Server:     a.Server,
				Term:       a.Revoke.Term,
				Partitions: a.Revoke.Partitions,
				Accepted:   true,
			})
		})
	}
	i.command(a.Server, a.Timeout, run, controller.Tick{})
}

// kindOf returns the kind of the first record of an append.
func kindOf(a controller.AppendLog) string {
	if len(a.Records) == 0 {
		return ""
	}
	envelope, err := recorder.Decode(a.Records[0])
	if err != nil {
		return ""
	}
	return recorder.KindOf(envelope.Record())
}
