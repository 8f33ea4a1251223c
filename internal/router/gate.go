package router

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// ErrClosed reports that nothing was sent, because the gate does not let the request through.
type ErrClosed struct {
	reason string
}

// Error implements error.
func (e ErrClosed) Error() string { return "gate closed: " + e.reason }

// Reason returns the cause in snake case: not_fronting, lease_expired, not_owned or epoch_changed.
func (e ErrClosed) Reason() string { return e.reason }

// IsErrClosed reports whether err is an ErrClosed.
func IsErrClosed(err error) bool {
	var closed ErrClosed
	return errors.As(err, &closed)
}

// Permit is what the control thread allows traffic to send to one backend server.
// The zero Permit allows nothing.
type Permit struct {
	term       identifier.Term
	until      time.Time
	keyed      bool
	partitions map[identifier.PartitionID]identifier.Epoch
}

// NewPermit returns a Permit for term that ends at until. A nil partitions map is for a service that is not keyed.
func NewPermit(term identifier.Term, until time.Time, partitions map[identifier.PartitionID]identifier.Epoch) Permit {
	return Permit{term: term, until: until, keyed: partitions != nil, partitions: partitions}
}

// Term returns the fencing token that requests under this permit carry.
func (p Permit) Term() identifier.Term { return p.term }

// Until returns the time at which the permit ends.
func (p Permit) Until() time.Time { return p.until }

// Gate is traffic's only way to one backend server. A request enters before its first byte is written and leaves after
// its last; the control thread replaces the permit and reads what is in flight. The zero Gate lets nothing through.
type Gate struct {
	mu       sync.Mutex
	permit   Permit
	inFlight map[identifier.PartitionID]int
	total    int
	abort    chan struct{}
}

// Enter registers a request in flight when the permit allows it, and returns the term to send.
// The error is an ErrClosed, and then the request is not registered.
func (g *Gate) Enter(partition identifier.PartitionID, epoch identifier.Epoch, now time.Time) (identifier.Term, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(partition, epoch, now); err != nil {
		return 0, err
	}
	if g.inFlight == nil {
		g.inFlight = map[identifier.PartitionID]int{}
	}
	g.inFlight[partition]++
	g.total++
	return g.permit.term, nil
}

func (g *Gate) check(partition identifier.PartitionID, epoch identifier.Epoch, now time.Time) error {
	if g.permit.term == 0 {
		return ErrClosed{reason: "not_fronting"}
	}
	if !now.Before(g.permit.until) {
		return ErrClosed{reason: "lease_expired"}
	}
	if !g.permit.keyed {
		return nil
	}
	owned, ok := g.permit.partitions[partition]
	if !ok {
		return ErrClosed{reason: "not_owned"}
	}
	if owned != epoch {
		return ErrClosed{reason: "epoch_changed"}
	}
	return nil
}

// Allows reports whether a request would be let through at now.
func (g *Gate) Allows(partition identifier.PartitionID, epoch identifier.Epoch, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.check(partition, epoch, now) == nil
}

// Leave takes a request that entered out of the count.
func (g *Gate) Leave(partition identifier.PartitionID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total--
	g.inFlight[partition]--
	if g.inFlight[partition] == 0 {
		delete(g.inFlight, partition)
	}
}

// SetPermit replaces the permit; requests that entered under the old one stay counted.
func (g *Gate) SetPermit(p Permit) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permit = p
}

// InFlight returns how many requests of partition have entered and not left.
func (g *Gate) InFlight(partition identifier.PartitionID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[partition]
}

// Total returns how many requests have entered and not left.
func (g *Gate) Total() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total
}

// Aborted returns a channel that is closed when what is in flight at present is to be given up, because the server is
// lost. A request that enters later gets a new channel.
func (g *Gate) Aborted() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abort == nil {
		g.abort = make(chan struct{})
	}
	return g.abort
}

// Abort gives up what is in flight at present.
func (g *Gate) Abort() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.abort != nil {
		close(g.abort)
		g.abort = nil
	}
}
