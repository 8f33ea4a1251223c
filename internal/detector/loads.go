package detector

import (
	"math"
	"sync"
	"time"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// DefaultLoadHalfLife is the half-life of the load of a partition.
const DefaultLoadHalfLife = 20 * time.Second

// Loads measures the load of partitions as decayed averages. The zero Loads has the default half-life. It is safe for
// concurrent use. Its memory is bounded by the number of partitions.
type Loads struct {
	mu       sync.Mutex
	halfLife time.Duration
	loads    map[identifier.PartitionID]decayed
}

// NewLoads returns a Loads with a half-life.
func NewLoads(halfLife time.Duration) *Loads {
	return &Loads{halfLife: halfLife}
}

// decayed is a sum that loses half its value in each half-life.
type decayed struct {
	sum float64
	at  time.Time
}

func (d decayed) fade(now time.Time, halfLife time.Duration) decayed {
	elapsed := now.Sub(d.at)
	if elapsed <= 0 {
		return d
	}
	return decayed{sum: d.sum * math.Exp2(-elapsed.Seconds()/halfLife.Seconds()), at: now}
}

func (l *Loads) life() time.Duration {
	if l.halfLife <= 0 {
		return DefaultLoadHalfLife
	}
	return l.halfLife
}

// Observe counts one request of partition; weight is its cost in seconds of execution.
func (l *Loads) Observe(partition identifier.PartitionID, weight float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shift(partition, weight, now)
}

func (l *Loads) shift(partition identifier.PartitionID, weight float64, now time.Time) {
	if l.loads == nil {
		l.loads = map[identifier.PartitionID]decayed{}
	}
	d, ok := l.loads[partition]
	if !ok {
		d.at = now
	}
	d = d.fade(now, l.life())
	d.sum = max(0, d.sum+weight)
	l.loads[partition] = d
}

// Load returns the load of partition in slots kept busy, 0 when nothing of it was seen.
func (l *Loads) Load(partition identifier.PartitionID, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.loads[partition].fade(now, l.life())
	return d.sum * math.Ln2 / l.life().Seconds()
}

// Transfer takes load of one partition to another, as when a key is pinned.
func (l *Loads) Transfer(from, to identifier.PartitionID, load float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	weight := load * l.life().Seconds() / math.Ln2
	l.shift(from, -weight, now)
	l.shift(to, weight, now)
}

// Forget drops what is known of partition, as when its key is unpinned or another instance fronts its server.
func (l *Loads) Forget(partition identifier.PartitionID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.loads, partition)
}
