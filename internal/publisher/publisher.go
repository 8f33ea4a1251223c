// Package publisher brings signed-off bundles into force through the platform's store. Of operators who race each other
// one wins: each version is appended only where the chain of versions ends as it was read, and its configuration only
// where no newer one is in force.
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

// topicBundles keeps every version of the bundle, each under a key that sorts as the versions do.
const topicBundles = "keyed.wasabibank_bundles"

// retryPause is between two calls to a store that does not answer.
const retryPause = 200 * time.Millisecond

// record is a version of the bundle as the store keeps it.
type record struct {
	Signed    bundler.Signed `json:"signed"`
	Operator  string         `json:"operator"`
	Published time.Time      `json:"published"`
}

// Version is one version of the bundle and how it came into force.
type Version struct {
	bundle    *bundler.Bundle
	operator  string
	published time.Time
}

// Bundle returns the bundle.
func (v Version) Bundle() *bundler.Bundle { return v.bundle }

// Operator returns who published the version.
func (v Version) Operator() string { return v.operator }

// Published returns when, by the operator's clock.
func (v Version) Published() time.Time { return v.published }

// Chain is all versions of the bundle, the oldest first. The zero Chain is empty.
type Chain struct {
	versions []Version
	end      int64 // of the topic
}

// Versions returns the versions, the oldest first.
func (c Chain) Versions() []Version { return slices.Clone(c.versions) }

// InForce returns the newest bundle, or nil where there is none.
func (c Chain) InForce() *bundler.Bundle {
	if len(c.versions) == 0 {
		return nil
	}
	return c.versions[len(c.versions)-1].bundle
}

// Check checks that signed may follow the bundle in force. first are who may sign version 1. The error is a
// reporter.ErrFindings.
func (c Chain) Check(signed bundler.Signed, bundle *bundler.Bundle, first []bundler.Signer) error {
	inForce := c.InForce()
	if err := bundler.CheckSuccessor(inForce, bundle); err != nil {
		return err
	}
	if inForce == nil {
		return signed.VerifyAgainst(first)
	}
	return signed.VerifyAgainst(inForce.Signers())
}

// Read returns the chain that the store keeps.
func Read(ctx context.Context, log platform.Log) (Chain, error) {
	records, end, err := log.Newest(ctx, topicBundles)
	if err != nil {
		return Chain{}, vain(errors.Wrap(err, "read the bundles"))
	}
	slices.SortFunc(records, func(a, b platform.Record) int { return strings.Compare(a.Key, b.Key) })
	chain := Chain{end: end}
	for _, r := range records {
		var stored record
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			return Chain{}, errors.Wrapf(err, "bundle %s in the store", r.Key)
		}
		bundle, err := stored.Signed.Open(r.Key)
		if err != nil {
			return Chain{}, errors.Wrapf(err, "bundle %s in the store", r.Key)
		}
		chain.versions = append(chain.versions, Version{bundle: bundle, operator: stored.Operator, published: stored.Published})
	}
	return chain, nil
}

// Publication is one attempt to bring a bundle into force.
type Publication struct {
	Signed   bundler.Signed
	Operator string
	// InitialSigners are who may sign version 1.
	InitialSigners []bundler.Signer
}

// Publish appends the bundle to the chain and makes it the configuration in force. A bundle that is in force already,
// such as after an answer that was lost, is published once only. The error is a reporter.ErrFindings where the bundle
// is refused, and then nothing was appended; after any other error it is unknown whether it was.
func (p Publication) Publish(ctx context.Context, log platform.Log, now time.Time) (*bundler.Bundle, error) {
	bundle, err := p.Signed.Open("bundle")
	if err != nil {
		return nil, err
	}
	for {
		chain, err := Read(ctx, log)
		if err == nil {
			err = p.follow(ctx, log, now, chain, bundle)
		}
		if err == nil {
			return bundle, enforce(ctx, log, bundle)
		}
		if !mayPass(err) || !pause(ctx) {
			return nil, err
		}
	}
}

// follow appends the bundle to the chain, unless it is its end already.
func (p Publication) follow(
	ctx context.Context, log platform.Log, now time.Time, chain Chain, bundle *bundler.Bundle,
) error {
	if inForce := chain.InForce(); inForce != nil && inForce.Digest() == bundle.Digest() {
		return nil
	}
	if err := chain.Check(p.Signed, bundle, p.InitialSigners); err != nil {
		return err
	}
	value, err := json.Marshal(record{Signed: p.Signed, Operator: p.Operator, Published: now.UTC()})
	if err != nil {
		return errors.Wrap(err, "encode bundle")
	}
	_, err = log.Append(ctx, topicBundles, key(bundle.Version()), value, chain.end)
	return vain(err)
}

// enforce makes the bundle the configuration in force, unless a newer one is.
func enforce(ctx context.Context, log platform.Log, bundle *bundler.Bundle) error {
	value, err := platform.EncodeConfig(bundle)
	if err != nil {
		return err
	}
	for {
		version, end, err := inForce(ctx, log)
		if err == nil && version >= bundle.Version() {
			return nil
		}
		if err == nil {
			_, err = log.Append(ctx, platform.TopicOperators, platform.KeyConfig, value, end)
			err = vain(err)
		}
		if err != nil && (!mayPass(err) || !pause(ctx)) {
			return errors.Wrap(err, "the bundle is accepted, but not in force")
		}
	}
}

// inForce returns the version of the configuration in force, or 0, and the end of its topic.
func inForce(ctx context.Context, log platform.Log) (version uint64, end int64, err error) {
	records, end, err := log.Newest(ctx, platform.TopicOperators)
	if err != nil {
		return 0, 0, vain(errors.Wrap(err, "read the configuration"))
	}
	for _, r := range records {
		if r.Key != platform.KeyConfig {
			continue
		}
		config, err := platform.DecodeConfig(r.Value)
		if err != nil {
			return 0, 0, err
		}
		version = config.Version()
	}
	return version, end, nil
}

// errVain wraps the error of a call that the store did not answer well: it may have taken effect, and may succeed later.
type errVain struct{ error }

// Unwrap gives errors.As the error of the call.
func (e errVain) Unwrap() error { return e.error }

func vain(err error) error {
	if err == nil {
		return nil
	}
	return errVain{err}
}

// mayPass reports whether the same may succeed later: the store was asked in vain.
func mayPass(err error) bool {
	var asked errVain
	return errors.As(err, &asked)
}

// pause waits before the next call; it returns false when ctx ended first.
func pause(ctx context.Context) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// key returns the key of a version; keys sort as their versions do.
func key(version uint64) string { return fmt.Sprintf("%08x", version) }
