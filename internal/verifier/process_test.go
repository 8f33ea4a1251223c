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
	// waitBound is the longest wait for a state.
	waitBound = 60 * time.Second
	// pollTime is the time between two looks at a state.
	pollTime = 20 * time.Millisecond
)

// binary is the path of the program that TestMain builds.
var binary string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "prover")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "wasabibank")
	build := exec.Command("go", "build", "-o", binary, "../..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one running process of the program.
type process struct {
	name   string
	cmd    *exec.Cmd
	listen string
	ended  chan struct{}
	output string // file with what it wrote
	told   atomic.Bool
}

// start starts a stand-in and waits until it listens.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := startQuiet(t, name, args...)
	await(t, name+" listens", func() bool {
		data, err := os.ReadFile(p.output)
		must(t, err)
		_, rest, found := strings.Cut(string(data), "listening ")
		address, _, whole := strings.Cut(rest, "\n")
		p.listen = address
		return found && whole || p.over()
	})
	if p.over() {
		t.Fatalf("%s ended before it listened", name)
	}
	return p
}

// startQuiet starts the program. It is killed at the end of the test if it still runs then.
func startQuiet(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	output, err := os.CreateTemp(t.TempDir(), name+".*.out")
	must(t, err)
	p.output = output.Name()
	p.cmd.Stdout, p.cmd.Stderr = output, output
	must(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = output.Close()
		close(p.ended)
	}()
	t.Cleanup(func() { p.finish(t) })
	return p
}

func (p *process) address() string { return p.listen }

// wrote reports whether a text is in what the process wrote.
func (p *process) wrote(text string) bool {
	data, err := os.ReadFile(p.output)
	return err == nil && strings.Contains(string(data), text)
}

// over reports whether the process has ended.
func (p *process) over() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// send sends a signal.
func (p *process) send(t *testing.T, signal syscall.Signal) {
	t.Helper()
	must(t, p.cmd.Process.Signal(signal))
}

// kill ends the process without a word.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.told.Store(true)
	if !p.over() {
		p.send(t, syscall.SIGKILL)
	}
	<-p.ended
}

// end asks the process to end, and waits for it.
func (p *process) end(t *testing.T) {
	t.Helper()
	p.told.Store(true)
	p.send(t, syscall.SIGTERM)
	<-p.ended
}

// stop is a planned stop, which must succeed.
func (p *process) stop(t *testing.T) {
	t.Helper()
	p.end(t)
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("%s: exit code %d of a planned stop", p.name, code)
	}
}

func (p *process) finish(t *testing.T) {
	if p.over() && !p.told.Load() {
		t.Errorf("%s ended by itself: %s", p.name, p.cmd.ProcessState)
	}
	if !p.over() {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if t.Failed() {
		p.show(t)
	}
}

// shownBytes is how much of a process's output a failed test shows.
const shownBytes = 20_000

// show logs the end of what the process wrote.
func (p *process) show(t *testing.T) {
	data, err := os.ReadFile(p.output)
	if err != nil || len(data) == 0 {
		return
	}
	t.Logf("%s wrote:\n%s", p.name, data[max(0, len(data)-shownBytes):])
}

// run runs the program to its end.
func run(t *testing.T, args ...string) {
	t.Helper()
	out, err := exec.Command(binary, args...).CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", strings.Join(args, " "), err, out)
	}
}

// await waits until the state is reached.
func await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(waitBound); !reached(); time.Sleep(pollTime) {
		if time.Now().After(end) {
			t.Fatalf("not reached: %s", what)
		}
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
