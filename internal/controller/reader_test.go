package controller

import (
	"context"
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
)

// countedStore is a store whose calls are counted, and that may be down.
type countedStore struct {
	calls atomic.Int32
	down  atomic.Bool
}

func (s *countedStore) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	s.calls.Add(1)
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(append(make([]byte, 16), 0, 0, 0, 2, 1, 'k'))
}

// newReader returns an instance that has read the servers' topic up to offset 7, long ago, and its address.
func newReader(t *testing.T, store *countedStore) (*Controller, string) {
	t.Helper()
	reader := newTestConductor(t, store.ServeHTTP)
	longAgo := timekeeper.Now().Add(-time.Hour) // a fixed time may be ahead of the clock, which starts at boot
	reader.relay.add(servers, true, nil, 7, longAgo)
	host := httptest.NewServer(herald.NewHeraldServer(reader))
	t.Cleanup(host.Close)
	return reader, strings.TrimPrefix(host.URL, "http://")
}

// TestInstancesInDoubtShareOneCall: instances that do not hear the leader ask their reader, which asks the store once for
// all of them.
func TestInstancesInDoubtShareOneCall(t *testing.T) {
	is := is.New(t)
	var store countedStore
	_, address := newReader(t, &store)
	own := &countedStore{}
	c := newTestConductor(t, own.ServeHTTP)
	c.sources.Store(&sources{readers: []string{address}, mates: 3})
	for range 5 {
		records, next, err := c.read(context.Background(), &watcher{name: servers, from: 7})
		is.NoErr(err)
		is.Equal(next, int64(8))
		is.Equal(len(records), 1)
	}
	is.Equal(store.calls.Load(), int32(1))
	is.Equal(own.calls.Load(), int32(0))
}

// TestLostStoreIsLookedForByFew: while the store is lost for all, an instance whose readers do not reach it either asks it
// rarely, and hears of its return from a reader.
func TestLostStoreIsLookedForByFew(t *testing.T) {
	is := is.New(t)
	store, own := &countedStore{}, &countedStore{}
	store.down.Store(true)
	own.down.Store(true)
	reader, address := newReader(t, store)
	c := newTestConductor(t, own.ServeHTTP)
	c.sources.Store(&sources{readers: []string{address}, mates: 20})
	w := &watcher{name: servers, from: 7}
	for range 10 {
		_, _, err := c.read(context.Background(), w)
		is.True(err != nil)
	}
	is.True(w.lost)
	is.True(own.calls.Load() <= 2) // one each probePause, though this takes no time
	is.Equal(store.calls.Load(), int32(1))
	store.down.Store(false)
	reader.relay.failed = timekeeper.Now().Add(-readRetryMax) // the time after which it looks again
	_, next, err := c.read(context.Background(), w)
	is.NoErr(err)
	is.Equal(next, int64(8))
	is.True(!w.lost)
}

// TestDomainWithoutTheStoreReadsThroughOthers: an instance whose whole failure domain is cut off from the store does not wait
// until it looks for the store again.
func TestDomainWithoutTheStoreReadsThroughOthers(t *testing.T) {
	is := is.New(t)
	cut, reached, own := &countedStore{}, &countedStore{}, &countedStore{}
	cut.down.Store(true)
	own.down.Store(true)
	_, mate := newReader(t, cut)
	_, far := newReader(t, reached)
	c := newTestConductor(t, own.ServeHTTP)
	c.sources.Store(&sources{readers: []string{mate}, others: []string{mate, far}, mates: 20})
	w := &watcher{name: servers, from: 7, lost: true, probe: timekeeper.Now().Add(probePauseMax)}
	_, next, err := c.read(context.Background(), w)
	is.NoErr(err)
	is.Equal(next, int64(8))
	is.Equal(own.calls.Load(), int32(0))
	_, _, err = c.read(context.Background(), w)
	is.True(err != nil) // not again at once
	is.Equal(reached.calls.Load(), int32(1))
}

// TestSecondReaderServesWhereTheFirstIsCutOff: the store refuses the first reader only.
func TestSecondReaderServesWhereTheFirstIsCutOff(t *testing.T) {
	is := is.New(t)
	refused, reached, own := &countedStore{}, &countedStore{}, &countedStore{}
	refused.down.Store(true)
	_, first := newReader(t, refused)
	_, second := newReader(t, reached)
	c := newTestConductor(t, own.ServeHTTP)
	c.sources.Store(&sources{readers: []string{first, second}, mates: 20})
	_, next, err := c.read(context.Background(), &watcher{name: servers, from: 7})
	is.NoErr(err)
	is.Equal(next, int64(8))
	is.Equal(own.calls.Load(), int32(0))
}

// TestReaderThatDoesNotAnswerIsPassedOver: the store itself is read at once, and the next reader after that.
func TestReaderThatDoesNotAnswerIsPassedOver(t *testing.T) {
	is := is.New(t)
	reached, own := &countedStore{}, &countedStore{}
	_, second := newReader(t, reached)
	gone := httptest.NewServer(http.NotFoundHandler())
	first := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	c := newTestConductor(t, own.ServeHTTP)
	c.sources.Store(&sources{readers: []string{first, second}, mates: 20})
	w := &watcher{name: servers, from: 7}
	for i, calls := range []int32{1, 1} {
		_, _, err := c.read(context.Background(), w)
		is.NoErr(err)
		is.Equal(own.calls.Load(), calls)
		is.Equal(reached.calls.Load(), int32(i))
	}
}

func TestReadersOfADomain(t *testing.T) {
	member := func(name, domain string) resolver.Member {
		return resolver.Member{Instance: name, Domain: domain, Address: name, Capacity: 100}
	}
	members := []resolver.Member{member("a", "d"), member("b", "d"), member("c", "d"), member("e", "other")}
	order := resolver.New(member("self", "d"), nil, nil, nil, members).MembersByCapacity(
		resolver.ServerPool{Service: readers, Domain: "d"}, func(string) bool { return false }, len(members))
	is := is.New(t)
	is.Equal(len(order), 4)
	for place, self := range order {
		c := newTestConductor(t, http.NotFound)
		c.options.Self = self
		for _, m := range append(members, member("self", "d")) {
			if m.Instance != self.Instance {
				c.members = append(c.members, m)
			}
		}
		c.findSources(resolver.New(self, nil, nil, nil, c.members))
		from := c.sources.Load()
		is.Equal(len(from.readers), min(place, readersAsked)) // those before it in the ranking
		is.Equal(from.mates, 4)
		is.Equal(len(from.others), 4)
		if place > 0 {
			is.Equal(from.readers[0], order[0].Address)
		}
	}
}

func TestRelayLeavesOutWhatItHas(t *testing.T) {
	is := is.New(t)
	var r relay
	r.add(servers, true, nil, 7, asked)
	r.add(servers, false, records(7, 3), 10, asked)
	r.add(servers, false, records(7, 2), 9, asked)  // a slower reading
	r.add(servers, false, records(8, 4), 12, asked) // overlaps
	got, next, ok := r.read(context.Background(), servers, 7, 0)
	is.True(ok)
	is.Equal(next, int64(12))
	is.Equal(got, records(7, 5))
	_, due := r.lookDue(servers, asked)
	is.True(due)
	_, due = r.lookDue(servers, asked.Add(-time.Millisecond))
	is.True(!due)
}
