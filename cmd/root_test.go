package cmd

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestRunExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"no command":      {args: nil, want: ExitUsage},
		"unknown command": {args: []string{"nonsense"}, want: ExitUsage},
		"help":            {args: []string{"help"}, want: ExitSuccess},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(Run(tc.args, &stdout, &stderr), tc.want)
		})
	}
}
