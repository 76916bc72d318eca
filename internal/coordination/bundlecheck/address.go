package bundlecheck

import (
	"net/netip"

	"savoryweir/internal/state/bundle"
)

func (c *checker) address(section string, u bundle.Upstream, taken map[string]bundle.UpstreamID) {
	const key = "address"
	address, err := netip.ParseAddrPort(u.Address)
	if err != nil {
		c.fault(section, key, "%q is no IP address with a port", u.Address)
		return
	}
	ip := address.Addr()
	if address.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
		c.fault(section, key, "%q is no address that can be connected to", u.Address)
		return
	}
	unmapped := netip.AddrPortFrom(ip.Unmap(), address.Port()).String()
	if other, ok := taken[unmapped]; ok {
		c.fault(section, key, "address %s belongs to upstream %s already", u.Address, other)
		return
	}
	taken[unmapped] = u.ID
}
