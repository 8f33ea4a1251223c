// Package publisher publishes signed-off bundles through the platform's store. If several operators publish at
// the same time, one of them succeeds: a version is appended only if the chain of versions still ends where it was read,
// and its configuration only if no newer one is active.
package publisher

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/platform"
)

// topicBundles is the topic that keeps every version of the bundle, each under its versionKey.
const topicBundles = "keyed.wasabibank_bundles"

// retryDelay is the delay before a failed call to the store is retried.
const retryDelay = 200 * time.Millisecond

// storedVersion is a version of the bundle as the store keeps it, in JSON.
type storedVersion struct {
	Signed    bundler.Signed `json:"signed"`
	Operator  string         `json:"operator"`
	Published time.Time      `json:"published"`
}

// Version is one version of the bundle, with its operator and the time of its publication.
type Version struct {
	bundle    *bundler.Bundle
	operator  string
	published time.Time
}

// Bundle returns the bundle.
func (v Version) Bundle() *bundler.Bundle { return v.bundle }

// Operator returns the name of the operator who published the version.
func (v Version) Operator() string { return v.operator }

// Published returns when the version was published, by the operator's clock.
func (v Version) Published() time.Time { return v.published }

// Chain is all versions of the bundle, the oldest first. The zero Chain is empty.
type Chain struct {
	versions []Version
	end      platform.Position // end of the topic when it was read; the next version is appended only there
}

// Versions returns the versions, the oldest first.
func (c Chain) Versions() []Version { return slices.Clone(c.versions) }

// Newest returns the newest bundle, or nil if there is none.
func (c Chain) Newest() *bundler.Bundle {
	if len(c.versions) == 0 {
		return nil
	}
	return c.versions[len(c.versions)-1].bundle
}

// contains reports whether a bundle is one of the versions.
func (c Chain) contains(bundle *bundler.Bundle) bool {
	return slices.ContainsFunc(c.versions, func(v Version) bool { return v.bundle.Digest() == bundle.Digest() })
}

// Check checks that signed may follow the newest bundle. bundle is the decoded content of signed; initialSigners are the
// people who may sign version 1. The error is a reporter.ErrFindings.
func (c Chain) Check(signed bundler.Signed, bundle *bundler.Bundle, initialSigners []bundler.Signer) error {
	newest := c.Newest()
	if err := bundler.CheckSuccessor(newest, bundle); err != nil {
		return err
	}
	if newest == nil {
		return signed.VerifyAgainst(initialSigners)
	}
	return signed.VerifyAgainst(newest.Signers())
}

// ReadChain reads the chain from the store. It checks that each version may follow the one before and has the sign-offs that
// this one demands, since others may write to the store. The sign-offs of version 1 depend on signers that the store does
// not know.
func ReadChain(ctx context.Context, store platform.TopicStore) (Chain, error) {
	records, end, err := store.Newest(ctx, topicBundles)
	if err != nil {
		return Chain{}, markRetryable(errors.Wrap(err, "read the bundles"))
	}
	slices.SortFunc(records, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	chain := Chain{end: end}
	for _, r := range records {
		var stored storedVersion
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			return Chain{}, errors.Wrapf(err, "bundle %s in the store", r.Key)
		}
		bundle, err := stored.Signed.Decode(r.Key)
		if err != nil {
			return Chain{}, errors.Wrapf(err, "bundle %s in the store", r.Key)
		}
		if chain.Newest() != nil {
			if err := chain.Check(stored.Signed, bundle, nil); err != nil {
				return Chain{}, errors.Wrapf(err, "bundle %s in the store", r.Key)
			}
		}
		chain.versions = append(chain.versions, Version{bundle: bundle, operator: stored.Operator, published: stored.Published})
	}
	return chain, nil
}

// Publication is a signed bundle that an operator publishes.
type Publication struct {
	Signed   bundler.Signed
	Operator string
	// InitialSigners are the people who may sign version 1; later versions do not need them.
	InitialSigners []bundler.Signer
}

