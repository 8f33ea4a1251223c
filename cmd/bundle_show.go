package cmd

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/publisher"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

func runBundleShow(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("show", "-store ADDRESS [flags] | BUNDLE",
		"Prints the newest published bundle from the store, or the bundle in the file BUNDLE. The first lines are comments, so\n"+
			"the output is a valid bundle; the digest in them covers the text after them.", stderr)
	var store storeFlags
	store.register(flags)
	raw := flags.Bool("raw", false, "print only the signed text, byte for byte")
	if code, ok := parseFlags(flags, args, 0, 1); !ok {
		return code
	}
	if (store.address == "") == (flags.NArg() == 0) {
		flags.Usage()
		return ExitUsage
	}
	bundle, err := loadBundle(&store, flags.Arg(0))
	if err != nil {
		return reportBundleError(stderr, err)
	}
	if !*raw {
		fmt.Fprintf(stdout, "# %s version %d, digest %s\n# by %s, approved by %s\n",
			bundle.Name(), bundle.Version(), bundle.Digest(), bundle.Author(), bundle.Approver())
	}
	if _, err := stdout.Write(bundle.Raw()); err != nil {
		return reportBundleError(stderr, errors.WithStack(err))
	}
	return ExitSuccess
}

// loadBundle returns the bundle at path, or the newest published bundle if path is empty.
func loadBundle(store *storeFlags, path string) (*bundler.Bundle, error) {
	if path != "" {
		return readBundle(path)
	}
	ctx, cancel, platformStore := store.newClient()
	defer cancel()
	chain, err := publisher.ReadChain(ctx, platformStore)
	if err != nil {
		return nil, err
	}
	if chain.Newest() == nil {
		return nil, errors.New("no bundle is published")
	}
	return chain.Newest(), nil
}
