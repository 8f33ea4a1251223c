package cmd

import (
	"fmt"
	"io"
	"time"

	"github.com/wasabibank/wasabibank/internal/publisher"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

func runBundlePublish(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("publish", "-store ADDRESS [flags] BUNDLE",
		"Checks BUNDLE and BUNDLE.sign_off against the newest published version and publishes the bundle.\n"+
			"If several operators publish the same version, one succeeds and the others get a finding.", stderr)
	var store storeFlags
	store.register(flags)
	operator := flags.String("operator", "", "name of the operator who publishes; empty means the bundle's approver")
	signers := flags.String("signers", "", "YAML file with the initial signers; required for version 1, unused later")
	if code, ok := parseFlags(flags, args, 1, 1); !ok {
		return code
	}
	if store.address == "" {
		flags.Usage()
		return ExitUsage
	}
	p, err := readPublication(flags.Arg(0), *operator, *signers)
	if err != nil {
		return reportBundleError(stderr, err)
	}
	ctx, cancel, platformStore := store.newClient()
	defer cancel()
	bundle, err := p.Publish(ctx, platformStore, time.Now())
	if reporter.IsErrFindings(err) {
		fmt.Fprintln(stdout, "rejected")
	}
	if err != nil {
		return reportBundleError(stderr, err)
	}
	fmt.Fprintf(stdout, "accepted: %s version %d, digest %s\n  by %s, approved by %s, published by %s\n", bundle.Name(),
		bundle.Version(), bundle.Digest(), bundle.Author(), bundle.Approver(), p.Operator)
	return ExitSuccess
}

// readPublication reads the bundle at path, its sign-offs and the file of initial signers, if any.
func readPublication(path, operator, signers string) (publisher.Publication, error) {
	bundle, err := readBundle(path)
	if err != nil {
		return publisher.Publication{}, err
	}
	signOffs, err := readSignOffs(signOffPath(path))
	if err != nil {
		return publisher.Publication{}, err
	}
	if operator == "" {
		operator = bundle.Approver()
	}
	p := publisher.Publication{
		Signed: bundler.Signed{Raw: bundle.Raw(), SignOffs: signOffs.SignOffs()}, Operator: operator,
	}
	if signers == "" {
		return p, nil
	}
	raw, err := parser.ReadFile(signers)
	if err != nil {
		return p, err
	}
	var findings reporter.Findings
	if root, ok := parser.Parse(signers, raw, &findings); ok {
		p.InitialSigners = bundler.ReadSigners(root.Mapping("signers").Required("signers"))
	}
	return p, findings.Err()
}
