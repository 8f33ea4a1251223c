package configurer

import (
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/wasabibank/wasabibank/pkg/bundler"
	"github.com/wasabibank/wasabibank/pkg/identifier"
	"github.com/wasabibank/wasabibank/pkg/reporter"
	"github.com/wasabibank/wasabibank/pkg/reporter/parser"
)

// The forms of names.
var (
	instanceName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)
	domainName   = regexp.MustCompile(`^[a-z][a-z0-9_]{0,62}$`)
	dnsName      = regexp.MustCompile(`^([a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?\.)*[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
)

// The bounds and defaults of settings.
const (
	maxLogAddresses       = 16
	minTimelineEvents     = 64
	maxTimelineEvents     = 1 << 20
	defaultTimelineEvents = 1 << 16
	minHeaderTimeout      = 100 * time.Millisecond
	maxHeaderTimeout      = time.Minute
	defaultHeaderTimeout  = 5 * time.Second
	leastHeaderBytes      = 1 << 10
	mostHeaderBytes       = 1 << 20
	defaultHeaderBytes    = 32 << 10
	mostConnections       = 100_000
	defaultConnections    = 4000
	mostBodyBytes         = 1 << 30
	defaultBodyBytes      = 16 << 20
)

// The values of the key mode in peer_security.
const (
	modeMutualTLS = "mutual_tls"
	modePlain     = "plain"
)

// Decode decodes raw and checks it whole; file names it in findings. It reads no other file. The error is a
// reporter.ErrFindings with every finding, and then the settings are nil.
func Decode(file string, raw []byte) (*Settings, error) {
	settings, _, err := decode(file, raw)
	return settings, err
}

// decode returns besides the settings the values that name files.
func decode(file string, raw []byte) (*Settings, []parser.Value, error) {
	var findings reporter.Findings
	root, ok := parser.Parse(file, raw, &findings)
	if !ok {
		return nil, nil, findings.Err()
	}
	m := root.Mapping("instance", "failure_domain", "caller_address", "peer_address", "peer_advertised_address",
		"admin_address", "log_addresses", "instance_list_address", "first_signers", "peer_security",
		"timeline_events", "caller_port")
	s := &Settings{}
	s.instance = m.Required("instance").Match(instanceName, "letters, digits and _ . -, at most 63 characters")
	s.domain = identifier.DomainName(m.Required("failure_domain").Match(domainName, "a name in snake case"))
	s.readAddresses(m)
	s.firstSigners = bundler.ReadSigners(m.Required("first_signers"))
	files := s.readPeerSecurity(m.Required("peer_security"))
	s.timelineEvents = defaultTimelineEvents
	if events := m.Optional("timeline_events"); events.Present() {
		s.timelineEvents = int(events.Int(minTimelineEvents, maxTimelineEvents))
	}
	s.readCallerPort(m.Optional("caller_port"))
	if err := findings.Err(); err != nil {
		return nil, nil, err
	}
	return s, files, nil
}

// listener is an address listened on and the key that names it.
type listener struct {
	key   string
	value parser.Value
	bound netip.AddrPort
}

func (s *Settings) readAddresses(m parser.Mapping) {
	listeners := make([]listener, 0, 3)
	for _, key := range []string{"caller_address", "peer_address", "admin_address"} {
		value := m.Required(key)
		listeners = append(listeners, listener{key: key, value: value, bound: value.ListenAddress()})
	}
	checkApart(listeners)
	s.callerAddress = parser.AddressText(listeners[0].bound)
	s.peerAddress = parser.AddressText(listeners[1].bound)
	s.adminAddress = parser.AddressText(listeners[2].bound)
	s.readAdvertised(m, listeners[1].bound)
	for _, item := range m.Required("log_addresses").Items(1, maxLogAddresses) {
		s.logAddresses = append(s.logAddresses, parser.AddressText(item.Address()))
	}
	s.instanceListAddress = parser.AddressText(m.Required("instance_list_address").Address())
}

func (s *Settings) readAdvertised(m parser.Mapping, peer netip.AddrPort) {
	advertised := m.Optional("peer_advertised_address")
	s.peerAdvertisedAddress = parser.AddressText(advertised.Address())
	if !advertised.Present() && peer.IsValid() && peer.Addr().IsUnspecified() {
		m.Optional("peer_address").Report("missing_key", "listens on every IP and names none for the other instances",
			"peer_advertised_address")
	}
}

// checkApart reports two listeners on one port. Port 0 is another free port each time.
func checkApart(listeners []listener) {
	for i, second := range listeners {
		for _, first := range listeners[:i] {
			if second.bound.Port() == 0 || second.bound.Port() != first.bound.Port() {
				continue
			}
			a, b := first.bound.Addr(), second.bound.Addr()
			if a == b || a.IsUnspecified() || b.IsUnspecified() {
				second.value.Report("doubled_address", second.bound.String()+" is taken by "+first.key, "an address of its own")
			}
		}
	}
}

// readPeerSecurity returns the values that name files.
func (s *Settings) readPeerSecurity(value parser.Value) []parser.Value {
	m := value.Mapping("mode", "certificate_file", "key_file", "authority_file", "peer_name")
	fileKeys := []string{"certificate_file", "key_file", "authority_file"}
	switch m.Required("mode").OneOf(modeMutualTLS, modePlain) {
	case modePlain:
		for _, key := range append(fileKeys, "peer_name") {
			m.Optional(key).Report("not_mutual_tls", strconv.Quote(key)+" stands beside mode plain", "mode: mutual_tls")
		}
		s.peerSecurity = Plain{}
	case modeMutualTLS:
		var files []parser.Value
		for _, key := range fileKeys {
			files = append(files, m.Required(key))
		}
		s.peerSecurity = MutualTLS{
			certificateFile: files[0].Text(),
			keyFile:         files[1].Text(),
			authorityFile:   files[2].Text(),
			peerName:        m.Optional("peer_name").Match(dnsName, "a DNS name in lower case"),
		}
		return files
	}
	return nil
}

func (s *Settings) readCallerPort(value parser.Value) {
	s.callerPort = CallerPort{
		headerTimeout:  defaultHeaderTimeout,
		maxHeaderBytes: defaultHeaderBytes,
		maxConnections: defaultConnections,
		maxBodyBytes:   defaultBodyBytes,
	}
	m := value.Mapping("header_timeout", "max_header_bytes", "max_connections", "max_body_bytes")
	if timeout := m.Optional("header_timeout"); timeout.Present() {
		s.callerPort.headerTimeout = timeout.Duration(minHeaderTimeout, maxHeaderTimeout)
	}
	if header := m.Optional("max_header_bytes"); header.Present() {
		s.callerPort.maxHeaderBytes = header.Bytes(leastHeaderBytes, mostHeaderBytes)
	}
	if connections := m.Optional("max_connections"); connections.Present() {
		s.callerPort.maxConnections = int(connections.Int(1, mostConnections))
	}
	if body := m.Optional("max_body_bytes"); body.Present() {
		s.callerPort.maxBodyBytes = body.Bytes(0, mostBodyBytes)
	}
}
