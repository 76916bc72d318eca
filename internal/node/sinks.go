package node

import (
	"time"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/object"
	"savoryweir/platform"
)

// configSink applies the configurations in the store to the gateway. The version of the
// configuration in force never decreases while the process runs.
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
		s.node.log.Error().Err(err).Str("event", "config.unread").Stringer("revision", o.Version).Msg("failed to decode the configuration; the previous one stays in force")
		s.node.freshness.recordUnread(o.Version)
		return
	}
	defer s.node.freshness.recordApplied(o.Version, config.Version)
	previous := uint64(0)
	if current := s.node.gateway.Config(); current != nil {
		previous = current.Version
	}
	if config.Version <= previous {
		return
	}
	s.node.gateway.ApplyConfig(config)
	s.node.log.Info().Str("event", "config.applied").Uint64("version", config.Version).Uint64("before", previous).
		Stringer("revision", o.Version).Int("routes", len(config.Routes)).Msg("configuration applied")
}

// upstreamSink updates the registry with the upstreams in the store.
type upstreamSink struct{ node *Node }

// Replace implements storewatch.Sink.
func (s upstreamSink) Replace(objects []object.Object, completeAt time.Time) {
	var upstreams []fleet.Upstream
	for _, o := range objects {
		if u, ok := s.decode(o); ok {
			upstreams = append(upstreams, u)
		}
	}
	s.node.registry.Replace(upstreams, completeAt)
}

// Apply implements storewatch.Sink.
func (s upstreamSink) Apply(events []object.Event, completeAt time.Time) {
	for _, e := range events {
		if e.Deleted {
			s.node.registry.Remove(fleet.UpstreamID(e.Object.Name), e.Object.Version, completeAt)
			continue
		}
		if u, ok := s.decode(e.Object); ok {
			s.node.registry.Put(u)
		} else {
			s.node.registry.Remove(fleet.UpstreamID(e.Object.Name), e.Object.Version, time.Time{})
		}
	}
}

// decode returns the upstream in a store entry, and whether the entry describes one.
func (s upstreamSink) decode(o object.Object) (fleet.Upstream, bool) {
	u, err := platform.DecodeUpstream(string(o.Name), o.Version, o.Data)
	if err != nil {
		s.node.log.Info().Err(err).Str("event", "upstream.foreign").Str("upstream", string(o.Name)).Msg("store entry does not describe an upstream; it is not used")
		return u, false
	}
	return u, true
}
