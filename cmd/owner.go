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

// ownerCommand tells who owns a key.
func ownerCommand() command {
	return command{name: "owner", summary: "tell which backend server owns a key, according to each instance", run: runOwner}
}

func runOwner(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newAdminFlags("owner", " SERVICE KEY", formatText, formatJSON)
	addresses, code, ok := flags.parse(args, 2, stdout, stderr)
	if !ok {
		return code
	}
	service := flags.set.Arg(0)
	key, err := strconv.ParseUint(flags.set.Arg(1), 10, 16)
	if err != nil {
		fmt.Fprintf(stderr, "owner: a key is a number from 0 to 65535, not %q\n", flags.set.Arg(1))
		return ExitUsage
	}
	answers := askAll(addresses, flags.timeout, func(ctx context.Context, c *inspector.Client, address string) (inspector.OwnerAnswer, error) {
		return c.GetOwner(ctx, address, service, uint16(key))
	})
	came := reportUnanswered(answers, stderr)
	if err := writeOwners(stdout, flags.format, answers, came); err != nil {
		return exitFor(err, stderr)
	}
	if len(came) < len(answers) {
		return ExitFailure
	}
	return exitFor(checkOwners(came), stderr)
}

// checkOwners returns an error where two instances name different owners of a key by the same version of the map.
func checkOwners(answers []inspector.OwnerAnswer) error {
	for i, a := range answers {
		for _, b := range answers[:i] {
			if a.OwnersVersion == b.OwnersVersion && a.Server != b.Server {
				return errors.Errorf("second owner: %s says %s and %s says %s by version %s", b.Instance, b.Server, a.Instance,
					a.Server, versionText(a.OwnersVersion))
			}
		}
	}
	return nil
}

func writeOwners(w io.Writer, format string, answers []adminAnswer[inspector.OwnerAnswer], came []inspector.OwnerAnswer) error {
	if format == formatJSON {
		return writeJSON(w, answers)
	}
	if len(came) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCORDING TO\tOWNERS\tOWNER\tMOVING\tFRONT")
	for _, a := range came {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s\n", a.Instance, versionText(a.OwnersVersion), orNone(a.Server), a.Moving, orNone(a.Dispatcher))
	}
	return table.Flush()
}
