package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/timekeeper"
	"github.com/wasabibank/wasabibank/platform"
)

// TestRelayPassesOverKeysThatCannotBeSent guards against instances that stop following a topic because one of its records has a key
// that is no UTF-8: the answers of their relays could not be encoded.
func TestRelayPassesOverKeysThatCannotBeSent(t *testing.T) {
	const oddKey, key = "\x00\x00\x00\x03\x01\xffv", "\x00\x00\x00\x03\x01kv"
	tests := map[string]struct {
		records string
		next    int64
		want    []string
	}{
		"among others": {records: oddKey + key, next: 9, want: []string{"k"}},
		"alone":        {records: oddKey, next: 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			relay, address := newRelay(t, &countingStore{})
			relay.options.Store = platform.NewStore(serveRecords(t, test.records))
			var directStore countingStore
			c := newTestController(t, directStore.ServeHTTP)
			c.sources.Store(&sources{relays: []string{address}, domainSize: 3})
			c.leaderOffsets.Store(&leaderOffsets{validUntil: timekeeper.Now().Add(time.Minute), offsets: map[string]int64{serversTopic: test.next}})
			records, next, err := c.readNext(context.Background(), &watcher{topic: serversTopic, next: platform.Position{Offset: 7}})
			is.NoErr(err)
			is.Equal(next, platform.Position{Offset: test.next})
			var keys []string
			for _, r := range records {
				keys = append(keys, r.Key)
			}
			is.Equal(keys, test.want)
			is.Equal(directStore.calls.Load(), int32(0))
		})
	}
}

// serveRecords starts a store that answers each read with records, and returns its address.
func serveRecords(t *testing.T, records string) string {
	t.Helper()
	return startTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(append(make([]byte, 16), records...))
	})
}
