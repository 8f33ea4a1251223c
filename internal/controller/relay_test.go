package controller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/herald"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

// countingStore is the store as one instance reaches it: it counts the calls, and may be unreachable.
type countingStore struct {
	calls atomic.Int32
	fails atomic.Bool
}

func (s *countingStore) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.calls.Add(1)
	if s.fails.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(append(make([]byte, 16), 0, 0, 0, 2, 1, 'k')) // one record with the key k and no value
}

// newRelay returns an instance that has read the servers' topic up to offset 7, long ago, and its address.
func newRelay(t *testing.T, store *countingStore) (*Controller, string) {
	t.Helper()
	relay := newTestController(t, store.ServeHTTP)
	longAgo := timekeeper.Now().Add(-time.Hour) // a fixed time may be ahead of the clock, which starts at boot
	relay.cache.add(serversTopic, true, nil, platform.Position{Offset: 7}, longAgo)
	host := httptest.NewServer(herald.NewHeraldServer(relay))
	t.Cleanup(host.Close)
	return relay, strings.TrimPrefix(host.URL, "http://")
}

// TestRefreshesShareOneStoreCall guards against one store call for each instance when the leader does not answer: the
// relay refreshes its cache once for all of them.
func TestRefreshesShareOneStoreCall(t *testing.T) {
	is := is.New(t)
	var store countingStore
	_, address := newRelay(t, &store)
	directStore := &countingStore{}
	c := newTestController(t, directStore.ServeHTTP)
	c.sources.Store(&sources{relays: []string{address}, domainSize: 3})
	for range 5 {
		records, next, err := c.readNext(context.Background(), &watcher{topic: serversTopic, next: platform.Position{Offset: 7}})
		is.NoErr(err)
		is.Equal(next, platform.Position{Offset: 8})
		is.Equal(len(records), 1)
	}
	is.Equal(store.calls.Load(), int32(1))
	is.Equal(directStore.calls.Load(), int32(0))
}

// TestPollsOfAnUnreachableStoreAreRare guards against an overload of an unreachable store: an instance whose relays can't
// reach it either polls it rarely, and learns from a relay that it has recovered.
func TestPollsOfAnUnreachableStoreAreRare(t *testing.T) {
	is := is.New(t)
	store, directStore := &countingStore{}, &countingStore{}
	store.fails.Store(true)
	directStore.fails.Store(true)
	relay, address := newRelay(t, store)
	c := newTestController(t, directStore.ServeHTTP)
	c.sources.Store(&sources{relays: []string{address}, domainSize: 20})
	w := &watcher{topic: serversTopic, next: platform.Position{Offset: 7}}
	for range 10 {
		_, _, err := c.readNext(context.Background(), w)
		is.True(err != nil)
	}
	is.True(w.storeUnreachable)
	is.True(directStore.calls.Load() <= 2) // one per pollInterval, and the loop takes no time
	is.Equal(store.calls.Load(), int32(1))
	store.fails.Store(false)
	relay.cache.lastFailure = timekeeper.Now().Add(-maxReadRetryDelay) // old enough for the relay to poll again
	_, next, err := c.readNext(context.Background(), w)
	is.NoErr(err)
	is.Equal(next, platform.Position{Offset: 8})
	is.True(!w.storeUnreachable)
}

// TestDomainWithoutTheStoreReadsThroughOtherDomains guards against a delay until the next poll of the store when the
// whole failure domain can't reach it.
func TestDomainWithoutTheStoreReadsThroughOtherDomains(t *testing.T) {
	is := is.New(t)
	unreachable, reachable, directStore := &countingStore{}, &countingStore{}, &countingStore{}
	unreachable.fails.Store(true)
	directStore.fails.Store(true)
	_, sameDomain := newRelay(t, unreachable)
	_, otherDomain := newRelay(t, reachable)
	c := newTestController(t, directStore.ServeHTTP)
	c.sources.Store(&sources{relays: []string{sameDomain}, others: []string{sameDomain, otherDomain}, domainSize: 20})
	w := &watcher{topic: serversTopic, next: platform.Position{Offset: 7}, storeUnreachable: true, nextPoll: timekeeper.Now().Add(maxPollInterval)}
	_, next, err := c.readNext(context.Background(), w)
	is.NoErr(err)
	is.Equal(next, platform.Position{Offset: 8})
	is.Equal(directStore.calls.Load(), int32(0))
	_, _, err = c.readNext(context.Background(), w)
	is.True(err != nil) // only one round per fallbackInterval
	is.Equal(reachable.calls.Load(), int32(1))
}

