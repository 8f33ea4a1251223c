package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/presenter"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// ownerCommand tells who owns a key, since when and by which record.
func ownerCommand() command {
	return command{name: "owner", summary: "tell which backend server owns a key, since when, by which record", run: runOwner}
}

func runOwner(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newAdminFlags("owner", " SERVICE KEY", formatText, formatJSON)
	addresses, code, ok := flags.parse(args, 2, stdout, stderr)
	if !ok {
		return code
	}
	service, key := identifier.ServiceName(flags.set.Arg(0)), flags.set.Arg(1)
	answers := askAll(addresses, flags.timeout, func(ctx context.Context, c *presenter.Client, address string) (presenter.OwnerAnswer, error) {
		return c.GetOwner(ctx, address, service, key)
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

// checkOwners returns an error where two instances name different owners of a key at one epoch of one partition.
func checkOwners(answers []presenter.OwnerAnswer) error {
	for i, a := range answers {
		for _, b := range answers[:i] {
			if a.Partition == b.Partition && a.Epoch == b.Epoch && a.Server != b.Server {
				return errors.Errorf("second owner: %s says %s and %s says %s at epoch %d", b.Instance, b.Server, a.Instance, a.Server, a.Epoch)
			}
		}
	}
	return nil
}

func writeOwners(w io.Writer, format string, answers []adminAnswer[presenter.OwnerAnswer], came []presenter.OwnerAnswer) error {
	if format == formatJSON {
		return writeJSON(w, answers)
	}
	if len(came) == 0 {
		return nil
	}
	newest := slices.MaxFunc(came, func(a, b presenter.OwnerAnswer) int { return cmp.Compare(a.Offset, b.Offset) })
	writeNewestOwner(w, newest)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACCORDING TO\tOFFSET\tPARTITION\tOWNER\tEPOCH\tFRONT\tTERM")
	for _, a := range came {
		fmt.Fprintf(table, "%s\t%d\t%s\t%s\t%d\t%s\t%d\n", a.Instance, a.Offset, a.Partition, orNone(string(a.Server)), a.Epoch,
			orNone(string(a.Front)), a.Term)
	}
	return table.Flush()
}

func writeNewestOwner(w io.Writer, a presenter.OwnerAnswer) {
	partition := a.Partition.String()
	if a.Pinned {
		partition += " (of its own)"
	}
	fmt.Fprintf(w, "key %q of %s is in partition %s\n", a.Key, a.Service, partition)
	if a.Server == "" {
		fmt.Fprint(w, "no server owns it\n\n")
		return
	}
	fmt.Fprintf(w, "owner %s at epoch %d since %s\n", a.Server, a.Epoch, provenanceText(a.Since))
	if a.Front == "" {
		fmt.Fprint(w, "no instance fronts the owner\n\n")
		return
	}
	fmt.Fprintf(w, "fronted by %s at term %d since %s\n\n", a.Front, a.Term, provenanceText(a.FrontSince))
}

func orNone(text string) string {
	return cmp.Or(text, "-")
}
