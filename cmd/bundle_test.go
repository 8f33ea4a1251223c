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

const examples = "../docs/examples"

// bench is a directory with the Shashat example and a stand-in store.
type bench struct {
	t       *testing.T
	dir     string
	address string
	store   *emulator.Store
}

func newBench(t *testing.T) *bench {
	t.Helper()
	store := emulator.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	return &bench{t: t, dir: t.TempDir(), address: server.Listener.Addr().String(), store: store}
}

// run runs a verb and returns its exit code and all that it printed.
func (b *bench) run(args ...string) (ExitCode, string) {
	b.t.Helper()
	var out bytes.Buffer
	code := runBundle(args, &out, &out)
	return code, out.String()
}

// stored runs a verb that works with the store.
func (b *bench) stored(verb string, args ...string) (ExitCode, string) {
	b.t.Helper()
	return b.run(append([]string{verb, "-store", b.address, "-timeout", "20s"}, args...)...)
}

// publish publishes the bundle at path, with the first signers of the example.
func (b *bench) publish(path string) (ExitCode, string) {
	b.t.Helper()
	return b.stored("publish", "-signers", filepath.Join(examples, "shashat", "signers.yaml"), path)
}

// write writes the Shashat example with edits, pairs of old and new text, and returns its path.
func (b *bench) write(name string, edits ...string) string {
	b.t.Helper()
	raw, err := os.ReadFile(filepath.Join(examples, "shashat", "bundle.yaml"))
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

// sign adds the sign-offs of signers.
func (b *bench) sign(path string, signers ...string) {
	b.t.Helper()
	for _, signer := range signers {
		key := filepath.Join(examples, "keys", signer+".key.pem")
		code, out := b.run("sign", "-signer", signer, "-key", key, path)
		if code != ExitDone {
			b.t.Fatal(out)
		}
	}
}

// successor returns the edits that make the example version 2 of the bundle at path.
func successor(t *testing.T, path string, edits ...string) []string {
	t.Helper()
	parent, err := readBundle(path)
	if err != nil {
		t.Fatal(err)
	}
	return append([]string{"version: 1\n", "version: 2\nparent_version: 1\nparent_digest: \"" + parent.Digest() + "\"\n"}, edits...)
}

func TestBundleUsage(t *testing.T) {
	tests := map[string]struct {
		args []string
		want ExitCode
	}{
		"no verb":           {want: ExitUsage},
		"help":              {args: []string{"-h"}, want: ExitDone},
		"check nothing":     {args: []string{"check"}, want: ExitUsage},
		"check help":        {args: []string{"check", "-h"}, want: ExitDone},
		"unknown flag":      {args: []string{"check", "-x"}, want: ExitUsage},
		"no such file":      {args: []string{"check", "none.yaml"}, want: ExitFailure},
		"sign, no key":      {args: []string{"sign", "-signer", "a", "f"}, want: ExitUsage},
		"publish, no store": {args: []string{"publish", "f"}, want: ExitUsage},
		"show nothing":      {args: []string{"show"}, want: ExitUsage},
		"history, file":     {args: []string{"history", "f"}, want: ExitUsage},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			is.New(t).Equal(runBundle(tc.args, &out, &out), tc.want)
		})
	}
}

func TestBundleCheckReportsAllFilesTogether(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	broken, err := filepath.Glob(filepath.Join(examples, "broken", "*.yaml"))
	is.NoErr(err)
	code, out := b.run(append([]string{"check"}, broken...)...)
	is.Equal(code, ExitFailure)
	for _, path := range broken {
		is.True(strings.Contains(out, path+":"))
	}
	code, _ = b.run("check", filepath.Join(examples, "shashat", "bundle.yaml"), filepath.Join(examples, "federation", "bundle.yaml"))
	is.Equal(code, ExitDone)
}

func TestBundleKeygenMakesAUsableKey(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	prefix := filepath.Join(b.dir, "layla")
	code, out := b.run("keygen", prefix)
	is.Equal(code, ExitDone)
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
}

func TestBundleSign(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	path := b.write("bundle.yaml")
	code, out := b.run("sign", "-signer", "noor", "-key", filepath.Join(examples, "keys", "noor.key.pem"), path)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "neither the author"))
	b.sign(path, "salma", "yusuf")
	b.write("bundle.yaml", "timeout: 2s", "timeout: 3s")
	code, out = b.run("sign", "-signer", "yusuf", "-key", filepath.Join(examples, "keys", "salma.key.pem"), path)
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "another key") && strings.Contains(out, "are dropped"))
	is.True(strings.HasSuffix(out, "signed by yusuf\n"))
}
