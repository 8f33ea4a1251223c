package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/platform"
)

// startStore starts a Store and returns it with its address and a client for it.
func startStore(t *testing.T) (*Store, string, *platform.Store) {
	t.Helper()
	store := NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return store, address, platform.NewStore(address)
}

func TestStoreKeepsNewestRecordOfEachKey(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, _, client := startStore(t)
	for i, value := range []string{"one", "two"} {
		position, err := client.Append(ctx, "keyed.x", "a", []byte(value), int64(i))
		is.NoErr(err)
		is.Equal(position, platform.Position{Era: 1, Offset: int64(i)})
	}
	_, err := client.Append(ctx, "keyed.x", "b", []byte("late"), 1)
	is.True(platform.IsErrConflict(err))
	_, err = client.Append(ctx, "keyed.x", "b", []byte("three"), platform.AnyOffset)
	is.NoErr(err)
	_, err = client.Append(ctx, "keyed.x", "a", nil, platform.AnyOffset)
	is.NoErr(err)
	records, end, err := client.Newest(ctx, "keyed.x")
	is.NoErr(err)
	is.Equal(end, platform.Position{Era: 1, Offset: 4})
	is.Equal(records, []platform.Record{{Key: "b", Value: []byte("three"), Offset: 2}})
	records, next, err := client.Changes(ctx, "keyed.x", platform.Position{Era: 1, Offset: 2}, 0)
	is.NoErr(err)
	is.Equal(next, platform.Position{Era: 1, Offset: 4})
	is.Equal(records, []platform.Record{{Key: "b", Value: []byte("three"), Offset: 2}, {Key: "a", Offset: 3}})
}

func TestForgetDropsHistoryButNotNewestRecords(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, address, client := startStore(t)
	_, err := client.Append(ctx, "keyed.x", "a", []byte("one"), 0)
	is.NoErr(err)
	response, err := http.Post("http://"+address+"/admin/forget", "application/json", nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	_, _, err = client.Changes(ctx, "keyed.x", platform.Position{Era: 1, Offset: 0}, 0)
	is.True(platform.IsErrExpired(err))
	records, end, err := client.Newest(ctx, "keyed.x")
	is.NoErr(err)
	is.Equal(end, platform.Position{Era: 1, Offset: 1})
	is.Equal(len(records), 1)
}

func TestStoreFaultsFailCallsAsDescribed(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, _, client := startStore(t)
	store.SetFaults(StoreFaults{Outage: true})
	_, err := client.Append(ctx, "keyed.x", "a", []byte("one"), 0)
	is.True(platform.IsErrStatus(err))
	store.SetFaults(StoreFaults{LoseAnswers: 1})
	_, err = client.Append(ctx, "keyed.x", "a", []byte("one"), 0)
	is.True(err != nil && !platform.IsErrStatus(err)) // the append took effect, but the client got no answer
	records, _, err := client.Newest(ctx, "keyed.x")
	is.NoErr(err)
	is.Equal(len(records), 1)
}

// TestSilentStoreAnswersOnceTheFaultEnds guards against a silent store that answers, or that never answers again.
func TestSilentStoreAnswersOnceTheFaultEnds(t *testing.T) {
	is := is.New(t)
	store, _, client := startStore(t)
	store.SetFaults(StoreFaults{Silent: true})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, _, err := client.Newest(ctx, "keyed.x")
	is.True(errors.Is(err, context.DeadlineExceeded))
	store.SetFaults(StoreFaults{})
	_, _, err = client.Newest(context.Background(), "keyed.x")
	is.NoErr(err)
}

// TestOutageFailsConcurrentRead guards against a read that is answered during an outage. The read may reach the store before
// or after the outage begins.
func TestOutageFailsConcurrentRead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, _, client := startStore(t)
	done := make(chan error, 1)
	go func() {
		_, _, err := client.Changes(ctx, "keyed.x", platform.Position{Era: 1, Offset: 0}, time.Minute)
		done <- err
	}()
	store.SetFaults(StoreFaults{Outage: true})
	_, err := store.Append(ctx, "keyed.x", "a", []byte("one"), 0)
	is.NoErr(err)
	is.True(platform.IsErrStatus(<-done))
}

