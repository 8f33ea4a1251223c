package controller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wasabibank/wasabibank/internal/forwarder"
	"github.com/wasabibank/wasabibank/internal/limiter"
	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/resolver"
	"github.com/wasabibank/wasabibank/platform"
)

// newTestController returns a Controller whose store is served by handler.
func newTestController(t *testing.T, handler http.HandlerFunc) *Controller {
	t.Helper()
	store := startTestServer(t, handler)
	counters := meter.New()
	c := New(Options{
		Self: resolver.Member{Instance: "self", Domain: "d"}, Store: platform.NewStore(store),
		Forwarder: forwarder.New(forwarder.HeaderNames{}, limiter.New(limiter.Settings{}), counters), Meter: counters,
	})
	t.Cleanup(c.stop)
	return c
}

// startTestServer starts a server and returns its address.
func startTestServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}
