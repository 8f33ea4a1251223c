package cmd

import (
	"crypto/ed25519"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/bundler"
)

func runBundleSign(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("sign", "-signer NAME -key KEY_FILE BUNDLE",
		"Checks BUNDLE and adds a sign-off to BUNDLE.sign_off. Author and approver must both sign.", stderr)
	signer := flags.String("signer", "", "name of the signer: the bundle's author or approver")
	keyPath := flags.String("key", "", "file with the signer's private key, as written by keygen")
	if code, ok := parseFlags(flags, args, 1, 1); !ok {
		return code
	}
	if *signer == "" || *keyPath == "" {
		flags.Usage()
		return ExitUsage
	}
	if err := signBundle(stdout, flags.Arg(0), *signer, *keyPath); err != nil {
		return reportBundleError(stderr, err)
	}
	return ExitSuccess
}

func signBundle(stdout io.Writer, path, signer, keyPath string) error {
	bundle, err := readBundle(path)
	if err != nil {
		return err
	}
	if signer != bundle.Author() && signer != bundle.Approver() {
		return errors.Errorf("%s is neither the author %s nor the approver %s of %s",
			signer, bundle.Author(), bundle.Approver(), path)
	}
	key, err := readPrivateKey(keyPath)
	if err != nil {
		return err
	}
	if !hasKey(bundle, signer, key) {
		fmt.Fprintf(stdout, "note: %s has another key in this bundle; the key used must be the one in the previous version, "+
			"or for version 1 among the initial signers\n", signer)
	}
	return addSignOff(stdout, path, bundle, bundler.Sign(bundle.Raw(), signer, key))
}

func hasKey(bundle *bundler.Bundle, signer string, key ed25519.PrivateKey) bool {
	for _, known := range bundle.Signers() {
		if known.Name() == signer {
			return known.PublicKey().Equal(key.Public())
		}
	}
	return false
}

func addSignOff(stdout io.Writer, path string, bundle *bundler.Bundle, signOff bundler.SignOff) error {
	existing, err := readSignOffs(signOffPath(path))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if existing.Digest() != "" && existing.Digest() != bundle.Digest() {
		fmt.Fprintln(stdout, "note: the existing sign-offs are for other contents of the bundle and are dropped")
	}
	updated := existing.Add(bundle.Raw(), signOff)
	if err := replaceFile(signOffPath(path), updated.Encode()); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s: version %d, digest %s, signed by", signOffPath(path), bundle.Version(), bundle.Digest())
	for _, signed := range updated.SignOffs() {
		fmt.Fprintf(stdout, " %s", signed.Signer)
	}
	fmt.Fprintln(stdout)
	return nil
}

// replaceFile atomically replaces the file at path.
func replaceFile(path string, data []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return errors.WithStack(err)
	}
	defer os.Remove(file.Name())
	_, err = file.Write(data)
	if err == nil {
		err = file.Chmod(publicFileMode)
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.Rename(file.Name(), path))
}
