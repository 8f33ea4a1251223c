package cmd

import (
	"flag"
	"fmt"
	"io"

	"github.com/wasabibank/wasabibank/internal/simulator"
)

// measureCommand returns the command that compares queueing policies.
func measureCommand() command {
	return command{name: "measure", summary: "compare queueing policies in simulated time", run: runMeasure}
}

func runMeasure(args []string, stdout, stderr io.Writer) ExitCode {
	flags := flag.NewFlagSet("wasabibank measure", flag.ContinueOnError)
	flags.SetOutput(stderr)
	seed := flags.Uint64("seed", 1, "seed of the requests, which are the same for all policies")
	flags.Usage = func() {
		fmt.Fprintln(stderr, "usage: wasabibank measure [-seed N]")
		fmt.Fprintln(stderr,
			"Simulates five loads under four queueing policies: no queue, fixed share of slots per entry instance, first come\n"+
				"first served, and dispatcher (the policy of entry instances). Prints what clients get under each of them.")
		flags.PrintDefaults()
	}
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	return reportError(simulator.WriteReport(stdout, *seed), stderr)
}
