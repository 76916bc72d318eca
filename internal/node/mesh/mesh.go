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
	incarnation int64
	handler     Handler

	mu       sync.Mutex // guards all below
	sequence uint64
	peers    map[string]netip.AddrPort // by instance
	heard    map[string]heard
}

type heard struct {
	at          time.Time
	incarnation int64
	sequence    uint64
}

// Listen opens the port of an instance.
func Listen(log zerolog.Logger, address netip.AddrPort, instance string, handler Handler) (*Mesh, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errs.Wrap(err, "listen for datagrams", errs.Self)
	}
	return &Mesh{
		log: log, conn: conn, instance: instance, incarnation: time.Now().UnixMilli(), handler: handler,
		peers: make(map[string]netip.AddrPort), heard: make(map[string]heard),
	}, nil
}

// AddPeers adds addresses of other instances.
func (m *Mesh) AddPeers(peers map[string]netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for instance, address := range peers {
		if instance != m.instance {
			m.peers[instance] = address
		}
	}
}

// Forget drops the instances that were not heard of since a time, unless they are
// listed.
func (m *Mesh) Forget(since time.Time, listed map[string]netip.AddrPort) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for instance := range m.peers {
		if _, ok := listed[instance]; !ok && m.heard[instance].at.Before(since) {
			delete(m.peers, instance)
			delete(m.heard, instance)
		}
	}
}

// Known returns how many other instances are listed.
func (m *Mesh) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.peers)
}

// Alive returns how many other instances were heard of lately.
func (m *Mesh) Alive(now time.Time) int {
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

// LastHeard returns when an instance was last heard of.
func (m *Mesh) LastHeard(instance string) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.heard[instance]
	return h.at, ok
}

// Broadcast sends a message to all other instances.
func (m *Mesh) Broadcast(message *pb.FleetMessage) { m.send(message, "") }

// SendTo sends a message to one instance, or to all if it is not known.
func (m *Mesh) SendTo(instance string, message *pb.FleetMessage) { m.send(message, instance) }

func (m *Mesh) send(message *pb.FleetMessage, only string) {
	data, targets, err := m.prepare(message, only)
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

func (m *Mesh) prepare(message *pb.FleetMessage, only string) ([]byte, []netip.AddrPort, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	message.Instance, message.Incarnation, message.Sequence = m.instance, m.incarnation, m.sequence
	data, err := proto.Marshal(message)
	if err != nil {
		return nil, nil, err
	}
	if target, ok := m.peers[only]; ok {
		return data, []netip.AddrPort{target}, nil
	}
	var targets []netip.AddrPort
	for _, target := range m.peers {
		targets = append(targets, target)
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
	m.peers[message.Instance] = from // also of instances that are not listed yet
	m.heard[message.Instance] = heard{at: time.Now(), incarnation: message.Incarnation, sequence: message.Sequence}
	return true
}
