package bundler

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter"
)

const examples = "../../docs/examples"

func readExample(t testing.TB, parts ...string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(append([]string{examples}, parts...)...))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func openExample(t testing.TB, deployment string) *Bundle {
	t.Helper()
	bundle, err := Decode(deployment, readExample(t, deployment, "bundle.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

func TestExamplesHaveTheSizesOfTheBrief(t *testing.T) {
	tests := map[string]struct {
		deployment  string
		service     identifier.ServiceName
		keyed       bool
		servers     int
		slots       int
		connections int
	}{
		"render desk":     {deployment: "shashat", service: "render_desk", keyed: true, servers: 15, slots: 3, connections: 100},
		"template shelf":  {deployment: "shashat", service: "template_shelf", servers: 10, slots: 3, connections: 100},
		"checklist desk":  {deployment: "federation", service: "checklist_desk", keyed: true, servers: 15, slots: 2, connections: 120},
		"records archive": {deployment: "federation", service: "records_archive", servers: 15, slots: 2, connections: 120},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bundle := openExample(t, tc.deployment)
			is.Equal(len(bundle.Domains()), 4)
			service, ok := bundle.GetServiceByName(tc.service)
			is.True(ok)
			is.Equal(service.Keyed(), tc.keyed)
			is.Equal(service.Partitions() > 0, tc.keyed)
			is.Equal(len(service.Servers()), tc.servers)
			for _, server := range service.Servers() {
				is.Equal(server.Slots(), tc.slots)
				is.Equal(server.Connections(), tc.connections)
				is.Equal(server.ConnectTime(), time.Millisecond)
				found, of, ok := bundle.GetServerByName(server.Name())
				is.True(ok && of == tc.service && found == server)
			}
			is.Equal(bundle.Timings(), DefaultTimings())
		})
	}
}

func TestExampleClasses(t *testing.T) {
	tests := map[string]struct {
		deployment   string
		service      identifier.ServiceName
		method, rest string
		want         identifier.ClassName
		idempotent   bool
		mayWait      bool
	}{
		"preview":       {deployment: "shashat", service: "render_desk", method: "GET", rest: "/preview/de/1", want: "preview", idempotent: true},
		"render order":  {deployment: "shashat", service: "render_desk", method: "POST", rest: "/orders", want: "render_order"},
		"template pull": {deployment: "shashat", service: "template_shelf", method: "GET", want: "template_pull", idempotent: true, mayWait: true},
		"lookup":        {deployment: "federation", service: "checklist_desk", method: "GET", want: "lookup", idempotent: true},
		"sign-off":      {deployment: "federation", service: "checklist_desk", method: "POST", rest: "sign_offs", want: "sign_off"},
		"record read":   {deployment: "federation", service: "records_archive", method: "GET", rest: "/2024", want: "record_read", idempotent: true, mayWait: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service, _ := openExample(t, tc.deployment).GetServiceByName(tc.service)
			class, ok := service.ClassFor(tc.method, tc.rest)
			is.True(ok)
			is.Equal(class.Name(), tc.want)
			is.Equal(class.Idempotent(), tc.idempotent)
			is.Equal(class.MayWait(), tc.mayWait)
		})
	}
}

func TestBrokenExamplesReportAllFindingsTogether(t *testing.T) {
	tests := map[string][]reporter.Code{
		"doubled_and_unknown.yaml": {"doubled_key", "unknown_key", "doubled_public_key", "doubled_failure_domain",
			"missing_caller", "unreachable_class", "doubled_server", "doubled_address", "unknown_failure_domain"},
		"self_sign_off.yaml": {"self_sign_off", "too_few", "missing_key", "not_keyed"},
		"wrong_units.yaml": {"wrong_unit", "wrong_form", "wrong_type", "out_of_range", "not_idempotent",
			"detection_too_short", "grant_too_long", "move_too_slow", "unknown_failure_domain"},
		"alias_bomb.yaml": {"alias_refused", "anchor_refused", "missing_key"},
		"parent.yaml": {"wrong_parent", "wrong_form", "unknown_signer", "missing_caller", "too_few", "missing_key",
			"not_idempotent", "hedged_keyed", "out_of_range"},
		"syntax.yaml": {"syntax"},
	}
	files, err := os.ReadDir(filepath.Join(examples, "broken"))
	is.New(t).NoErr(err)
	is.New(t).Equal(len(files), len(tests))
	for name, codes := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bundle, err := Decode(name, readExample(t, "broken", name))
			is.True(bundle == nil)
			for _, code := range codes {
				if !reporter.HasCode(err, code) {
					t.Errorf("no finding %s in:\n%v", code, err)
				}
			}
			for _, finding := range reporter.FindingsOf(err) {
				is.True(finding.Place().Line() > 0 && finding.Place().Column() > 0)
			}
		})
	}
}
