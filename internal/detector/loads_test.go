package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func TestLoads(t *testing.T) {
	is := is.New(t)
	var l Loads
	base := identifier.PartitionID{Service: "desk", Index: 3}
	pin := identifier.PartitionID{Service: "desk", Index: 8}
	is.Equal(l.Load(base, start), 0.0)

	now := start
	for range 10_000 {
		now = now.Add(50 * time.Millisecond)
		l.Observe(base, 0.1, now)
	}
	load := l.Load(base, now)
	is.True(load > 1.95 && load < 2.05) // 20 a second of 100 ms

	l.Transfer(base, pin, 1.5, now)
	is.True(l.Load(base, now) < 0.55)
	is.True(l.Load(pin, now) > 1.45)
	is.True(l.Load(pin, now.Add(DefaultLoadHalfLife)) < 0.8)

	l.Forget(pin)
	is.Equal(l.Load(pin, now), 0.0)
}
