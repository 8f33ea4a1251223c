package cmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

func TestPublishedBundlesAreShownAndListed(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	first := b.writeBundle("first.yaml")
	b.sign(first, "salma", "yusuf")
	code, out := b.publish(first)
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "accepted: shashat version 1"))
	second := b.writeBundle("second.yaml", successorEdits(t, first, "timeout: 2s", "timeout: 3s")...)
	b.sign(second, "salma", "yusuf")
	code, out = b.runWithStore("publish", "-operator", "noor", second)
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "published by noor"))
	raw, err := os.ReadFile(second)
	is.NoErr(err)
	code, out = b.runWithStore("show", "-raw")
	is.Equal(code, ExitSuccess)
	is.Equal(out, string(raw))
	code, out = b.runWithStore("history")
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "version 1 at ") && strings.Contains(out, "service render_desk added"))
	is.True(strings.Contains(out, "version 2 at ") && strings.Contains(out, "route preview changed"))
}

func TestBundlePublishRejectsInvalidBundles(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *testing.T, b *bundleFixture) string
		want    string
	}{
		"not signed": {want: "no such file", prepare: func(_ *testing.T, b *bundleFixture) string {
			return b.writeBundle("b.yaml")
		}},
		"one signature": {want: "missing_sign_off", prepare: func(_ *testing.T, b *bundleFixture) string {
			path := b.writeBundle("b.yaml")
			b.sign(path, "salma")
			return path
		}},
		"changed after the sign-off": {want: "wrong_signature", prepare: func(_ *testing.T, b *bundleFixture) string {
			path := b.writeBundle("b.yaml")
			b.sign(path, "salma", "yusuf")
			return b.writeBundle("b.yaml", "timeout: 2s", "timeout: 3s")
		}},
		"competing version 1": {want: "fork", prepare: func(t *testing.T, b *bundleFixture) string {
			first := b.writeBundle("first.yaml")
			b.sign(first, "salma", "yusuf")
			code, out := b.publish(first)
			if code != ExitSuccess {
				t.Fatal(out)
			}
			path := b.writeBundle("b.yaml", "timeout: 2s", "timeout: 3s")
			b.sign(path, "salma", "yusuf")
			return path
		}},
		"body limit missing": {want: "missing_key", prepare: func(_ *testing.T, b *bundleFixture) string {
			return b.writeBundle("b.yaml", "  body_bytes: 8MiB\n", "")
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBundleFixture(t)
			code, out := b.publish(tc.prepare(t, b))
			is.Equal(code, ExitFailure)
			if !strings.Contains(out, tc.want) {
				t.Errorf("no %q in:\n%s", tc.want, out)
			}
		})
	}
}

func TestBundlePublishRequiresValidInitialSigners(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	path := b.writeBundle("b.yaml")
	b.sign(path, "salma", "yusuf")
	code, out := b.runWithStore("publish", path)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "unknown_signer"))
	malformed := filepath.Join(b.dir, "signers.yaml")
	is.NoErr(os.WriteFile(malformed, []byte("signers: [salma]\n"), 0o600))
	code, out = b.runWithStore("publish", "-signers", malformed, path)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, malformed+":1:"))
}

func TestBundlePublishedOnceWhenStoreAnswersAreLost(t *testing.T) {
	is := is.New(t)
	b := newBundleFixture(t)
	b.store.SetFaults(emulator.StoreFaults{LoseAnswers: 2})
	first := b.writeBundle("first.yaml")
	b.sign(first, "salma", "yusuf")
	code, out := b.publish(first)
	is.Equal(code, ExitSuccess)
	is.True(strings.Contains(out, "accepted"))
	_, out = b.runWithStore("history")
	is.Equal(strings.Count(out, "version 1 "), 1)
}