// Publish appends the bundle to the chain and makes it the active configuration. It retries failed calls to the store
// until ctx ends. A bundle that is the newest of the chain already, for example because the answer to an append was lost,
// is not appended again: the operator and the sign-offs of its first publication stay.
//
// If the bundle is rejected, the error is a reporter.ErrFindings, and the bundle was not appended. If the bundle was appended
// but may not be the active configuration, both the bundle and an error are returned. After any other error it is unknown
// whether the bundle was appended.
func (p Publication) Publish(ctx context.Context, store platform.TopicStore, now time.Time) (*bundler.Bundle, error) {
	bundle, err := p.Signed.Decode("bundle")
	if err != nil {
		return nil, err
	}
	unanswered := false // an append may have taken effect
	for {
		chain, err := ReadChain(ctx, store)
		switch {
		case err != nil:
		case unanswered && chain.contains(bundle): // another operator may have published the next version since
		default:
			err = p.appendVersion(ctx, store, now, chain, bundle)
			unanswered = unanswered || isRetryable(err) && !platform.IsErrStatus(err) && !platform.IsErrConflict(err)
		}
		if err == nil {
			return bundle, activate(ctx, store, bundle)
		}
		if !isRetryable(err) || !waitBeforeRetry(ctx) {
			return nil, err
		}
	}
}

// appendVersion appends the bundle to the chain, unless it is the newest of the chain already.
func (p Publication) appendVersion(
	ctx context.Context, store platform.TopicStore, now time.Time, chain Chain, bundle *bundler.Bundle,
) error {
	if newest := chain.Newest(); newest != nil && newest.Digest() == bundle.Digest() {
		return nil
	}
	if err := chain.Check(p.Signed, bundle, p.InitialSigners); err != nil {
		return err
	}
	value, err := json.Marshal(storedVersion{Signed: p.Signed, Operator: p.Operator, Published: now.UTC()})
	if err != nil {
		return errors.Wrap(err, "encode bundle")
	}
	appended, err := store.Append(ctx, topicBundles, versionKey(bundle.Version()), value, chain.end.Offset)
	if err == nil && appended.Era != chain.end.Era {
		err = errStoreRestored
	}
	return markRetryable(err)
}

// errStoreRestored says that the store came back from an older copy between the read of a topic and an append to it.
var errStoreRestored = errors.New("the store came back from an older copy")

// activate makes the bundle the active configuration, unless a newer one is active. It reads the active version after
// each append, and retries until that is this one or a newer one.
func activate(ctx context.Context, store platform.TopicStore, bundle *bundler.Bundle) error {
	value, err := platform.EncodeConfig(bundle)
	if err != nil {
		return err
	}
	for {
		version, next, err := activeConfig(ctx, store)
		if err == nil && version >= bundle.Version() {
			return nil
		}
		if err == nil {
			_, err = store.Append(ctx, platform.TopicOperators, platform.KeyConfig, value, next.Offset)
			err = markRetryable(err)
		}
		if err != nil && (!isRetryable(err) || !waitBeforeRetry(ctx)) {
			return errors.Wrap(err, "the bundle is published, but its configuration may not be active yet")
		}
	}
}

// activeConfig returns the version of the active configuration, or 0 if there is none, and the end of its topic.
func activeConfig(
	ctx context.Context, store platform.TopicStore,
) (version uint64, next platform.Position, err error) {
	records, next, err := store.Newest(ctx, platform.TopicOperators)
	if err != nil {
		return 0, next, markRetryable(errors.Wrap(err, "read the configuration"))
	}
	for _, r := range records {
		if r.Key != platform.KeyConfig {
			continue
		}
		config, err := platform.DecodeConfig(r.Value)
		if err != nil {
			return 0, next, err
		}
		version = config.Version()
	}
	return version, next, nil
}

// errRetryable wraps the error of a failed call to the store, which is retried. A failed append may have taken effect.
type errRetryable struct{ error }

// Unwrap returns the error of the call, for errors.As.
func (e errRetryable) Unwrap() error { return e.error }

// markRetryable wraps err in an errRetryable, unless the store would reject the call again. It returns nil for nil.
func markRetryable(err error) error {
	if err == nil || platform.IsErrInvalid(err) {
		return err
	}
	return errRetryable{err}
}

// isRetryable reports whether err is an errRetryable.
func isRetryable(err error) bool {
	var retryable errRetryable
	return errors.As(err, &retryable)
}

// waitBeforeRetry waits for retryDelay. It returns false if ctx ended first.
func waitBeforeRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// versionKey returns the key of a version in topicBundles. Keys of versions with up to eight hexadecimal digits sort in
// the order of the versions.
func versionKey(version uint64) string { return fmt.Sprintf("%08x", version) }
