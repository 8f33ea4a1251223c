package surveyor

import (
	"testing"

	"github.com/matryer/is"
)

// TestTrafficOfASteadySystem counts one second of control: ten heartbeats to each peer, ten grants to each server, ten
// reads of the log of each entry, and every partition in force in the grants.
func TestTrafficOfASteadySystem(t *testing.T) {
	is := is.New(t)
	s := size{entries: 3, servers: 4, partitions: 32}
	got, err := trafficOf(s)
	is.NoErr(err)
	is.Equal(len(got.exchanges), 10*s.entries*(s.entries-1))
	is.Equal(len(got.grants), 10*s.servers)
	is.Equal(got.reads, 10*s.entries)
	granted, reported := 0, 0
	for _, g := range got.grants {
		is.True(g.answer.Accepted)
		granted += len(g.grant.Partitions)
	}
	for _, e := range got.exchanges {
		is.True(e.reply.Pledge > 0)
		for _, report := range e.request.Reports {
			reported += len(report.Partitions)
		}
	}
	is.Equal(granted, 10*s.partitions)
	is.Equal(reported, 10*(s.entries-1)*s.partitions)
}
