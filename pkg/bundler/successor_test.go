package bundler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// versioned returns the Shashat example as a later version; edits are pairs of old and new text.
func versioned(t *testing.T, version, parent uint64, digest string, edits ...string) *Bundle {
	t.Helper()
	lineage := fmt.Sprintf("version: %d\nparent_version: %d\nparent_digest: %q\n", version, parent, digest)
	raw := strings.Replace(string(readExample(t, "shashat", "bundle.yaml")), "version: 1\n", lineage, 1)
	raw = strings.NewReplacer(edits...).Replace(raw)
	bundle, err := Decode("next", []byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

func TestCheckSuccessor(t *testing.T) {
	first := openExample(t, "shashat")
	second := versioned(t, 2, 1, first.Digest())
	third := versioned(t, 3, 2, second.Digest())
	tests := map[string]struct {
		parent, next *Bundle
		want         reporter.Code
	}{
		"first":              {next: first},
		"second":             {parent: first, next: second},
		"third":              {parent: second, next: third},
		"second without one": {next: second, want: "missing_parent"},
		"replay":             {parent: second, next: second, want: "replay"},
		"older":              {parent: third, next: second, want: "older_version"},
		"first again":        {parent: second, next: first, want: "older_version"},
		"skips one":          {parent: first, next: third, want: "wrong_parent"},
		"competing":          {parent: second, next: versioned(t, 2, 1, first.Digest(), "rate: 600", "rate: 601"), want: "fork"},
		"other parent":       {parent: second, next: versioned(t, 3, 2, strings.Repeat("0", 64)), want: "fork"},
		"name":               {parent: first, next: versioned(t, 2, 1, first.Digest(), "name: shashat", "name: other"), want: "name_changed"},
		"partitions":         {parent: first, next: versioned(t, 2, 1, first.Digest(), "partitions: 480", "partitions: 479"), want: "partitions_changed"},
		"keyed": {parent: first, next: versioned(t, 2, 1, first.Digest(), "keyed: false", "keyed: true\n    partitions: 4",
			"hedged: true", "hedged: false"), want: "keyed_changed"},
		"renamed service": {parent: first, next: versioned(t, 2, 1, first.Digest(), "name: template_shelf", "name: shelf"), want: "server_moved"},
		"address":         {parent: first, next: versioned(t, 2, 1, first.Digest(), "10.21.1.11", "10.21.9.11"), want: "address_changed"},
		"address reused":  {parent: first, next: versioned(t, 2, 1, first.Digest(), "name: render_01", "name: render_31"), want: "address_reused"},
		"timings": {parent: first, next: versioned(t, 2, 1, first.Digest(), "routing_lease: 1s", "routing_lease: 2s",
			"grant_ttl: 800ms", "grant_ttl: 700ms", "outage_limit: 15m", "outage_limit: 1h")},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := CheckSuccessor(tc.parent, tc.next)
			if tc.want == "" {
				is.NoErr(err)
				return
			}
			if !reporter.HasCode(err, tc.want) {
				t.Errorf("no finding %s in: %v", tc.want, err)
			}
			is.True(reporter.FindingsOf(err)[0].Place().Line() > 0)
		})
	}
}

func TestChanges(t *testing.T) {
	first := openExample(t, "shashat")
	is := is.New(t)
	is.Equal(Changes(first, first), nil)
	is.Equal(Changes(nil, first)[0], "service render_desk added with 15 servers")
	next := versioned(t, 2, 1, first.Digest(), "leaving: false", "leaving: true", "name: shelf_10", "name: shelf_11",
		"10.22.2.20", "10.22.2.21", "deadline: 30s", "deadline: 40s", "heartbeat: 100ms", "heartbeat: 50ms",
		"retired_instances: []", "retired_instances: [i1]", "slots: 3", "slots: 4")
	is.Equal(strings.Join(Changes(first, next)[14:], "\n"), strings.Join([]string{
		"server render_15 changed",
		"server shelf_01 changed",
		"server shelf_02 changed",
		"server shelf_03 changed",
		"server shelf_04 changed",
		"server shelf_05 changed",
		"server shelf_06 changed",
		"server shelf_07 changed",
		"server shelf_08 changed",
		"server shelf_09 changed",
		"server shelf_11 added",
		"server shelf_10 removed",
		"classes of template_shelf changed",
		"timings changed",
		"instance i1 retired",
	}, "\n"))
}
