package faulter

import (
	"slices"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/hasher"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// naiveInstance hashes a key to a server of the newest bundle that it has read, believes a lagging health endpoint,
// and sends again after an error.
type naiveInstance struct {
	host    *instance
	read    int
	bundle  *bundler.Bundle
	healthy map[identifier.ServerName]bool
	waiting map[identifier.ServerName][]*request
	open    int
}

func newNaiveInstance(host *instance) *naiveInstance {
	n := &naiveInstance{
		host:    host,
		healthy: map[identifier.ServerName]bool{},
		waiting: map[identifier.ServerName][]*request{},
	}
	for _, name := range host.world.names {
		n.healthy[name] = true
	}
	n.poll()
	return n
}

// poll reads the log and the health endpoints; the last bundle wins.
func (n *naiveInstance) poll() {
	w := n.host.world
	n.host.receive(func() {
		if n.host.logReachable() {
			n.readBundles()
		}
		for _, name := range w.names {
			s := w.servers[name]
			n.healthy[name] = !s.dead && !s.halted && w.reaches(n.host.name, string(name))
		}
	})
	w.after(w.jitter(detectionOfNaive), n.poll)
}

// detectionOfNaive is how often the naive version looks at the health endpoints.
const detectionOfNaive = 5 * longPoll

func (n *naiveInstance) readBundles() {
	w := n.host.world
	n.read = max(n.read, w.log.first)
	for ; n.read < len(w.log.records); n.read++ {
		envelope, err := recorder.Decode(w.log.records[n.read])
		if err != nil {
			continue
		}
		publish, ok := envelope.Record().(recorder.PublishBundle)
		if !ok {
			continue
		}
		if bundle, err := publish.Signed.Open("bundle"); err == nil {
			n.adopt(bundle)
		}
	}
}

func (n *naiveInstance) adopt(bundle *bundler.Bundle) {
	w := n.host.world
	n.bundle = bundle
	if bundle.Version() < w.ledger.newest {
		w.broken(PromiseBundle, "an older bundle has replaced a newer one")
	}
	w.ledger.newest = max(w.ledger.newest, bundle.Version())
}

// pick returns the server that the hash of the key gives among the healthy ones.
func (n *naiveInstance) pick(key string) *fakeServer {
	if n.bundle == nil {
		return nil
	}
	var usable []*fakeServer
	for _, service := range n.bundle.Services() {
		for _, server := range service.Servers() {
			if n.healthy[server.Name()] && !server.Leaving() {
				usable = append(usable, n.host.world.servers[server.Name()])
			}
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[hasher.Partition(key, len(usable))]
}

// serve sends, and sends again when no answer comes.
func (n *naiveInstance) serve(r *request) {
	w := n.host.world
	s := n.pick(r.key)
	if s == nil {
		w.tell(r, outcomeNotRun)
		return
	}
	r.partition = identifier.PartitionID{
		Service: deskService,
		Index:   hasher.Partition(r.key, w.setup.Partitions),
	}
	n.open++
	n.waiting[s.name] = append(n.waiting[s.name], r)
	w.after(w.jitter(hopTime), func() {
		if !w.reaches(n.host.name, string(s.name)) {
			return
		}
		w.noteWork(s, r)
		s.receive(func() {
			s.execute(r, func(bool) {
				w.after(w.jitter(hopTime), func() {
					if w.reaches(string(s.name), n.host.name) {
						n.host.receive(func() { n.answered(s.name, r) })
					}
				})
			})
		})
	})
	w.after(requestTime/4, func() { n.host.receive(func() { n.checkTimeout(s.name, r) }) })
}

// answered takes an answer for the oldest request that waits on the connection to the server, as one does who keeps a
// connection after a timeout.
func (n *naiveInstance) answered(server identifier.ServerName, real *request) {
	waiting := n.waiting[server]
	if len(waiting) == 0 {
		return
	}
	taken := waiting[0]
	n.waiting[server] = waiting[1:]
	n.open--
	w := n.host.world
	if taken != real && taken.told == outcomeNone {
		w.broken(PromiseWhole, "a caller was given the answer to another request")
	}
	w.tell(taken, outcomeAnswered)
}

// checkTimeout sends again what is still unanswered, or gives up.
func (n *naiveInstance) checkTimeout(server identifier.ServerName, r *request) {
	w := n.host.world
	if r.told != outcomeNone {
		return
	}
	n.waiting[server] = slices.DeleteFunc(n.waiting[server], func(other *request) bool { return other == r })
	n.open--
	if w.now.Before(r.deadline) {
		n.serve(r)
		return
	}
	w.tell(r, outcomeNotRun)
}
