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
	"time"

	"k8s.io/klog/v2"

	"github.com/wasabibank/wasabibank/internal/logger"
	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/runner"
	"github.com/wasabibank/wasabibank/platform"
)

// entryCommand returns the command that runs an entry instance.
func entryCommand() command {
	return command{name: "entry", summary: "run an entry instance, which routes requests to backend servers", run: runEntry}
}

func runEntry(args []string, stdout, stderr io.Writer) ExitCode {
	flags := flag.NewFlagSet("wasabibank entry", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(platform.SettingsVariable),
		"file with the platform's settings; by default the one that $WASABIBANK_SETTINGS names")
	checkOnly := flags.Bool("check", false, "check the settings file and exit")
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: wasabibank entry [-settings FILE] [-check]")
		fmt.Fprintln(stderr,
			"SIGTERM starts a graceful shutdown: requests in flight may end within the platform's grace period.\n"+
				"SIGHUP checks the settings file without applying it and logs the result.")
		flags.PrintDefaults()
	}
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if *path == "" {
		flags.Usage()
		return ExitUsage
	}
	hangups := make(chan os.Signal, 1)
	if !*checkOnly {
		signal.Notify(hangups, syscall.SIGHUP) // before anything else: an unhandled SIGHUP ends the process
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	if *checkOnly {
		return ExitSuccess
	}
	return serveEntry(*path, settings, hangups, stdout, stderr)
}

func serveEntry(path string, settings platform.Settings, hangups <-chan os.Signal, stdout, stderr io.Writer) ExitCode {
	events := &recorder.Ring{}
	log := logger.New(stdout, events.Add)
	if err := log.AttachKlog(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	instance := runner.New(settings, log, events)
	defer func() {
		klog.Flush()
		closeLog(log, instance.LogDeadline(time.Now()))
	}()
	// It is never released: another signal must not end the process while it shuts down and writes its log.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	go checkSettingsOnHangup(path, hangups)
	if err := instance.Run(ctx); err != nil && err != http.ErrServerClosed {
		klog.InfoS("stopped", "error", err)
		return ExitFailure
	}
	return ExitSuccess
}

// closeLog waits until the log is written, or until deadline. Lines that are not written then are not reported, as standard error may
// be stuck like the output: the process would be killed in place of exiting.
func closeLog(log *logger.AsyncWriter, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = log.Close(ctx)
}

// checkSettingsOnHangup checks the settings file at each SIGHUP and logs the result. A running instance never changes its
// settings, so the result only says whether the next start would succeed.
func checkSettingsOnHangup(path string, hangups <-chan os.Signal) {
	for range hangups {
		if _, err := platform.LoadSettings(path); err != nil {
			klog.InfoS("settings are invalid; the next start would fail", "error", err)
			continue
		}
		klog.InfoS("settings are valid; they apply from the next start")
	}
}
