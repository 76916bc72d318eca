package bundlecheck

import (
	"net/netip"

	"savoryweir/internal/state/bundle"
)

// checkAddress checks the address of an upstream. The map ownerOf holds the upstreams by
// address; an IPv4-mapped IPv6 address counts as its IPv4 address.
func (c *checker) checkAddress(section string, u bundle.Upstream, ownerOf map[string]bundle.UpstreamID) {
	const key = "address"
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil {
		c.addFault(section, key, "%q is not an IP address with a port", u.Address)
		return
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		c.addFault(section, key, "%q is not an address that can be connected to", u.Address)
		return
	}
	normalized := netip.AddrPortFrom(ip.Unmap(), address.Port()).String()
	if owner, ok := ownerOf[normalized]; ok {
		c.addFault(section, key, "address %s already belongs to upstream %s", u.Address, owner)
		return
	}
	ownerOf[normalized] = u.ID
}
