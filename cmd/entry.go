package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/logger"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/runner"
	"github.com/wasabibank/wasabibank/platform"
)

// entryCommand returns the subcommand that runs an entry instance.
func entryCommand() command {
	return command{name: "entry", summary: "run an entry instance, between clients and backend servers", run: runEntry}
}

func runEntry(args []string, stdout, stderr io.Writer) ExitCode {
	flags := flag.NewFlagSet("wasabibank entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(platform.SettingsVariable), "file with the platform's settings")
	checkOnly := flags.Bool("check", false, "check the settings and exit")
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: wasabibank entry [-settings FILE] [-check]")
		fmt.Fprintln(stderr, "SIGTERM begins a planned stop: nothing in flight is cut. SIGHUP reads the settings again.")
		flags.PrintDefaults()
	}
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if *path == "" {
		flags.Usage()
		return ExitUsage
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if *checkOnly {
		return ExitDone
	}
	return serveEntry(*path, settings, stdout, stderr)
}

func serveEntry(path string, settings platform.Settings, stdout, stderr io.Writer) ExitCode {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first of all, since the signal would end the process
	events := &recorder.Ring{}
	log := logger.New(stdout, events.Add)
	if err := log.AttachKlog(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	defer func() {
		klog.Flush()
		log.Close()
	}()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	go followReloads(path, reload)
	if err := runner.New(settings, log, events).Run(stop); err != nil && err != http.ErrServerClosed {
		klog.InfoS("stopped", "error", err)
		return ExitFailure
	}
	return ExitDone
}

// followReloads reads the settings again at each SIGHUP. None of them changes while an instance runs, so that this only
// tells whether the next start would work.
func followReloads(path string, reload <-chan os.Signal) {
	for range reload {
		if _, err := platform.LoadSettings(path); err != nil {
			klog.InfoS("settings not reloaded", "error", err)
			continue
		}
		klog.InfoS("settings reloaded")
	}
}
