package cmd

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/inspector"
)

// ownerCommand returns the command that shows which backend server owns a key.
func ownerCommand() command {
	return command{name: "owner", summary: "show which backend server owns a key, according to each instance", run: runOwner}
}

func runOwner(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newAdminFlags("owner", " SERVICE KEY\n\nKEY is a number from 0 to 65535.", formatText, formatJSON)
	addresses, code, ok := flags.parse(args, 2, stdout, stderr)
	if !ok {
		return code
	}
	service := flags.flagSet.Arg(0)
	key, err := strconv.ParseUint(flags.flagSet.Arg(1), 10, 16)
	if err != nil {
		fmt.Fprintf(stderr, "wasabibank owner: key %q is not a number from 0 to 65535\n", flags.flagSet.Arg(1))
		return ExitUsage
	}
	answers := queryAll(addresses, flags.timeout,
		func(ctx context.Context, c *inspector.Client, address string) (inspector.OwnerAnswer, error) {
			return c.GetOwner(ctx, address, service, uint16(key))
		})
	answered := collectAnswers(answers, stderr)
	if err := writeOwners(stdout, flags.format, answers, answered); err != nil {
		return reportError(err, stderr)
	}
	code = reportError(checkOwners(answered), stderr) // also if some instances did not answer
	if len(answered) < len(answers) {
		return ExitFailure
	}
	return code
}

// checkOwners returns an error if two instances name different owners of the key at the same owner map version.
func checkOwners(answers []inspector.OwnerAnswer) error {
	for i, a := range answers {
		for _, b := range answers[:i] {
			if a.OwnerMapVersion == b.OwnerMapVersion && a.Server != b.Server {
				return errors.Errorf("conflicting owners: %s names %s and %s names %s at owner map version %s",
					b.Instance, b.Server, a.Instance, a.Server, versionText(a.OwnerMapVersion))
			}
		}
	}
	return nil
}

func writeOwners(
	w io.Writer, format string, answers []adminAnswer[inspector.OwnerAnswer], answered []inspector.OwnerAnswer,
) error {
	if format == formatJSON {
		return writeJSON(w, answers)
	}
	if len(answered) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCORDING TO\tOWNER MAP\tOWNER\tMOVING\tDISPATCHER")
	for _, a := range answered {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\n",
			a.Instance, versionText(a.OwnerMapVersion), orDash(a.Server), a.Moving, orDash(a.Dispatcher))
	}
	return table.Flush()
}
