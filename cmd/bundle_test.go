package cmd

import (
	"bytes"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

const examplesDir = "../docs/examples"

// bundleFixture is a temporary directory for bundles and a stand-in store.
type bundleFixture struct {
	t       *testing.T
	dir     string
	address string
	store   *emulator.Store
}

func newBundleFixture(t *testing.T) *bundleFixture {
	t.Helper()
	store := emulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &bundleFixture{t: t, dir: t.TempDir(), address: server.Listener.Addr().String(), store: store}
}

// run runs a subcommand of bundle and returns its exit code and output.
func (b *bundleFixture) run(args ...string) (ExitCode, string) {
	b.t.Helper()
	var out bytes.Buffer
	code := runBundle(args, &out, &out)
	return code, out.String()
}

// runWithStore runs a subcommand with the address of the store.
func (b *bundleFixture) runWithStore(subcommand string, args ...string) (ExitCode, string) {
	b.t.Helper()
	return b.run(append([]string{subcommand, "-store", b.address, "-timeout", "20s"}, args...)...)
}

// publish publishes the bundle at path with the initial signers of the example.
func (b *bundleFixture) publish(path string) (ExitCode, string) {
	b.t.Helper()
	return b.runWithStore("publish", "-signers", filepath.Join(examplesDir, "shashat", "signers.yaml"), path)
}

// writeBundle writes the Shashat example under name and returns its path. edits are pairs of old and new text.
func (b *bundleFixture) writeBundle(name string, edits ...string) string {
	b.t.Helper()
	raw, err := os.ReadFile(filepath.Join(examplesDir, "shashat", "bundle.yaml"))
	if err != nil {
		b.t.Fatal(err)
	}
	path := filepath.Join(b.dir, name)
	text := strings.NewReplacer(edits...).Replace(string(raw))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.t.Fatal(err)
	}
	return path
}

// sign signs the bundle at path as each of signers.
func (b *bundleFixture) sign(path string, signers ...string) {
	b.t.Helper()
	for _, signer := range signers {
		key := filepath.Join(examplesDir, "keys", signer+".key.pem")
		code, out := b.run("sign", "-signer", signer, "-key", key, path)
		if code != ExitSuccess {
			b.t.Fatal(out)
		}
	}
}

// successorEdits returns edits that turn the example into the successor (version 2) of the bundle at path, followed by
// edits.
func successorEdits(t *testing.T, path string, edits ...string) []string {
	t.Helper()
	parent, err := readBundle(path)
	if err != nil {
		t.Fatal(err)
	}
	return append(
		[]string{"version: 1\n", "version: 2\nparent_version: 1\nparent_digest: \"" + parent.Digest() + "\"\n"}, edits...)
}

func TestBundleExitCodes(t *testing.T) {
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"no subcommand":       {want: ExitUsage},
		"help":                {args: []string{"-h"}, want: ExitSuccess},
		"check, no file":      {args: []string{"check"}, want: ExitUsage},
		"check, help":         {args: []string{"check", "-h"}, want: ExitSuccess},
		"check, unknown flag": {args: []string{"check", "-x"}, want: ExitUsage},
		"check, no such file": {args: []string{"check", "none.yaml"}, want: ExitFailure},
		"sign, no key":        {args: []string{"sign", "-signer", "a", "f"}, want: ExitUsage},
		"publish, no store":   {args: []string{"publish", "f"}, want: ExitUsage},
		"show, no source":     {args: []string{"show"}, want: ExitUsage},
		"history, argument":   {args: []string{"history", "f"}, want: ExitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			is.New(t).Equal(runBundle(tc.args, &out, &out), tc.want)
		})
	}
}

func TestBundleCheckReportsFindingsOfAllFiles(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	broken, err := filepath.Glob(filepath.Join(examplesDir, "broken", "*.yaml"))
	is.NoErr(err)
	code, out := b.run(append([]string{"check"}, broken...)...)
	is.Equal(code, ExitFailure)
	for _, path := range broken {
		is.True(strings.Contains(out, path+":"))
	}
	code, _ = b.run("check",
		filepath.Join(examplesDir, "shashat", "bundle.yaml"), filepath.Join(examplesDir, "federation", "bundle.yaml"))
	is.Equal(code, ExitSuccess)
}

func TestBundleKeygenWritesPrivateFileOnce(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	prefix := filepath.Join(b.dir, "layla")
	code, out := b.run("keygen", prefix)
	is.Equal(code, ExitSuccess)
	public, err := os.ReadFile(prefix + ".pub")
	is.NoErr(err)
	is.Equal(out, "public_key: "+string(public))
	key, err := readPrivateKey(prefix + ".key.pem")
	is.NoErr(err)
	is.Equal(len(key), 64)
	info, err := os.Stat(prefix + ".key.pem")
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(privateFileMode))
	code, _ = b.run("keygen", prefix)
	is.Equal(code, ExitFailure)
	is.NoErr(os.Remove(prefix + ".key.pem"))
	code, _ = b.run("keygen", prefix) // the public key of the first pair exists
	is.Equal(code, ExitFailure)
	_, err = os.Stat(prefix + ".key.pem") // a private key that belongs to no public key is of no use
	is.True(os.IsNotExist(err))
}

func TestBundleSignChecksSignerAndDropsStaleSignOffs(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	path := b.writeBundle("bundle.yaml")
	code, out := b.run("sign", "-signer", "noor", "-key", filepath.Join(examplesDir, "keys", "noor.key.pem"), path)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "neither the author"))
	b.sign(path, "salma", "yusuf")
	b.writeBundle("bundle.yaml", "timeout: 2s", "timeout: 3s")
	code, out = b.run("sign", "-signer", "yusuf", "-key", filepath.Join(examplesDir, "keys", "salma.key.pem"), path)
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "another key") && strings.Contains(out, "are dropped"))
	is.True(strings.HasSuffix(out, "signed by yusuf\n"))
}
