package cmd

import (
	"flag"

	"github.com/pkg/errors"
)

// parseFlags parses args, which must have minArgs to maxArgs arguments after the flags. If it returns false, the command
// must end with the exit code.
func parseFlags(flags *flag.FlagSet, args []string, minArgs, maxArgs int) (ExitCode, bool) {
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone, false
	}
	if err != nil {
		return ExitUsage, false
	}
	if flags.NArg() < minArgs || flags.NArg() > maxArgs {
		flags.Usage()
		return ExitUsage, false
	}
	return ExitDone, true
}
