package bundler

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// laterVersion returns the Shashat example as a later version; edits are pairs of old and new text.
func laterVersion(t *testing.T, version, parent uint64, digest string, edits ...string) *Bundle {
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

// TestCheckSuccessor guards against accepting a bundle that is not based on the newest one.
func TestCheckSuccessor(t *testing.T) {
	first := decodeExample(t, "shashat")
	second := laterVersion(t, 2, 1, first.Digest())
	third := laterVersion(t, 3, 2, second.Digest())
	tests := map[string]struct {
		parent, next *Bundle
		want         reporter.Code
	}{
		"version 1":                   {next: first},
		"version 2":                   {parent: first, next: second},
		"version 3":                   {parent: second, next: third},
		"version 2 without version 1": {next: second, want: "missing_parent"},
		"newest version again":        {parent: second, next: second, want: "replay"},
		"version 2 after version 3":   {parent: third, next: second, want: "older_version"},
		"version 1 after version 2":   {parent: second, next: first, want: "older_version"},
		"version 3 after version 1":   {parent: first, next: third, want: "wrong_parent"},
		"another version 2": {
			parent: second, next: laterVersion(t, 2, 1, first.Digest(), "timeout: 2s", "timeout: 3s"), want: "fork",
		},
		"digest of another parent": {
			parent: second, next: laterVersion(t, 3, 2, strings.Repeat("0", 64)), want: "fork",
		},
		"deployment renamed": {
			parent: first, next: laterVersion(t, 2, 1, first.Digest(), "name: shashat", "name: other"),
			want: "name_changed",
		},
		"service becomes keyed": {
			parent: first, next: laterVersion(t, 2, 1, first.Digest(), "keyed: false", "keyed: true"),
			want: "keyed_changed",
		},
		"service renamed": {parent: first, next: laterVersion(t, 2, 1, first.Digest(), "template_shelf", "shelf")},
		"routes and limits changed": {
			parent: first,
			next:   laterVersion(t, 2, 1, first.Digest(), "timeout: 2s", "timeout: 3s", "body_bytes: 8MiB", "body_bytes: 9MiB"),
		},
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

func TestChangesListsEachDifference(t *testing.T) {
	first := decodeExample(t, "shashat")
	is := is.New(t)
	is.Equal(Changes(first, first), nil)
	is.Equal(Changes(nil, first)[0], "service render_desk added")
	next := laterVersion(t, 2, 1, first.Digest(),
		"name: template_shelf", "name: shelf", "service: template_shelf", "service: shelf",
		"cold_keys: 2s", "cold_keys: 3s", "timeout: 2500ms", "timeout: 3s",
		"name: preview", "name: render_preview", "body_bytes: 8MiB", "body_bytes: 9MiB", "name: noor", "name: nour")
	is.Equal(strings.Join(Changes(first, next), "\n"), strings.Join([]string{
		"service render_desk changed",
		"service shelf added",
		"service template_shelf removed",
		"route render_preview added",
		"route render_order changed",
		"route template_pull changed",
		"route preview removed",
		"limits changed",
		"signers changed",
	}, "\n"))
}
