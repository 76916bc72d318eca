// Package mesh exchanges datagrams between the instances of a deployment. They report
// the requests that an instance has in flight at upstreams, the demand of its callers,
// and the changes that the holder of the lease has ordered. Datagrams may be lost, so
// each carries a state or a cumulative count and the next one compensates for the loss.
// The package does not use grpc-go: a stream to every other instance would cost more
// memory and wake-ups than the reported loads are worth.
package mesh

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/errs"
)

// maxDatagramBytes is the size of the largest datagram that can be received.
const maxDatagramBytes = 60 << 10

// Handler processes the messages of other instances.
type Handler interface {
	// Receive processes a message. It must not retain the message.
	Receive(m *pb.FleetMessage)
}

// Mesh sends and receives datagrams. It is safe for concurrent use.
type Mesh struct {
	log         zerolog.Logger
	conn        *net.UDPConn
	instance    string
	zone        string
	linkMbps    float64
	incarnation int64
	handler     Handler

	mu       sync.Mutex // guards all fields below
	sequence uint64
	peers    map[string]peer    // by instance
	received map[string]receipt // by instance
}

// peer is another instance of the deployment.
type peer struct {
	address  netip.AddrPort
	zone     string  // empty until a datagram of the instance was received
	linkMbps float64 // capacity of its network link; zero if not known
}

// receipt describes the latest datagram received from an instance.
type receipt struct {
	at          time.Time
	incarnation int64
	sequence    uint64
}

// Listen opens the UDP port of an instance and returns its mesh; Run starts to receive. linkMbps is the capacity of
// the instance's network link, zero if it is not known.
func Listen(log zerolog.Logger, address netip.AddrPort, instance, zone string, linkMbps float64, handler Handler) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, "listen for datagrams", errs.Self)
	}
	return &Mesh{
		log: log, conn: conn, instance: instance, zone: zone, linkMbps: linkMbps, incarnation: time.Now().UnixMilli(), handler: handler,
		peers: make(map[string]peer), received: make(map[string]receipt),
	}, nil
}

// Listed is the entry of an instance in the platform's store.
type Listed struct {
	Address  netip.AddrPort
	Zone     string
	LinkMbps float64 // zero if not known
}

// AddPeers adds or updates the addresses and availability zones of other instances.
func (m *Mesh) AddPeers(listed map[string]Listed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for instance, l := range listed {
		if instance != m.instance {
			m.peers[instance] = peer{address: l.Address, zone: l.Zone, linkMbps: max(l.LinkMbps, m.peers[instance].linkMbps)}
		}
	}
}

// Peer describes another instance.
type Peer struct {
	Instance string
	Zone     string // empty if not known
	Address  netip.AddrPort
	LinkMbps float64   // zero if not known
	HeardAt  time.Time // time of its latest datagram; zero if none was received
}

// Peers returns the other instances known.
func (m *Mesh) Peers() []Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Peer, 0, len(m.peers))
	for instance, p := range m.peers {
		list = append(list, Peer{Instance: instance, Zone: p.zone, Address: p.address, LinkMbps: p.linkMbps, HeardAt: m.received[instance].at})
	}
	return list
}

// PeerIDs returns the IDs of the other instances known.
func (m *Mesh) PeerIDs() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.peers))
}

// RemoveSilentPeers removes the instances that are not listed and from which no datagram
// was received since the given time.
func (m *Mesh) RemoveSilentPeers(since time.Time, listed map[string]Listed) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for instance := range m.peers {
		if _, ok := listed[instance]; !ok && m.received[instance].at.Before(since) {
			delete(m.peers, instance)
			delete(m.received, instance)
		}
	}
}

// PeerCount returns the number of other instances known.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// PeerCountByZone returns the number of other instances known in the availability zone of
// this instance and the number of those in other zones or in an unknown zone.
func (m *Mesh) PeerCountByZone() (sameZone, otherZones int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.zone == m.zone {
			sameZone++
		} else {
			otherZones++
		}
	}
	return sameZone, otherZones
}

