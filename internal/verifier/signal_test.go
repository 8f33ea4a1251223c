package verifier

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSignalWhileSettingsAreRead guards against an instance that ends because SIGHUP comes before it has read its settings.
func TestSignalWhileSettingsAreRead(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(path, 0o600))
	p := startProcess(t, "entry", "entry", "-settings", path)
	p.exitExpected.Store(true)
	settings, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the process opens it
	is.NoErr(err)
	p.signal(t, syscall.SIGHUP)
	_, err = settings.WriteString("not settings\n")
	is.NoErr(err)
	is.NoErr(settings.Close())
	<-p.exited
	is.Equal(p.cmd.ProcessState.ExitCode(), 2) // -1 if a signal ended it
	is.True(p.outputContains("self.node_name: missing"))
}

// stuckEntry is an instance whose log is stuck: its standard output is a full pipe.
type stuckEntry struct {
	command   *exec.Cmd
	out, full *os.File // the ends of the pipe
	signalled time.Time
}

// stopStuckEntry starts a stuckEntry and sends it SIGTERM once it listens.
func stopStuckEntry(t *testing.T, grace time.Duration) stuckEntry {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(examplesDir, "node.conf"))
	must(t, err)
	ip := fmt.Sprintf("127.%d.%d.1", addressBlock, clusterCount.Add(1))
	text := strings.NewReplacer("127.0.0.2", ip, "grace_period_s=8", fmt.Sprintf("grace_period_s=%.0f", grace.Seconds())).Replace(string(raw))
	path := filepath.Join(t.TempDir(), "settings")
	must(t, os.WriteFile(path, []byte(text), 0o600))
	out, full, err := os.Pipe()
	must(t, err)
	t.Cleanup(func() {
		_ = out.Close()
		_ = full.Close() // closed already if the test has read the output
	})
	fillPipe(t, full)
	entry := exec.Command(binary, "entry", "-settings", path)
	entry.Stdout = full
	must(t, entry.Start())
	t.Cleanup(func() { _ = entry.Process.Kill() }) // if the test fails
	await(t, "the entry listens", func() bool {
		connection, err := net.Dial("tcp", net.JoinHostPort(ip, clientPort))
		return err == nil && connection.Close() == nil
	})
	must(t, entry.Process.Signal(syscall.SIGTERM))
	return stuckEntry{command: entry, out: out, full: full, signalled: time.Now()}
}

// TestSignalWhileLogIsWritten guards against a signal that ends an instance early, and with a failure, while it writes the end of its
// log after a planned stop.
func TestSignalWhileLogIsWritten(t *testing.T) {
	is := is.New(t)
	entry := stopStuckEntry(t, 8*time.Second)
	time.Sleep(5 * time.Second) // a stop without clients takes 3.2 s, and its log may take until 7.9 s
	is.NoErr(entry.command.Process.Signal(syscall.SIGTERM))
	is.NoErr(entry.command.Process.Signal(syscall.SIGINT))
	time.Sleep(100 * time.Millisecond)
	is.NoErr(entry.full.Close())
	rest, err := io.ReadAll(entry.out) // ends when the entry has exited
	is.NoErr(err)
	is.NoErr(entry.command.Wait())
	is.True(bytes.Contains(rest, []byte(`"stop"`)))
}

// TestStopWithStuckLogEndsWithinGrace guards against an instance that is killed at the end of its grace period because the output of
// its log is stuck.
func TestStopWithStuckLogEndsWithinGrace(t *testing.T) {
	is := is.New(t)
	const grace = 4 * time.Second
	entry := stopStuckEntry(t, grace)
	killer := time.AfterFunc(time.Until(entry.signalled.Add(grace)), func() { _ = entry.command.Process.Kill() })
	defer killer.Stop()
	is.NoErr(entry.command.Wait())
}

// fillPipe fills a pipe, so that the next write to it blocks.
func fillPipe(t *testing.T, pipe *os.File) {
	t.Helper()
	fd := int(pipe.Fd())
	must(t, syscall.SetNonblock(fd, true))
	for _, block := range [][]byte{make([]byte, 4096), {0}} {
		for {
			if _, err := syscall.Write(fd, block); err != nil {
				is.New(t).Equal(err, syscall.EAGAIN)
				break
			}
		}
	}
	must(t, syscall.SetNonblock(fd, false))
}

// TestSignalAtStart guards against an instance that does not end, or ends with a failure, because SIGTERM comes as it starts.
func TestSignalAtStart(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join(examplesDir, "node.conf"))
	must(t, err)
	for _, delay := range []time.Duration{0, 3, 6, 9, 12, 20, 40} {
		t.Run(fmt.Sprintf("%d ms", delay), func(t *testing.T) {
			t.Parallel()
			ip := fmt.Sprintf("127.%d.%d.1", addressBlock, clusterCount.Add(1))
			path := filepath.Join(t.TempDir(), "settings")
			text := strings.NewReplacer("127.0.0.2", ip, "grace_period_s=8", "grace_period_s=4").Replace(string(raw))
			must(t, os.WriteFile(path, []byte(text), 0o600))
			p := startProcess(t, "entry", "entry", "-settings", path)
			time.Sleep(delay * time.Millisecond)
			started := time.Now()
			p.terminate(t)
			state := p.cmd.ProcessState
			status, _ := state.Sys().(syscall.WaitStatus)
			if !status.Signaled() && state.ExitCode() != 0 || time.Since(started) > 4*time.Second {
				t.Errorf("%s after %v", state, time.Since(started))
			}
			if status.Signaled() && p.outputContains(`"start"`) {
				t.Errorf("ended by the signal after it had started: %s", state)
			}
		})
	}
}

