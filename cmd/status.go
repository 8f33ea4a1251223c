package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wasabibank/wasabibank/internal/presenter"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// shortDigestLength is the number of characters of a bundle's digest that tables show.
const shortDigestLength = 12

// statusCommand shows what instances know and do.
func statusCommand() command {
	return command{name: "status", summary: "show instances, leases, bundle, roster and backend servers", run: runStatus}
}

func runStatus(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newAdminFlags("status", "", formatText, formatJSON)
	addresses, code, ok := flags.parse(args, 0, stdout, stderr)
	if !ok {
		return code
	}
	answers := askAll(addresses, flags.timeout, func(ctx context.Context, c *presenter.Client, address string) (presenter.Status, error) {
		return c.GetStatus(ctx, address)
	})
	came := reportUnanswered(answers, stderr)
	if err := writeStatus(stdout, flags.format, answers, came); err != nil {
		return exitFor(err, stderr)
	}
	if len(came) < len(answers) {
		return ExitFailure
	}
	return ExitDone
}

func writeStatus(w io.Writer, format string, answers []adminAnswer[presenter.Status], came []presenter.Status) error {
	if format == formatJSON {
		return writeJSON(w, answers)
	}
	if len(came) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeInstances(table, came)
	newest := newestStatus(came)
	writeBundle(table, newest.Bundle)
	writeRoster(table, newest)
	writeServers(table, came, newest)
	return table.Flush()
}

// newestStatus returns the status of the instance that has folded the most records.
func newestStatus(statuses []presenter.Status) presenter.Status {
	return slices.MaxFunc(statuses, func(a, b presenter.Status) int { return cmp.Compare(a.Offset, b.Offset) })
}

func writeInstances(w io.Writer, statuses []presenter.Status) {
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREADY\tLEASE\tLEFT\tOFFSET\tBUNDLE\tFRONTS")
	for _, s := range statuses {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", s.Instance, s.Domain, readyText(s.Ready), s.Lease.State,
			milliseconds(s.Lease.LeftMS), s.Offset, s.Bundle.Version, countFronts(s))
	}
	fmt.Fprintln(w)
}

func readyText(r presenter.Readiness) string {
	if r.Ready {
		return "yes"
	}
	return "no: " + r.Reason
}

func countFronts(s presenter.Status) int {
	count := 0
	for _, server := range s.Servers {
		if server.Front == s.Instance {
			count++
		}
	}
	return count
}

func writeBundle(w io.Writer, b presenter.Bundle) {
	if b.Version == 0 {
		fmt.Fprint(w, "no bundle in force\n\n")
		return
	}
	digest := b.Digest[:min(len(b.Digest), shortDigestLength)]
	fmt.Fprintf(w, "bundle %d (%s) by %s, approved by %s, accepted at %s\n\n", b.Version, digest, b.Author, b.Approver,
		provenanceText(b.Accepted))
}

func provenanceText(p presenter.Provenance) string {
	return fmt.Sprintf("offset %d, record %s by %s, %s", p.Offset, p.Record, p.Author, p.Time.UTC().Format(time.RFC3339Nano))
}

func writeRoster(w io.Writer, s presenter.Status) {
	fmt.Fprintln(w, "ROSTER\tDOMAIN\tPEER ADDRESS\tSTATE\tHEARD AGO")
	for _, m := range s.Roster {
		state := "member"
		if m.Expelled {
			state = "expelled"
		}
		heard := "never"
		if m.HeardAgoMS >= 0 {
			heard = milliseconds(m.HeardAgoMS).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Instance, m.Domain, m.PeerAddress, state, heard)
	}
	fmt.Fprintln(w)
}

// writeServers shows each backend server as its fronting instance sees it, or else as the newest status has it.
func writeServers(w io.Writer, statuses []presenter.Status, newest presenter.Status) {
	seen := make(map[identifier.ServerName]presenter.Server)
	for _, s := range statuses {
		for _, server := range s.Servers {
			if server.Front == s.Instance {
				seen[server.Name] = server
			}
		}
	}
	fmt.Fprintln(w, "SERVER\tSERVICES\tDOMAIN\tFRONT\tTERM\tPARTITIONS\tCHECKS\tSTATE\tRUNNING\tWAITING\tWAIT")
	for _, server := range newest.Servers {
		if fronted, ok := seen[server.Name]; ok && fronted.Term >= server.Term {
			server = fronted
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%t\t%s\t%d/%d\t%d\t%s\n", server.Name, serviceList(server.Services),
			server.Domain, orNone(string(server.Front)), server.Term, server.Partitions, server.Checks, server.State,
			server.Running, server.Slots, server.Waiting, milliseconds(server.ExpectedWaitMS))
	}
}

func serviceList(services []identifier.ServiceName) string {
	names := make([]string, 0, len(services))
	for _, s := range services {
		names = append(names, string(s))
	}
	return strings.Join(names, ",")
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
