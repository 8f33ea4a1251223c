package cmd

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestMeasureUsage(t *testing.T) {
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"help":             {args: []string{"-h"}, want: ExitDone},
		"no directory":     {want: ExitUsage},
		"no seeds":         {args: []string{"-out", "x", "-traffic-seeds", "0"}, want: ExitUsage},
		"an argument":      {args: []string{"-out", "x", "y"}, want: ExitUsage},
		"an unknown flag":  {args: []string{"-nodes", "3"}, want: ExitUsage},
		"help within line": {args: []string{"-out", "x", "-h"}, want: ExitDone},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(measureCommand().run(tt.args, &stdout, &stderr), tt.want)
			is.True(stdout.Len()+stderr.Len() > 0)
		})
	}
}
