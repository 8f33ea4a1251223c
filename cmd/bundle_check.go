package cmd

import (
	"fmt"
	"io"
	"math"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/reporter"
)

func runBundleCheck(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("check", "[-parent PARENT] BUNDLE...",
		"Checks all bundles and prints all findings. The exit code is 1 if there are findings.", stderr)
	parentPath := flags.String("parent", "",
		"file with the newest published bundle, of which each BUNDLE must be a valid successor")
	if code, ok := parseFlags(flags, args, 1, math.MaxInt); !ok {
		return code
	}
	parent, err := readParent(*parentPath)
	if err != nil {
		return reportBundleError(stderr, err)
	}
	var findings reporter.Findings
	failed := false
	for _, path := range flags.Args() {
		bundle, err := checkBundle(path, parent)
		switch {
		case err == nil:
			fmt.Fprintf(stdout, "%s: %s version %d, digest %s\n", path, bundle.Name(), bundle.Version(), bundle.Digest())
		case !findings.AddErr(err):
			failed = true
			reportBundleError(stderr, err)
		}
	}
	if findings.Len() > 0 {
		fmt.Fprintf(stdout, "%s\n%d findings\n", findings.String(), findings.Len())
		failed = true
	}
	if failed {
		return ExitFailure
	}
	return ExitSuccess
}

// readParent reads the bundle at path; an empty path returns nil.
func readParent(path string) (*bundler.Bundle, error) {
	if path == "" {
		return nil, nil
	}
	return readBundle(path)
}

func checkBundle(path string, parent *bundler.Bundle) (*bundler.Bundle, error) {
	bundle, err := readBundle(path)
	if err != nil {
		return nil, err
	}
	if parent == nil {
		return bundle, nil
	}
	return bundle, bundler.CheckSuccessor(parent, bundle)
}