// signalClients send requests to an entry on connections that they keep open, until they are told to end.
type signalClients struct {
	entry   *entry
	dials   atomic.Int64
	ended   chan struct{}
	pending sync.WaitGroup
	mu      sync.Mutex
	results []stopResult
}

// signalClientCount is the number of connections that signalClients keep open.
const signalClientCount = 8

// startSignalClients opens the connections and starts to send.
func startSignalClients(t *testing.T, e *entry) *signalClients {
	t.Helper()
	s := &signalClients{entry: e, ended: make(chan struct{})}
	var dialer net.Dialer
	for n := range signalClientCount {
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			s.dials.Add(1)
			return dialer.DialContext(ctx, network, address)
		}}
		t.Cleanup(transport.CloseIdleConnections)
		client := &http.Client{Transport: transport}
		s.pending.Go(func() { s.send(client, n) })
	}
	return s
}

// send sends requests with a client, one after the other.
func (s *signalClients) send(client *http.Client, n int) {
	for i := 0; ; i++ {
		select {
		case <-s.ended:
			return
		default:
		}
		r := stopResult{id: fmt.Sprintf("signal-%s-%d-%d", s.entry.name, n, i)}
		r.status, r.err = s.entry.sendStopRequest(client, "render.shashat.example", "/orders/a", r.id, n)
		s.mu.Lock()
		s.results = append(s.results, r)
		s.mu.Unlock()
		if r.err != nil {
			return // the connection ended with the entry
		}
		if r.status != http.StatusOK {
			time.Sleep(pollInterval)
		}
	}
}

// end waits for the requests in flight and returns the results of all.
func (s *signalClients) end() []stopResult {
	close(s.ended)
	s.pending.Wait()
	return s.results
}

// TestSignalsCutNoRequest guards against requests that an entry cuts, or does not answer, because of SIGHUP, and against a second
// signal that ends the entry before a planned stop is complete.
func TestSignalsCutNoRequest(t *testing.T) {
	const series, interval = 40, 25 * time.Millisecond
	tests := map[string]struct {
		change  func(text string) string // of the settings file; nil to remove it
		signals []syscall.Signal         // sent in turn
		log     string                   // what the entry logs
		stops   bool
	}{
		"SIGHUP, same settings":   {change: strings.Clone, signals: []syscall.Signal{syscall.SIGHUP}, log: "settings are valid"},
		"SIGHUP, no settings":     {signals: []syscall.Signal{syscall.SIGHUP}, log: "settings are invalid"},
		"SIGHUP, half of a file":  {change: func(s string) string { return s[:len(s)/2] }, signals: []syscall.Signal{syscall.SIGHUP}, log: "settings are invalid"},
		"SIGHUP, other addresses": {change: strings.NewReplacer(":740", ":750", "7403,7403", "7503,7503").Replace, signals: []syscall.Signal{syscall.SIGHUP}, log: "settings are valid"},
		"SIGHUP in a stop":        {change: strings.Clone, signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}, log: "settings are valid", stops: true},
		"SIGTERM in a stop":       {change: strings.Clone, signals: []syscall.Signal{syscall.SIGTERM}, log: `"stop"`, stops: true},
		"SIGINT in a stop":        {change: strings.Clone, signals: []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}, log: `"stop"`, stops: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := newCluster(t, defaultSize, "-slots", "40", "-service-time", "300ms", "-jitter", "0")
			e := c.entries[1]
			c.shortenGrace(e)
			c.awaitAgreement(c.entries...)
			clients := startSignalClients(t, e)
			time.Sleep(time.Second)
			if test.change == nil {
				is.NoErr(os.Remove(e.settingsPath))
			} else {
				text, err := os.ReadFile(e.settingsPath)
				is.NoErr(err)
				is.NoErr(os.WriteFile(e.settingsPath, []byte(test.change(string(text))), 0o600))
			}
			e.process.exitExpected.Store(test.stops)
			for i := 0; i < series || test.stops && !e.process.hasExited(); i++ {
				_ = e.process.cmd.Process.Signal(test.signals[i%len(test.signals)]) // fails only once the process has exited
				time.Sleep(interval)
			}
			if !test.stops {
				time.Sleep(time.Second)
			}
			results := clients.end()
			is.Equal(e.process.hasExited(), test.stops)
			is.True(e.process.outputContains(test.log))
			if test.stops {
				is.Equal(e.process.cmd.ProcessState.ExitCode(), 0)
			} else {
				is.Equal(clients.dials.Load(), int64(signalClientCount))
			}
			runs := c.countExecutions()
			for _, r := range results {
				if problem := r.problem(runs[r.id]); problem != "" || !test.stops && r.status != http.StatusOK {
					t.Errorf("%s: status %d, executed %d times, %v %s", r.id, r.status, runs[r.id], r.err, problem)
				}
			}
			is.True(len(results) > 2*signalClientCount)
		})
	}
}
