package cmd

import (
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/surveyor"
)

// capacityCommand returns the subcommand that measures how control grows with the size of the system.
func capacityCommand() command {
	return command{name: "capacity", summary: "measure how state, messages and processor time grow with the size", run: runCapacity}
}

func runCapacity(args []string, stdout, stderr io.Writer) ExitCode {
	var options surveyor.Options
	var page, slopes string
	set := flag.NewFlagSet("capacity", flag.ContinueOnError)
	set.StringVar(&options.Out, "out", "", "`directory` for slopes.json and the SVG plots")
	set.BoolVar(&options.Quick, "quick", false, "measure few small sizes only")
	set.StringVar(&page, "page", "", "measure nothing; write the cited figures of this `file` again")
	set.StringVar(&slopes, "slopes", "docs/capacity/slopes.json", "`file` that -page takes the figures from")
	set.SetOutput(stderr)
	set.Usage = func() {
		fmt.Fprintf(set.Output(), "usage: wasabibank capacity -out directory [flags]\n\nflags:\n")
		set.PrintDefaults()
	}
	if len(args) > 0 && isHelp(args[0]) {
		set.SetOutput(stdout)
		set.Usage()
		return ExitDone
	}
	err := set.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		return ExitUsage
	}
	if (options.Out == "") == (page == "") || set.NArg() != 0 {
		fmt.Fprintf(stderr, "capacity: one of -out and -page is required and there are no arguments\n")
		set.Usage()
		return ExitUsage
	}
	if page != "" {
		err = surveyor.FillPageFile(page, slopes)
	} else {
		err = surveyor.Survey(options, stdout)
	}
	if err != nil {
		fmt.Fprintf(stderr, "capacity: %v\n", err)
		return ExitFailure
	}
	return ExitDone
}
