package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/internal/loadtester"
	"github.com/wasabibank/wasabibank/platform"
)

// startStandin serves s until the end of the test and returns its address. The shutdown must succeed.
func startStandin(t *testing.T, s standin) string {
	t.Helper()
	reader, writer := io.Pipe()
	ctx, cancel := context.WithCancel(context.Background())
	codes := make(chan ExitCode, 1)
	s.listen = "127.0.0.1:0"
	go func() { codes <- s.serveUntil(ctx, writer, io.Discard) }()
	line, err := bufio.NewReader(reader).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if code := <-codes; code != ExitDone {
			t.Errorf("shutdown: exit code %d", code)
		}
	})
	return strings.TrimSpace(strings.TrimPrefix(line, "listening "))
}

// newStandinServer returns a stand-in server that started at a fixed time.
func newStandinServer(settings emulator.ServerSettings) http.Handler {
	return emulator.NewServer(settings, time.UnixMilli(1))
}

func TestLoadVerdictCountsCollectedExecutions(t *testing.T) {
	tests := map[string]struct {
		posts int
		code  ExitCode
		want  string
	}{
		"executed once": {
			posts: 1, code: ExitDone, want: "30 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners",
		},
		"executed twice": {
			posts: 2, code: ExitFailure, want: "30 answered, 0 not run, 0 unknown, 30 doubled, 0 cut, 0 second owners",
		},
		"not collected": {
			posts: 0, code: ExitFailure, want: "30 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners",
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
			entry := startStandin(t, standin{
				name: "entry", handler: newStandinServer(emulator.ServerSettings{Slots: 8, QueueLimit: 100, OnExecution: collect})})
			args := []string{"load", "-entries", entry, "-executions", collector, "-settle", "0s", "-format", "line",
				"-host", "a.example", "-method", "POST", "-at-most-once", "-body-bytes", "99", "-rate", "1000", "-count", "30"}
			var stdout, stderr bytes.Buffer
			is.Equal(Run(args, &stdout, &stderr), tc.code)
			is.Equal(strings.TrimSpace(stdout.String()), tc.want)
		})
	}
}

func TestLoadReadsAPlanAndWritesJSON(t *testing.T) {
	is := is.New(t)
	entry := startStandin(t, standin{
		name: "entry", handler: newStandinServer(emulator.ServerSettings{Slots: 8, QueueLimit: 100})})
	plan := filepath.Join(t.TempDir(), "plan.yaml")
	is.NoErr(os.WriteFile(
		plan, []byte("rate: 1\nduration: 1h\nclasses: [{name: a, host: h, path: /a/}, {name: b, host: h, path: /b/}]\n"), 0o600))
	var stdout, stderr bytes.Buffer
	args := []string{
		"load", "-plan", plan, "-entries", entry, "-rate", "1000", "-count", "20", "-progress", "10", "-format", "json",
	}
	is.Equal(Run(args, &stdout, &stderr), ExitDone)
	is.Equal(stderr.String(), "sent 10\nsent 20\n")
	var report loadtester.Report
	is.NoErr(json.Unmarshal(stdout.Bytes(), &report))
	is.Equal(report.Answered, 20)
	is.Equal(len(report.Classes), 2)
}

func TestStandinAndLoadExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"no stand-in":          {args: []string{"standin"}, want: ExitUsage},
		"unknown stand-in":     {args: []string{"standin", "proxy"}, want: ExitUsage},
		"help":                 {args: []string{"standin", "store", "-h"}, want: ExitDone},
		"server without id":    {args: []string{"standin", "server"}, want: ExitUsage},
		"unexpected argument":  {args: []string{"standin", "store", "x"}, want: ExitUsage},
		"invalid address":      {args: []string{"standin", "store", "-listen", "127.0.0.1:x"}, want: ExitFailure},
		"load without entries": {args: []string{"load", "-host", "h", "-rate", "1", "-count", "1"}, want: ExitUsage},
		"load, no such plan":   {args: []string{"load", "-plan", "missing.yaml", "-entries", "127.0.0.1:1"}, want: ExitUsage},
		"load, unknown format": {args: []string{"load", "-entries", "127.0.0.1:1", "-format", "xml"}, want: ExitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var stdout, stderr bytes.Buffer
			is.Equal(Run(tc.args, &stdout, &stderr), tc.want)
			is.True(stderr.Len() > 0)
		})
	}
}

func TestStandinStoreFaultsAreSetOverHTTP(t *testing.T) {
	is := is.New(t)
	address := startStandin(t, standin{name: "store", handler: emulator.NewStore()})
	response, err := http.Post("http://"+address+"/admin/faults", "application/json", strings.NewReader(`{"outage":true}`))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	_, _, err = platform.NewStore(address).Newest(context.Background(), "keyed.x")
	is.True(platform.IsErrStatus(err))
}

func TestEntryCheckReportsSettingsProblems(t *testing.T) {
	complete, err := os.ReadFile(filepath.Join(examplesDir, "node.conf"))
	is.New(t).NoErr(err)
	broken := strings.NewReplacer("self.zone=muscat_a\n", "", "memory_mb=256", "memory_mb=much").Replace(string(complete))
	tests := map[string]struct {
		text     string
		want     ExitCode
		problems []string
	}{
		"complete":      {text: string(complete), want: ExitDone},
		"unknown field": {text: string(complete) + "new.field=1\n", want: ExitDone},
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
