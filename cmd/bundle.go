package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
	"github.com/wasabibank/wasabibank/platform"
)

// bundleCommand returns the command that manages bundles.
func bundleCommand() command {
	return command{name: "bundle", summary: "check, sign, publish and show bundles", run: runBundle}
}

func runBundle(args []string, stdout, stderr io.Writer) ExitCode {
	subcommands := []command{
		{name: "check", summary: "check bundles and print all findings", run: runBundleCheck},
		{name: "keygen", summary: "generate a signer's key pair", run: runBundleKeygen},
		{name: "sign", summary: "sign a bundle as its author or approver", run: runBundleSign},
		{name: "publish", summary: "publish a signed bundle", run: runBundlePublish},
		{name: "show", summary: "print the newest published bundle, or a bundle file", run: runBundleShow},
		{name: "history", summary: "list who published which version, when, and what it changed", run: runBundleHistory},
	}
	return runCommand("wasabibank bundle", subcommands, args, stdout, stderr)
}

// newBundleFlags returns the flags of the subcommand name. In the usage line, arguments follows the name.
func newBundleFlags(name, arguments, description string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		fmt.Fprintf(stderr, "usage: wasabibank bundle %s %s\n\n%s\n", name, arguments, description)
		flags.PrintDefaults()
	}
	return flags
}

// reportBundleError prints err, with each finding on its own line, and returns ExitFailure.
func reportBundleError(stderr io.Writer, err error) ExitCode {
	if reporter.IsErrFindings(err) {
		fmt.Fprintln(stderr, err)
		return ExitFailure
	}
	fmt.Fprintf(stderr, "wasabibank bundle: %v\n", err)
	return ExitFailure
}

// readBundle reads and checks the bundle at path.
func readBundle(path string) (*bundler.Bundle, error) {
	raw, err := parser.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return bundler.Decode(path, raw)
}

// signOffPath returns the path of the sign-off file of the bundle at path.
func signOffPath(path string) string { return path + ".sign_off" }

// readSignOffs reads the sign-off file at path. An error for a missing file is or wraps os.ErrNotExist.
func readSignOffs(path string) (bundler.SignOffFile, error) {
	raw, err := parser.ReadFile(path)
	if err != nil {
		return bundler.SignOffFile{}, err
	}
	return bundler.DecodeSignOffFile(path, raw)
}

// defaultStoreTimeout bounds all requests of one subcommand to the store.
const defaultStoreTimeout = 15 * time.Second

// storeFlags are the flags of the subcommands that use the platform's store.
type storeFlags struct {
	address string
	timeout time.Duration
}

func (f *storeFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.address, "store", "", "host:port of the platform's store")
	flags.DurationVar(&f.timeout, "timeout", defaultStoreTimeout, "timeout for all requests to the store together")
}

// newClient returns a client of the store and a context that ends after the timeout.
func (f *storeFlags) newClient() (context.Context, context.CancelFunc, *platform.Store) {
	ctx, cancel := context.WithTimeout(context.Background(), f.timeout)
	return ctx, cancel, platform.NewStore(f.address)
}
