package cmd

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wasabibank/wasabibank/internal/faker"
	"github.com/wasabibank/wasabibank/pkg/bundler"
)

func TestBundlePublishShowHistory(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	code, out := b.logged("show")
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "no bundle is in force"))

	first := b.write("first.yaml")
	b.sign(first, "salma", "yusuf")
	code, out = b.logged("publish", first)
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "accepted: shashat version 1"))
	is.True(strings.Contains(out, "by salma, signed off by yusuf, appended by yusuf"))

	second := b.write("second.yaml", successor(t, first, "leaving: false", "leaving: true")...)
	b.sign(second, "yusuf", "salma")
	code, _ = b.logged("publish", "-operator", "noor", second)
	is.Equal(code, ExitDone)

	bundle, err := readBundle(second)
	is.NoErr(err)
	code, out = b.logged("show", "-raw")
	is.Equal(code, ExitDone)
	is.Equal(out, string(bundle.Raw()))

	code, out = b.logged("history")
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "- service render_desk added with 15 servers"))
	is.True(strings.Contains(out, "appended by noor\n  digest "+bundle.Digest()+"\n  - server render_01 leaving: true\n"))
}

func TestBundlePublishRefuses(t *testing.T) {
	tests := map[string]struct {
		edits   []string
		signers []string
		want    string
	}{
		"replay": {signers: []string{"salma", "yusuf"}, want: "replay"},
		"fork":   {edits: []string{"rate: 600", "rate: 601"}, signers: []string{"salma", "yusuf"}, want: "fork"},
		"one sign-off": {edits: []string{"version: 1\n", "version: 2\nparent_version: 1\nparent_digest: DIGEST\n"},
			signers: []string{"salma"}, want: "missing_sign_off"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			first := b.write("first.yaml")
			b.sign(first, "salma", "yusuf")
			code, _ := b.logged("publish", first)
			is.Equal(code, ExitDone)
			parent, err := readBundle(first)
			is.NoErr(err)
			for i := range tc.edits {
				tc.edits[i] = strings.Replace(tc.edits[i], "DIGEST", `"`+parent.Digest()+`"`, 1)
			}
			next := b.write("next.yaml", tc.edits...)
			b.sign(next, tc.signers...)
			code, out := b.logged("publish", next)
			is.Equal(code, ExitFailure)
			is.True(strings.Contains(out, "nothing was appended"))
			is.True(strings.Contains(out, tc.want))
		})
	}
}

// Two operators read the same state, and the second in log order learns what it lost to.
func TestBundlePublishLosesARace(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first := b.write("first.yaml")
	b.sign(first, "salma", "yusuf")
	settings := logFlags{settings: examples + "/shashat/entry.yaml", log: b.address}
	reader, err := settings.open(context.Background())
	is.NoErr(err)
	defer reader.close()
	code, _ := b.logged("publish", first)
	is.Equal(code, ExitDone)

	rival := b.write("rival.yaml", "rate: 600", "rate: 601")
	b.sign(rival, "salma", "yusuf")
	bundle, err := readBundle(rival)
	is.NoErr(err)
	signOffs, err := readSignOffs(signOffPath(rival))
	is.NoErr(err)
	p := publication{operator: "noor"}
	envelope := p.envelope(bundle, bundler.Signed{Raw: bundle.Raw(), SignOffs: signOffs.SignOffs()})
	verdict, err := appendAndAwait(context.Background(), reader, envelope)
	is.NoErr(err)
	err = p.report(bundle, verdict)
	is.True(strings.Contains(err.Error(), "not_successor"))
	is.True(strings.Contains(err.Error(), "in force is version 1 by salma, approved by yusuf, at offset 0"))
	_, out := b.logged("history")
	is.True(strings.Contains(out, "refused "))
}

// The append takes effect and its reply is lost: the bundle is accepted once and reported as accepted.
func TestBundlePublishWithALostReply(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.log.SetFaults(faker.LogFaults{LoseReplies: 1})
	first := b.write("first.yaml")
	b.sign(first, "salma", "yusuf")
	code, out := b.logged("publish", first)
	is.Equal(code, ExitDone)
	is.True(strings.Contains(out, "accepted"))
	_, out = b.logged("history")
	is.Equal(strings.Count(out, "version 1 "), 1)
	is.True(!strings.Contains(out, "refused"))
}

func TestBundleShowTellsThatTheStateIsLost(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	first := b.write("first.yaml")
	b.sign(first, "salma", "yusuf")
	code, _ := b.logged("publish", first)
	is.Equal(code, ExitDone)
	b.log.Append([][]byte{[]byte("not a record")})
	b.log.Expire(1)
	code, out := b.logged("show")
	is.Equal(code, ExitFailure)
	is.True(strings.Contains(out, "neither its first record nor a whole snapshot"))
}
