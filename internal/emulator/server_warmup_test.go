package emulator

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/platform"
)

// TestColdServerSaysSo guards against a stand-in that is cold and is taken for a warm one, or the reverse.
func TestColdServerSaysSo(t *testing.T) {
	tests := map[string]struct {
		settings    ServerSettings
		faults      []ServerFaults // set one after the other
		least, most time.Duration  // the time that it may name
	}{
		"warm":                           {},
		"cold start":                     {settings: ServerSettings{StartWarmup: time.Minute}, least: 50 * time.Second, most: time.Minute},
		"turns cold":                     {faults: []ServerFaults{{WarmupMS: 60_000}}, least: 50 * time.Second, most: time.Minute},
		"turns warm":                     {settings: ServerSettings{StartWarmup: time.Minute}, faults: []ServerFaults{{WarmupMS: 1}, {}}},
		"another fault, still cold":      {settings: ServerSettings{StartWarmup: time.Minute}, faults: []ServerFaults{{Shed: true}}, least: 50 * time.Second, most: time.Minute},
		"another fault, no warm-up anew": {faults: []ServerFaults{{WarmupMS: 60_000}, {WarmupMS: 60_000, Shed: true}}, least: 50 * time.Second, most: time.Minute},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(tc.settings, time.Now())
			for _, f := range tc.faults {
				server.SetFaults(f)
			}
			registered := server.Registration("127.0.0.1:1").WarmupLeft
			is.True(registered >= tc.least && registered <= tc.most)
			w := httptest.NewRecorder()
			server.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
			named, err := time.ParseDuration(w.Header().Get(platform.HeaderWarmup) + "ms")
			is.NoErr(err)
			is.True(named >= tc.least && named <= tc.most)
		})
	}
}

// TestColdServerCountsArrivals guards against a stand-in that misses requests over its limit, or counts those that it rejects
// because another server owns the key.
func TestColdServerCountsArrivals(t *testing.T) {
	is := is.New(t)
	server := NewServer(ServerSettings{ID: "s1", Keyed: true, StartWarmup: time.Minute, WarmupLimit: 2}, time.Now())
	is.True(server.Grant(newGrant(0, 9, 5)))
	for range 3 {
		is.Equal(sendRequest(server, 7).Code, http.StatusOK)
		is.Equal(sendRequest(server, 10).Code, http.StatusMisdirectedRequest)
	}
	is.Equal(server.counts.MostCold, 3)
	is.Equal(server.counts.OverWarmupLimit, 1)
	server.SetFaults(ServerFaults{WarmupMS: 1})
	server.SetFaults(ServerFaults{})
	is.Equal(sendRequest(server, 7).Code, http.StatusOK)
	is.Equal(server.counts.MostCold, 3) // a warm server does not count
}

func TestArrivalsInAnySecond(t *testing.T) {
	is := is.New(t)
	var a arrivals
	start := time.UnixMilli(1)
	for _, ms := range []int{0, 400, 900, 1000, 1399, 1400, 3000} {
		a.add(start.Add(time.Duration(ms) * time.Millisecond))
	}
	is.Equal(a.most, 4) // 400 to 1399 ms
	is.Equal(len(a.recent), 1)
}

func TestServerNamesItsLoad(t *testing.T) {
	tests := map[string]struct {
		settings ServerSettings
		faults   ServerFaults
		load     string
	}{
		"not asked for": {},
		"idle":          {settings: ServerSettings{NamesLoad: true, Slots: 3}, load: "0,0,3,100"},
		"slow":          {settings: ServerSettings{NamesLoad: true, Slots: 3}, faults: ServerFaults{SlowFactor: 2.5}, load: "0,0,3,250"},
		"false load":    {faults: ServerFaults{Load: "9,-1"}, load: "9,-1"},
		"rejection":     {settings: ServerSettings{NamesLoad: true}, faults: ServerFaults{Shed: true}, load: "0,0,1,100"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := NewServer(tc.settings, time.Now())
			server.SetFaults(tc.faults)
			is.Equal(sendRequest(server, 7).Header().Get(platform.HeaderLoad), tc.load)
		})
	}
}
