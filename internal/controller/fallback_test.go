package controller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/platform"
)

// TestInstanceThatIsCutOffReadsThroughOneThatIsNot guards against configurations that are applied seconds late by an instance that
// reaches neither the store nor most other instances: with one asked at a time, each that does not answer took 0.7 s.
func TestInstanceThatIsCutOffReadsThroughOneThatIsNot(t *testing.T) {
	for reached := range 3 {
		t.Run(fmt.Sprint("reaches ", reached), func(t *testing.T) {
			is := is.New(t)
			silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // else the server does not notice that the client has disconnected
				<-r.Context().Done()
			}))
			defer silent.Close()
			var reachable, directStore countingStore
			directStore.fails.Store(true)
			_, address := newRelay(t, &reachable)
			others := slices.Repeat([]string{strings.TrimPrefix(silent.URL, "http://")}, 3)
			others[reached] = address
			c := newTestController(t, directStore.ServeHTTP)
			c.sources.Store(&sources{others: others, domainSize: 1})
			// One read must do, whichever instance would have been asked first.
			records, next, err := c.readNext(context.Background(), &watcher{topic: serversTopic, next: platform.Position{Offset: 7}})
			is.NoErr(err)
			is.Equal(len(records), 1)
			is.Equal(next, platform.Position{Offset: 8})
			is.Equal(directStore.calls.Load(), int32(1))
		})
	}
}

// TestOthersAreSpread guards against rounds that ask neighbours in the list, which are in one failure domain, or the same ones again.
func TestOthersAreSpread(t *testing.T) {
	is := is.New(t)
	var others []string
	for domain := range 4 {
		for i := range 6 {
			others = append(others, fmt.Sprint(domain, "-", i))
		}
	}
	is.Equal(chooseOthers(others, 0), []string{"0-0", "1-2", "2-4"})
	is.Equal(chooseOthers(others, 1), []string{"0-1", "1-3", "2-5"})
	is.Equal(chooseOthers(others[:2], 0), []string{"0-0", "0-1"})
	is.Equal(len(chooseOthers(nil, 3)), 0)
	asked := map[string]bool{}
	for round := range len(others) {
		for _, address := range chooseOthers(others, round) {
			asked[address] = true
		}
	}
	is.Equal(len(asked), len(others))
}
