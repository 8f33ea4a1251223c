package cmd

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/wasabibank/wasabibank/internal/recorder"
	"github.com/wasabibank/wasabibank/internal/reducer"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

func runBundleHistory(args []string, stdout, stderr io.Writer) ExitCode {
	flags := bundleFlags("history", "-settings FILE [flags]",
		"Lists the bundles that came into force, oldest first: who wrote and signed them, who appended them and when,\n"+
			"and what each changed, as far as the log still holds them.", stderr)
	var log logFlags
	log.register(flags)
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if log.settings == "" {
		flags.Usage()
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), log.timeout)
	defer cancel()
	reader, err := log.open(ctx)
	if err != nil {
		return failBundle(stderr, err)
	}
	defer reader.close()
	printHistory(stdout, reader)
	return ExitDone
}

func printHistory(stdout io.Writer, reader *logReader) {
	bundles := bundlesByDigest(reader)
	parent := ""
	for _, change := range reader.state.History() {
		fmt.Fprintf(stdout, "version %d  %s  offset %d  record %s\n", change.Version,
			wallTime(change.Provenance), change.Provenance.Offset, change.Provenance.Record)
		fmt.Fprintf(stdout, "  by %s, signed off by %s, appended by %s\n  digest %s\n",
			change.Author, change.Approver, change.Provenance.Author, change.Digest)
		printChanges(stdout, change.Version, bundles[parent], bundles[change.Digest])
		parent = change.Digest
	}
	printRefused(stdout, reader)
}

func wallTime(p reducer.Provenance) string {
	return time.UnixMilli(p.WallMS).UTC().Format(time.RFC3339)
}

func printChanges(stdout io.Writer, version uint64, before, after *bundler.Bundle) {
	if after == nil || (before == nil && version > 1) {
		fmt.Fprintln(stdout, "  changes: no longer in the log")
		return
	}
	for _, line := range bundler.Changes(before, after) {
		fmt.Fprintf(stdout, "  - %s\n", line)
	}
}

// bundlesByDigest returns the bundles that the log still holds, and the one in force.
func bundlesByDigest(reader *logReader) map[string]*bundler.Bundle {
	bundles := map[string]*bundler.Bundle{}
	for _, entry := range reader.entries {
		_, signed, ok := publishOf(entry)
		if !ok {
			continue
		}
		if bundle, err := signed.Open("bundle"); err == nil {
			bundles[bundle.Digest()] = bundle
		}
	}
	if inForce := reader.state.Bundle(); inForce != nil {
		bundles[inForce.Digest()] = inForce
	}
	return bundles
}

func publishOf(entry reducer.Entry) (recorder.Envelope, bundler.Signed, bool) {
	envelope, err := recorder.Decode(entry.Data)
	if err != nil {
		return recorder.Envelope{}, bundler.Signed{}, false
	}
	publish, ok := envelope.Record().(recorder.PublishBundle)
	return envelope, publish.Signed, ok
}

// printRefused lists the attempts in the log that brought nothing into force.
func printRefused(stdout io.Writer, reader *logReader) {
	accepted := map[identifier.RecordID]bool{}
	for _, change := range reader.state.History() {
		accepted[change.Provenance.Record] = true
	}
	for _, entry := range reader.entries {
		envelope, signed, ok := publishOf(entry)
		if !ok || accepted[envelope.ID()] {
			continue
		}
		fmt.Fprintf(stdout, "refused    %s  offset %d  record %s\n  digest %s, appended by %s\n",
			envelope.Wall().Format(time.RFC3339), entry.Offset, envelope.ID(), bundler.Digest(signed.Raw), envelope.Author())
	}
}
