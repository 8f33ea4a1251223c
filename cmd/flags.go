package cmd

import (
	"flag"

	"github.com/pkg/errors"
)

// parseFlags reads args, of which least to most are no flags. When it returns false, the command ends with the code.
func parseFlags(flags *flag.FlagSet, args []string, least, most int) (ExitCode, bool) {
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone, false
	}
	if err != nil {
		return ExitUsage, false
	}
	if flags.NArg() < least || flags.NArg() > most {
		flags.Usage()
		return ExitUsage, false
	}
	return ExitDone, true
}
