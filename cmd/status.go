package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/wasabibank/wasabibank/internal/elector"
	"github.com/wasabibank/wasabibank/internal/inspector"
)

// statusCommand returns the command that shows the state of instances.
func statusCommand() command {
	return command{name: "status", summary: "show instances, the leader, the bundle and backend servers", run: runStatus}
}

func runStatus(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newAdminFlags("status", "", formatText, formatJSON)
	addresses, code, ok := flags.parse(args, 0, stdout, stderr)
	if !ok {
		return code
	}
	answers := queryAll(addresses, flags.timeout,
		func(ctx context.Context, c *inspector.Client, address string) (inspector.Status, error) {
			return c.GetStatus(ctx, address)
		})
	answered := collectAnswers(answers, stderr)
	if err := writeStatus(stdout, flags.format, answers, answered); err != nil {
		return reportError(err, stderr)
	}
	if len(answered) < len(answers) {
		return ExitFailure
	}
	return ExitSuccess
}

func writeStatus(w io.Writer, format string, answers []adminAnswer[inspector.Status], answered []inspector.Status) error {
	if format == formatJSON {
		return writeJSON(w, answers)
	}
	if len(answered) == 0 {
		return nil
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeInstances(table, answered)
	newest := slices.MaxFunc(answered, func(a, b inspector.Status) int {
		return compareVersions(a.OwnerMapVersion, b.OwnerMapVersion)
	})
	writeMembers(table, newest)
	writeServers(table, newest)
	writeLostServices(table, newest)
	writeUnreachable(table, answered)
	writeLimits(table, newest)
	writeCold(table, newest)
	writeEvacuated(table, newest)
	writeBarred(table, newest)
	return table.Flush()
}

func compareVersions(a, b inspector.Version) int {
	return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Sequence, b.Sequence))
}

func writeInstances(w io.Writer, statuses []inspector.Status) {
	fmt.Fprintln(w, "INSTANCE\tDOMAIN\tREADY\tBUNDLE\tLEADER\tTERM\tOWNER MAP\tSTORE\tRUNNING\tWAITING")
	for _, s := range statuses {
		fmt.Fprintf(w, "%s\t%s\t%t\t%d\t%s\t%s\t%s\t%s\t%d\t%d\n", s.Instance, s.Domain, s.Ready, s.BundleVersion,
			leaderText(s), termText(s.Leader.Term), versionText(s.OwnerMapVersion), storeText(s), s.Running, s.Waiting)
	}
	fmt.Fprintln(w)
}

func leaderText(s inspector.Status) string {
	if s.IsLeader {
		return "itself"
	}
	return orDash(s.Leader.Instance)
}

func storeText(s inspector.Status) string {
	if s.StoreUnreachable {
		return "lost"
	}
	return "reached"
}

func versionText(v inspector.Version) string {
	return fmt.Sprintf("%s.%d", termText(v.Term), v.Sequence)
}

// termText returns a term as text: the era of the store, unless that is 0, and the term within it.
func termText(term uint64) string {
	if era := elector.EraOf(term); era > 0 {
		return fmt.Sprintf("%d:%d", era, elector.NumberInEra(term))
	}
	return strconv.FormatUint(term, 10)
}

func writeMembers(w io.Writer, s inspector.Status) {
	fmt.Fprintf(w, "INSTANCE, ACCORDING TO %s\tDOMAIN\tADDRESS\tLEAVING\tCAPACITY\n", s.Instance)
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\n", m.Instance, m.Domain, m.Address, m.Leaving, m.Capacity)
	}
	fmt.Fprintln(w)
}

func writeServers(w io.Writer, s inspector.Status) {
	fmt.Fprintln(w, "SERVER\tSERVICE\tDOMAIN\tADDRESS\tSTATE\tSLOTS\tRANGES\tKEYS\tDISPATCHER")
	for _, server := range s.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", server.ID, server.Service, server.Domain, server.Address,
			server.State, server.Slots, server.Ranges, server.Keys, orDash(server.Dispatcher))
	}
}

// writeLostServices writes the instances that have lost services, if there are any.
func writeLostServices(w io.Writer, s inspector.Status) {
	head := "\nINSTANCE WITHOUT PATHS\tSERVICE\tFOR\n"
	for _, m := range s.Members {
		for _, lost := range m.LostServices {
			fmt.Fprintf(w, "%s%s\t%s\t%s\n", head, m.Instance, lost.Service, secondsText(lost.LostSeconds))
			head = ""
		}
	}
}

// writeUnreachable writes the servers to which an instance has lost its path, and through which dispatcher its requests go, if there
// are any.
func writeUnreachable(w io.Writer, statuses []inspector.Status) {
	head := "\nINSTANCE\tUNREACHABLE SERVER\tSERVICE\tREQUESTS GO THROUGH\n"
	for _, s := range statuses {
		for _, server := range s.Servers {
			if server.Unreachable {
				fmt.Fprintf(w, "%s%s\t%s\t%s\t%s\n", head, s.Instance, server.ID, server.Service, orDash(server.Dispatcher))
				head = ""
			}
		}
	}
}

// writeLimits writes the servers that limit their requests, if there are any.
func writeLimits(w io.Writer, s inspector.Status) {
	head := "\nLIMITED SERVER\tREQUESTS A SECOND\tFOR\n"
	for _, server := range s.Servers {
		if server.Limited {
			fmt.Fprintf(w, "%s%s\t%g\t%s\n", head, server.ID, server.Limit, secondsText(server.LimitedSeconds))
			head = ""
		}
	}
}

// writeCold writes the servers that are cold, if there are any.
func writeCold(w io.Writer, s inspector.Status) {
	head := "\nCOLD SERVER\tSERVICE\tFOR THE NEXT\n"
	for _, server := range s.Servers {
		if server.ColdSeconds > 0 {
			fmt.Fprintf(w, "%s%s\t%s\t%s\n", head, server.ID, server.Service, secondsText(server.ColdSeconds))
			head = ""
		}
	}
}

// writeEvacuated writes the failure domains that are evacuated, if there are any.
func writeEvacuated(w io.Writer, s inspector.Status) {
	head := "\nEVACUATED DOMAIN\tSERVERS\tFOR\n"
	for _, e := range s.Evacuated {
		servers := 0
		for _, server := range s.Servers {
			if server.Domain == e.Domain {
				servers++
			}
		}
		fmt.Fprintf(w, "%s%s\t%d\t%s\n", head, e.Domain, servers, secondsText(e.EvacuatedSeconds))
		head = ""
	}
}

// writeBarred writes the requests that are refused because servers crash under them, if there are any.
func writeBarred(w io.Writer, s inspector.Status) {
	head := "\nBARRED REQUEST\tFINGERPRINT\tCRASHES\tFOR\n"
	for _, b := range s.Barred {
		fmt.Fprintf(w, "%s%s\t%s\t%d\t%s\n", head, b.Request, b.Fingerprint, b.Crashes, secondsText(b.BarredSeconds))
		head = ""
	}
}

// secondsText returns a duration in seconds as text.
func secondsText(seconds float64) string {
	return time.Duration(seconds * float64(time.Second)).Round(time.Millisecond).String()
}

func orDash(text string) string { return cmp.Or(text, "-") }
