package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/wasabibank/wasabibank/internal/publisher"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
	"github.com/wasabibank/wasabibank/platform"
)

// defaultStoreTimeout bounds all requests of one subcommand to the store.
const defaultStoreTimeout = 15 * time.Second

// storeFlags are the flags of the subcommands that use the platform's store.
type storeFlags struct {
	address string
	timeout time.Duration
}

func (f *storeFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.address, "store", "", "host:port of the platform's store")
	flags.DurationVar(&f.timeout, "timeout", defaultStoreTimeout, "timeout for all requests to the store")
}

// open returns a client of the store and a context that ends after the timeout.
func (f *storeFlags) open() (context.Context, context.CancelFunc, *platform.Store) {
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
	return ctx, cancel, platform.NewStore(f.address)
}

func runBundlePublish(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("publish", "-store ADDRESS [flags] BUNDLE",
		"Checks BUNDLE and BUNDLE.sign_off against the newest published version and publishes the bundle.\n"+
			"If several operators publish the same version, one succeeds and the others get a finding.", stderr)
	var store storeFlags
	store.register(flags)
	operator := flags.String("operator", "", "name of the operator who publishes; empty means the bundle's approver")
	signers := flags.String("signers", "", "YAML file with the signers who may sign version 1")
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
	ctx, cancel, platformStore := store.open()
	defer cancel()
	bundle, err := p.Publish(ctx, platformStore, time.Now())
	if reporter.IsErrFindings(err) {
		fmt.Fprintln(stdout, "rejected; nothing was changed")
	}
	if err != nil {
		return reportBundleError(stderr, err)
	}
	fmt.Fprintf(stdout, "accepted: %s version %d, digest %s\n  by %s, signed off by %s, published by %s\n", bundle.Name(),
		bundle.Version(), bundle.Digest(), bundle.Author(), bundle.Approver(), p.Operator)
	return ExitDone
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