// AlivePeerCount returns the number of other instances from which a datagram was received
// within the given time.
func (m *Mesh) AlivePeerCount(now time.Time, within time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := 0
	for _, r := range m.received {
		if now.Sub(r.at) < within {
			alive++
		}
	}
	return alive
}

// Broadcast sends a message to all other instances.
func (m *Mesh) Broadcast(message *pb.FleetMessage) {
	m.send(message, func(string, peer) bool { return true })
}

// SendByZone sends a message to the other instances in the availability zone of this
// instance if sameZone is set, otherwise to all instances outside it.
func (m *Mesh) SendByZone(message *pb.FleetMessage, sameZone bool) {
	m.send(message, func(_ string, p peer) bool { return (p.zone == m.zone) == sameZone })
}

// Send sends a message to one instance. It does nothing if that one is not known.
func (m *Mesh) Send(instance string, message *pb.FleetMessage) {
	m.mu.Lock()
	p, known := m.peers[instance]
	m.mu.Unlock()
	if known {
		m.sendToAddresses(message, []netip.AddrPort{p.address})
	}
}

// SendTo sends a message to one instance, or to all other instances if that one is not
// known.
func (m *Mesh) SendTo(instance string, message *pb.FleetMessage) {
	m.mu.Lock()
	_, known := m.peers[instance]
	m.mu.Unlock()
	m.send(message, func(name string, _ peer) bool { return !known || name == instance })
}

// send sends a message to the peers for which matches returns true.
func (m *Mesh) send(message *pb.FleetMessage, matches func(instance string, p peer) bool) {
	var targets []netip.AddrPort
	m.mu.Lock()
	for instance, p := range m.peers {
		if matches(instance, p) {
			targets = append(targets, p.address)
		}
	}
	m.mu.Unlock()
	m.sendToAddresses(message, targets)
}

func (m *Mesh) sendToAddresses(message *pb.FleetMessage, targets []netip.AddrPort) {
	data, err := m.encode(message)
	if err != nil {
		m.log.Error().Err(err).Str("event", "mesh.failed").Msg("failed to encode a datagram")
		return
	}
	for _, target := range targets {
		// A send error is treated like a lost datagram: the next report compensates
		// for it.
		_, _ = m.conn.WriteToUDPAddrPort(data, target)
	}
}

// encode sets the sender and the next sequence number of a message, and returns the encoded
// message.
func (m *Mesh) encode(message *pb.FleetMessage) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	message.Instance, message.Incarnation, message.Sequence, message.Zone = m.instance, m.incarnation, m.sequence, m.zone
	message.LinkMbps = uint32(m.linkMbps)
	return proto.Marshal(message)
}

// Run receives datagrams until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Warn().Err(err).Str("event", "mesh.failed").Msg("failed to receive a datagram")
			continue
		}
		m.receive(buffer[:n], from)
	}
}

func (m *Mesh) receive(data []byte, from netip.AddrPort) {
	var message pb.FleetMessage
	if err := proto.Unmarshal(data, &message); err != nil {
		m.log.Warn().Err(err).Str("event", "mesh.foreign").Msg("discarded a datagram that is not a fleet message")
		return
	}
	if message.Instance == m.instance || !m.recordReceipt(&message, from) {
		return
	}
	m.handler.Receive(&message)
}

// recordReceipt reports whether a datagram is newer than all those received from its
// sender before. If so, it records the sender's address, zone and sequence number.
func (m *Mesh) recordReceipt(message *pb.FleetMessage, from netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.received[message.Instance]
	if message.Incarnation < last.incarnation ||
		message.Incarnation == last.incarnation && message.Sequence <= last.sequence {
		return false
	}
	linkMbps := float64(message.LinkMbps)
	if linkMbps == 0 { // a build that doesn't tell
		linkMbps = m.peers[message.Instance].linkMbps
	}
	m.peers[message.Instance] = peer{address: from, zone: message.Zone, linkMbps: linkMbps} // also adds instances that are not listed yet
	m.received[message.Instance] = receipt{at: time.Now(), incarnation: message.Incarnation, sequence: message.Sequence}
	return true
}
