package prover

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
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
	name      string
	cmd       *exec.Cmd
	addresses map[string]string
	ended     chan struct{}
	errors    string
}

// start starts the program and waits until it listens. It is killed at the end of the test if it still runs then.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{name: name, cmd: exec.Command(binary, args...), ended: make(chan struct{})}
	p.errors = filepath.Join(t.TempDir(), name+".err")
	stderr, err := os.Create(p.errors)
	must(t, err)
	p.cmd.Stderr = stderr
	stdout, err := p.cmd.StdoutPipe()
	must(t, err)
	must(t, p.cmd.Start())
	lines := make(chan string, 1)
	go func() {
		scanner := bufio.NewScanner(stdout)
		for scanner.Scan() {
			if line, ok := strings.CutPrefix(scanner.Text(), "listening "); ok {
				lines <- line
			}
		}
		_ = p.cmd.Wait()
		_ = stderr.Close()
		close(p.ended)
	}()
	t.Cleanup(func() { p.finish(t) })
	select {
	case line := <-lines:
		p.addresses = parseAddresses(line)
	case <-p.ended:
		t.Fatalf("%s ended before it listened", name)
	case <-time.After(waitBound):
		t.Fatalf("%s does not listen", name)
	}
	return p
}

// parseAddresses reads "ADDRESS" or "callers=ADDRESS peers=ADDRESS admin=ADDRESS".
func parseAddresses(line string) map[string]string {
	addresses := map[string]string{}
	for _, field := range strings.Fields(line) {
		name, address, ok := strings.Cut(field, "=")
		if !ok {
			name, address = "", field
		}
		addresses[name] = address
	}
	return addresses
}

func (p *process) address() string { return p.addresses[""] }

// send sends a signal.
func (p *process) send(t *testing.T, signal syscall.Signal) {
	t.Helper()
	must(t, p.cmd.Process.Signal(signal))
}

// kill ends the process without a word.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.send(t, syscall.SIGKILL)
	<-p.ended
}

func (p *process) finish(t *testing.T) {
	select {
	case <-p.ended:
	default:
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if !t.Failed() {
		return
	}
	if data, err := os.ReadFile(p.errors); err == nil && len(data) > 0 {
		t.Logf("%s wrote:\n%s", p.name, data)
	}
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
