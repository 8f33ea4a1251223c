package parser

import (
	"net/netip"
	"strconv"
)

// ListenAddress returns IP:port to listen on; the IP may stand for all, and port 0 for any free one.
// It is not valid when a finding was added.
func (v Value) ListenAddress() netip.AddrPort {
	return v.address("IP:port", func(netip.AddrPort) bool { return true })
}

// Address returns IP:port that can be reached. It is not valid when a finding was added.
func (v Value) Address() netip.AddrPort {
	return v.address("IP:port, with an IP that can be reached and a port from 1 to 65535",
		func(a netip.AddrPort) bool { return a.Port() != 0 && !a.Addr().IsUnspecified() })
}

func (v Value) address(expected string, usable func(netip.AddrPort) bool) netip.AddrPort {
	text := v.Text()
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Addr().IsMulticast() || !usable(address) {
		v.Report("wrong_form", "found "+strconv.Quote(text), expected)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}

// AddressText returns address as text, and "" when it is not valid.
func AddressText(address netip.AddrPort) string {
	if !address.IsValid() {
		return ""
	}
	return address.String()
}
