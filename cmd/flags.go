package cmd

import (
	"flag"
	"strings"

	"github.com/pkg/errors"
)

// parseFlags parses args, which must have minArgs to maxArgs arguments after the flags. If it returns false, the command
// must end with the exit code.
func parseFlags(flags *flag.FlagSet, args []string, minArgs, maxArgs int) (ExitCode, bool) {
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitSuccess, false
	}
	if err != nil {
		return ExitUsage, false
	}
	if flags.NArg() < minArgs || flags.NArg() > maxArgs {
		flags.Usage()
		return ExitUsage, false
	}
	return ExitSuccess, true
}

// splitList returns the items of a list that are separated by commas, without empty ones.
func splitList(list string) []string {
	var items []string
	for _, item := range strings.Split(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
