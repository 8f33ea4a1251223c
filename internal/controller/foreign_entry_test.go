package controller

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/cataloger"
	"github.com/wasabibank/wasabibank/internal/granter"
	"github.com/wasabibank/wasabibank/internal/matcher"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

// TestReusedAddressEndsNoLease guards against a second owner of the keys of a server whose registration has expired, although the
// server may live, because another registration has its address: one by another writer, for any service.
func TestReusedAddressEndsNoLease(t *testing.T) {
	tests := map[string]cataloger.Server{
		"service that is not configured": {ID: "agent", Service: "metrics", Address: "a:1", Domain: "d", Slots: 1},
		"the same service":               {ID: "c", Service: "desk", Address: "a:1", Domain: "d", Slots: 1},
	}
	for name, foreign := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			c := newTestController(t, http.NotFound)
			c.table = matcher.NewTable(bundler.New(1, []bundler.Service{{Name: "desk", Keyed: true}}, nil, bundler.Limits{}))
			c.catalogRead = true
			g := granter.New(GrantSettings, now, 1, nil, now)
			c.leaderState = &leaderState{leaderTerm: leaderTerm{granter: g}}
			for _, id := range []string{"a", "b"} {
				c.catalog.Put(now, time.Second, cataloger.Server{ID: id, Service: "desk", Address: id + ":1", Domain: "d", Slots: 1})
			}
			c.setServers(now)
			_, sequence, _ := g.Plan()
			g.SetStoredPlans(sequence, sequence)
			for range 2 { // the first Tick frees ranges, or sees that the plan is stored
				for _, order := range g.Tick(now) {
					g.CompleteGrant(now, order.(granter.Grant), granter.Accepted)
				}
			}

			now = now.Add(time.Second)
			c.catalog.Put(now, time.Second, foreign)
			c.catalog.Remove(now, now, "a")
			c.setServers(now)
			for range 3 {
				for _, order := range g.Tick(now) {
					grant, ok := order.(granter.Grant)
					is.True(!ok || grant.Server == "b") // a is only asked to release
					if ok {
						g.CompleteGrant(now, grant, granter.Accepted)
					}
				}
				_, sequence, _ := g.Plan()
				g.SetStoredPlans(sequence, sequence)
			}
			owners := map[string]bool{}
			for _, s := range g.Segments(now) {
				owners[s.Server] = true
			}
			is.Equal(owners, map[string]bool{"a": true, "b": true})
		})
	}
}
