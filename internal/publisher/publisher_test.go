package publisher

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
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

var publishTime = time.Unix(1_700_000_000, 0)

// exampleKey returns the private key of a signer, the same as in docs/examples/keys.
func exampleKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("wasabibank trial key of " + name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// signers returns the people who may sign the example bundle.
func signers() []bundler.Signer {
	var list []bundler.Signer
	for _, name := range []string{"salma", "yusuf", "noor"} {
		list = append(list, bundler.NewSigner(name, exampleKey(name).Public().(ed25519.PublicKey)))
	}
	return list
}

// publication returns a publication of the example bundle with edits, pairs of old and new text, signed by two signers.
// parent is nil for version 1.
func publication(t *testing.T, parent *bundler.Bundle, edits ...string) Publication {
	t.Helper()
	raw, err := os.ReadFile("../../docs/examples/shashat/bundle.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	if parent != nil {
		lineage := fmt.Sprintf(
			"version: %d\nparent_version: %d\nparent_digest: %q\n", parent.Version()+1, parent.Version(), parent.Digest(),
		)
		text = strings.Replace(text, "version: 1\n", lineage, 1)
	}
	text = strings.NewReplacer(edits...).Replace(text)
	signed := bundler.Signed{Raw: []byte(text)}
	for _, name := range []string{"salma", "yusuf"} {
		signed.SignOffs = append(signed.SignOffs, bundler.Sign(signed.Raw, name, exampleKey(name)))
	}
	return Publication{Signed: signed, Operator: "noor", InitialSigners: signers()}
}

// configVersion returns the version of the configuration in the store, which entry instances read.
func configVersion(t *testing.T, store platform.TopicStore) uint64 {
	t.Helper()
	version, _, err := activeConfig(context.Background(), store)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// TestPublishActivatesBundles guards against a published bundle that instances do not read, and against one that is
// published twice.
func TestPublishActivatesBundles(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first, err := publication(t, nil).Publish(ctx, store, publishTime)
	is.NoErr(err)
	is.Equal(configVersion(t, store), uint64(1))
	second, err := publication(t, first, "timeout: 2s", "timeout: 3s").Publish(ctx, store, publishTime)
	is.NoErr(err)
	is.Equal(configVersion(t, store), uint64(2))
	again, err := publication(t, first, "timeout: 2s", "timeout: 3s").Publish(ctx, store, publishTime)
	is.NoErr(err) // the configuration is active already
	is.Equal(again.Digest(), second.Digest())
	chain, err := ReadChain(ctx, store)
	is.NoErr(err)
	is.Equal(len(chain.Versions()), 2)
	is.Equal(chain.Newest().Digest(), second.Digest())
	is.Equal(chain.Versions()[0].Operator(), "noor")
	is.True(chain.Versions()[0].Published().Equal(publishTime))
}

// TestPublishRejectsInvalidSuccessors guards against a configuration that the signers of the newest version did not approve.
func TestPublishRejectsInvalidSuccessors(t *testing.T) {
	ctx := context.Background()
	store := emulator.NewStore()
	first, err := publication(t, nil).Publish(ctx, store, publishTime)
	is.New(t).NoErr(err)
	second := publication(t, first)
	unsigned := second
	unsigned.Signed.SignOffs = unsigned.Signed.SignOffs[:1]
	tests := map[string]struct {
		publication Publication
		want        reporter.Code
	}{
		"missing sign-off":  {publication: unsigned, want: "missing_sign_off"},
		"another version 1": {publication: publication(t, nil, "timeout: 2s", "timeout: 3s"), want: "fork"},
		"parent not newest": {publication: publication(t, second.decode(t)), want: "wrong_parent"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := tc.publication.Publish(ctx, store, publishTime)
			is.True(reporter.HasCode(err, tc.want))
			is.Equal(configVersion(t, store), uint64(1))
		})
	}
}

// decode returns the bundle of the publication.
func (p Publication) decode(t *testing.T) *bundler.Bundle {
	t.Helper()
	bundle, err := p.Signed.Decode("bundle")
	if err != nil {
		t.Fatal(err)
	}
	return bundle
}

// TestFirstVersionNeedsInitialSigners guards against a chain that starts with anybody's bundle.
func TestFirstVersionNeedsInitialSigners(t *testing.T) {
	is := is.New(t)
	p := publication(t, nil)
	p.InitialSigners = p.InitialSigners[1:]
	_, err := p.Publish(context.Background(), emulator.NewStore(), publishTime)
	is.True(reporter.HasCode(err, "unknown_signer"))
}

// flakyStore is a store that loses the answers to its first appends, or lets another operator append first.
type flakyStore struct {
	platform.TopicStore
	lostAnswers  int
	beforeAppend func() // runs before the first append; may be nil
	afterLoss    func() // runs after each append whose answer is lost; may be nil
}

func (s *flakyStore) Append(
	ctx context.Context, topic, key string, value []byte, at int64,
) (platform.Position, error) {
	if beforeAppend := s.beforeAppend; beforeAppend != nil {
		s.beforeAppend = nil
		beforeAppend()
	}
	position, err := s.TopicStore.Append(ctx, topic, key, value, at)
	if err == nil && s.lostAnswers > 0 {
		s.lostAnswers--
		if s.afterLoss != nil {
			s.afterLoss()
		}
		return platform.Position{}, errors.New("answer lost")
	}
	return position, err
}

// TestLostAnswersDoNotPublishTwice guards against a retry that appends the same version again, or that is rejected.
func TestLostAnswersDoNotPublishTwice(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	_, err := publication(t, nil).Publish(ctx, &flakyStore{TopicStore: store, lostAnswers: 2}, publishTime)
	is.NoErr(err)
	chain, err := ReadChain(ctx, store)
	is.NoErr(err)
	is.Equal(len(chain.Versions()), 1)
	is.Equal(configVersion(t, store), uint64(1))
}

// TestOneOfConcurrentOperatorsWins guards against two bundles with the same version.
func TestOneOfConcurrentOperatorsWins(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first, err := publication(t, nil).Publish(ctx, store, publishTime)
	is.NoErr(err)
	var winner *bundler.Bundle
	slow := &flakyStore{TopicStore: store, beforeAppend: func() {
		winner, err = publication(t, first, "timeout: 2s", "timeout: 3s").Publish(ctx, store, publishTime)
		is.NoErr(err)
	}}
	_, err = publication(t, first, "timeout: 2s", "timeout: 4s").Publish(ctx, slow, publishTime)
	is.True(reporter.HasCode(err, "fork"))
	chain, err := ReadChain(ctx, store)
	is.NoErr(err)
	is.Equal(chain.Newest().Digest(), winner.Digest())
	is.Equal(configVersion(t, store), uint64(2))
}

// TestSlowOperatorKeepsNewerConfiguration guards against a slow operator replacing a newer configuration. The operator's
// version was accepted; before it becomes the configuration, another operator publishes the next one.
func TestSlowOperatorKeepsNewerConfiguration(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first := publication(t, nil).decode(t)
	second := publication(t, first).decode(t)
	slow := &flakyStore{TopicStore: store, beforeAppend: func() { is.NoErr(activate(ctx, store, second)) }}
	is.NoErr(activate(ctx, slow, first))
	is.Equal(configVersion(t, store), uint64(2))
}

// TestVersionKeysSortByVersion guards against a chain whose versions are read in another order.
func TestVersionKeysSortByVersion(t *testing.T) {
	is := is.New(t)
	is.Equal(versionKey(10), "0000000a")
	is.True(versionKey(9) < versionKey(10) && versionKey(255) < versionKey(256))
}

// TestLostAnswerBeforeNextVersionIsNoRejection guards against an operator who is told that a bundle was rejected although it
// was published: the answer to its append was lost, and another operator has published the next version since.
func TestLostAnswerBeforeNextVersionIsNoRejection(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first := publication(t, nil)
	slow := &flakyStore{TopicStore: store, lostAnswers: 1}
	slow.afterLoss = func() {
		_, err := publication(t, first.decode(t), "timeout: 2s", "timeout: 3s").Publish(ctx, store, publishTime)
		is.NoErr(err)
	}
	published, err := first.Publish(ctx, slow, publishTime)
	is.NoErr(err)
	is.Equal(published.Version(), uint64(1))
	is.Equal(configVersion(t, store), uint64(2))
}

// TestInvalidCallsAreNotRetried guards against retries until the timeout of a call that the store rejects each time.
func TestInvalidCallsAreNotRetried(t *testing.T) {
	tests := map[int]bool{400: false, 403: false, 413: false, 429: true, 503: true}
	for status, retried := range tests {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			is := is.New(t)
			calls := 0
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls++; calls > 1 {
					cancel()
				}
				w.WriteHeader(status)
			}))
			defer server.Close()
			_, err := publication(t, nil).Publish(ctx, platform.NewStore(server.Listener.Addr().String()), publishTime)
			is.True(err != nil)
			is.Equal(calls > 1, retried)
		})
	}
}

// TestForgedVersionIsRejected guards against a bundle in the store that nobody has signed off: it must not be shown, nor
// followed by a version that its signers sign.
func TestForgedVersionIsRejected(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := emulator.NewStore()
	first, err := publication(t, nil).Publish(ctx, store, publishTime)
	is.NoErr(err)
	forged := publication(t, first, "timeout: 2s", "timeout: 3s")
	forged.Signed.SignOffs = forged.Signed.SignOffs[:1]
	value, err := json.Marshal(storedVersion{Signed: forged.Signed, Operator: "nobody"})
	is.NoErr(err)
	_, err = store.Append(ctx, topicBundles, versionKey(2), value, platform.AnyOffset)
	is.NoErr(err)
	_, err = ReadChain(ctx, store)
	is.True(err != nil)
}
