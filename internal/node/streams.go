package node

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/restore"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/state/streams"
)

const (
	// originTimeout is how long an instance waits until it knows the origin of a stream:
	// several round trips between zones, or the first messages and the first read of the
	// store after its start.
	originTimeout = 200 * time.Millisecond
	// originRecheckInterval is the interval at which the wait looks at what has become known.
	originRecheckInterval = 20 * time.Millisecond
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

	continuity restore.Continuity // of what is known of the versions, over the store's eras

	newVersions atomic.Pointer[newVersions]
}

// newVersions are the versions that have come lately, as of a view of the registry.
type newVersions struct {
	view     *registry.View
	versions []streams.Origin
}

func newStreamOrigins(n *Node) *streamOrigins {
	return &streamOrigins{node: n, tracker: streams.NewTracker(time.Now()), answers: make(map[streams.ID]chan struct{})}
}

// observe records the versions that serve now. The caller holds s.mu.
func (s *streamOrigins) observe(now time.Time) {
	s.observeEra(now)
	if view := s.node.registry.View(); view != s.observed {
		s.observed, s.serving = view, view.SoftwareVersions()
	}
	s.tracker.ObserveServing(now, s.serving)
	s.newVersions.Store(&newVersions{view: s.observed, versions: s.tracker.New(now, s.node.settings.Streams.NewVersionDelay)})
}

// NewVersions implements gateway.StreamOrigins.
func (s *streamOrigins) NewVersions() []streams.Origin {
	known := s.newVersions.Load()
	if known == nil || known.view != s.node.registry.View() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.observe(time.Now())
		known = s.newVersions.Load()
	}
	return known.versions
}

// observeEra records how far this instance follows the store's changes, and what that means once the store has come back from an older
// copy. The caller holds s.mu.
func (s *streamOrigins) observeEra(now time.Time) {
	bootTime, era := s.node.bootTime(), s.node.store.Era()
	if era == s.continuity.Era() {
		s.continuity.Observe(bootTime, s.node.reporter.viewOfStore(now))
		return
	}
	if !s.continuity.Enter(bootTime, era) {
		s.tracker.LosePast(now)
	}
	s.logPast(now, "era")
}

// logPast logs whether the versions that have served lately are known, and by what. The caller holds s.mu.
func (s *streamOrigins) logPast(now time.Time, by string) {
	s.node.log.Info().Str("event", "versions.past").Bool("known", s.tracker.KnowsPast(now)).Str("by", by).Uint64("era", uint64(s.continuity.Era())).
		Dur("unknown_for", s.tracker.PastUnknownFor(now)).Msg("whether the software versions that have served lately are known")
}

// Record implements gateway.StreamOrigins.
func (s *streamOrigins) Record(request string, origin streams.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Begin(time.Now(), streams.IDOf(request), origin)
}

// maxIncompleteRetryAfter limits the Retry-After of a refusal while the store may lack upstreams, since an instance that has just
// started may learn before that the store came back long ago, and other instances may tell what they know of the past.
const maxIncompleteRetryAfter = time.Second

// Find implements gateway.StreamOrigins.
func (s *streamOrigins) Find(ctx context.Context, request, service string) (origin streams.Origin, isKnown bool, retryAfter time.Duration) {
	if origin, isKnown = s.find(ctx, request, service); isKnown {
		return origin, true, 0
	}
	return origin, false, s.retryAfter(service)
}