// TestSecondRelayIsReadWhenTheFirstCannotReachTheStore guards against reads from the store while the second relay still
// reaches it: the store refuses the first relay only.
func TestSecondRelayIsReadWhenTheFirstCannotReachTheStore(t *testing.T) {
	is := is.New(t)
	unreachable, reachable, directStore := &countingStore{}, &countingStore{}, &countingStore{}
	unreachable.fails.Store(true)
	_, first := newRelay(t, unreachable)
	_, second := newRelay(t, reachable)
	c := newTestController(t, directStore.ServeHTTP)
	c.sources.Store(&sources{relays: []string{first, second}, domainSize: 20})
	_, next, err := c.readNext(context.Background(), &watcher{topic: serversTopic, next: platform.Position{Offset: 7}})
	is.NoErr(err)
	is.Equal(next, platform.Position{Offset: 8})
	is.Equal(directStore.calls.Load(), int32(0))
}

// TestReadBehindTheLeaderWaitsForTheRelay guards against reads from the store by all instances of a domain while records come
// often: the relay's last read was too recent for another one, and its next one follows within batchDelay.
func TestReadBehindTheLeaderWaitsForTheRelay(t *testing.T) {
	is := is.New(t)
	relayStore, directStore := &countingStore{}, &countingStore{}
	relay, address := newRelay(t, relayStore)
	relay.cache.add(serversTopic, false, nil, platform.Position{Offset: 7}, timekeeper.Now())
	c := newTestController(t, directStore.ServeHTTP)
	c.sources.Store(&sources{relays: []string{address}, domainSize: 20})
	c.leaderOffsets.Store(&leaderOffsets{
		validUntil: timekeeper.Now().Add(time.Minute), offsets: map[string]int64{serversTopic: 8},
	})
	time.AfterFunc(batchDelay, func() {
		relay.cache.add(serversTopic, false, []platform.Record{{Key: "k", Offset: 7}}, platform.Position{Offset: 8}, timekeeper.Now())
	})
	records, next, err := c.readNext(context.Background(), &watcher{topic: serversTopic, next: platform.Position{Offset: 7}})
	is.NoErr(err)
	is.Equal(len(records), 1)
	is.Equal(next, platform.Position{Offset: 8})
	is.Equal(relayStore.calls.Load()+directStore.calls.Load(), int32(0))
}

// TestUnreachableRelayIsSkipped guards against waiting for a relay that does not answer: the store itself is read at
// once, and the next read goes through the second relay.
func TestUnreachableRelayIsSkipped(t *testing.T) {
	is := is.New(t)
	reachable, directStore := &countingStore{}, &countingStore{}
	_, second := newRelay(t, reachable)
	stopped := httptest.NewServer(http.NotFoundHandler())
	first := strings.TrimPrefix(stopped.URL, "http://")
	stopped.Close()
	c := newTestController(t, directStore.ServeHTTP)
	c.sources.Store(&sources{relays: []string{first, second}, domainSize: 20})
	w := &watcher{topic: serversTopic, next: platform.Position{Offset: 7}}
	// The first read fails at the relay and calls the store; the second one goes to the second relay.
	for i, calls := range []int32{1, 1} {
		_, _, err := c.readNext(context.Background(), w)
		is.NoErr(err)
		is.Equal(directStore.calls.Load(), calls)
		is.Equal(reachable.calls.Load(), int32(i))
	}
}

