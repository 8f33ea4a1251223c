package cmd

import (
	"fmt"
	"io"
	"time"

	"github.com/wasabibank/wasabibank/internal/publisher"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

func runBundleHistory(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("history", "-store ADDRESS [flags]",
		"Lists who published which version, when, and what it changed.", stderr)
	var store storeFlags
	store.register(flags)
	if code, ok := parseFlags(flags, args, 0, 0); !ok {
		return code
	}
	if store.address == "" {
		flags.Usage()
		return ExitUsage
	}
	ctx, cancel, platformStore := store.newClient()
	defer cancel()
	chain, err := publisher.ReadChain(ctx, platformStore)
	if err != nil {
		return reportBundleError(stderr, err)
	}
	var previous *bundler.Bundle
	for _, v := range chain.Versions() {
		b := v.Bundle()
		fmt.Fprintf(stdout, "version %d at %s, digest %s\n  by %s, approved by %s, published by %s\n", b.Version(),
			v.Published().Format(time.RFC3339), b.Digest(), b.Author(), b.Approver(), v.Operator())
		for _, line := range bundler.Changes(previous, b) {
			fmt.Fprintf(stdout, "  %s\n", line)
		}
		previous = b
	}
	return ExitSuccess
}
