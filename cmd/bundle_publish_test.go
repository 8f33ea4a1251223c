package cmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/emulator"
)

func TestBundlePublishShowHistory(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first := b.write("first.yaml")
	b.sign(first, "salma", "yusuf")
	code, out := b.publish(first)
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "accepted: shashat version 1"))
	second := b.write("second.yaml", successor(t, first, "timeout: 2s", "timeout: 3s")...)
	b.sign(second, "salma", "yusuf")
	code, out = b.stored("publish", "-operator", "noor", second)
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "published by noor"))
	raw, err := os.ReadFile(second)
	is.NoErr(err)
	code, out = b.stored("show", "-raw")
	is.Equal(code, ExitDone)
	is.Equal(out, string(raw))
	code, out = b.stored("history")
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "version 1 at ") && strings.Contains(out, "service render_desk added"))
	is.True(strings.Contains(out, "version 2 at ") && strings.Contains(out, "route preview changed"))
}

func TestBundlePublishRefuses(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *testing.T, b *bench) string
		want    string
	}{
		"not signed": {want: "no such file", prepare: func(_ *testing.T, b *bench) string { return b.write("b.yaml") }},
		"one signature": {want: "missing_sign_off", prepare: func(_ *testing.T, b *bench) string {
			path := b.write("b.yaml")
			b.sign(path, "salma")
			return path
		}},
		"changed after the sign-off": {want: "wrong_signature", prepare: func(_ *testing.T, b *bench) string {
			path := b.write("b.yaml")
			b.sign(path, "salma", "yusuf")
			return b.write("b.yaml", "timeout: 2s", "timeout: 3s")
		}},
		"competing": {want: "fork", prepare: func(t *testing.T, b *bench) string {
			first := b.write("first.yaml")
			b.sign(first, "salma", "yusuf")
			code, out := b.publish(first)
			if code != ExitDone {
				t.Fatal(out)
			}
			path := b.write("b.yaml", "timeout: 2s", "timeout: 3s")
			b.sign(path, "salma", "yusuf")
			return path
		}},
		"broken": {want: "missing_key", prepare: func(_ *testing.T, b *bench) string {
			return b.write("b.yaml", "  body_bytes: 8MiB\n", "")
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			code, out := b.publish(tc.prepare(t, b))
			is.Equal(code, ExitFailure)
			if !strings.Contains(out, tc.want) {
				t.Errorf("no %q in:\n%s", tc.want, out)
			}
		})
	}
}

func TestBundlePublishNeedsTheFirstSigners(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	path := b.write("b.yaml")
	b.sign(path, "salma", "yusuf")
	code, out := b.stored("publish", path)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "unknown_signer"))
	odd := filepath.Join(b.dir, "signers.yaml")
	is.NoErr(os.WriteFile(odd, []byte("signers: [salma]\n"), 0o600))
	code, out = b.stored("publish", "-signers", odd, path)
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, odd+":1:"))
}

func TestBundlePublishOnceWhenAnAnswerIsLost(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.store.SetFaults(emulator.StoreFaults{LoseAnswers: 2})
	first := b.write("first.yaml")
	b.sign(first, "salma", "yusuf")
	code, out := b.publish(first)
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "accepted"))
	_, out = b.stored("history")
	is.Equal(strings.Count(out, "version 1 "), 1)
}

func TestBundleShowWithoutABundle(t *testing.T) {
	is := is.New(t)
	code, out := newBench(t).stored("show")
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "no bundle is in force"))
}