// retryAfter returns the time after which an unknown stream of a service may go on, zero if that is not known.
func (s *streamOrigins) retryAfter(service string) time.Duration {
	if incompleteFor := s.node.store.IncompleteFor(); incompleteFor > 0 {
		return min(incompleteFor, maxIncompleteRetryAfter)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.tracker.ServedCount(now, service) > 1 {
		return 0
	}
	return s.tracker.PastUnknownFor(now)
}

// find returns the origin of a stream. If this instance does not know the stream and several versions may have begun it, it asks
// the other instances and then reads the record in the store.
func (s *streamOrigins) find(ctx context.Context, request, service string) (streams.Origin, bool) {
	id := streams.IDOf(request)
	if origin, ok := s.findHere(ctx, id, service); ok || !s.mayLearn(request) {
		return origin, ok
	}
	answer := s.awaitAnswer(id)
	defer s.endWait(id)
	if request != "" {
		s.node.reporter.queryStream(id)
	}
	s.awaitOrigin(ctx, answer, service)
	origin, ok := s.findHere(ctx, id, service)
	if ok || request == "" {
		return origin, ok
	}
	s.node.streamRecorder.lookUp(ctx)
	return s.lookup(id)
}

// awaitOrigin waits until another instance has answered, one version alone can have begun the stream, or originTimeout has
// passed.
func (s *streamOrigins) awaitOrigin(ctx context.Context, answer <-chan struct{}, service string) {
	timeout := time.NewTimer(originTimeout)
	defer timeout.Stop()
	recheck := time.NewTicker(originRecheckInterval)
	defer recheck.Stop()
	for {
		select {
		case <-recheck.C:
			if _, ok := s.onlyCandidate(service); ok && s.node.store.IncompleteFor() == 0 {
				return
			}
		case <-answer:
			return
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// findHere returns the origin of a stream that is known here, or the only one possible. That no other version has served is
// concluded from absence, so what is known here must be complete at this moment.
func (s *streamOrigins) findHere(ctx context.Context, id streams.ID, service string) (streams.Origin, bool) {
	if origin, ok := s.lookup(id); ok {
		return origin, true
	}
	candidate, ok := s.onlyCandidate(service)
	if !ok || !s.isOnlyOrigin(ctx, candidate) {
		return streams.Origin{}, false
	}
	return candidate, true
}

// isOnlyOrigin reports whether no other version of a service can have begun a stream: the store, asked now, lists none. If the
// store doesn't answer, no entry of another version can have come since, and the other instances decide. While the store may
// lack entries, nothing can be concluded from its lists.
func (s *streamOrigins) isOnlyOrigin(ctx context.Context, candidate streams.Origin) bool {
	if s.node.store.IncompleteFor() > 0 {
		return false
	}
	served, err := s.node.versionCheck.await(ctx)
	if errors.Is(err, errCheckOfACopy) {
		return false
	}
	if err != nil {
		isKnown := s.node.reporter.knowsRecentChanges(time.Now())
		s.node.log.Info().Err(err).Str("event", "versions.unconfirmed").Bool("trusts_others", isKnown).Msg("store did not list the software versions that serve")
		return isKnown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.ObserveServing(time.Now(), served.now)
	for _, o := range slices.Concat(served.now, served.lately) {
		if o.Service == candidate.Service && o != candidate {
			return false
		}
	}
	return true
}

// lookup returns the origin of a stream that is known here.
func (s *streamOrigins) lookup(id streams.ID) (streams.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Lookup(id)
}

// onlyCandidate returns the only version of a service that has served lately, as far as is known here.
func (s *streamOrigins) onlyCandidate(service string) (streams.Origin, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	return s.tracker.OnlyOrigin(now, service)
}

// mayLearn reports whether the origin of a stream may become known within moments: from another
// instance if the caller names the request that began the stream, or since this instance has
// just started.
func (s *streamOrigins) mayLearn(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return request != "" || !s.tracker.KnowsPast(now) || !s.node.upstreamInformer.HasListed()
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

// endWait forgets that the origin of a stream is awaited.
func (s *streamOrigins) endWait(id streams.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.answers, id)
}

// takeAnnouncements returns what has to be announced now, in messages that fit into datagrams,
// and removes what has expired.
func (s *streamOrigins) takeAnnouncements() []*pb.StreamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	s.tracker.RemoveExpired(now)
	return encodeStreams(s.tracker.TakeAnnouncements(now))
}

// shared returns all streams that an instance which has just started has to know, in messages that fit into datagrams.
func (s *streamOrigins) shared() []*pb.StreamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.observe(now)
	s.tracker.RemoveExpired(now)
	messages := encodeStreams(s.tracker.Shared(now))
	for _, m := range messages {
		m.SecondHand = true
	}
	return messages
}

func encodeStreams(known map[streams.Origin][]streams.ID) []*pb.StreamOrigin {
	var messages []*pb.StreamOrigin
	for origin, ids := range known {
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
			s.learn(now, streams.ID(id), streams.Origin{Service: o.Service, Version: o.Version}, o.SecondHand)
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
func (s *streamOrigins) learn(now time.Time, id streams.ID, origin streams.Origin, isSecondHand bool) {
	if isSecondHand {
		s.tracker.LearnTold(now, id, origin)
	} else {
		s.tracker.Learn(now, id, origin)
	}
	s.endAwait(id)
}

// endAwait ends the wait for a stream that has become known. The caller holds s.mu.
func (s *streamOrigins) endAwait(id streams.ID) {
	if answer := s.answers[id]; answer != nil {
		close(answer)
		delete(s.answers, id)
	}
}

// knowsRecentChanges reports whether a version that began to serve before the store went away would be known here: this instance
// has listed the upstreams, and is alone or hears others, none of which has seen newer entries.
func (r *reporter) knowsRecentChanges(now time.Time) bool {
	if !r.node.upstreamInformer.HasListed() || !r.node.upstreamView.isComplete() {
		return false
	}
	r.mu.Lock()
	newest := r.newestPeerUpstream
	r.mu.Unlock()
	if newest > r.node.upstreamInformer.NewestVersion() {
		return false
	}
	return r.node.mesh.PeerCount() == 0 || r.node.mesh.AlivePeerCount(now, maxWatcherTimeout) > 0
}

// viewOfStore returns whether all changes that any instance may have acted upon are known here. They are if this instance or one that
// it hears follows the store, or if it hears all others.
func (r *reporter) viewOfStore(now time.Time) restore.View {
	r.mu.Lock()
	newest, watcherSeenAt := r.newestPeerUpstream, time.Time{}
	for _, at := range r.watchersSeenAt {
		if at.After(watcherSeenAt) {
			watcherSeenAt = at
		}
	}
	r.mu.Unlock()
	peers := r.node.mesh.PeerCount()
	switch {
	case !r.node.upstreamInformer.HasListed():
		return restore.ViewUnconfirmed
	case newest > r.node.upstreamInformer.NewestVersion():
		return restore.ViewBehind
	case now.Sub(watcherSeenAt) < maxWatcherTimeout, r.isHealthyWatcher(now), r.node.knowsPeers() && r.node.mesh.AlivePeerCount(now, r.peerTimeout()) >= peers:
		return restore.ViewCurrent
	default:
		return restore.ViewUnconfirmed
	}
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
