package publisher

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/internal/emulator"
	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/platform"
)

var at = time.Unix(1_700_000_000, 0)

// trialKey returns the key under docs/examples/keys.
func trialKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("wasabibank trial key of " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// signers are who may sign the example bundle.
func signers() []bundler.Signer {
	var list []bundler.Signer
	for _, name := range []string{"salma", "yusuf", "noor"} {
		list = append(list, bundler.NewSigner(name, trialKey(name).Public().(ed25519.PublicKey)))
	}
	return list
}

// publication returns the example bundle, edited and signed; parent is nil for version 1.
func publication(t *testing.T, parent *bundler.Bundle, edits ...string) Publication {
	t.Helper()
	raw, err := os.ReadFile("../../docs/examples/shashat/bundle.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	if parent != nil {
		lineage := fmt.Sprintf("version: %d\nparent_version: %d\nparent_digest: %q\n", parent.Version()+1, parent.Version(), parent.Digest())
		text = strings.Replace(text, "version: 1\n", lineage, 1)
	}
	text = strings.NewReplacer(edits...).Replace(text)
	signed := bundler.Signed{Raw: []byte(text)}
	for _, name := range []string{"salma", "yusuf"} {
		signed.SignOffs = append(signed.SignOffs, bundler.Sign(signed.Raw, name, trialKey(name)))
	}
	return Publication{Signed: signed, Operator: "noor", InitialSigners: signers()}
}

// configured returns the version of the configuration that entries read.
func configured(t *testing.T, log platform.Log) uint64 {
	t.Helper()
	version, _, err := inForce(context.Background(), log)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func TestPublishBringsIntoForce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first, err := publication(t, nil).Publish(ctx, store, at)
	is.NoErr(err)
	is.Equal(configured(t, store), uint64(1))
	second, err := publication(t, first, "timeout: 2s", "timeout: 3s").Publish(ctx, store, at)
	is.NoErr(err)
	is.Equal(configured(t, store), uint64(2))
	again, err := publication(t, first, "timeout: 2s", "timeout: 3s").Publish(ctx, store, at)
	is.NoErr(err) // it is in force already
	is.Equal(again.Digest(), second.Digest())
	chain, err := Read(ctx, store)
	is.NoErr(err)
	is.Equal(len(chain.Versions()), 2)
	is.Equal(chain.InForce().Digest(), second.Digest())
	is.Equal(chain.Versions()[0].Operator(), "noor")
	is.True(chain.Versions()[0].Published().Equal(at))
}

func TestPublishRefuses(t *testing.T) {
	ctx := context.Background()
	store := emulator.NewStore()
	first, err := publication(t, nil).Publish(ctx, store, at)
	is.New(t).NoErr(err)
	second := publication(t, first)
	unsigned := second
	unsigned.Signed.SignOffs = unsigned.Signed.SignOffs[:1]
	tests := map[string]struct {
		publication Publication
		want        reporter.Code
	}{
		"no sign-off":    {publication: unsigned, want: "missing_sign_off"},
		"first again":    {publication: publication(t, nil, "timeout: 2s", "timeout: 3s"), want: "fork"},
		"another parent": {publication: publication(t, second.open(t)), want: "wrong_parent"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := tc.publication.Publish(ctx, store, at)
			is.True(reporter.HasCode(err, tc.want))
			is.Equal(configured(t, store), uint64(1))
		})
	}
}

// open returns the bundle of the publication.
func (p Publication) open(t *testing.T) *bundler.Bundle {
	t.Helper()
	bundle, err := p.Signed.Open("bundle")
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

func TestFirstVersionNeedsTheFirstSigners(t *testing.T) {
	is := is.New(t)
	p := publication(t, nil)
	p.InitialSigners = p.InitialSigners[1:]
	_, err := p.Publish(context.Background(), emulator.NewStore(), at)
	is.True(reporter.HasCode(err, "unknown_signer"))
}

// flakyLog loses the answers of its first appends, or lets another operator append first.
type flakyLog struct {
	platform.Log
	lost  int
	first func() // before the first append
}

func (l *flakyLog) Append(ctx context.Context, topic, key string, value []byte, at int64) (int64, error) {
	if first := l.first; first != nil {
		l.first = nil
		first()
	}
	offset, err := l.Log.Append(ctx, topic, key, value, at)
	if err == nil && l.lost > 0 {
		l.lost--
		return 0, errors.New("answer lost")
	}
	return offset, err
}

func TestLostAnswersPublishOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	_, err := publication(t, nil).Publish(ctx, &flakyLog{Log: store, lost: 2}, at)
	is.NoErr(err)
	chain, err := Read(ctx, store)
	is.NoErr(err)
	is.Equal(len(chain.Versions()), 1)
	is.Equal(configured(t, store), uint64(1))
}

func TestOfRacingOperatorsOneWins(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first, err := publication(t, nil).Publish(ctx, store, at)
	is.NoErr(err)
	var winner *bundler.Bundle
	slow := &flakyLog{Log: store, first: func() {
		winner, err = publication(t, first, "timeout: 2s", "timeout: 3s").Publish(ctx, store, at)
		is.NoErr(err)
	}}
	_, err = publication(t, first, "timeout: 2s", "timeout: 4s").Publish(ctx, slow, at)
	is.True(reporter.HasCode(err, "fork"))
	chain, err := Read(ctx, store)
	is.NoErr(err)
	is.Equal(chain.InForce().Digest(), winner.Digest())
	is.Equal(configured(t, store), uint64(2))
}

// TestSlowOperatorDoesNotRevert: an operator whose version was accepted makes it the configuration only after a colleague
// has published the next one.
func TestSlowOperatorDoesNotRevert(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first := publication(t, nil).open(t)
	second := publication(t, first).open(t)
	slow := &flakyLog{Log: store, first: func() { is.NoErr(enforce(ctx, store, second)) }}
	is.NoErr(enforce(ctx, slow, first))
	is.Equal(configured(t, store), uint64(2))
}

func TestVersionsSortAsTheirKeysDo(t *testing.T) {
	is := is.New(t)
	is.Equal(key(10), "0000000a")
	is.True(key(9) < key(10) && key(255) < key(256))
}
