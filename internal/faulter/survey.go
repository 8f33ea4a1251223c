package faulter

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/controller"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// SurveyOptions say how Survey drives the deciders.
type SurveyOptions struct {
	// For is the virtual time that passes.
	For time.Duration
	// Tick is the time between two ticks of a decider; it must be positive.
	Tick time.Duration
	// PartitionLoad is the load, in slots, that the heartbeats report of each partition; 0 leaves the partitions out.
	PartitionLoad float64
	// Elapsed reads the stopwatch that the time within the deciders is taken from.
	Elapsed func() time.Duration
	// Exchanged and Granted see each message with its answer; nil is nobody.
	Exchanged func(controller.ExchangeRequest, controller.ExchangeReply)
	Granted   func(commander.Grant, commander.GrantAnswer)
}

// SurveyCount is what the deciders of all instances did during a Survey.
type SurveyCount struct {
	// Deciding is the time within the deciders, without the rig's own.
	Deciding time.Duration
	// Events is how many events the deciders took, the heartbeats that they answered included.
	Events int
	// Exchanges, Grants, Reads and Appends count the messages.
	Exchanges int
	Grants    int
	Reads     int
	Appends   int
}

// survey drives the deciders in lockstep, without delays, so that their time can be told from the rig's.
type survey struct {
	world   *World
	options SurveyOptions
	count   SurveyCount
	loads   map[identifier.ServerName][]controller.PartitionLoad
	read    time.Time
}

// Survey lets virtual time pass in lockstep: every message is answered at once. The World can't Run any more.
func (w *World) Survey(options SurveyOptions) SurveyCount {
	s := &survey{world: w, options: options, loads: w.partitionLoads(options.PartitionLoad)}
	for _, i := range w.alive() {
		s.settle(i)
	}
	end := w.now.Add(options.For)
	for w.now.Before(end) {
		w.now = w.now.Add(options.Tick)
		s.tick()
	}
	return s.count
}

// settle tells an instance that no answer to what it has under way will come.
func (s *survey) settle(i *instance) {
	for _, m := range i.control.State().Members() {
		s.step(i, controller.PeerSilent{Peer: m.ID})
	}
	for _, name := range s.world.names {
		known, _ := i.control.State().GetServerByName(name)
		s.step(i, controller.GrantFailed{Server: name, Term: known.Front.Term})
	}
	s.count = SurveyCount{}
}

func (s *survey) tick() {
	w := s.world
	all := w.alive()
	for _, i := range all {
		s.step(i, controller.Tick{})
	}
	polled := w.now.Sub(s.read) >= longPoll
	if polled {
		s.read = w.now
	}
	for _, i := range all {
		entries := w.log.from(i.control.State().Next())
		if polled || len(entries) > 0 {
			s.count.Reads++
			s.step(i, controller.LogRead{Start: w.now, Entries: entries, Next: identifier.Offset(len(w.log.records))})
		}
	}
}

// timed adds the time of do to that of the deciders.
func (s *survey) timed(do func()) {
	start := s.options.Elapsed()
	do()
	s.count.Deciding += s.options.Elapsed() - start
	s.count.Events++
}

func (s *survey) step(i *instance, event controller.Event) {
	var actions []controller.Action
	s.timed(func() { actions = i.control.Step(i.clock(), event) })
	for _, action := range actions {
		s.answer(i, action)
	}
}

func (s *survey) answer(i *instance, action controller.Action) {
	switch a := action.(type) {
	case controller.AppendLog:
		s.count.Appends += len(a.Records)
		for _, data := range a.Records {
			s.world.log.append(data)
		}
	case controller.ExchangePeer:
		s.exchange(i, a)
	case controller.SendGrant:
		answer := s.world.servers[a.Server].grant(a.Grant)
		s.count.Grants++
		if s.options.Granted != nil {
			s.options.Granted(a.Grant, answer)
		}
		s.step(i, controller.GrantAnswered{Server: a.Server, Term: a.Grant.Term, Answer: answer})
	}
}

func (s *survey) exchange(i *instance, a controller.ExchangePeer) {
	peer := s.world.instanceAt(a.Address)
	if peer == nil || peer.dead {
		s.step(i, controller.PeerSilent{Peer: a.Peer})
		return
	}
	a.Request.Reports = slices.Clone(a.Request.Reports)
	for n := range a.Request.Reports {
		a.Request.Reports[n].Partitions = s.loads[a.Request.Reports[n].Server]
	}
	var reply controller.ExchangeReply
	s.timed(func() { reply = peer.control.RespondExchange(peer.clock(), a.Request) })
	s.count.Exchanges++
	if s.options.Exchanged != nil {
		s.options.Exchanged(a.Request, reply)
	}
	s.step(i, controller.PeerAnswered{Peer: a.Peer, SentAt: i.clock(), Reply: reply})
}

// partitionLoads returns the same load for each partition, by owner.
func (w *World) partitionLoads(load float64) map[identifier.ServerName][]controller.PartitionLoad {
	loads := map[identifier.ServerName][]controller.PartitionLoad{}
	service, _ := w.fold().GetServiceByName(deskService)
	if load == 0 {
		return loads
	}
	for n, partition := range service.Partitions {
		id := identifier.PartitionID{Service: deskService, Index: identifier.PartitionIndex(n)}
		loads[partition.Owner] = append(loads[partition.Owner], controller.PartitionLoad{Partition: id, Load: load})
	}
	return loads
}

// Records returns the log as it stands.
func (w *World) Records() []reducer.Entry { return w.log.from(0) }

// Genesis returns what the instances of the World were told.
func (w *World) Genesis() reducer.Genesis { return w.operators.genesis() }

// ServerNames returns the backend servers in the order of the bundle.
func (w *World) ServerNames() []identifier.ServerName { return slices.Clone(w.names) }

// PublishNext publishes a successor of the bundle in force.
func (w *World) PublishNext() {
	next := w.firstBundle()
	next.parent = w.bundleInForce()
	w.publish(next)
}

// Steady reports whether the roster has size members in good standing and every one of them has all the others as
// its witnesses.
func (w *World) Steady(size int) bool {
	members := w.fold().Members()
	if len(members) != size {
		return false
	}
	for _, m := range members {
		if m.Expelled || len(m.Witnesses) != size-1 {
			return false
		}
	}
	return true
}
