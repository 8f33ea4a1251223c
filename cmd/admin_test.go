package cmd

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/inspector"
	"github.com/wasabibank/wasabibank/internal/recorder"
)

// fakeSource answers the queries of the admin API with fixed data.
type fakeSource struct {
	name   string
	server string
}

func (s fakeSource) Status(context.Context) (inspector.Status, error) {
	return inspector.Status{
		Instance: s.name, Domain: "muscat_a", Ready: true, BundleVersion: 3,
		Leader:   inspector.Leader{Instance: "entry_1", Term: 5},
		IsLeader: s.name == "entry_1", StoreUnreachable: s.name == "entry_2",
		OwnerMapVersion: inspector.Version{Term: 5, Sequence: 7},
		Members: []inspector.Member{{Instance: s.name, Domain: "muscat_a", Address: "127.0.0.2:7720", Capacity: 320,
			LostServices: []inspector.LostService{{Service: "render_desk", LostSeconds: 2.5}}}},
		Servers: []inspector.Server{{
			ID: "render_01", Service: "render_desk", State: "ready", Slots: 3, Ranges: 1, Keys: 65536, Dispatcher: "entry_1",
			Limited: true, Limit: 2.5, LimitedSeconds: 61, Unreachable: s.name == "entry_2",
			Domain: "muscat_b", ColdSeconds: 4.5,
		}},
		Evacuated: []inspector.EvacuatedDomain{{Domain: "muscat_b", EvacuatedSeconds: 7}},
		Barred: []inspector.BarredRequest{{
			Fingerprint: "00000000000000f7", Request: "GET h/x", Crashes: 3, BarredSeconds: 1.5,
		}},
	}, nil
}

func (s fakeSource) Owner(service string, key uint16) (inspector.OwnerAnswer, error) {
	if service != "render_desk" {
		return inspector.OwnerAnswer{}, inspector.NewErrNotFound("keyed service: " + service)
	}
	return inspector.OwnerAnswer{
		Instance: s.name, OwnerMapVersion: inspector.Version{Term: 5, Sequence: 7}, Service: service, Key: key, Server: s.server,
	}, nil
}

func (s fakeSource) Timeline() recorder.InstanceEvents {
	return recorder.InstanceEvents{Instance: s.name, Events: []recorder.Event{
		{Time: time.Unix(1_700_000_000, 0).UTC(), Instance: s.name, Message: "became leader", Fields: "term=5"},
	}}
}

// startAdminServers serves the admin API of each instance and returns their addresses, separated by commas.
func startAdminServers(t *testing.T, instances ...fakeSource) string {
	t.Helper()
	var addresses []string
	for _, s := range instances {
		server := httptest.NewServer(inspector.NewHandler(s, http.NotFoundHandler()))
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return strings.Join(addresses, ",")
}

func TestAdminCommandsPrintAnswersOfAllInstances(t *testing.T) {
	entry1, entry2 := fakeSource{name: "entry_1", server: "render_01"}, fakeSource{name: "entry_2", server: "render_01"}
	conflicting := fakeSource{name: "entry_3", server: "render_02"}
	tests := map[string]struct {
		instances   []fakeSource
		unreachable bool // another instance does not answer
		args        []string
		code        ExitCode
		want        []string
	}{
		"status": {
			instances: []fakeSource{entry1, entry2}, args: []string{"status"},
			want: []string{
				"itself", // entry_1 is the leader
				"lost",   // entry_2 can't reach the store
				"5.7", "render_01  render_desk", "127.0.0.2:7720",
				"render_01       2.5                1m1s", "GET h/x         00000000000000f7  3        1.5s",
				"render_01    render_desk  4.5s", "muscat_b          1        7s",
				"entry_1                 render_desk  2.5s", "entry_2   render_01           render_desk  entry_1",
			},
		},
		"status as JSON": {
			instances: []fakeSource{entry1}, args: []string{"status", "-format", "json"}, want: []string{`"bundle_version": 3`},
		},
		"owner": {
			instances: []fakeSource{entry1, entry2}, args: []string{"owner"}, want: []string{"entry_1", "entry_2", "render_01"},
		},
		"two owners at one version": {
			instances: []fakeSource{entry1, conflicting}, args: []string{"owner"}, code: ExitFailure,
			want: []string{"conflicting owners: entry_1 names render_01"},
		},
		"two owners at one version, an instance does not answer": {
			instances: []fakeSource{entry1, conflicting}, unreachable: true, args: []string{"owner"}, code: ExitFailure,
			want: []string{"conflicting owners: entry_1 names render_01", "no answer"},
		},
		"timeline": {
			instances: []fakeSource{entry1, entry2}, args: []string{"timeline"},
			want: []string{"became leader  term=5", "2 events of 2 instances"},
		},
		"timeline as HTML": {
			instances: []fakeSource{entry1}, args: []string{"timeline", "-format", "html"}, want: []string{"<b>became leader</b>"},
		},
		"timeline as JSON": {
			instances: []fakeSource{entry1}, args: []string{"timeline", "-format", "json"},
			want: []string{`"message": "became leader"`},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addresses := startAdminServers(t, tc.instances...)
			if tc.unreachable {
				closed := httptest.NewServer(http.NotFoundHandler())
				addresses += "," + closed.Listener.Addr().String()
				closed.Close()
			}
			args := append([]string{tc.args[0], "-admin", addresses}, tc.args[1:]...)
			if tc.args[0] == "owner" {
				args = append(args, "render_desk", "77")
			}
			var out bytes.Buffer
			is.Equal(Run(args, &out, &out), tc.code)
			for _, want := range tc.want {
				if !strings.Contains(out.String(), want) {
					t.Errorf("no %q in:\n%s", want, out.String())
				}
			}
		})
	}
}

func TestAdminExitCodes(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	address := closed.Listener.Addr().String()
	closed.Close()
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"no addresses":        {args: []string{"status"}, want: ExitUsage},
		"help":                {args: []string{"owner", "help"}, want: ExitSuccess},
		"unknown format":      {args: []string{"status", "-admin", address, "-format", "xml"}, want: ExitUsage},
		"no key":              {args: []string{"owner", "-admin", address, "desk"}, want: ExitUsage},
		"key is not a number": {args: []string{"owner", "-admin", address, "desk", "abc"}, want: ExitUsage},
		"timeline, no answer": {args: []string{"timeline", "-admin", address, "-timeout", "2s"}, want: ExitFailure},
		"status, no answer":   {args: []string{"status", "-admin", address, "-timeout", "2s"}, want: ExitFailure},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			is.New(t).Equal(Run(tc.args, &out, &out), tc.want)
		})
	}
}

// TestTermsAreShownByEra guards against terms that nobody can read because the era of the store is in their high bits.
func TestTermsAreShownByEra(t *testing.T) {
	is := is.New(t)
	is.Equal(termText(4), "4")
	is.Equal(termText(1<<31|4), "1:4")
	is.Equal(versionText(inspector.Version{Term: 2<<31 | 7, Sequence: 9}), "2:7.9")
}
