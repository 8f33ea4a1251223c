// Package configurer holds the settings of an entry process: it loads them once and checks them whole.
package configurer

import (
	"slices"
	"time"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
)

// Settings are the settings of one entry process. They are immutable; the zero Settings is empty and not usable.
type Settings struct {
	instance              string
	domain                identifier.DomainName
	callerAddress         string
	peerAddress           string
	peerAdvertisedAddress string
	adminAddress          string
	logAddresses          []string
	instanceListAddress   string
	firstSigners          []bundler.Signer
	peerSecurity          PeerSecurity
	timelineEvents        int
	callerPort            CallerPort
}

// Instance returns the name of this instance; each run of it has an InstanceID of its own.
func (s *Settings) Instance() string { return s.instance }

// Domain returns the failure domain that this instance runs in.
func (s *Settings) Domain() identifier.DomainName { return s.domain }

// CallerAddress returns IP:port on which callers are taken; port 0 is any free port.
func (s *Settings) CallerAddress() string { return s.callerAddress }

// PeerAddress returns IP:port on which other instances are taken; port 0 is any free port.
func (s *Settings) PeerAddress() string { return s.peerAddress }

// PeerAdvertisedAddress returns IP:port that other instances call, or "" when it is the address listened on.
func (s *Settings) PeerAdvertisedAddress() string { return s.peerAdvertisedAddress }

// AdminAddress returns IP:port on which operators' tools are taken; port 0 is any free port.
func (s *Settings) AdminAddress() string { return s.adminAddress }

// LogAddresses returns IP:port of the platform's log, at least one.
func (s *Settings) LogAddresses() []string { return slices.Clone(s.logAddresses) }

// InstanceListAddress returns IP:port of the platform's instance list.
func (s *Settings) InstanceListAddress() string { return s.instanceListAddress }

// FirstSigners returns who must sign off version 1 of the bundle.
func (s *Settings) FirstSigners() []bundler.Signer { return slices.Clone(s.firstSigners) }

// PeerSecurity returns how instances prove themselves to each other: a MutualTLS or a Plain.
func (s *Settings) PeerSecurity() PeerSecurity { return s.peerSecurity }

// TimelineEvents returns how many events the time line of this process keeps.
func (s *Settings) TimelineEvents() int { return s.timelineEvents }

// CallerPort returns the bounds of the callers' port.
func (s *Settings) CallerPort() CallerPort { return s.callerPort }

// PeerSecurity is how instances prove themselves to each other: MutualTLS or Plain.
type PeerSecurity interface {
	peerSecurity()
}

// Plain is no proof at all, for networks where nobody else can reach the peer port.
type Plain struct{}

// MutualTLS is a certificate on both sides, signed by a common authority.
type MutualTLS struct {
	certificateFile string
	keyFile         string
	authorityFile   string
	peerName        string
}

// CertificateFile returns the path of this instance's certificate chain in PEM.
func (m MutualTLS) CertificateFile() string { return m.certificateFile }

// KeyFile returns the path of the certificate's private key in PEM.
func (m MutualTLS) KeyFile() string { return m.keyFile }

// AuthorityFile returns the path of the authority's certificates in PEM.
func (m MutualTLS) AuthorityFile() string { return m.authorityFile }

// PeerName returns the DNS name that each instance's certificate carries, or "" when the authority alone counts.
func (m MutualTLS) PeerName() string { return m.peerName }

func (Plain) peerSecurity()     {}
func (MutualTLS) peerSecurity() {}

// CallerPort bounds what callers may send.
type CallerPort struct {
	headerTimeout  time.Duration
	maxHeaderBytes int64
	maxConnections int
	maxBodyBytes   int64
}

// HeaderTimeout returns the longest time that a caller may take to send its request headers.
func (c CallerPort) HeaderTimeout() time.Duration { return c.headerTimeout }

// MaxHeaderBytes returns the size of the largest request headers in bytes.
func (c CallerPort) MaxHeaderBytes() int64 { return c.maxHeaderBytes }

// MaxConnections returns how many connections of callers are open at once.
func (c CallerPort) MaxConnections() int { return c.maxConnections }

// MaxBodyBytes returns the size in bytes of the largest request body where no class says less.
func (c CallerPort) MaxBodyBytes() int64 { return c.maxBodyBytes }
