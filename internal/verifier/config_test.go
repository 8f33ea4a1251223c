package verifier

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewBundleCutsNoRequest guards against requests that get no answer because a new version of the bundle comes while servers are at
// work on them or while they wait in a queue.
func TestNewBundleCutsNoRequest(t *testing.T) {
	const services = "attempts: 1\n    services:\n      - service: " // of the route of the requests
	change := func(replacements ...string) func(int) []string {
		return func(int) []string { return replacements }
	}
	inTurn := func(replacements ...string) func(int) []string { // with the example bundle
		return func(n int) []string {
			if n%2 == 0 {
				return replacements
			}
			return nil
		}
	}
	tests := map[string]struct {
		slots        string                     // of each server, 40 if empty
		versions     int                        // published one after the other
		replacements func(version int) []string // in the example bundle
		other        int                        // status that requests may get instead of 200, as they are not sent
	}{
		"route dropped":         {versions: 1, replacements: change("prefix: /orders/", "prefix: /dropped/"), other: http.StatusNotFound},
		"route dropped, queued": {slots: "1", versions: 1, replacements: change("prefix: /orders/", "prefix: /dropped/"), other: http.StatusNotFound},
		"route dropped in turn": {versions: 6, replacements: inTurn("prefix: /orders/", "prefix: /dropped/"), other: http.StatusNotFound},
		"route moved":           {versions: 1, replacements: change(services+"render_desk", services+"template_shelf")},
		"route moved in turn":   {versions: 6, replacements: inTurn(services+"render_desk", services+"template_shelf")},
		"weights": {versions: 4, replacements: func(n int) []string {
			return []string{services + "render_desk", fmt.Sprintf("%srender_desk\n        weight: %d\n      - service: template_shelf\n        weight: %d",
				services, 1+n, 4-n)}
		}},
		"timeout lowered":         {versions: 1, replacements: change("timeout: 2500ms", "timeout: 1200ms")},
		"limits lowered":          {versions: 1, replacements: change("body_bytes: 8MiB", "body_bytes: 1KiB", "idle_timeout: 20s", "idle_timeout: 1s", "header_timeout: 5s", "header_timeout: 1s")},
		"service dropped":         {versions: 1, replacements: change("render_desk", "render_desk_2"), other: http.StatusServiceUnavailable},
		"service dropped, queued": {slots: "1", versions: 1, replacements: change("render_desk", "render_desk_2"), other: http.StatusServiceUnavailable},
		"service dropped in turn": {versions: 6, replacements: inTurn("render_desk", "render_desk_2"), other: http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			slots := "40"
			if test.slots != "" {
				slots = test.slots
			}
			c := newCluster(t, defaultSize, "-slots", slots, "-service-time", "900ms", "-jitter", "0")
			var clients []*signalClients
			for _, e := range c.entries {
				clients = append(clients, startSignalClients(t, e))
			}
			time.Sleep(time.Second)
			for n := range test.versions {
				c.publishBundle(test.replacements(n))
				time.Sleep(time.Duration(n) * 150 * time.Millisecond) // the first ones come in quick succession
			}
			time.Sleep(3 * time.Second) // longer than the bound for the application of a bundle
			var results []stopResult
			for _, s := range clients {
				results = append(results, s.end()...)
				is.Equal(s.dials.Load(), int64(signalClientCount))
			}
			runs := c.countExecutions()
			statuses := map[int]int{}
			for _, r := range results {
				statuses[r.status]++
				answered := r.status == http.StatusOK && runs[r.id] == 1
				notSent := runs[r.id] == 0 && (r.status == test.other || r.status == http.StatusServiceUnavailable && test.slots != "")
				if r.err != nil || !answered && !notSent {
					t.Errorf("%s: status %d, executed %d times, %v", r.id, r.status, runs[r.id], r.err)
				}
			}
			t.Logf("requests by status: %v", statuses)
			is.True(statuses[http.StatusOK] > 0)
			is.True(test.versions > 1 || test.other == 0 || statuses[test.other] > 0)
			c.publishBundle(nil)
			await(t, "requests are served again", func() bool {
				status, err := c.entries[0].sendStopRequest(http.DefaultClient, "render.shashat.example", "/orders/a", "last", 0)
				return err == nil && status == http.StatusOK
			})
		})
	}
}
