package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/partitioner"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

// TestHolderOfTheAddressEndsAServer guards against keys that wait for the leader lease of the previous leader although their owner has
// ended, and against a second owner if another writer's entry names the address of a server that lives.
func TestHolderOfTheAddressEndsAServer(t *testing.T) {
	tests := map[string]struct {
		answersAs  string // empty: no answer
		status     int
		registered bool  // the holder
		twoPlaces  bool  // another writer has put an entry with another address under the id of the server
		planned    int64 // incarnation that the plan names; the server's is 5
		questions  int   // that are sent in three rounds
		ended      bool
	}{
		"another server holds the address":     {planned: 5, answersAs: "b", status: 421, registered: true, questions: 2, ended: true},
		"it answers as if it were meant":       {planned: 5, answersAs: "b", status: 200, registered: true, questions: 2, ended: true},
		"the server itself answers":            {planned: 5, answersAs: "a", status: 200, registered: true, questions: 3},
		"nobody answers":                       {planned: 5, registered: true, questions: 3},
		"a server answers that is not known":   {planned: 5, answersAs: "c", status: 421, registered: true, questions: 3},
		"an answer that is no health check's":  {planned: 5, answersAs: "b", status: 400, registered: true, questions: 3},
		"nobody is registered at the address":  {planned: 5, answersAs: "b", status: 421},
		"a later incarnation may have leases":  {answersAs: "b", status: 421, registered: true, planned: 6},
		"the plan names no incarnation":        {answersAs: "b", status: 421, registered: true},
		"the address of the server is unclear": {planned: 5, answersAs: "b", status: 421, registered: true, twoPlaces: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := startTestServer(t, func(w http.ResponseWriter, r *http.Request) {
				is.Equal(r.Header.Get(platform.HeaderTarget), "a")
				is.Equal(r.URL.Path, "/ok") // of the service of the server that is registered at the address
				if test.answersAs == "" {
					panic(http.ErrAbortHandler)
				}
				w.Header().Set(platform.HeaderServer, test.answersAs)
				w.WriteHeader(test.status)
			})
			c := newTestController(t, http.NotFound)
			c.table = matcher.NewTable(bundler.New(1, []bundler.Service{
				{Name: "desk", Keyed: true, HealthPath: "/health"}, {Name: "vault", HealthPath: "/ok"},
			}, nil, bundler.Limits{}))
			c.catalogRead = true
			now := time.Unix(1000, 0)
			g := granter.New(GrantSettings, now, 2, []granter.Assignment{
				{Service: "desk", Range: partitioner.Range{Last: partitioner.MaxKey}, Server: "a", Incarnation: test.planned},
			}, now.Add(24*time.Second))
			l := &leaderState{leaderTerm: leaderTerm{granter: g}}
			c.leaderState = l
			if test.twoPlaces {
				c.catalog.Put(now, time.Second, cataloger.Server{ID: "a", Service: "desk", Address: "10.0.0.9:1", Slots: 1, Incarnation: 5})
			}
			c.catalog.Put(now, time.Second, cataloger.Server{ID: "a", Service: "desk", Address: address, Slots: 1, Incarnation: 5})
			c.catalog.Remove(now, now, "a")
			c.catalog.Put(now, time.Second, cataloger.Server{ID: "d", Service: "desk", Address: "10.0.0.8:1", Slots: 1, Incarnation: 5})
			if test.registered {
				c.catalog.Put(now, time.Second, cataloger.Server{ID: "b", Service: "vault", Address: address, Slots: 1, Incarnation: 9})
			}
			c.setServers(now)
			g.CompleteGrant(now, g.Tick(now)[0].(granter.Grant), granter.NotSent)

			for range 3 {
				now = now.Add(600 * time.Millisecond)
				sent := c.options.Meter.Get(meter.HolderQuestions)
				c.askHolders(now)
				if c.options.Meter.Get(meter.HolderQuestions) > sent {
					event := <-c.events
					event(now)
				}
			}
			is.Equal(c.options.Meter.Get(meter.HolderQuestions), int64(test.questions))
			is.Equal(c.options.Meter.Get(meter.HoldersEnded) == 1, test.ended)
			is.Equal(g.Segments(now)[0].Server == "d", test.ended) // the next owner, once the plan is stored
		})
	}
}