// TestInstancesReadThroughHigherRankedRelays guards against relays that read through each other, so that none reads the
// store, and against instances of a domain that rank their relays differently.
func TestInstancesReadThroughHigherRankedRelays(t *testing.T) {
	member := func(name, domain string) resolver.Member {
		return resolver.Member{Instance: name, Domain: domain, Address: name, Capacity: 100}
	}
	members := []resolver.Member{member("a", "d"), member("b", "d"), member("c", "d"), member("e", "other")}
	order := resolver.New(member("self", "d"), nil, nil, nil, members).MembersByCapacity(
		resolver.ServerPool{Service: relayPool, Domain: "d"}, func(string) bool { return false }, len(members))
	is := is.New(t)
	is.Equal(len(order), 4)
	for rank, self := range order {
		c := newTestController(t, http.NotFound)
		c.options.Self = self
		for _, m := range append(members, member("self", "d")) {
			if m.Instance != self.Instance {
				c.members = append(c.members, m)
			}
		}
		c.updateSources(resolver.New(self, nil, nil, nil, c.members))
		src := c.sources.Load()
		is.Equal(len(src.relays), min(rank, maxRelays)) // the higher-ranked ones
		is.Equal(src.domainSize, 4)
		is.Equal(len(src.others), 4)
		if rank > 0 {
			is.Equal(src.relays[0], order[0].Address)
		}
	}
}

// eraStore is a store with one record for each key and no changes. It counts the calls, and reports its era.
type eraStore struct {
	calls atomic.Int32
	era   atomic.Int32
}

func (s *eraStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	w.Header().Set("Store-Era", fmt.Sprint(s.era.Load()))
	if strings.HasSuffix(r.URL.Path, "log-newest") {
		_, _ = fmt.Fprintf(w, `{"items":[{"key":"k","value":"djE=","offset":%d}],"end":5}`, s.era.Load())
		return
	}
	_, _ = w.Write(make([]byte, 16))
}

// TestInstancesReadANewEraThroughTheirRelay guards against a stampede at a store that came back from an older copy, and
// against instances that go on reading at offsets of the earlier era: all read in full, and the store gets the relay's
// calls only.
func TestInstancesReadANewEraThroughTheirRelay(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, directStore := &eraStore{}, &eraStore{}
	store.era.Store(1)
	directStore.era.Store(1)
	relay := newTestController(t, store.ServeHTTP)
	longAgo := timekeeper.Now().Add(-time.Hour)
	relay.cache.add(serversTopic, true, nil, platform.Position{Era: 1, Offset: 7}, longAgo)
	host := httptest.NewServer(herald.NewHeraldServer(relay))
	defer host.Close()
	store.era.Store(2)
	for range 5 {
		c := newTestController(t, directStore.ServeHTTP)
		c.sources.Store(&sources{relays: []string{strings.TrimPrefix(host.URL, "http://")}, domainSize: 5})
		w := &watcher{topic: serversTopic, next: platform.Position{Era: 1, Offset: 7}, loaded: true}
		_, next, err := c.readNext(ctx, w)
		is.True(platform.IsErrExpired(err))
		w.full, w.minEra = true, next.Era
		records, next, err := c.readNext(ctx, w)
		is.NoErr(err)
		is.Equal(next, platform.Position{Era: 2, Offset: 5})
		is.Equal(len(records), 1)
	}
	is.Equal(store.calls.Load(), int32(2)) // one for the changes that the store no longer has, one for all records
	is.Equal(directStore.calls.Load(), int32(0))
}

// TestRelayOfAnEarlierEraIsNotBelieved guards against records of an earlier era from a relay that has not noticed yet that
// the store came back from an older copy, and that can't reach the store.
func TestRelayOfAnEarlierEraIsNotBelieved(t *testing.T) {
	is := is.New(t)
	store, directStore := &countingStore{}, &eraStore{}
	store.fails.Store(true)
	directStore.era.Store(2)
	relay, address := newRelay(t, store)
	relay.cache.add(serversTopic, true, nil, platform.Position{Era: 1, Offset: 5}, timekeeper.Now())
	c := newTestController(t, directStore.ServeHTTP)
	c.sources.Store(&sources{relays: []string{address}, domainSize: 3})
	c.era.Store(2)
	w := &watcher{topic: serversTopic, next: platform.Position{Era: 1, Offset: 5}, loaded: true, full: true}
	_, next, err := c.readNext(context.Background(), w)
	is.NoErr(err)
	is.Equal(next, platform.Position{Era: 2, Offset: 5}) // from the store itself
}
