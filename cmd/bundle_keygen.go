package cmd

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// File modes of private keys, and of public keys and sign-offs.
const (
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

// pemPrivateKeyType is the type of a PEM block with a PKCS #8 private key.
const pemPrivateKeyType = "PRIVATE KEY"

func runBundleKeygen(args []string, stdout, stderr io.Writer) ExitCode {
	flags := newBundleFlags("keygen", "PREFIX",
		"Generates an Ed25519 key pair: PREFIX.key.pem (private, PKCS #8) and PREFIX.pub (public, base64 as in bundles).\n"+
			"Existing files are not overwritten.", stderr)
	if code, ok := parseFlags(flags, args, 1, 1); !ok {
		return code
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return reportBundleError(stderr, errors.WithStack(err))
	}
	if err := writeKeyPair(flags.Arg(0), public, private); err != nil {
		return reportBundleError(stderr, err)
	}
	fmt.Fprintf(stdout, "public_key: %s\n", base64.StdEncoding.EncodeToString(public))
	return ExitSuccess
}

func writeKeyPair(prefix string, public ed25519.PublicKey, private ed25519.PrivateKey) error {
	encoded, err := encodePrivateKey(private)
	if err != nil {
		return err
	}
	if err := writeNewFile(prefix+".key.pem", encoded, privateFileMode); err != nil {
		return err
	}
	text := base64.StdEncoding.EncodeToString(public) + "\n"
	if err := writeNewFile(prefix+".pub", []byte(text), publicFileMode); err != nil {
		if removeErr := os.Remove(prefix + ".key.pem"); removeErr != nil {
			return errors.Wrapf(err, "%v; then", removeErr)
		}
		return err
	}
	return nil
}

// writeNewFile writes data to a new file at path. It fails if the file exists.
func writeNewFile(path string, data []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.WithStack(err)
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.WithStack(err)
}

func encodePrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemPrivateKeyType, Bytes: der}), nil
}

// readPrivateKey reads an Ed25519 private key from a PEM file with PKCS #8 content.
func readPrivateKey(path string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemPrivateKeyType {
		return nil, errors.Errorf("%s does not contain a PEM block of type %q", path, pemPrivateKeyType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("%s does not contain an Ed25519 key", path)
	}
	return key, nil
}
