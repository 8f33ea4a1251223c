package cmd

import (
	"flag"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/exerciser"
)

// measureCommand returns the subcommand that compares the policies of placement and traffic under virtual time.
func measureCommand() command {
	return command{name: "measure", summary: "compare policies under load and faults in virtual time", run: runMeasure}
}

// measureFlags are the flags of measure.
type measureFlags struct {
	set     *flag.FlagSet
	out     string
	options exerciser.MeasureOptions
}

func newMeasureFlags() *measureFlags {
	f := &measureFlags{set: flag.NewFlagSet("measure", flag.ContinueOnError)}
	f.set.StringVar(&f.out, "out", "", "`directory` for the CSV files and SVG plots")
	f.set.Uint64Var(&f.options.Seed, "seed", 1, "first seed")
	f.set.IntVar(&f.options.BalanceSeeds, "balance-seeds", 3, "number of seeds of the balance comparison")
	f.set.IntVar(&f.options.TrafficSeeds, "traffic-seeds", 1, "number of seeds of the traffic comparison")
	f.set.IntVar(&f.options.Workers, "workers", 2, "number of runs at a time")
	f.set.Usage = func() {
		fmt.Fprintf(f.set.Output(), "usage: wasabibank measure -out directory [flags]\n\nflags:\n")
		f.set.PrintDefaults()
	}
	return f
}

func (f *measureFlags) check() error {
	if f.out == "" {
		return errors.New("-out is required")
	}
	if f.set.NArg() != 0 {
		return errors.Errorf("%d arguments, want none", f.set.NArg())
	}
	if f.options.BalanceSeeds < 1 || f.options.TrafficSeeds < 1 || f.options.Workers < 1 {
		return errors.New("-balance-seeds, -traffic-seeds and -workers must be at least 1")
	}
	return nil
}

func runMeasure(args []string, stdout, stderr io.Writer) ExitCode {
	f := newMeasureFlags()
	f.set.SetOutput(stderr)
	if len(args) > 0 && isHelp(args[0]) {
		f.set.SetOutput(stdout)
		f.set.Usage()
		return ExitDone
	}
	err := f.set.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		return ExitUsage
	}
	if err := f.check(); err != nil {
		fmt.Fprintf(stderr, "measure: %v\n", err)
		f.set.Usage()
		return ExitUsage
	}
	held, err := exerciser.Measure(f.options, f.out, stdout)
	if err != nil {
		fmt.Fprintf(stderr, "measure: %v\n", err)
		return ExitFailure
	}
	if !held {
		return ExitFailure
	}
	return ExitDone
}
