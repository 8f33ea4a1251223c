package cmd

import (
	"encoding/json"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBundleCheckExitCodes guards the exit codes, by which scripts decide whether to go on.
func TestBundleCheckExitCodes(t *testing.T) {
	const valid, invalid, warned = "shashat/bundle.yaml", "broken/parent.yaml", "broken/warnings.yaml"
	tests := map[string]struct {
		flags []string
		files []string
		want  ExitCode
		text  string // in the output
	}{
		"valid":                      {files: []string{valid}, want: ExitSuccess, text: "shashat version 1, digest "},
		"valid, strict":              {flags: []string{"-strict"}, files: []string{valid}, want: ExitSuccess},
		"warnings":                   {files: []string{warned}, want: ExitSuccess, text: "8 findings, 8 of them warnings\n"},
		"warnings, strict":           {flags: []string{"-strict"}, files: []string{warned}, want: ExitFailure, text: "warnings.yaml:28:15: warning: inverted_priority: "},
		"errors and warnings":        {files: []string{warned, invalid}, want: ExitFailure, text: "21 findings, 8 of them warnings\n"},
		"errors":                     {files: []string{invalid}, want: ExitFailure, text: "\n13 findings\n"},
		"errors, JSON":               {flags: []string{"-json"}, files: []string{invalid}, want: ExitFailure},
		"missing file beside others": {files: []string{"none.yaml", valid}, want: ExitFailure, text: "shashat version 1, digest "},
		"body fits the memory":       {flags: []string{"-strict", "-memory-mb", "24"}, files: []string{valid}, want: ExitSuccess},
		"body exceeds the memory":    {flags: []string{"-strict", "-memory-mb", "22"}, files: []string{valid}, want: ExitFailure, text: "body_exceeds_memory"},
		"negative memory":            {flags: []string{"-memory-mb", "-1"}, files: []string{valid}, want: ExitUsage},
		"memory too large":           {flags: []string{"-memory-mb", "1000000001"}, files: []string{valid}, want: ExitUsage},
		"two bundles to compare":     {flags: []string{"-parent", "x", "-store", "y"}, files: []string{valid}, want: ExitUsage},
		"unreadable parent":          {flags: []string{"-parent", "none.yaml"}, files: []string{valid}, want: ExitFailure},
		"unreachable store":          {flags: []string{"-store", "127.0.0.1:1", "-timeout", "1s"}, files: []string{valid}, want: ExitFailure},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args := append([]string{"check"}, tc.flags...)
			for _, file := range tc.files {
				args = append(args, filepath.Join(examplesDir, file))
			}
			code, out := newBundleFixture(t).run(args...)
			is.Equal(code, tc.want)
			if !strings.Contains(out, tc.text) {
				t.Errorf("no %q in:\n%s", tc.text, out)
			}
		})
	}
}

// TestBundleCheckComparesWithBundleInForce guards against a check that passes a bundle which the store would not accept, or hides
// what it changes.
func TestBundleCheckComparesWithBundleInForce(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	first := b.writeBundle("first.yaml")
	code, out := b.runWithStore("check", first)
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "no bundle is published; changes:\n  service render_desk added\n"))
	orphan := b.writeBundle("orphan.yaml", successorEdits(t, first)...)
	code, out = b.runWithStore("check", orphan)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "missing_parent"))
	b.sign(first, "salma", "yusuf")
	code, _ = b.publish(first)
	is.Equal(code, ExitSuccess)
	second := b.writeBundle("second.yaml", successorEdits(t, first, "timeout: 2s", "timeout: 3s")...)
	const changes = "second.yaml: changes from version 1:\n  route preview changed\n"
	code, out = b.runWithStore("check", second)
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, changes))
	code, out = b.run("check", "-parent", first, second)
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, changes))
	fork := b.writeBundle("fork.yaml", "timeout: 2s", "timeout: 3s")
	code, out = b.runWithStore("check", fork)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, ": fork: ") && strings.Contains(out, "  route preview changed\n"))
	is.True(!strings.Contains(out, "fork.yaml: shashat version"))
}

// TestBundleCheckPrintsJSON guards the names and types of the JSON output, and lists that are null where scripts expect a list.
func TestBundleCheckPrintsJSON(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	valid := b.writeBundle("valid.yaml")
	check := func(want ExitCode, args ...string) map[string]any {
		t.Helper()
		code, out := b.run(append([]string{"check", "-json"}, args...)...)
		is.Equal(code, want)
		var decoded map[string]any
		is.NoErr(json.Unmarshal([]byte(out[strings.Index(out, "{"):]), &decoded)) // what precedes it goes to standard error
		return decoded
	}
	out := check(ExitSuccess, valid)
	is.Equal(out["findings"], []any{})
	is.Equal(out["failures"], []any{})
	bundle := out["bundles"].([]any)[0].(map[string]any)
	is.Equal(bundle["version"], 1.0)
	is.Equal(bundle["changes"], nil)
	out = check(ExitFailure, "-parent", valid, valid) // a bundle is no successor of itself, and changes nothing
	is.Equal(out["bundles"].([]any)[0].(map[string]any)["changes"], []any{})
	is.Equal(out["findings"].([]any)[0].(map[string]any)["code"], "replay")
	warned := filepath.Join(examplesDir, "broken", "warnings.yaml")
	out = check(ExitFailure, filepath.Join(examplesDir, "broken", "syntax.yaml"), warned, "none.yaml")
	is.Equal(out["errors"], 1.0)
	is.Equal(out["warnings"], 8.0)
	is.Equal(len(out["failures"].([]any)), 1)
	findings := out["findings"].([]any)
	is.Equal(findings[0].(map[string]any)["severity"], "error")
	is.Equal(findings[1], map[string]any{
		"severity": "warning", "code": "unused_service", "file": warned, "line": 19.0, "column": 12.0,
		"message": "service old_shelf has weight 0 in all routes that name it", "expected": "a route with a weight above 0",
	})
}
