package cmd

import (
	"flag"
	"fmt"
	"io"
	"math"

	"github.com/wasabibank/wasabibank/internal/allocator"
	"github.com/wasabibank/wasabibank/internal/publisher"
	"github.com/wasabibank/wasabibank/internal/runner"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// maxMemoryMB bounds -memory-mb, so that the bytes fit into 64 bits; entry has the same bound for self.limits.memory_mb.
const maxMemoryMB = 1e9

// checkFlags are the flags of bundle check.
type checkFlags struct {
	parent   string // path of a bundle
	store    storeFlags
	memoryMB int // of an instance, in units of 2^20 bytes; 0 means unknown
	strict   bool
	json     bool
}

func (c *checkFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&c.parent, "parent", "",
		"file with the newest published bundle, of which each BUNDLE must be a valid successor; the changes are printed")
	c.store.register(flags)
	flags.IntVar(&c.memoryMB, "memory-mb", 0, "self.limits.memory_mb of an instance that must hold a body of the size body_bytes")
	flags.BoolVar(&c.strict, "strict", false, "exit with 1 on warnings, too")
	flags.BoolVar(&c.json, "json", false, "print a JSON object")
}

// valid reports whether the flags don't exclude each other and are in range.
func (c *checkFlags) valid() bool {
	return (c.parent == "" || c.store.address == "") && c.memoryMB >= 0 && c.memoryMB <= maxMemoryMB
}

func runBundleCheck(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("check", "[-parent PARENT | -store ADDRESS] [flags] BUNDLE...",
		"Checks all bundles and prints all findings. An error means that the bundle can't be published; a warning, that it probably does\n"+
			"not do what is meant. With -parent or -store it also prints what differs from that bundle, or from the newest published one.\n"+
			"The exit code is 1 if there are errors.", stderr)
	var c checkFlags
	c.register(flags)
	if code, ok := parseFlags(flags, args, 1, math.MaxInt); !ok {
		return code
	}
	if !c.valid() {
		flags.Usage()
		return ExitUsage
	}
	inForce, err := c.readInForce()
	if err != nil {
		return reportBundleError(stderr, err)
	}
	var report checkReport
	for _, path := range flags.Args() {
		if err := report.check(path, inForce, c.reviewSettings()); err != nil {
			reportBundleError(stderr, err)
		}
	}
	if err := report.print(stdout, c.json); err != nil {
		return reportBundleError(stderr, err)
	}
	if report.failed(c.strict) {
		return ExitFailure
	}
	return ExitSuccess
}

func (c *checkFlags) reviewSettings() bundler.ReviewSettings {
	return bundler.ReviewSettings{RequestBytes: allocator.MaxRequestBytes(runner.BodyBytes(c.memoryMB))}
}

// bundleInForce is the bundle with which others are compared.
type bundleInForce struct {
	known  bool            // a file or the store was named
	bundle *bundler.Bundle // nil if none is published
}

// readInForce reads the bundle in force from the file or the store that the flags name.
func (c *checkFlags) readInForce() (bundleInForce, error) {
	if c.parent != "" {
		b, err := readBundle(c.parent)
		return bundleInForce{known: true, bundle: b}, err
	}
	if c.store.address == "" {
		return bundleInForce{}, nil
	}
	ctx, cancel, store := c.store.newClient()
	defer cancel()
	chain, err := publisher.ReadChain(ctx, store)
	return bundleInForce{known: true, bundle: chain.Newest()}, err
}

// checkReport has the results of all bundles that were checked.
type checkReport struct {
	bundles  []checkedBundle
	failures []checkFailure
	errors   reporter.Findings
	warnings reporter.Findings
}

// checkedBundle is a bundle that could be decoded.
type checkedBundle struct {
	path     string
	bundle   *bundler.Bundle
	rejected bool // it may not follow the bundle in force
	inForce  bundleInForce
}

// changes returns how the bundle differs from the one in force, or nil if that is unknown.
func (c checkedBundle) changes() []string {
	if !c.inForce.known {
		return nil
	}
	return bundler.Changes(c.inForce.bundle, c.bundle)
}

// checkFailure is a file that could not be read.
type checkFailure struct {
	path string
	err  error
}

// check checks the bundle at path. It returns an error if the file can't be read, which the report then lists as well.
func (r *checkReport) check(path string, inForce bundleInForce, settings bundler.ReviewSettings) error {
	bundle, err := readBundle(path)
	if err != nil {
		if r.errors.AddErr(err) {
			return nil
		}
		r.failures = append(r.failures, checkFailure{path: path, err: err})
		return err
	}
	checked := checkedBundle{path: path, bundle: bundle, inForce: inForce}
	if inForce.known {
		checked.rejected = r.errors.AddErr(bundler.CheckSuccessor(inForce.bundle, bundle))
	}
	for _, warning := range bundler.Review(bundle, settings) {
		r.warnings.Add(warning)
	}
	r.bundles = append(r.bundles, checked)
	return nil
}

// failed reports whether the exit code is ExitFailure.
func (r *checkReport) failed(strict bool) bool {
	return r.errors.Len() > 0 || len(r.failures) > 0 || strict && r.warnings.Len() > 0
}

func (r *checkReport) print(w io.Writer, asJSON bool) error {
	if asJSON {
		return r.printJSON(w)
	}
	r.printText(w)
	return nil
}

func (r *checkReport) printText(w io.Writer) {
	for _, b := range r.bundles {
		if !b.rejected {
			fmt.Fprintf(w, "%s: %s version %d, digest %s\n", b.path, b.bundle.Name(), b.bundle.Version(), b.bundle.Digest())
		}
		b.printChanges(w)
	}
	for _, findings := range []*reporter.Findings{&r.errors, &r.warnings} {
		if findings.Len() > 0 {
			fmt.Fprintln(w, findings)
		}
	}
	errors, warnings := r.errors.Len(), r.warnings.Len()
	switch {
	case warnings > 0:
		fmt.Fprintf(w, "%d findings, %d of them warnings\n", errors+warnings, warnings)
	case errors > 0:
		fmt.Fprintf(w, "%d findings\n", errors)
	}
}

func (c checkedBundle) printChanges(w io.Writer) {
	if !c.inForce.known {
		return
	}
	if c.inForce.bundle == nil {
		fmt.Fprintf(w, "%s: no bundle is published; changes:\n", c.path)
	} else {
		fmt.Fprintf(w, "%s: changes from version %d:\n", c.path, c.inForce.bundle.Version())
	}
	changes := c.changes()
	for _, line := range changes {
		fmt.Fprintf(w, "  %s\n", line)
	}
	if len(changes) == 0 {
		fmt.Fprintln(w, "  none")
	}
}
