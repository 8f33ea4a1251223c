package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/internal/loader"
)

// serveForTest serves s until the test ends and returns its address.
func serveForTest(t *testing.T, s standin) string {
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
			t.Errorf("stop gave exit code %d", code)
		}
	})
	return strings.TrimSpace(strings.TrimPrefix(line, "listening "))
}

// answeringServer is a stand-in server that marks its answers as an entry does.
func answeringServer(settings faker.ServerSettings) http.Handler {
	server := faker.NewServer(settings)
	server.SetFaults(faker.ServerFaults{UncheckedFence: true})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.URL.Path = strings.TrimPrefix(r.URL.Path, "/s")
		w.Header().Set("Wasabibank-Outcome", "answered")
		server.ServeHTTP(w, r)
	})
}

func TestLoadJudgesByTheCollector(t *testing.T) {
	tests := map[string]struct {
		times int
		code  ExitCode
		want  string
	}{
		"executed once":  {times: 1, code: ExitDone, want: "30 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners"},
		"executed twice": {times: 2, code: ExitFailure, want: "30 answered, 0 not run, 0 unknown, 30 doubled, 0 cut, 0 second owners"},
		"not collected":  {times: 0, code: ExitFailure, want: "30 answered, 0 not run, 0 unknown, 0 doubled, 0 cut, 0 second owners"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			collector := serveForTest(t, standin{name: "collector", handler: faker.NewCollector()})
			post := newCollect(collector)
			collect := func(e faker.Execution) {
				for i := range tc.times {
					e.Sequence += 1000 * i
					post(e)
				}
			}
			entry := serveForTest(t, standin{name: "entry", handler: answeringServer(faker.ServerSettings{Slots: 8, QueueBound: 100, Collect: collect})})
			args := []string{"load", "-entries", entry, "-executions", collector, "-settle", "0s", "-format", "line",
				"-service", "desk", "-method", "POST", "-at-most-once", "-body-bytes", "99", "-rate", "1000", "-count", "30"}
			var stdout, stderr bytes.Buffer
			is.Equal(Run(args, &stdout, &stderr), tc.code)
			is.Equal(strings.TrimSpace(stdout.String()), tc.want)
		})
	}
}

func TestLoadReadsAPlanAndWritesJSON(t *testing.T) {
	is := is.New(t)
	entry := serveForTest(t, standin{name: "entry", handler: answeringServer(faker.ServerSettings{Slots: 8, QueueBound: 100})})
	plan := filepath.Join(t.TempDir(), "plan.yaml")
	is.NoErr(os.WriteFile(plan, []byte("rate: 1\nduration: 1h\nclasses: [{name: a, service: s}, {name: b, service: s}]\n"), 0o600))
	var stdout, stderr bytes.Buffer
	args := []string{"load", "-plan", plan, "-entries", entry, "-rate", "1000", "-count", "20", "-progress", "10", "-format", "json"}
	is.Equal(Run(args, &stdout, &stderr), ExitDone)
	is.Equal(stderr.String(), "sent 10\nsent 20\n")
	var report loader.Report
	is.NoErr(json.Unmarshal(stdout.Bytes(), &report))
	is.Equal(report.Answered, 20)
	is.Equal(len(report.Classes), 2)
}

func TestStandinUsage(t *testing.T) {
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"none":                 {args: []string{"standin"}, want: ExitUsage},
		"unknown":              {args: []string{"standin", "proxy"}, want: ExitUsage},
		"help":                 {args: []string{"standin", "log", "-h"}, want: ExitDone},
		"server without name":  {args: []string{"standin", "server"}, want: ExitUsage},
		"argument":             {args: []string{"standin", "log", "x"}, want: ExitUsage},
		"wrong address":        {args: []string{"standin", "log", "-listen", "127.0.0.1:x"}, want: ExitFailure},
		"load without entries": {args: []string{"load", "-service", "s", "-rate", "1", "-count", "1"}, want: ExitUsage},
		"load, no such plan":   {args: []string{"load", "-plan", "missing.yaml", "-entries", "127.0.0.1:1"}, want: ExitUsage},
		"load, wrong format":   {args: []string{"load", "-entries", "127.0.0.1:1", "-format", "xml"}, want: ExitUsage},
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

func TestFaultsAreSwitchedOverHTTP(t *testing.T) {
	is := is.New(t)
	log := faker.NewLog(faker.LogSettings{})
	address := serveForTest(t, standin{name: "log", handler: log, release: log.Close})
	url := fmt.Sprintf("http://%s/admin/faults", address)
	response, err := http.Post(url, "application/json", strings.NewReader(`{"outage":true}`))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	response, err = http.Get(fmt.Sprintf("http://%s/records?from=0", address))
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
}