func TestRegistrationExpiresWithoutHeartbeats(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, address, client := startStore(t)
	server := NewServer(ServerSettings{ID: "s1", Service: "desk", Domain: "a", Slots: 2}, time.UnixMilli(7))
	registrar := NewRegistrar(server, address, "127.0.0.1:9", time.Minute)
	is.NoErr(registrar.SendHeartbeat(ctx))
	is.NoErr(registrar.SendHeartbeat(ctx)) // an unchanged registration adds no record
	server.StartDraining()
	is.NoErr(registrar.SendHeartbeat(ctx))
	records, _, err := client.Changes(ctx, platform.TopicServers, platform.Position{Era: 1, Offset: 0}, 0)
	is.NoErr(err)
	is.Equal(len(records), 2)
	registration, err := platform.DecodeServer(time.Now(), records[1].Key, records[1].Value)
	is.NoErr(err)
	is.Equal(registration, server.Registration("127.0.0.1:9"))
	store.expire(time.Now().Add(time.Hour))
	records, _, err = client.Changes(ctx, platform.TopicServers, platform.Position{Era: 1, Offset: 2}, 0)
	is.NoErr(err)
	is.Equal(records, []platform.Record{{Key: "s1", Offset: 2}})
}

func TestRegistrarRemovesItsRegistration(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	_, address, client := startStore(t)
	registrar := NewRegistrar(NewServer(ServerSettings{ID: "s1"}, time.UnixMilli(7)), address, "127.0.0.1:9", time.Minute)
	is.NoErr(registrar.SendHeartbeat(ctx))
	is.NoErr(registrar.Remove(ctx))
	records, _, err := client.Newest(ctx, platform.TopicServers)
	is.NoErr(err)
	is.Equal(len(records), 0)
}

func TestCollectorKeepsNewestStateOfExecution(t *testing.T) {
	is := is.New(t)
	httpServer := httptest.NewServer(NewCollector())
	defer httpServer.Close()
	post := func(e Execution) {
		body, err := json.Marshal(e)
		is.NoErr(err)
		response, err := http.Post(httpServer.URL+"/executions", "application/json", strings.NewReader(string(body)))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
	}
	running := Execution{Server: "s1", Incarnation: 1, Sequence: 1, RequestID: "r", Start: time.UnixMilli(5).UTC()}
	ended := running
	ended.End = time.UnixMilli(9).UTC()
	post(running)
	post(ended)
	response, err := http.Get(httpServer.URL + "/admin/executions?from=0")
	is.NoErr(err)
	defer response.Body.Close()
	var page ExecutionPage
	is.NoErr(json.NewDecoder(response.Body).Decode(&page))
	is.Equal(page, ExecutionPage{Executions: []Execution{ended}, Next: 1})
}

// TestRestoreLosesNewestRecords guards against a restored store that keeps what was appended after its copy was made, loses
// what is older, or does not give the lost offsets out again in a new era.
func TestRestoreLosesNewestRecords(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, address, client := startStore(t)
	_, err := client.Append(ctx, "keyed.x", "a", []byte("old"), 0)
	is.NoErr(err)
	response, err := http.Post("http://"+address+"/admin/forget", "application/json", nil)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	_, err = client.Append(ctx, "keyed.x", "b", []byte("kept"), 1)
	is.NoErr(err)
	copied := time.Now()
	for _, key := range []string{"a", "b", "c"} {
		_, err = client.Append(ctx, "keyed.x", key, []byte("lost"), platform.AnyOffset)
		is.NoErr(err)
	}
	restored := time.Now()
	store.Restore(restored, restored.Sub(copied))
	records, end, err := client.Newest(ctx, "keyed.x")
	is.NoErr(err)
	is.Equal(end, platform.Position{Era: 2, Offset: 2})
	is.Equal(records, []platform.Record{
		{Key: "a", Value: []byte("old"), Offset: 0}, {Key: "b", Value: []byte("kept"), Offset: 1},
	})
	_, next, err := client.Changes(ctx, "keyed.x", platform.Position{Era: 1, Offset: 4}, time.Minute)
	is.True(platform.IsErrExpired(err)) // an offset that the store does not have
	is.Equal(next.Era, uint64(2))
	position, err := client.Append(ctx, "keyed.x", "d", []byte("new"), 2)
	is.NoErr(err)
	is.Equal(position, platform.Position{Era: 2, Offset: 2})
}

// TestRestoredRegistrationIsWrittenAgain guards against a server whose registration the copy lacks, and that stays unknown
// although its heartbeats arrive.
func TestRestoredRegistrationIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store, address, client := startStore(t)
	copied := time.Now()
	server := NewServer(ServerSettings{ID: "s1", Service: "desk", Domain: "a", Slots: 2}, time.UnixMilli(7))
	registrar := NewRegistrar(server, address, "127.0.0.1:9", time.Minute)
	is.NoErr(registrar.SendHeartbeat(ctx))
	restored := time.Now()
	store.Restore(restored, restored.Sub(copied))
	records, _, err := client.Newest(ctx, platform.TopicServers)
	is.NoErr(err)
	is.Equal(len(records), 0)
	is.NoErr(registrar.SendHeartbeat(ctx))
	records, _, err = client.Newest(ctx, platform.TopicServers)
	is.NoErr(err)
	is.Equal(len(records), 1)
}
