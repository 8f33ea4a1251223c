package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/bundler"
)

func runBundleShow(args []string, stdout, stderr io.Writer) ExitCode {
	flags := bundleFlags("show", "-settings FILE [flags] | BUNDLE",
		"Shows the bundle in force as the log has it, or the one in the file BUNDLE. The first lines are comments,\n"+
			"so that the output is a bundle again; the digest in it is that of the text after them.", stderr)
	var log logFlags
	log.register(flags)
	raw := flags.Bool("raw", false, "print the signed text alone, byte for byte")
	if code, ok := parseFlags(flags, args, 0, 1); !ok {
		return code
	}
	if (log.settings == "") == (flags.NArg() == 0) {
		flags.Usage()
		return ExitUsage
	}
	bundle, err := findBundle(&log, flags.Arg(0))
	if err != nil {
		return failBundle(stderr, err)
	}
	if !*raw {
		fmt.Fprintf(stdout, "# %s version %d, digest %s\n# by %s, signed off by %s\n",
			bundle.Name(), bundle.Version(), bundle.Digest(), bundle.Author(), bundle.Approver())
	}
	if _, err := stdout.Write(bundle.Raw()); err != nil {
		return failBundle(stderr, errors.WithStack(err))
	}
	return ExitDone
}

// findBundle returns the bundle at path, or the one in force when path is empty.
func findBundle(log *logFlags, path string) (*bundler.Bundle, error) {
	if path != "" {
		return readBundle(path)
	}
	ctx, cancel := context.WithTimeout(context.Background(), log.timeout)
	defer cancel()
	reader, err := log.open(ctx)
	if err != nil {
		return nil, err
	}
	defer reader.close()
	if bundle := reader.state.Bundle(); bundle != nil {
		return bundle, nil
	}
	return nil, errors.New("no bundle is in force")
}
