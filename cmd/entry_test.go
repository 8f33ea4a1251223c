package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEntryCheckReportsSettingsProblems(t *testing.T) {
	complete, err := os.ReadFile(filepath.Join(examplesDir, "node.conf"))
	is.New(t).NoErr(err)
	broken := strings.NewReplacer("self.zone=muscat_a\n", "", "memory_mb=256", "memory_mb=much").Replace(string(complete))
	tests := map[string]struct {
		text     string
		want     ExitCode
		problems []string
	}{
		"complete":      {text: string(complete), want: ExitSuccess},
		"unknown field": {text: string(complete) + "new.field=1\n", want: ExitSuccess},
		"missing and malformed field": {
			text: broken, want: ExitUsage,
			problems: []string{"2 problems", "self.zone: missing", "memory_mb: not a number"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "node.conf")
			is.NoErr(os.WriteFile(path, []byte(tc.text), 0o600))
			var out bytes.Buffer
			is.Equal(Run([]string{"entry", "-check", "-settings", path}, &out, &out), tc.want)
			for _, problem := range tc.problems {
				is.True(strings.Contains(out.String(), problem))
			}
		})
	}
}
