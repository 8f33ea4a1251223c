// Package bundler decodes and validates configuration bundles, signs them and verifies their signatures, and checks that
// one bundle may follow another. A Bundle is immutable.
package bundler

import (
	"crypto/ed25519"
	"slices"

	"github.com/wasabibank/wasabibank/pkg/reporter"
)

// Bundle is one version of a deployment's configuration: the services and how requests are routed to them. Use Decode for
// the YAML that operators wrote. Use New for a configuration that was read from the platform's store, where it is active
// because a bundle with it was published.
type Bundle struct {
	raw           []byte
	digest        string
	name          string
	version       uint64
	parentVersion uint64
	parentDigest  string
	author        string
	approver      string
	signers       []Signer
	services      []Service
	routes        []Route
	limits        Limits
	places        places
}

// places has the positions of the parts that CheckSuccessor, VerifyAgainst and Review report on.
type places struct {
	name          reporter.Place
	version       reporter.Place
	parentVersion reporter.Place
	parentDigest  reporter.Place
	bodyBytes     reporter.Place
	keyed         map[string]reporter.Place // of the values of keyed, by service name
	services      map[string]reporter.Place // of the services' names, by service name
	routes        map[string]routePlaces    // by route name
}

// routePlaces has the positions of the values of a route.
type routePlaces struct {
	prefix   reporter.Place
	priority reporter.Place
	timeout  reporter.Place
	attempts reporter.Place
	weights  map[string]reporter.Place // by service name; without the services that have no weight
}

// New returns a bundle that has no YAML, digest, name, parent, author, approver or signers. It validates nothing.
func New(version uint64, services []Service, routes []Route, limits Limits) *Bundle {
	return &Bundle{version: version, services: slices.Clone(services), routes: slices.Clone(routes), limits: limits}
}

// Name returns the name of the deployment, which is the same in all versions.
func (b *Bundle) Name() string { return b.name }

// Version returns the version, from 1 upwards.
func (b *Bundle) Version() uint64 { return b.version }

// ParentVersion returns the previous version, or 0 for version 1.
func (b *Bundle) ParentVersion() uint64 { return b.parentVersion }

// ParentDigest returns the digest of the previous version, or "" for version 1.
func (b *Bundle) ParentDigest() string { return b.parentDigest }

// Digest returns the hexadecimal SHA-256 of the raw YAML.
func (b *Bundle) Digest() string { return b.digest }

// Raw returns a copy of the YAML as the operators wrote it.
func (b *Bundle) Raw() []byte { return slices.Clone(b.raw) }

// Author returns the name of the signer who wrote the version.
func (b *Bundle) Author() string { return b.author }

// Approver returns the name of the signer who approved the version. In a decoded bundle it is never the author.
func (b *Bundle) Approver() string { return b.approver }

// Signers returns the people who may sign the next version.
func (b *Bundle) Signers() []Signer { return slices.Clone(b.signers) }

// Services returns the services in the order of the bundle.
func (b *Bundle) Services() []Service { return slices.Clone(b.services) }

// Routes returns the routes in the order of the bundle.
func (b *Bundle) Routes() []Route { return slices.Clone(b.routes) }

// Limits returns the limits on clients' requests and connections.
func (b *Bundle) Limits() Limits { return b.limits }

// service returns the service with the given name and whether it exists.
func (b *Bundle) service(name string) (Service, bool) {
	for _, s := range b.services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// route returns the route with the given name and whether it exists.
func (b *Bundle) route(name string) (Route, bool) {
	for _, r := range b.routes {
		if r.Name == name {
			return r, true
		}
	}
	return Route{}, false
}

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

// PublicKey returns a copy of the key that verifies the person's signatures.
func (s Signer) PublicKey() ed25519.PublicKey { return slices.Clone(s.publicKey) }
