package commander_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/commander"
	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// manualClock is a clock that a test moves.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// rig is a backend server, its address, its clock and a client.
type rig struct {
	server  *faker.Server
	address string
	clock   *manualClock
	client  *commander.Client
}

func newRig(t *testing.T) rig {
	t.Helper()
	clock := &manualClock{now: time.Unix(1000, 0)}
	server := faker.NewServer(faker.ServerSettings{Name: "render-1", Run: "r1", Clock: faker.Clock{Now: clock.Now}})
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	client := commander.NewClient(commander.Timeouts{Connect: time.Second, Answer: 10 * time.Second})
	t.Cleanup(client.Close)
	return rig{server: server, address: strings.TrimPrefix(listener.URL, "http://"), clock: clock, client: client}
}

func newGrant(issuer identifier.InstanceID, term identifier.Term, echo string, epoch identifier.Epoch) commander.Grant {
	id := identifier.PartitionID{Service: "render_desk", Index: 7}
	return commander.Grant{
		Issuer:     issuer,
		Term:       term,
		TTL:        time.Second,
		Echo:       echo,
		Partitions: []commander.PartitionGrant{{ID: id, Epoch: epoch}},
	}
}

func TestGrant(t *testing.T) {
	tests := map[string]struct {
		grant   commander.Grant
		wait    time.Duration
		faults  faker.ServerFaults
		refused string
		checks  bool
	}{
		"same term":           {grant: newGrant("a", 5, "fresh", 3), checks: true},
		"newer term":          {grant: newGrant("b", 6, "fresh", 3), checks: true},
		"older term":          {grant: newGrant("b", 4, "fresh", 3), refused: "stale_term", checks: true},
		"term of another":     {grant: newGrant("b", 5, "fresh", 3), refused: "stale_term", checks: true},
		"older epoch":         {grant: newGrant("a", 5, "fresh", 2), refused: "stale_epoch", checks: true},
		"no echo":             {grant: newGrant("a", 5, "", 3), refused: "echo", checks: true},
		"unknown echo":        {grant: newGrant("a", 5, "r0-1", 3), refused: "echo", checks: true},
		"lapsed since issue":  {grant: newGrant("a", 5, "fresh", 3), wait: time.Second, refused: "echo", checks: true},
		"without nonces":      {grant: newGrant("a", 5, "", 3), faults: faker.ServerFaults{Nonceless: true}, checks: true},
		"unchecked control":   {grant: newGrant("b", 4, "", 2), faults: faker.ServerFaults{UncheckedControl: true}},
		"unchecked fence":     {grant: newGrant("b", 4, "fresh", 3), faults: faker.ServerFaults{UncheckedFence: true}, refused: "stale_term"},
		"unchecked fence, ok": {grant: newGrant("a", 5, "fresh", 3), faults: faker.ServerFaults{UncheckedFence: true}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			r := newRig(t)
			hello, err := r.client.Grant(ctx, r.address, commander.Grant{Issuer: "a", Term: 5, TTL: time.Second})
			is.NoErr(err)
			is.Equal(hello.Refused, "echo") // the first grant has no nonce to echo
			first, err := r.client.Grant(ctx, r.address, newGrant("a", 5, hello.Nonce, 3))
			is.NoErr(err)
			is.True(first.Accepted)
			is.True(first.Nonce != hello.Nonce) // fresh in each answer
			r.server.SetFaults(tc.faults)
			r.clock.advance(tc.wait)
			if tc.grant.Echo == "fresh" {
				tc.grant.Echo = first.Nonce
			}
			answer, err := r.client.Grant(ctx, r.address, tc.grant)
			is.NoErr(err)
			is.Equal(answer.Refused, tc.refused)
			is.Equal(answer.Accepted, tc.refused == "")
			is.Equal(answer.Checks, tc.checks)
			is.Equal(answer.Nonce == "", tc.faults.Nonceless)
		})
	}
}

func TestNewerTermStandsAfterRefusedEcho(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := newRig(t)
	_, err := r.client.Grant(ctx, r.address, newGrant("b", 9, "", 1))
	is.NoErr(err)
	answer, err := r.client.Drain(ctx, r.address, commander.Drain{Issuer: "a", Term: 8})
	is.NoErr(err)
	is.Equal(answer.Refused, "stale_term")
	is.Equal(answer.Term, identifier.Term(9))
	answer, err = r.client.Drain(ctx, r.address, commander.Drain{Issuer: "b", Term: 9})
	is.NoErr(err)
	is.True(answer.Accepted)
	health, err := r.client.Health(ctx, r.address)
	is.NoErr(err)
	is.Equal(health, commander.Health{Healthy: true, Draining: true})
}

func TestLies(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	r := newRig(t)
	lie := commander.Load{Running: 9, Queued: 99}
	r.server.SetFaults(faker.ServerFaults{Health: faker.HealthLieSick, Load: &lie})
	health, err := r.client.Health(ctx, r.address)
	is.NoErr(err)
	is.True(!health.Healthy)
	load, err := r.client.Load(ctx, r.address)
	is.NoErr(err)
	is.Equal(load, lie)
	answer, err := r.client.Grant(ctx, r.address, newGrant("a", 1, "", 1))
	is.NoErr(err)
	is.Equal(answer.Queued, 99)
}

func TestUnavailable(t *testing.T) {
	tests := map[string]func(context.Context, rig) error{
		"grant": func(ctx context.Context, r rig) error {
			_, err := r.client.Grant(ctx, r.address, newGrant("a", 1, "", 1))
			return err
		},
		"revoke": func(ctx context.Context, r rig) error {
			_, err := r.client.Revoke(ctx, r.address, commander.Revoke{Issuer: "a", Term: 1})
			return err
		},
		"drain": func(ctx context.Context, r rig) error {
			_, err := r.client.Drain(ctx, r.address, commander.Drain{Issuer: "a", Term: 1})
			return err
		},
		"cancel": func(ctx context.Context, r rig) error {
			_, err := r.client.Cancel(ctx, r.address, commander.Cancel{Issuer: "a", Term: 1})
			return err
		},
	}
	for name, call := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t)
			r.server.SetFaults(faker.ServerFaults{LoseControlReplies: 1})
			is.True(commander.IsErrUnavailable(call(context.Background(), r)))
			is.NoErr(call(context.Background(), r))
			r.server.SetFaults(faker.ServerFaults{Frozen: true})
			defer r.server.SetFaults(faker.ServerFaults{})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			is.True(commander.IsErrUnavailable(call(ctx, r)))
		})
	}
}
