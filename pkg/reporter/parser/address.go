package parser

import (
	"net/netip"
	"strconv"
)

// ListenAddress returns an IP:port to listen on. The IP may be the unspecified address, which means all addresses of
// the host, and the port may be 0, which means any free port; a multicast IP is a finding. The result is not valid if
// the value is absent or a finding was added.
func (v Value) ListenAddress() netip.AddrPort {
	return v.addrPort("IP:port", func(netip.AddrPort) bool { return true })
}

// Address returns an IP:port to connect to. An unspecified or multicast IP and port 0 are findings. The result is not
// valid if the value is absent or a finding was added.
func (v Value) Address() netip.AddrPort {
	return v.addrPort("IP:port, with a specific unicast IP and a port from 1 to 65535",
		func(a netip.AddrPort) bool { return a.Port() != 0 && !a.Addr().IsUnspecified() })
}

// addrPort returns an IP:port that accept allows; expected describes these in findings. IPv4-mapped IPv6 addresses
// become IPv4.
func (v Value) addrPort(expected string, accept func(netip.AddrPort) bool) netip.AddrPort {
	text := v.Text()
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Addr().IsMulticast() || !accept(address) {
		v.Report("wrong_form", "found "+strconv.Quote(text), expected)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// AddressText formats address as IP:port, or as "" if it is not valid.
func AddressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}
