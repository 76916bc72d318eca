// Package mesh exchanges datagrams between the instances of a deployment: what
// each has in flight at upstreams, what callers ask it for, and what the holder of
// orders has changed. Datagrams may be lost; each tells a state or a cumulative
// count, so that the next one makes up for it. grpc-go is not used here: a stream
// to each other instance would cost more memory and wake-ups than the loads it
// tells are worth.
package mesh

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/errs"
)

// maxDatagram is the largest datagram that is read.
const maxDatagram = 60 << 10

// peerLifetime is the silence after which an instance no longer counts as alive:
// three of its slowest reports.
const peerLifetime = 3 * time.Second

// Handler takes the messages of other instances.
type Handler interface {
	// Receive takes a message. It must not keep it.
	Receive(m *pb.FleetMessage)
}

// Mesh sends and receives datagrams. It is safe for concurrent use.
type Mesh struct {
	log         zerolog.Logger
	conn        *net.UDPConn
	instance    string
	zone        string
	incarnation int64
	handler     Handler

	mu       sync.Mutex // guards all below
	sequence uint64
	peers    map[string]peer // by instance
	heard    map[string]heard
}

// peer is another instance.
type peer struct {
	address netip.AddrPort
	zone    string // empty until it was heard of
}

type heard struct {
	at          time.Time
	incarnation int64
	sequence    uint64
}

// Listen opens the port of an instance.
func Listen(log zerolog.Logger, address netip.AddrPort, instance, zone string, handler Handler) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, "listen for datagrams", errs.Self)
	}
	return &Mesh{
		log: log, conn: conn, instance: instance, zone: zone, incarnation: time.Now().UnixMilli(), handler: handler,
		peers: make(map[string]peer), heard: make(map[string]heard),
	}, nil
}

// AddPeers adds addresses of other instances.
func (m *Mesh) AddPeers(peers map[string]netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for instance, address := range peers {
		if instance != m.instance {
			m.peers[instance] = peer{address: address, zone: m.peers[instance].zone}
		}
	}
}

// RemoveSilentPeers drops the instances that were not heard of since a time, unless they are
// listed.
func (m *Mesh) RemoveSilentPeers(since time.Time, listed map[string]netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for instance := range m.peers {
		if _, ok := listed[instance]; !ok && m.heard[instance].at.Before(since) {
			delete(m.peers, instance)
			delete(m.heard, instance)
		}
	}
}

// PeerCount returns how many other instances are listed.
func (m *Mesh) PeerCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// PeerCountByZone returns how many other instances are known in the own availability zone,
// and in others.
func (m *Mesh) PeerCountByZone() (near, far int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.zone == m.zone {
			near++
		} else {
			far++
		}
	}
	return near, far
}

// AlivePeerCount returns how many other instances were heard of lately.
func (m *Mesh) AlivePeerCount(now time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive := 0
	for _, h := range m.heard {
		if now.Sub(h.at) < peerLifetime {
			alive++
		}
	}
	return alive
}

// Broadcast sends a message to all other instances.
func (m *Mesh) Broadcast(message *pb.FleetMessage) {
	m.send(message, func(string, peer) bool { return true })
}

// SendByZone sends a message to the instances of the own availability zone, or to
// those of the others.
func (m *Mesh) SendByZone(message *pb.FleetMessage, near bool) {
	m.send(message, func(_ string, p peer) bool { return (p.zone == m.zone) == near })
}

// SendTo sends a message to one instance, or to all if it is not known.
func (m *Mesh) SendTo(instance string, message *pb.FleetMessage) {
	m.mu.Lock()
	_, known := m.peers[instance]
	m.mu.Unlock()
	m.send(message, func(name string, _ peer) bool { return !known || name == instance })
}

func (m *Mesh) send(message *pb.FleetMessage, to func(instance string, p peer) bool) {
	data, targets, err := m.prepare(message, to)
	if err != nil {
		m.log.Error().Err(err).Str("event", "mesh.failed").Msg("datagram was not encoded")
		return
	}
	for _, target := range targets {
		// A datagram that can't be sent is like one that is lost: the next report
		// makes up for it.
		_, _ = m.conn.WriteToUDPAddrPort(data, target)
	}
}

func (m *Mesh) prepare(message *pb.FleetMessage, to func(instance string, p peer) bool) ([]byte, []netip.AddrPort, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	message.Instance, message.Incarnation, message.Sequence, message.Zone = m.instance, m.incarnation, m.sequence, m.zone
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, nil, err
	}
	var targets []netip.AddrPort
	for instance, p := range m.peers {
		if to(instance, p) {
			targets = append(targets, p.address)
		}
	}
	return data, targets, nil
}

// Run receives datagrams until ctx ends.
func (m *Mesh) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.log.Warn().Err(err).Str("event", "mesh.failed").Msg("datagram was not read")
			continue
		}
		m.receive(buffer[:n], from)
	}
}

func (m *Mesh) receive(data []byte, from netip.AddrPort) {
	var message pb.FleetMessage
	if err := proto.Unmarshal(data, &message); err != nil {
		m.log.Warn().Err(err).Str("event", "mesh.foreign").Msg("datagram was not understood")
		return
	}
	if message.Instance == m.instance || !m.isNews(&message, from) {
		return
	}
	m.handler.Receive(&message)
}

// isNews reports whether no later datagram of the process has been received.
func (m *Mesh) isNews(message *pb.FleetMessage, from netip.AddrPort) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := m.heard[message.Instance]
	if message.Incarnation < last.incarnation ||
		message.Incarnation == last.incarnation && message.Sequence <= last.sequence {
		return false
	}
	m.peers[message.Instance] = peer{address: from, zone: message.Zone} // also of instances that are not listed yet
	m.heard[message.Instance] = heard{at: time.Now(), incarnation: message.Incarnation, sequence: message.Sequence}
	return true
}
