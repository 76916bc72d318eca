package node

import (
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
	s.node.gateway.ApplyConfig(config)
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
			s.node.registry.Remove(fleet.UpstreamID(e.Object.Name), uint64(e.Object.Version), complete)
			continue
		}
		if u, ok := s.decode(e.Object); ok {
			s.node.registry.Put(u)
		} else {
			s.node.registry.Remove(fleet.UpstreamID(e.Object.Name), uint64(e.Object.Version), time.Time{})
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
