package exerciser

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortLength goes past the first loss of a server.
const shortLength = 8 * time.Minute

func TestBalanceAgainstPlainHashing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := Deployments()[0]
	plain := RunBalance(d, ModuloHashing{}, 1, 1)
	ours := RunBalance(d, pinnedAssignment(), 1, 1)
	is.True(ours.Imbalance-ours.Floor < (plain.Imbalance-plain.Floor)/2)
	is.True(ours.KeyMoves < plain.KeyMoves/2)
	is.True(ours.Unavailable < plain.Unavailable)
}

func TestBalanceIsDeterministic(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := Deployments()[1]
	first := newBalanceRun(d, pinnedAssignment(), 0.5, 7).run(shortLength)
	is.Equal(newBalanceRun(d, pinnedAssignment(), 0.5, 7).run(shortLength), first)
}

func TestServerChangesEndWithAllServers(t *testing.T) {
	is := is.New(t)
	usable := map[int]bool{}
	for _, c := range serverChanges() {
		usable[c.server] = c.usable
		is.True(c.after < balanceLength)
	}
	for _, ok := range usable {
		is.True(ok)
	}
}
