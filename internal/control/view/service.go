// Package view serves the local entry process: it streams the view that the
// entry routes by, and takes in what the entry saw.
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

// Bundles supplies the bundle in force.
type Bundles interface {
	// InForce returns the head in force and its sections, the manifest included.
	InForce() (bundle.Head, []bundlefile.Section)
}

// Peers supplies what the instances tell one another.
type Peers interface {
	// MembersAndNews returns the usable members and all news.
	MembersAndNews() ([]member.Member, news.Batch)
	// Offer tells the peers of news that was seen here.
	Offer(ctx context.Context, batch news.Batch) error
}

// Cells supplies the replicas of all placement cells.
type Cells interface {
	// Since returns what the named cells, with others all cells, hold that is newer than the given versions.
	Since(known []news.CellHead, others bool) []replica.Delta
}

// DemandSink takes what entries saw of models.
type DemandSink interface {
	OnDemand(report demand.Report)
}

// Options are the parts that a Service uses.
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

// Service implements pb.LocalServer.
type Service struct {
	pb.UnimplementedLocalServer
	Options

	mu       sync.Mutex    // guards all below
	changed  chan struct{} // closed and replaced at each change
	watchers int
}

// New returns a service.
func New(o Options) *Service {
	return &Service{Options: o, changed: make(chan struct{})}
}

// Notify tells all entries that the view has changed.
func (s *Service) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Service) nextChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// watch counts entries that watch, by 1 or -1, and wakes those that wait for a change.
func (s *Service) watch(by int) {
	s.mu.Lock()
	s.watchers += by
	s.mu.Unlock()
	s.Notify()
}

// WaitForNoWatchers waits until no entry watches, or until the wait or ctx ends.
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
	s.watch(1)
	defer s.watch(-1)
	return s.send(request, stream)
}

// send streams views until the stream ends.
func (s *Service) send(request *pb.WatchViewRequest, stream pb.Local_WatchViewServer) error {
	s.Clock.Observe(peercodec.DecodeTime(request.GetTime()))
	sent := newSentParts()
	for {
		changed := s.nextChange()
		if err := stream.Send(s.view(sent)); err != nil {
			return err
		}
		if err := s.beatUntil(changed, stream); err != nil {
			return err
		}
		if !pause.For(stream.Context(), minInterval) {
			return nil
		}
	}
}

// beatUntil sends heartbeats until the view has changed or the stream ends.
func (s *Service) beatUntil(changed <-chan struct{}, stream pb.Local_WatchViewServer) error {
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
		beat := &pb.View{Time: peercodec.EncodeTime(s.Clock.Now()), Heartbeat: true}
		if err := stream.Send(beat); err != nil {
			return err
		}
	}
}

// sentParts are the parts of views that a stream has carried.
type sentParts struct {
	sections map[bundle.Hash]bool
	cells    map[news.CellID]uint64 // version that was sent last
}

func newSentParts() *sentParts {
	return &sentParts{sections: make(map[bundle.Hash]bool), cells: make(map[news.CellID]uint64)}
}

// newSections returns the sections that the entry does not hold. The entry
// keeps those of the bundle in force and forgets the others.
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

// newCells returns what changed in the cells since it was sent last, and notes it as sent.
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

// view returns the present view with the parts that were not sent yet.
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

// Report implements pb.LocalServer.
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
