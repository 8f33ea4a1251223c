package verifier

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	// waitTimeout is how long a test waits for a condition.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// binary is the path of the program that TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the program and runs the tests. It returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "verifier")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	block, err := claimAddressBlock()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer block.Close()
	binary = filepath.Join(dir, "wasabibank")
	build := exec.Command("go", "build", "-o", binary, "../..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is a process of the program; it may have exited.
type process struct {
	name          string
	cmd           *exec.Cmd
	listenAddress string        // of a stand-in; empty for an entry instance
	exited        chan struct{} // closed when the process has exited
	outputPath    string        // path of the file with its standard output and error
	exitExpected  atomic.Bool   // set before the test ends the process
}

// startStandin starts a stand-in and waits until it has printed the address on which it listens.
func startStandin(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := startProcess(t, name, args...)
	await(t, name+" listens", func() bool {
		data, err := os.ReadFile(p.outputPath)
		must(t, err)
		_, rest, found := strings.Cut(string(data), "listening ")
		address, _, lineComplete := strings.Cut(rest, "\n")
		p.listenAddress = address
		return found && lineComplete || p.hasExited()
	})
	if p.listenAddress == "" { // it may have listened, and crashed since
		t.Fatalf("%s exited before it listened", name)
	}
	return p
}

// startProcess starts the program without waiting until it is ready. A process that still runs at the end of the test is
// killed.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), exited: make(chan struct{})}
	output, err := os.CreateTemp(t.TempDir(), name+".*.out")
	must(t, err)
	p.outputPath = output.Name()
	p.cmd.Stdout, p.cmd.Stderr = output, output
	must(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = output.Close()
		close(p.exited)
	}()
	t.Cleanup(func() { p.cleanUp(t) })
	return p
}

// address returns the address on which a stand-in listens.
func (p *process) address() string { return p.listenAddress }

// outputContains reports whether the output of the process contains text.
func (p *process) outputContains(text string) bool {
	data, err := os.ReadFile(p.outputPath)
	return err == nil && strings.Contains(string(data), text)
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, sig syscall.Signal) {
	t.Helper()
	must(t, p.cmd.Process.Signal(sig))
}

// kill sends SIGKILL if the process still runs, and waits until it has exited. An exit before that is expected only if the
// test caused it.
func (p *process) kill(t *testing.T) {
	t.Helper()
	if p.hasExited() && !p.exitExpected.Load() {
		t.Errorf("%s exited unexpectedly: %s", p.name, p.cmd.ProcessState)
	}
	p.exitExpected.Store(true)
	if !p.hasExited() {
		p.signal(t, syscall.SIGKILL)
	}
	<-p.exited
}

// terminate sends SIGTERM and waits until the process has exited, with any exit code.
func (p *process) terminate(t *testing.T) {
	t.Helper()
	p.exitExpected.Store(true)
	p.signal(t, syscall.SIGTERM)
	<-p.exited
}

// terminateGracefully sends SIGTERM, waits until the process has exited and requires exit code 0.
func (p *process) terminateGracefully(t *testing.T) {
	t.Helper()
	p.terminate(t)
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("%s: exit code %d after a graceful shutdown, want 0", p.name, code)
	}
}

// cleanUp kills the process at the end of a test if it still runs, and reports an exit that the test did not cause. If the
// test failed, it logs the output.
func (p *process) cleanUp(t *testing.T) {
	if p.hasExited() && !p.exitExpected.Load() {
		t.Errorf("%s exited unexpectedly: %s", p.name, p.cmd.ProcessState)
	}
	if !p.hasExited() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	if t.Failed() {
		p.logOutput(t)
	}
}

// maxLoggedBytes is how much of a process's output a failed test logs.
const maxLoggedBytes = 20_000

// logOutput logs the last maxLoggedBytes of the output of the process, without the lines of answered requests.
func (p *process) logOutput(t *testing.T) {
	data, err := os.ReadFile(p.outputPath)
	if err != nil || len(data) == 0 {
		return
	}
	var kept strings.Builder
	for line := range strings.Lines(string(data)) {
		if !strings.Contains(line, `outcome="answered"`) {
			kept.WriteString(line)
		}
	}
	output := kept.String()
	t.Logf("%s wrote, without answered requests:\n%s", p.name, output[max(0, len(output)-maxLoggedBytes):])
}

// runProgram runs the program and requires that it succeeds.
func runProgram(t *testing.T, args ...string) {
	t.Helper()
	out, err := exec.Command(binary, args...).CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, out)
	}
}

// await polls until isMet returns true, and fails the test after waitTimeout. condition completes "timed out waiting until".
func await(t *testing.T, condition string, isMet func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !isMet(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

// must fails the test if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
