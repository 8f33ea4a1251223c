package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

const (
	standinStopTimeout   = 10 * time.Second
	standinHeaderTimeout = 10 * time.Second
)

// standinCommand returns the subcommand that runs the project's own stand-ins.
func standinCommand() command {
	return command{name: "standin", summary: "run a stand-in: store, server or collector", run: runStandin}
}

func runStandin(args []string, stdout, stderr io.Writer) ExitCode {
	cmds := []command{
		{name: "store", summary: "the platform's store", run: runStandinStore},
		{name: "server", summary: "a backend server", run: runStandinServer},
		{name: "collector", summary: "keeps the executions that stand-in servers post", run: runStandinCollector},
	}
	return dispatch("wasabibank standin", cmds, args, stdout, stderr)
}

// newStandinFlags returns the flags that each stand-in has; explanation tells its admin paths.
func newStandinFlags(name, explanation string, stderr io.Writer) (*flag.FlagSet, *string) {
	flags := flag.NewFlagSet("wasabibank standin "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: wasabibank standin %s [flags]\n\n%s\n", name, explanation)
		flags.PrintDefaults()
	}
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on; port 0 lets the system choose")
	return flags, listen
}

// standin is one stand-in as it is served.
type standin struct {
	name    string
	listen  string
	handler http.Handler
	// started is told where the stand-in listens, before it serves; nil is nothing.
	started func(net.Addr)
	// limit wraps the listener; nil leaves it.
	limit func(net.Listener) net.Listener
	// release ends requests that wait, at the start of a stop; nil is nothing.
	release func()
}

// serve serves the stand-in until SIGTERM or an interrupt, and then stops it gracefully.
func (s standin) serve(stdout, stderr io.Writer) ExitCode {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	return s.serveUntil(ctx, stdout, stderr)
}

func (s standin) serveUntil(ctx context.Context, stdout, stderr io.Writer) ExitCode {
	listener, err := net.Listen("tcp", s.listen)
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank standin %s: %v\n", s.name, err)
		return ExitFailure
	}
	fmt.Fprintf(stdout, "listening %s\n", listener.Addr())
	if s.started != nil {
		s.started(listener.Addr())
	}
	if s.limit != nil {
		listener = s.limit(listener)
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: standinHeaderTimeout}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(listener) }()
	select {
	case err = <-stopped:
	case <-ctx.Done():
		err = s.stop(server)
	}
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank standin %s: %v\n", s.name, err)
		return ExitFailure
	}
	return ExitDone
}

func (s standin) stop(server *http.Server) error {
	if s.release != nil {
		s.release()
	}
	ctx, cancel := context.WithTimeout(context.Background(), standinStopTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}

func runStandinStore(args []string, stdout, stderr io.Writer) ExitCode {
	flags, listen := newStandinFlags("store", storeExplanation, stderr)
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	store := emulator.NewStore()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go store.Run(ctx)
	// Reads that wait are ended, or the stop would wait for them.
	release := func() { store.SetFaults(emulator.StoreFaults{Outage: true}) }
	return standin{name: "store", listen: *listen, handler: store, release: release}.serve(stdout, stderr)
}

func runStandinCollector(args []string, stdout, stderr io.Writer) ExitCode {
	flags, listen := newStandinFlags("collector", collectorExplanation, stderr)
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	return standin{name: "collector", listen: *listen, handler: emulator.NewCollector()}.serve(stdout, stderr)
}
