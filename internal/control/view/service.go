// Package view serves the local entry process. It streams the view that the entry uses
// for routing, and accepts the entry's reports of
// demand, crash suspects and leaving upstreams.
package view

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"

	pb "savoryweir/api/savoryweir/v1"
)

// minInterval is the shortest time between two views sent to an entry.
const minInterval = 50 * time.Millisecond

// Bundles provides the bundle in force.
type Bundles interface {
	// InForce returns the head in force and its sections, including the manifest.
	InForce() (bundle.Head, []bundlefile.Section)
}

// Peers provides the members and the news that instances exchange.
type Peers interface {
	// MembersAndNews returns the usable members and all news.
	MembersAndNews() ([]member.Member, news.Batch)
	// Offer spreads news that this instance has observed to the peers.
	Offer(ctx context.Context, batch news.Batch) error
}

// Cells provides the replicas of all placement cells.
type Cells interface {
	// Since returns the changes of the known cells since their given versions. With others
	// set, it also returns the cells that are not in known.
	Since(known []news.CellHead, others bool) []replica.Delta
}

// DemandSink receives the demand for models that entry processes have seen.
type DemandSink interface {
	// OnDemand processes one report.
	OnDemand(report demand.Report)
}

// Options are the settings and dependencies of a Service.
type Options struct {
	Instance string
	Clock    *hlc.Clock
	Bundles  Bundles
	Peers    Peers
	Cells    Cells
	Demand   DemandSink
	// Heartbeat is the longest time between two messages of a stream.
	Heartbeat time.Duration
}

// Service implements pb.LocalServer for the entry process of the same instance.
type Service struct {
	pb.UnimplementedLocalServer
	Options

	mu       sync.Mutex    // guards the fields below
	changed  chan struct{} // closed and replaced at each change of the view or the watchers
	watchers int           // number of entry processes that watch
}

// New returns a Service.
func New(o Options) *Service {
	return &Service{Options: o, changed: make(chan struct{})}
}

// Notify makes all streams send the changed view.
func (s *Service) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// nextChange returns a channel that is closed at the next change.
func (s *Service) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// addWatchers adds delta, 1 or -1, to the number of watchers and wakes those that wait for
// a change.
func (s *Service) addWatchers(delta int) {
	s.mu.Lock()
	s.watchers += delta
	s.mu.Unlock()
	s.Notify()
}

// WaitForNoWatchers waits until no entry process watches, the wait has passed or ctx ends.
func (s *Service) WaitForNoWatchers(ctx context.Context, wait time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		s.mu.Lock()
		watchers, changed := s.watchers, s.changed
		s.mu.Unlock()
		if watchers == 0 {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// WatchView implements pb.LocalServer for the entry process of this instance.
func (s *Service) WatchView(request *pb.WatchViewRequest, stream pb.Local_WatchViewServer) error {
	s.addWatchers(1)
	defer s.addWatchers(-1)
	return s.streamViews(request, stream)
}

// streamViews sends the view at each change, at most once per minInterval, and heartbeats
// in between, until the stream ends.
func (s *Service) streamViews(request *pb.WatchViewRequest, stream pb.Local_WatchViewServer) error {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	sent := newSentParts()
	for {
		changed := s.nextChange()
		if err := stream.Send(s.view(sent)); err != nil {
			return err
		}
		if err := s.sendHeartbeatsUntil(changed, stream); err != nil {
			return err
		}
		if !pause.For(stream.Context(), minInterval) {
			return nil
		}
	}
}

// sendHeartbeatsUntil sends heartbeats until changed is closed or the stream ends.
func (s *Service) sendHeartbeatsUntil(changed <-chan struct{}, stream pb.Local_WatchViewServer) error {
	ticker := time.NewTicker(s.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-changed:
			return nil
		case <-stream.Context().Done():
			return nil
		case <-ticker.C:
		}
		heartbeat := &pb.View{Time: peercodec.EncodeTime(s.Clock.Now()), Heartbeat: true}
		if err := stream.Send(heartbeat); err != nil {
			return err
		}
	}
}

// sentParts holds the parts of the view that a stream has already sent.
type sentParts struct {
	sections map[bundle.Hash]bool
	cells    map[news.CellID]uint64 // last version sent
}

func newSentParts() *sentParts {
	return &sentParts{sections: make(map[bundle.Hash]bool), cells: make(map[news.CellID]uint64)}
}

// newSections returns the sections that the entry does not hold. The entry keeps only the
// sections of the bundle in force.
func (p *sentParts) newSections(sections []bundlefile.Section) []bundlefile.Section {
	held := make(map[bundle.Hash]bool, len(sections))
	var unsent []bundlefile.Section
	for _, section := range sections {
		held[section.Hash] = true
		if !p.sections[section.Hash] {
			unsent = append(unsent, section)
		}
	}
	p.sections = held
	return unsent
}

// newCells returns the changes of the cells since they were last sent, and marks them as
// sent.
func (p *sentParts) newCells(cells Cells) []*pb.CellReplicas {
	sent := make([]news.CellHead, 0, len(p.cells))
	for id, version := range p.cells {
		sent = append(sent, news.CellHead{Cell: id, Version: version})
	}
	var unsent []*pb.CellReplicas
	for _, d := range cells.Since(sent, true) {
		p.cells[d.Cell.Head.Cell] = d.Cell.Head.Version
		unsent = append(unsent, peercodec.EncodeDelta(d))
	}
	return unsent
}

// view returns the current view with only those sections and cells that have not been sent
// yet.
func (s *Service) view(sent *sentParts) *pb.View {
	head, sections := s.Bundles.InForce()
	members, known := s.Peers.MembersAndNews()
	v := &pb.View{
		Time:         peercodec.EncodeTime(s.Clock.Now()),
		Generation:   uint64(head.Generation),
		ManifestHash: head.Manifest[:],
		Sections:     bundlefile.SectionsToWire(sent.newSections(sections)),
		Cells:        sent.newCells(s.Cells),
		Members:      peercodec.EncodeMembers(members),
	}
	for _, id := range known.LeavingUpstreams() {
		v.LeavingUpstreams = append(v.LeavingUpstreams, string(id))
	}
	for _, suspect := range known.Suspects {
		v.Suspects = append(v.Suspects, peercodec.EncodeSuspect(suspect))
	}
	return v
}

// Report implements pb.LocalServer. It ignores crash suspects that cannot be decoded.
func (s *Service) Report(ctx context.Context, request *pb.ReportRequest) (*pb.ReportResponse, error) {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	var batch news.Batch
	for _, suspect := range request.GetSuspects() {
		if decoded, err := peercodec.DecodeSuspect(suspect); err == nil {
			batch.Suspects = append(batch.Suspects, decoded)
		}
	}
	for _, l := range request.GetLeaving() {
		batch.Leaving = append(batch.Leaving, peercodec.DecodeLeaving(l))
	}
	if len(request.GetDemand()) > 0 {
		s.Demand.OnDemand(peercodec.DecodeDemand(s.Instance, request.GetIntervalMillis(), request.GetDemand()))
	}
	if !batch.IsEmpty() {
		if err := s.Peers.Offer(ctx, batch); err != nil {
			return nil, err
		}
	}
	return &pb.ReportResponse{Time: peercodec.EncodeTime(s.Clock.Now())}, nil
}
