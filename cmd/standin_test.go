package cmd

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
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
		if code := <-codes; code != ExitSuccess {
			t.Errorf("shutdown: exit code %d", code)
		}
	})
	return strings.TrimSpace(strings.TrimPrefix(line, "listening "))
}

// newStandinServer returns a stand-in server that started at a fixed time.
func newStandinServer(settings emulator.ServerSettings) http.Handler {
	return emulator.NewServer(settings, time.UnixMilli(1))
}

func TestStandinAndLoadExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"no stand-in":          {args: []string{"standin"}, want: ExitUsage},
		"unknown stand-in":     {args: []string{"standin", "proxy"}, want: ExitUsage},
		"help":                 {args: []string{"standin", "store", "-h"}, want: ExitSuccess},
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
