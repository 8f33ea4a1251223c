package cmd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/meter"
	"github.com/wasabibank/wasabibank/internal/presenter"
	"github.com/wasabibank/wasabibank/internal/tracer"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// adminSource is an instance whose answers a test sets.
type adminSource struct {
	status presenter.Status
	owner  presenter.OwnerAnswer
	events []tracer.Event
}

func (s adminSource) Ready(time.Time) (bool, string)    { return true, "" }
func (s adminSource) Status(time.Time) presenter.Status { return s.status }
func (s adminSource) Timeline() tracer.Page {
	return tracer.Page{Instance: s.status.Instance, Events: s.events}
}
func (s adminSource) Owner(service identifier.ServiceName, _ string) (presenter.OwnerAnswer, error) {
	if service != "desk" {
		return presenter.OwnerAnswer{}, presenter.NewErrNotFound("service")
	}
	return s.owner, nil
}

func newAdminSource(instance identifier.InstanceID, offset identifier.Offset, owner identifier.ServerName) adminSource {
	return adminSource{
		status: presenter.Status{
			Instance: instance, Offset: offset, Ready: presenter.Readiness{Ready: true},
			Roster:  []presenter.Member{{Instance: "a"}, {Instance: "b", Expelled: true, HeardAgoMS: -1}},
			Servers: []presenter.Server{{Name: "s1", Services: []identifier.ServiceName{"desk"}, Front: "a", Term: 4, Running: len(instance)}},
		},
		owner:  presenter.OwnerAnswer{Instance: instance, Offset: offset, Service: "desk", Key: "k", Server: owner, Epoch: 2, Front: "a"},
		events: []tracer.Event{{Instance: instance, Offset: offset, Kind: tracer.KindLeaseGained}},
	}
}

// serveAdmin serves the sources and returns their addresses as -admin takes them.
func serveAdmin(t *testing.T, sources ...adminSource) string {
	t.Helper()
	var addresses []string
	for _, source := range sources {
		server := httptest.NewServer(presenter.NewHandler(source, meter.New(), time.Now))
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return strings.Join(addresses, ",")
}

func TestAdminCommands(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	both := serveAdmin(t, newAdminSource("a", 8, "s1"), newAdminSource("b", 9, "s1"))
	split := serveAdmin(t, newAdminSource("a", 8, "s1"), newAdminSource("b", 9, "s2"))
	partial := both + "," + closed.Listener.Addr().String()
	tests := map[string]struct {
		args   []string
		want   ExitCode
		stdout []string
		stderr string
	}{
		"status":               {[]string{"status", "-admin", both}, ExitDone, []string{"no bundle in force", "expelled", "never"}, ""},
		"status as json":       {[]string{"status", "-admin", both, "-format", "json"}, ExitDone, []string{`"heard_ago_ms": -1`}, ""},
		"status in part":       {[]string{"status", "-admin", partial}, ExitFailure, []string{"s1"}, "no answer"},
		"status of none":       {[]string{"status", "-admin", closed.Listener.Addr().String()}, ExitFailure, nil, "no answer"},
		"owner":                {[]string{"owner", "-admin", both, "desk", "k"}, ExitDone, []string{"owner s1 at epoch 2 since"}, ""},
		"owner as json":        {[]string{"owner", "-admin", both, "-format", "json", "desk", "k"}, ExitDone, []string{`"server": "s1"`}, ""},
		"two owners":           {[]string{"owner", "-admin", split, "desk", "k"}, ExitFailure, []string{"s2"}, "second owner"},
		"owner of no service":  {[]string{"owner", "-admin", both, "shelf", "k"}, ExitFailure, nil, "no such keyed service"},
		"owner without key":    {[]string{"owner", "-admin", both, "desk"}, ExitUsage, nil, "1 arguments, want 2"},
		"time line":            {[]string{"timeline", "-admin", both}, ExitDone, []string{"lease_gained", "2 events of 2 instances"}, ""},
		"time line as html":    {[]string{"timeline", "-admin", both, "-format", "html"}, ExitDone, []string{"<!doctype html>"}, ""},
		"time line in part":    {[]string{"timeline", "-admin", partial, "-order", "clock"}, ExitFailure, []string{"2 events"}, "no answer"},
		"time line, bad order": {[]string{"timeline", "-admin", both, "-order", "size"}, ExitUsage, nil, "offset or clock"},
		"bad format":           {[]string{"status", "-admin", both, "-format", "html"}, ExitUsage, nil, "-format"},
		"no address":           {[]string{"status"}, ExitUsage, nil, "-admin is required"},
		"no such flag":         {[]string{"status", "-nonsense"}, ExitUsage, nil, "nonsense"},
		"help":                 {[]string{"owner", "-h"}, ExitDone, []string{"SERVICE KEY"}, ""},
	}
	cmds := []command{statusCommand(), ownerCommand(), timelineCommand()}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(dispatch("wasabibank", cmds, tc.args, &stdout, &stderr), tc.want)
			for _, want := range tc.stdout {
				is.True(strings.Contains(stdout.String(), want))
			}
			is.True(strings.Contains(stderr.String(), tc.stderr))
		})
	}
}

func TestStatusShowsAServerAsItsFrontSeesIt(t *testing.T) {
	is := is.New(t)
	front, other := newAdminSource("a", 8, "s1"), newAdminSource("b", 9, "s1")
	front.status.Servers[0].Running = 7
	var stdout, stderr bytes.Buffer
	runStatus([]string{"-admin", serveAdmin(t, other, front)}, &stdout, &stderr)
	is.True(strings.Contains(stdout.String(), "7/0"))
}
