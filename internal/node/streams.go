package node

import (
	"context"
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/state/streams"
)

const (
	// originQueryTimeout is how long an instance waits for another one to tell the origin of a
	// stream: several round trips between zones.
	originQueryTimeout = 100 * time.Millisecond
	// maxStreamsPerDatagram limits the streams that are announced in one datagram to half of
	// its size.
	maxStreamsPerDatagram = 3500
)

// streamOrigins exchanges the origins of streams with the other instances: streams that begin
// while several versions of a service serve are announced to all others, or to the
// aggregators of a large fleet. What an instance does not know it asks them for.
type streamOrigins struct {
	node *Node

	mu       sync.Mutex // guards all fields below
	tracker  *streams.Tracker
	answers  map[streams.ID]chan struct{} // closed when the origin becomes known
	observed *registry.View               // to which serving belongs
	serving  []streams.Origin
}

func newStreamOrigins(n *Node) *streamOrigins {
	return &streamOrigins{node: n, tracker: streams.NewTracker(time.Now()), answers: make(map[streams.ID]chan struct{})}
}

// observe records the versions that serve now. The caller holds s.mu.
func (s *streamOrigins) observe(now time.Time) {
	if view := s.node.registry.View(); view != s.observed {
		s.observed, s.serving = view, view.SoftwareVersions()
	}
	s.tracker.ObserveServing(now, s.serving)
}

// Record implements gateway.StreamOrigins.
func (s *streamOrigins) Record(request string, origin streams.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Begin(time.Now(), streams.IDOf(request), origin)
}

// Find implements gateway.StreamOrigins. It asks the other instances if this one does not know
// the stream and several versions may have begun it.
func (s *streamOrigins) Find(ctx context.Context, request, service string) (streams.Origin, bool) {
	id := streams.IDOf(request)
	origin, ok := s.find(id, service)
	if ok || request == "" {
		return origin, ok
	}
	return s.ask(ctx, id)
}

// find returns the origin of a stream that is known here, or the only one possible.
func (s *streamOrigins) find(id streams.ID, service string) (streams.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	if origin, ok := s.tracker.Lookup(id); ok {
		return origin, true
	}
	if !s.node.reporter.hearsOthers(now) {
		return streams.Origin{}, false
	}
	return s.tracker.OnlyOrigin(now, service)
}

// ask asks the other instances for the origin of a stream.
func (s *streamOrigins) ask(ctx context.Context, id streams.ID) (streams.Origin, bool) {
	answer := s.awaitAnswer(id)
	s.node.reporter.queryStream(id)
	ctx, cancel := context.WithTimeout(ctx, originQueryTimeout)
	defer cancel()
	select {
	case <-answer:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.answers, id)
	return s.tracker.Lookup(id)
}

// awaitAnswer returns a channel that is closed when the origin of a stream becomes known.
func (s *streamOrigins) awaitAnswer(id streams.ID) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers[id] == nil {
		s.answers[id] = make(chan struct{})
	}
	return s.answers[id]
}

// takeAnnouncements returns what has to be announced now, in messages that fit into datagrams,
// and removes what has expired.
func (s *streamOrigins) takeAnnouncements() []*pb.StreamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	s.tracker.RemoveExpired(now)
	var messages []*pb.StreamOrigin
	for origin, ids := range s.tracker.TakeAnnouncements(now) {
		for len(ids) > 0 {
			n := min(len(ids), maxStreamsPerDatagram)
			messages = append(messages, encodeOrigin(origin, ids[:n]...))
			ids = ids[n:]
		}
	}
	return messages
}

func encodeOrigin(origin streams.Origin, ids ...streams.ID) *pb.StreamOrigin {
	m := &pb.StreamOrigin{Service: origin.Service, Version: origin.Version}
	for _, id := range ids {
		m.Streams = append(m.Streams, uint64(id))
	}
	return m
}

// receive records the streams in a message of another instance and returns the origins that
// it asks for, as far as they are known here.
func (s *streamOrigins) receive(m *pb.FleetMessage) []*pb.StreamOrigin {
	if len(m.StreamOrigins)+len(m.StreamQueries) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, o := range m.StreamOrigins {
		for _, id := range o.Streams {
			s.learn(now, streams.ID(id), streams.Origin{Service: o.Service, Version: o.Version})
		}
	}
	var known []*pb.StreamOrigin
	for _, id := range m.StreamQueries {
		if origin, ok := s.tracker.Lookup(streams.ID(id)); ok {
			known = append(known, encodeOrigin(origin, streams.ID(id)))
		}
	}
	return known
}

// learn records a stream and ends the wait for it. The caller holds s.mu.
func (s *streamOrigins) learn(now time.Time, id streams.ID, origin streams.Origin) {
	s.tracker.Learn(now, id, origin)
	if answer := s.answers[id]; answer != nil {
		close(answer)
		delete(s.answers, id)
	}
}

// hearsOthers reports whether this instance knows of recent changes: it watches the store, or
// receives messages of an instance that has heard of them.
func (r *reporter) hearsOthers(now time.Time) bool {
	return r.isHealthyWatcher(now) || r.node.mesh.AlivePeerCount(now, maxWatcherTimeout) > 0
}

// announceStreams sends the streams that began here to the other instances of a small fleet.
func (r *reporter) announceStreams(origins []*pb.StreamOrigin) {
	for _, o := range origins {
		r.node.mesh.Broadcast(&pb.FleetMessage{StreamOrigins: []*pb.StreamOrigin{o}})
	}
}

// queryStream asks the other instances for the origin of a stream. In a large fleet it asks the
// aggregators, which receive all announcements of their availability zone.
func (r *reporter) queryStream(id streams.ID) {
	query := &pb.FleetMessage{StreamQueries: []uint64{uint64(id)}}
	if r.aggregatesLoads() {
		r.aggregator.sendToAllAggregators(query)
		return
	}
	r.node.mesh.Broadcast(query)
}
