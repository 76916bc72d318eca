package node

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/errs"
	"savoryweir/internal/node/gateway"
	"savoryweir/internal/transport/hangup"
)

const (
	// silentPeerPeriod is how long no requests are forwarded to an instance to which one could not be sent.
	silentPeerPeriod = time.Second
	// maxForwardSilence is how long an instance of a small fleet may be silent and still get forwarded
	// requests: two idle report intervals, of which one report may be lost.
	maxForwardSilence = 3 * idleReportInterval / 2
	// forwardIdleTimeout is the idle timeout of connections for forwarded requests. Senders close them sooner.
	forwardIdleTimeout = 30 * time.Second
	// maxCutOffToOrder is how long an instance may be cut off from its upstreams before it releases
	// the lease, since it can't give orders.
	maxCutOffToOrder = time.Second
)

// recordCutOff records whether the sender of a report reaches upstreams.
func (r *reporter) recordCutOff(m *pb.FleetMessage) {
	if m.NewestUpstream == 0 {
		return // neither a report nor a beacon
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.CutOff {
		r.cutOffPeers[m.Instance] = true
	} else {
		delete(r.cutOffPeers, m.Instance)
	}
}

// recordSilentPeer records that a request could not be forwarded to an instance.
func (r *reporter) recordSilentPeer(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silentPeers[instance] = time.Now().Add(silentPeerPeriod)
}

// forwardTargets returns the instances that are alive and reach upstreams, in random order, those of
// this availability zone first, because traffic between zones is charged.
func (r *reporter) forwardTargets() []gateway.Peer {
	peers, now, timeout := r.node.mesh.Peers(), time.Now(), maxForwardSilence
	if r.aggregatesLoads() {
		timeout = r.peerTimeout()
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	r.mu.Lock()
	defer r.mu.Unlock()
	var sameZone, otherZones []gateway.Peer
	for _, p := range peers {
		if r.cutOffPeers[p.Instance] || now.Before(r.silentPeers[p.Instance]) || now.Sub(p.HeardAt) > timeout {
			continue
		}
		target := gateway.Peer{Instance: p.Instance, Address: p.Address.String()}
		if p.Zone == r.node.settings.Instance.Zone {
			sameZone = append(sameZone, target)
		} else {
			otherZones = append(otherZones, target)
		}
	}
	return append(sameZone, otherZones...)
}

// listenForForwards listens for the requests that other instances forward, on the TCP port with the
// number of the port for datagrams, which all instances know.
func (n *Node) listenForForwards() (net.Listener, error) {
	address := netip.AddrPortFrom(netip.MustParseAddr(n.settings.Instance.Address), uint16(n.settings.Mesh.Port))
	listener, err := net.Listen("tcp4", address.String())
	return listener, errs.Wrap(err, "listen for forwarded requests", errs.Self)
}

func (n *Node) forwardServer() *http.Server {
	return &http.Server{Handler: n.gateway.ForwardedHandler(), IdleTimeout: forwardIdleTimeout, MaxHeaderBytes: maxHeaderLimit, ConnContext: hangup.NewContext}
}

// mayHoldLease reports whether this instance can give orders to engines.
func (n *Node) mayHoldLease() bool { return n.gateway.CutOffFor() < maxCutOffToOrder }
