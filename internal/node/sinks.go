package node

import (
	"encoding/json"
	"net/netip"
	"time"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// configSink puts configurations in force. A version never falls within the life
// of the process.
type configSink struct{ node *Node }

// Replace implements storewatch.Sink.
func (s configSink) Replace(objects []object.Object, _ time.Time) {
	for _, o := range objects {
		s.apply(o)
	}
}

// Apply implements storewatch.Sink.
func (s configSink) Apply(events []object.Event, _ time.Time) {
	for _, e := range events {
		if !e.Deleted {
			s.apply(e.Object)
		}
	}
}

func (s configSink) apply(o object.Object) {
	if o.Name != platform.NameConfig {
		return
	}
	config, err := platform.DecodeConfig(o.Data)
	if err != nil {
		s.node.log.Error().Err(err).Str("event", "config.unread").Uint64("revision", uint64(o.Version)).Msg("configuration was not understood")
		return
	}
	before := uint64(0)
	if current := s.node.gateway.Config(); current != nil {
		before = current.Version
	}
	if config.Version <= before {
		return
	}
	s.node.gateway.Apply(config)
	s.node.log.Info().Str("event", "config.applied").Uint64("version", config.Version).Uint64("before", before).
		Uint64("revision", uint64(o.Version)).Int("routes", len(config.Routes)).Msg("configuration in force")
}

// upstreamSink keeps the registry.
type upstreamSink struct{ node *Node }

// Replace implements storewatch.Sink.
func (s upstreamSink) Replace(objects []object.Object, complete time.Time) {
	var list []fleet.Upstream
	for _, o := range objects {
		if u, ok := s.decode(o); ok {
			list = append(list, u)
		}
	}
	s.node.registry.Replace(list, complete)
}

// Apply implements storewatch.Sink.
func (s upstreamSink) Apply(events []object.Event, complete time.Time) {
	for _, e := range events {
		if e.Deleted {
			s.node.registry.Remove(fleet.UpstreamID(e.Object.Name), complete)
			continue
		}
		if u, ok := s.decode(e.Object); ok {
			s.node.registry.Put(u)
		} else {
			s.node.registry.Remove(fleet.UpstreamID(e.Object.Name), time.Time{})
		}
	}
}

func (s upstreamSink) decode(o object.Object) (fleet.Upstream, bool) {
	u, err := platform.DecodeUpstream(string(o.Name), uint64(o.Version), o.Data)
	if err != nil {
		s.node.log.Info().Err(err).Str("event", "upstream.foreign").Str("upstream", string(o.Name)).Msg("entry names no upstream")
		return u, false
	}
	return u, true
}

// instanceSink tells the mesh which other instances there are.
type instanceSink struct {
	node  *Node
	peers map[string]netip.AddrPort
}

// Replace implements storewatch.Sink.
func (s *instanceSink) Replace(objects []object.Object, _ time.Time) {
	s.peers = make(map[string]netip.AddrPort)
	for _, o := range objects {
		s.add(o)
	}
	s.publish()
}

// Apply implements storewatch.Sink.
func (s *instanceSink) Apply(events []object.Event, _ time.Time) {
	if s.peers == nil {
		s.peers = make(map[string]netip.AddrPort)
	}
	for _, e := range events {
		if e.Deleted {
			delete(s.peers, string(e.Object.Name))
			continue
		}
		s.add(e.Object)
	}
	s.publish()
}

func (s *instanceSink) add(o object.Object) {
	var i object.Instance
	err := json.Unmarshal(o.Data, &i)
	address, errAddress := netip.ParseAddrPort(i.Address)
	if err != nil || errAddress != nil {
		s.node.log.Warn().Str("event", "instance.unread").Str("name", string(o.Name)).Msg("entry names no instance")
		return
	}
	if i.ID != s.node.settings.Instance.ID {
		s.peers[i.ID] = address
	}
}

func (s *instanceSink) publish() {
	peers := make(map[string]netip.AddrPort, len(s.peers))
	for id, address := range s.peers {
		peers[id] = address
	}
	s.node.mesh.SetPeers(peers)
	s.node.log.Info().Str("event", "instances.known").Int("others", len(peers)).Msg("instances known")
}
