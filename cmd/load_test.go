package cmd

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/loadtester"
)

func TestLoadVerdictCountsCollectedExecutions(t *testing.T) {
	tests := map[string]struct {
		posts int
		code  ExitCode
		want  string
	}{
		"executed once": {
			posts: 1, code: ExitSuccess, want: "30 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners",
		},
		"executed twice": {
			posts: 2, code: ExitFailure, want: "30 answered, 0 not run, 0 unknown, 30 doubled, 0 cut, 0 second owners",
		},
		"answered but not collected": {
			posts: 0, code: ExitFailure, want: "30 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners" +
				", 30 answered but not executed",
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			collector := startStandin(t, standin{name: "collector", handler: emulator.NewCollector()})
			post := newExecutionPoster(collector)
			collect := func(e emulator.Execution) {
				for i := range tc.posts {
					e.Sequence += 1000 * i
					post(e)
				}
			}
			// A stand-in server takes the place of an entry instance.
			entry := startStandin(t, standin{
				name: "server", handler: newStandinServer(emulator.ServerSettings{Slots: 8, QueueLimit: 100, OnExecution: collect})})
			args := []string{"load", "-entries", entry, "-executions", collector, "-settle", "0s", "-format", "line",
				"-host", "a.example", "-method", "POST", "-at-most-once", "-body-bytes", "99", "-rate", "1000", "-count", "30"}
			var stdout, stderr bytes.Buffer
			is.Equal(Run(args, &stdout, &stderr), tc.code)
			is.Equal(strings.TrimSpace(stdout.String()), tc.want)
		})
	}
}

// TestLoadEndedByASignalFails guards against a part of a load that scripts take for the whole one.
func TestLoadEndedByASignalFails(t *testing.T) {
	is := is.New(t)
	entry := startStandin(t, standin{
		name: "server", handler: newStandinServer(emulator.ServerSettings{Slots: 8, QueueLimit: 100})})
	stderr := &signallingWriter{t: t}
	var stdout bytes.Buffer
	args := []string{"load", "-entries", entry, "-host", "h", "-path", "/a/", "-rate", "100", "-count", "100000", "-progress", "5"}
	is.Equal(Run(args, &stdout, stderr), ExitFailure)
	is.True(strings.Contains(stderr.text.String(), "ended by a signal"))
	is.True(strings.Contains(stdout.String(), "answered"))
}

// signallingWriter sends SIGTERM to its own process at the first write. The text must not be read before the last write.
type signallingWriter struct {
	t    *testing.T
	once sync.Once
	text bytes.Buffer
}

func (w *signallingWriter) Write(p []byte) (int, error) {
	w.once.Do(func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			w.t.Error(err)
		}
	})
	return w.text.Write(p)
}

func TestLoadReadsAPlanAndWritesJSON(t *testing.T) {
	is := is.New(t)
	// A stand-in server takes the place of an entry instance.
	entry := startStandin(t, standin{
		name: "server", handler: newStandinServer(emulator.ServerSettings{Slots: 8, QueueLimit: 100})})
	plan := filepath.Join(t.TempDir(), "plan.yaml")
	is.NoErr(os.WriteFile(
		plan, []byte("rate: 1\nduration: 1h\nclasses: [{name: a, host: h, path: /a/}, {name: b, host: h, path: /b/}]\n"), 0o600))
	var stdout, stderr bytes.Buffer
	args := []string{
		"load", "-plan", plan, "-entries", entry, "-rate", "1000", "-count", "20", "-progress", "10", "-format", "json",
	}
	is.Equal(Run(args, &stdout, &stderr), ExitSuccess)
	is.Equal(stderr.String(), "sent 10\nsent 20\n")
	var report loadtester.Report
	is.NoErr(json.Unmarshal(stdout.Bytes(), &report))
	is.Equal(report.Answered, 20)
	is.Equal(len(report.Classes), 2)
}
