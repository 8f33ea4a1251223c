package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/configurer"
	"github.com/wasabibank/wasabibank/internal/runner"
)

// entryCommand returns the subcommand that runs an entry instance.
func entryCommand() command {
	return command{name: "entry", summary: "run an entry instance, between callers and backend servers", run: runEntry}
}

func runEntry(args []string, stdout, stderr io.Writer) ExitCode {
	flags := flag.NewFlagSet("wasabibank entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "file with the settings of this instance (YAML)")
	checkOnly := flags.Bool("check", false, "check the settings and exit")
	klog.InitFlags(flags)
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: wasabibank entry -settings FILE [-check]")
		fmt.Fprintln(stderr, "SIGTERM and SIGINT begin a planned stop: nothing in flight is cut.")
		flags.PrintDefaults()
	}
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if *path == "" {
		flags.Usage()
		return ExitUsage
	}
	defer klog.Flush()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	settings, err := configurer.Load(stop, *path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	if *checkOnly {
		return ExitDone
	}
	return serveEntry(stop, settings, stdout, stderr)
}

func serveEntry(stop context.Context, settings *configurer.Settings, stdout, stderr io.Writer) ExitCode {
	entry, err := runner.New(settings)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	fmt.Fprintln(stdout, entry.Addresses())
	if err := entry.Run(stop); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	return ExitDone
}
