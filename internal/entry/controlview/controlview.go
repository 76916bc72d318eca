// Package controlview takes the view of the control process of the same
// instance over gRPC and passes on what the entry saw. While the control
// process is gone, the last good view stays.
package controlview

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/entry"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

const (
	controlPeer   errs.Peer = "control"
	stepWatchView errs.Step = "watch view"
	stepReport    errs.Step = "report to control"

	reconnectDelay = 500 * time.Millisecond
)

// Source follows the view of the control process. It implements
// entry.ViewSource and entry.Reporter.
type Source struct {
	client  pb.LocalClient
	clock   *hlc.Clock
	log     zerolog.Logger
	current atomic.Pointer[entry.View]

	// Owned by the goroutine of Run.
	sections bundlefile.Sections
	manifest bundle.Hash
	bundle   *bundle.Bundle
	cells    map[news.CellID]replica.Cell
	reported time.Time
}

// New returns a source that has no view before Run.
func New(client pb.LocalClient, clock *hlc.Clock, log zerolog.Logger) *Source {
	return &Source{
		client:   client,
		clock:    clock,
		log:      log,
		sections: make(bundlefile.Sections),
		cells:    make(map[news.CellID]replica.Cell),
	}
}

// View implements entry.ViewSource.
func (s *Source) View() *entry.View { return s.current.Load() }

// Run follows the view until ctx ends.
func (s *Source) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		s.log.Warn().Err(errs.Wrap(err, stepWatchView, controlPeer)).Msg("View stream ended; the last view stays.")
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// follow reads one stream of views to its end.
func (s *Source) follow(ctx context.Context) error {
	stream, err := s.client.WatchView(ctx, &pb.WatchViewRequest{Time: peercodec.EncodeTime(s.clock.Now())})
	if err != nil {
		return err
	}
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		s.clock.Observe(peercodec.DecodeTime(message.GetTime()))
		if err := s.take(message); err != nil {
			return err // a new stream starts with the whole view
		}
	}
}

// take makes message the present view. A control process that has restarted
// knows less for a while: a lower generation, and older replicas, are ignored.
func (s *Source) take(message *pb.View) error {
	if err := s.takeBundle(message); err != nil {
		return err
	}
	for _, c := range message.GetCells() {
		cell := peercodec.DecodeCell(c)
		if known, ok := s.cells[cell.Head.Cell]; !ok || cell.Head.Version > known.Head.Version {
			s.cells[cell.Head.Cell] = cell
		}
	}
	if s.bundle != nil {
		s.current.Store(entry.NewView(s.viewData(message)))
	}
	return nil
}

func (s *Source) takeBundle(message *pb.View) error {
	sections, err := bundlefile.SectionsFromWire(message.GetSections())
	if err != nil {
		return err
	}
	for _, section := range sections {
		s.sections[section.Hash] = section.Data
	}
	generation := bundle.Generation(message.GetGeneration())
	if generation == 0 || (s.bundle != nil && generation <= s.bundle.Generation) {
		return nil
	}
	manifest, err := bundle.HashFromBytes(message.GetManifestHash())
	if err != nil {
		return err
	}
	decoded, err := bundlefile.Decode(manifest, s.sections)
	if err != nil {
		return err
	}
	decoded.Generation = generation
	s.bundle, s.manifest = decoded, manifest
	return s.forgetSections()
}

// forgetSections drops the sections that the bundle in force does not use.
func (s *Source) forgetSections() error {
	entries, err := bundlefile.DecodeManifest(s.sections[s.manifest])
	if err != nil {
		return err
	}
	used := bundlefile.Sections{s.manifest: s.sections[s.manifest]}
	for _, e := range entries {
		used[e.Hash] = s.sections[e.Hash]
	}
	s.sections = used
	return nil
}

func (s *Source) viewData(message *pb.View) entry.ViewData {
	data := entry.ViewData{Bundle: *s.bundle, Manifest: s.manifest}
	for _, c := range s.cells {
		for _, r := range c.Replicas {
			data.Replicas = append(data.Replicas, entry.Replica(r))
		}
	}
	data.Instances = countInstances(message.GetMembers())
	for _, id := range message.GetLeavingUpstreams() {
		data.Leaving = append(data.Leaving, bundle.UpstreamID(id))
	}
	for _, encoded := range message.GetSuspects() {
		if decoded, err := peercodec.DecodeSuspect(encoded); err == nil {
			data.Suspects = append(data.Suspects, suspect.Record{
				Fingerprint: suspect.Fingerprint(decoded.Fingerprint),
				Upstreams:   decoded.Upstreams,
				Expires:     decoded.Expires,
			})
		}
	}
	return data
}

// countInstances counts the members that may send requests to upstreams.
func countInstances(members []*pb.Member) int {
	n := 0
	for _, m := range members {
		switch m.GetState() {
		case pb.MemberState_MEMBER_STATE_ALIVE, pb.MemberState_MEMBER_STATE_SUSPECT:
			n++
		}
	}
	return n
}

// Report implements entry.Reporter.
func (s *Source) Report(ctx context.Context, report entry.Report) error {
	now := time.Now()
	request := &pb.ReportRequest{
		Time:           peercodec.EncodeTime(s.clock.Now()),
		IntervalMillis: s.sinceLastReport(now).Milliseconds(),
	}
	for _, record := range report.Suspects {
		request.Suspects = append(request.Suspects, peercodec.EncodeSuspect(news.CrashSuspect{
			Fingerprint: news.Fingerprint(record.Fingerprint),
			Upstreams:   record.Upstreams,
			Expires:     record.Expires,
		}))
	}
	for _, id := range report.Leaving {
		request.Leaving = append(request.Leaving, peercodec.EncodeLeaving(news.UpstreamLeaving{Upstream: id, Since: now}))
	}
	for _, d := range report.Demand {
		request.Demand = append(request.Demand, &pb.ModelDemand{
			Model: string(d.Model), Adapter: string(d.Adapter),
			Requests: d.Requests, Tokens: d.Tokens, MissedDeadlines: d.MissedDeadlines, Completed: d.Completed,
		})
	}
	for _, l := range report.Loads {
		request.Loads = append(request.Loads, &pb.UpstreamLoad{
			Upstream: string(l.Upstream), Running: uint32(l.Running), Waiting: uint32(l.Waiting), SeenUnixMillis: l.SeenAt.UnixMilli(),
		})
	}
	response, err := s.client.Report(ctx, request)
	if err != nil {
		return errs.Wrap(err, stepReport, controlPeer)
	}
	s.clock.Observe(peercodec.DecodeTime(response.GetTime()))
	return nil
}

// sinceLastReport returns the time that a report covers. Reports are made by one goroutine.
func (s *Source) sinceLastReport(now time.Time) time.Duration {
	if s.reported.IsZero() {
		s.reported = now
		return 0
	}
	elapsed := now.Sub(s.reported)
	s.reported = now
	return elapsed
}
