// Package controlview streams the view from the control process of the same instance over
// gRPC and sends the entry's reports to it. While that control process does not answer, the
// package follows the view of another instance. The last valid view stays in use in any case.
package controlview

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/suspect"
	"savoryweir/internal/entry"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/protocol/peercodec"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
)

const (
	controlPeer   errs.Peer = "control"
	stepWatchView errs.Step = "watch view"
	stepReport    errs.Step = "report to control"
	stepApplyCell errs.Step = "take in cell replicas"
)

// Dialer connects to the control processes of other instances.
type Dialer interface {
	// Client returns a client of the control process at the address.
	Client(address string) (pb.LocalClient, error)
	// Drop closes the connection to the address.
	Drop(address string)
}

// Options are the settings and dependencies of a Source.
type Options struct {
	Settings entry.ViewSettings
	Instance settings.Instance
	Local    pb.LocalClient // connects to this instance's control process
	Peers    Dialer
	Clock    *hlc.Clock
	Log      zerolog.Logger
	Random   *rand.Rand // used only by the goroutine of Run
}

// Source follows the view of this instance's control process, or that of another instance
// while the local control process does not answer. It implements entry.ViewSource and
// entry.Reporter.
type Source struct {
	Options
	current      atomic.Pointer[entry.View]
	reportClient atomic.Pointer[pb.LocalClient] // receives the reports
	followsPeer  atomic.Bool                    // reportClient is the client of another instance

	// The fields below are owned by the goroutine that follows a stream. There is one at a time.
	sections bundlefile.Sections
	manifest bundle.Hash
	bundle   *bundle.Bundle
	cells    map[news.CellID]replica.Cell
	members  []member.Member

	lastReport time.Time // time of the last report; owned by the goroutine that calls Report
}

// New returns a source whose View is nil until Run has received a view.
func New(o Options) *Source {
	s := &Source{
		Options:  o,
		sections: make(bundlefile.Sections),
		cells:    make(map[news.CellID]replica.Cell),
	}
	s.reportClient.Store(&s.Local)
	return s
}

// View implements entry.ViewSource.
func (s *Source) View() *entry.View { return s.current.Load() }

// FollowsPeer reports whether the latest stream comes from the control process of another instance.
func (s *Source) FollowsPeer() bool { return s.followsPeer.Load() }

// apply merges message into the current view. It ignores a lower generation and older replicas,
// because a restarted control process has older state for a while.
func (s *Source) apply(message *pb.View) error {
	if err := s.applyBundle(message); err != nil {
		return err
	}
	s.members = peercodec.DecodeMembers(message.GetMembers())
	cellErr := s.applyCells(message.GetCells())
	if s.bundle != nil {
		s.current.Store(entry.NewView(s.viewData(message)))
	}
	return cellErr
}

// applyCells applies the deltas of cells that are newer than the stored ones. The error names
// the last cell whose delta did not apply to the stored state. It ends the stream, and the next
// stream starts with the whole cell.
func (s *Source) applyCells(cells []*pb.CellReplicas) error {
	var cellErr error
	for _, c := range cells {
		d := peercodec.DecodeDelta(c)
		id := d.Cell.Head.Cell
		next, err := replica.Apply(s.cells[id], d)
		switch {
		case err == nil:
			s.cells[id] = next
		case !errors.Is(err, replica.ErrStale):
			cellErr = errs.Wrap(err, stepApplyCell, errs.Peer(id))
		}
	}
	return cellErr
}

// applyBundle stores the sections of message and decodes its bundle when the generation is newer.
func (s *Source) applyBundle(message *pb.View) error {
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
	return s.pruneSections()
}

// pruneSections drops the sections that the current bundle does not use.
func (s *Source) pruneSections() error {
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

// viewData builds the content of a view from the stored state and message. It skips suspects
// that can't be decoded.
func (s *Source) viewData(message *pb.View) entry.ViewData {
	data := entry.ViewData{Bundle: *s.bundle, Manifest: s.manifest}
	for _, c := range s.cells {
		for _, r := range c.Replicas {
			data.Replicas = append(data.Replicas, entry.Replica(r))
		}
	}
	data.Instances = countInstances(s.members)
	for _, id := range message.GetLeavingUpstreams() {
		data.Leaving = append(data.Leaving, bundle.UpstreamID(id))
	}
	for _, encoded := range message.GetSuspects() {
		if decoded, err := peercodec.DecodeSuspect(encoded); err == nil {
			data.Suspects = append(data.Suspects, suspect.Record{
				Fingerprint:      suspect.Fingerprint(decoded.Fingerprint),
				CrashedUpstreams: decoded.Upstreams,
				ExpiresAt:        decoded.Expires,
			})
		}
	}
	return data
}

// countInstances counts the members that may send requests to upstreams.
func countInstances(members []member.Member) int {
	n := 0
	for _, m := range members {
		if m.IsUsable() {
			n++
		}
	}
	return n
}

// Report implements entry.Reporter. It sends the report to the control process whose view is followed.
func (s *Source) Report(ctx context.Context, report entry.Report) error {
	now := time.Now()
	request := &pb.ReportRequest{
		Time:           peercodec.EncodeTime(s.Clock.Now()),
		IntervalMillis: s.sinceLastReport(now).Milliseconds(),
	}
	for _, record := range report.Suspects {
		request.Suspects = append(request.Suspects, peercodec.EncodeSuspect(news.CrashSuspect{
			Fingerprint: news.Fingerprint(record.Fingerprint),
			Upstreams:   record.CrashedUpstreams,
			Expires:     record.ExpiresAt,
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
	response, err := (*s.reportClient.Load()).Report(ctx, request)
	if err != nil {
		return errs.Wrap(err, stepReport, controlPeer)
	}
	s.Clock.Observe(peercodec.DecodeTime(response.GetTime()))
	return nil
}

// sinceLastReport returns the interval that a report covers, or zero for the first report. Only one
// goroutine may call it.
func (s *Source) sinceLastReport(now time.Time) time.Duration {
	if s.lastReport.IsZero() {
		s.lastReport = now
		return 0
	}
	elapsed := now.Sub(s.lastReport)
	s.lastReport = now
	return elapsed
}
