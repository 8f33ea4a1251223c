package bundler

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

const examplesDir = "../../docs/examples"

// readExample returns the content of the file at parts under examplesDir.
func readExample(t testing.TB, parts ...string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(append([]string{examplesDir}, parts...)...))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// decodeExample decodes the example bundle of deployment.
func decodeExample(t testing.TB, deployment string) *Bundle {
	t.Helper()
	bundle, err := Decode(deployment, readExample(t, deployment, "bundle.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

func TestExampleBundlesDecode(t *testing.T) {
	tests := map[string]struct {
		deployment, route, service string
		idempotent, keyed          bool
		connections                int
	}{
		"preview": {
			deployment: "shashat", route: "preview", service: "render_desk", idempotent: true, keyed: true,
			connections: 110,
		},
		"render order": {
			deployment: "shashat", route: "render_order", service: "render_desk", keyed: true, connections: 110,
		},
		"template pull": {
			deployment: "shashat", route: "template_pull", service: "template_shelf", idempotent: true, connections: 110,
		},
		"lookup": {
			deployment: "federation", route: "lookup", service: "checklist_desk", idempotent: true, keyed: true,
			connections: 120,
		},
		"sign-off": {
			deployment: "federation", route: "sign_off", service: "checklist_desk", keyed: true, connections: 120,
		},
		"archive read": {
			deployment: "federation", route: "archive_read", service: "records_vault", idempotent: true,
			connections: 120,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			bundle := decodeExample(t, tc.deployment)
			route, ok := bundle.route(tc.route)
			is.True(ok)
			is.Equal(route.Idempotent, tc.idempotent)
			is.Equal(route.Services[0].Service, tc.service)
			service, ok := bundle.service(tc.service)
			is.True(ok)
			is.Equal(service.Keyed, tc.keyed)
			is.Equal(service.MaxConnections, tc.connections)
			is.Equal(bundle.Limits().IdleTimeout, 20*time.Second)
		})
	}
}

func TestBrokenExamplesReportAllFindingsTogether(t *testing.T) {
	tests := map[string][]reporter.Code{
		"doubled_and_unknown.yaml": {"doubled_key", "unknown_key", "doubled_public_key", "doubled_service", "doubled_route",
			"doubled_prefix", "unknown_service"},
		"self_sign_off.yaml": {"self_sign_off", "too_few", "missing_key", "not_keyed", "out_of_range"},
		"wrong_units.yaml":   {"wrong_unit", "wrong_form", "wrong_type", "out_of_range"},
		"alias_bomb.yaml":    {"alias_refused", "anchor_refused", "missing_key"},
		"parent.yaml":        {"wrong_parent", "wrong_form", "unknown_signer", "too_few", "missing_key", "out_of_range"},
		"syntax.yaml":        {"syntax"},
	}
	files, err := os.ReadDir(filepath.Join(examplesDir, "broken"))
	is.New(t).NoErr(err)
	// warnings.yaml has no error; TestReviewOfExampleFindsEveryWarningAtItsLine reads it.
	is.New(t).Equal(len(files), len(tests)+1)
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
