// Package bundler holds the bundle: its model, its whole check, its sign-off and the rule for its successor.
// All types are immutable; the accessors that traffic uses allocate nothing.
package bundler

import (
	"crypto/ed25519"
	"slices"

	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// defaultCaller names the caller limit of callers that have none of their own.
const defaultCaller identifier.CallerName = "*"

// Bundle is one version of what the operators want: services, backend servers and how requests are treated.
type Bundle struct {
	raw              []byte
	digest           string
	name             string
	version          uint64
	parentVersion    uint64
	parentDigest     string
	author           string
	approver         string
	signers          []Signer
	domains          []identifier.DomainName
	services         []Service
	serviceByName    map[identifier.ServiceName]Service
	serverByName     map[identifier.ServerName]location
	callerLimits     []CallerLimit
	limitByCaller    map[identifier.CallerName]CallerLimit
	timings          Timings
	retiredInstances []identifier.InstanceID
	places           places
}

// location is a server together with the service that it serves.
type location struct {
	server  Server
	service identifier.ServiceName
}

// places are where the parts stand that the rule for a successor reports on.
type places struct {
	name         reporter.Place
	version      reporter.Place
	parent       reporter.Place
	parentDigest reporter.Place
}

// Name returns the name of the deployment; it is the same in all versions.
func (b *Bundle) Name() string { return b.name }

// Version returns the version, from 1 upwards.
func (b *Bundle) Version() uint64 { return b.version }

// ParentVersion returns the version before this one; 0 for version 1.
func (b *Bundle) ParentVersion() uint64 { return b.parentVersion }

// ParentDigest returns the digest of the version before this one; "" for version 1.
func (b *Bundle) ParentDigest() string { return b.parentDigest }

// Digest returns the hexadecimal SHA-256 of the raw YAML.
func (b *Bundle) Digest() string { return b.digest }

// Raw returns a copy of the YAML as the operators wrote it.
func (b *Bundle) Raw() []byte { return slices.Clone(b.raw) }

// Author returns the signer who wrote the version.
func (b *Bundle) Author() string { return b.author }

// Approver returns the signer who signed it off, never the author.
func (b *Bundle) Approver() string { return b.approver }

// Signers returns who may sign the next version.
func (b *Bundle) Signers() []Signer { return slices.Clone(b.signers) }

// Domains returns the failure domains in the order of the bundle.
func (b *Bundle) Domains() []identifier.DomainName { return slices.Clone(b.domains) }

// Services returns the services in the order of the bundle.
func (b *Bundle) Services() []Service { return slices.Clone(b.services) }

// GetServiceByName returns a service and whether it exists.
func (b *Bundle) GetServiceByName(name identifier.ServiceName) (Service, bool) {
	service, ok := b.serviceByName[name]
	return service, ok
}

// GetServerByName returns a server, its service and whether it exists.
func (b *Bundle) GetServerByName(name identifier.ServerName) (Server, identifier.ServiceName, bool) {
	found, ok := b.serverByName[name]
	return found.server, found.service, ok
}

// CallerLimits returns the limits of callers in the order of the bundle.
func (b *Bundle) CallerLimits() []CallerLimit { return slices.Clone(b.callerLimits) }

// GetCallerLimitByName returns the limit of caller, or the limit named `*` when it has none of its own.
func (b *Bundle) GetCallerLimitByName(caller identifier.CallerName) CallerLimit {
	if limit, ok := b.limitByCaller[caller]; ok {
		return limit
	}
	return b.limitByCaller[defaultCaller]
}

// Timings returns the times of the bundle; what it leaves out has the value of DefaultTimings.
func (b *Bundle) Timings() Timings { return b.timings }

// RetiredInstances returns the instances that the operators attest to be gone for good.
func (b *Bundle) RetiredInstances() []identifier.InstanceID { return slices.Clone(b.retiredInstances) }

// Signer is a person who may sign bundles.
type Signer struct {
	name      string
	publicKey ed25519.PublicKey
}

// NewSigner returns a Signer.
func NewSigner(name string, publicKey ed25519.PublicKey) Signer {
	return Signer{name: name, publicKey: slices.Clone(publicKey)}
}

// Name returns the name of the person.
func (s Signer) Name() string { return s.name }

// PublicKey returns a copy of the key that checks the person's signatures.
func (s Signer) PublicKey() ed25519.PublicKey { return slices.Clone(s.publicKey) }

// CallerLimit bounds what one caller may ask.
type CallerLimit struct {
	caller     identifier.CallerName
	rate       float64
	burst      int
	concurrent int
}

// Caller returns the caller's name; `*` stands for callers without a limit of their own.
func (l CallerLimit) Caller() identifier.CallerName { return l.caller }

// Rate returns the requests allowed per second, of all instances together.
func (l CallerLimit) Rate() float64 { return l.rate }

// Burst returns how many requests one instance takes at once.
func (l CallerLimit) Burst() int { return l.burst }

// Concurrent returns how many requests may be under way at once, at all instances together; 0 is no limit.
// Each instance allows its share, rounded up.
func (l CallerLimit) Concurrent() int { return l.concurrent }
