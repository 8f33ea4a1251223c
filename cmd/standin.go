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
	standinShutdownTimeout = 10 * time.Second
	standinHeaderTimeout   = 10 * time.Second
)

// standinCommand returns the command that runs stand-ins of the store and of backend servers, for tests and trials.
func standinCommand() command {
	return command{name: "standin", summary: "run a stand-in for tests: store, server or collector", run: runStandin}
}

func runStandin(args []string, stdout, stderr io.Writer) ExitCode {
	cmds := []command{
		{name: "store", summary: "run a stand-in of the platform's store", run: runStandinStore},
		{name: "server", summary: "run a stand-in of a backend server", run: runStandinServer},
		{name: "collector", summary: "collect the executions that stand-in servers post", run: runStandinCollector},
	}
	return runCommand("wasabibank standin", cmds, args, stdout, stderr)
}

// newStandinFlags returns the flags that all stand-ins share, and the value of -listen. The usage prints description.
func newStandinFlags(name, description string, stderr io.Writer) (*flag.FlagSet, *string) {
	flags := flag.NewFlagSet("wasabibank standin "+name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: wasabibank standin %s [flags]\n\n%s\n", name, description)
		flags.PrintDefaults()
	}
	listen := flags.String("listen", "127.0.0.1:0", "address to listen on; port 0 picks a free port")
	return flags, listen
}

// standin is the HTTP service of one stand-in.
type standin struct {
	name    string
	listen  string
	handler http.Handler
	// onListen is called with the listener's address before requests are served; nil for none.
	onListen func(net.Addr)
	// wrapListener wraps the listener; nil leaves it as it is.
	wrapListener func(net.Listener) net.Listener
	// onShutdown runs at the start of the shutdown, which then waits for the requests in flight; nil for none.
	onShutdown func()
}

// serve serves the stand-in until SIGTERM or an interrupt, then shuts it down gracefully. Once it listens, it prints
// "listening ADDRESS", for which scripts and tests wait.
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
	if s.onListen != nil {
		s.onListen(listener.Addr())
	}
	if s.wrapListener != nil {
		listener = s.wrapListener(listener)
	}
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: standinHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err = <-serveErr:
	case <-ctx.Done():
		err = s.shutdown(server)
	}
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank standin %s: %v\n", s.name, err)
		return ExitFailure
	}
	return ExitSuccess
}

func (s standin) shutdown(server *http.Server) error {
	if s.onShutdown != nil {
		s.onShutdown()
	}
	ctx, cancel := context.WithTimeout(context.Background(), standinShutdownTimeout)
	defer cancel()
	return server.Shutdown(ctx)
}

func runStandinStore(args []string, stdout, stderr io.Writer) ExitCode {
	flags, listen := newStandinFlags("store", storeDescription, stderr)
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	store := emulator.NewStore()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go store.RunExpiry(ctx)
	// An outage ends the waiting reads, for which the shutdown would wait otherwise.
	endWaitingReads := func() { store.SetFaults(emulator.StoreFaults{Outage: true}) }
	return standin{name: "store", listen: *listen, handler: store, onShutdown: endWaitingReads}.serve(stdout, stderr)
}

func runStandinCollector(args []string, stdout, stderr io.Writer) ExitCode {
	flags, listen := newStandinFlags("collector", collectorDescription, stderr)
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	return standin{name: "collector", listen: *listen, handler: emulator.NewCollector()}.serve(stdout, stderr)
}
