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

	"github.com/wasabibank/wasabibank/internal/edger"
	"github.com/wasabibank/wasabibank/internal/scribe"
	"github.com/wasabibank/wasabibank/platform"
)

// edgeCommand returns the subcommand that runs an entry instance on the users' platform.
func edgeCommand() command {
	return command{name: "edge", summary: "run an entry instance on the users' platform", run: runEdge}
}

func runEdge(args []string, stdout, stderr io.Writer) ExitCode {
	flags := flag.NewFlagSet("wasabibank edge", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(platform.SettingsVariable), "file with the platform's settings")
	checkOnly := flags.Bool("check", false, "check the settings and exit")
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: wasabibank edge [-settings FILE] [-check]")
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
	return serveEdge(*path, settings, stdout, stderr)
}

func serveEdge(path string, settings platform.Settings, stdout, stderr io.Writer) ExitCode {
	log := scribe.New(stdout)
	if err := log.Attach(); err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	defer func() {
		klog.Flush()
		log.Close()
	}()
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	go func() {
		for range reload {
			if _, err := platform.LoadSettings(path); err != nil {
				klog.InfoS("settings not reloaded", "error", err)
				continue
			}
			klog.InfoS("settings reloaded") // none of them changes while an instance runs
		}
	}()
	if err := edger.New(settings, log).Run(stop); err != nil && err != http.ErrServerClosed {
		klog.InfoS("stopped", "error", err)
		return ExitFailure
	}
	return ExitDone
}
