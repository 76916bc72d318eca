// Package controlview takes the view of the control process of the same
// instance over gRPC and passes on what the entry saw. While that control
// process does not answer, it follows the view of another instance. The last good
// view stays in any case.
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
	stepTakeCell  errs.Step = "take in cell replicas"
)

// Dialer reaches the control processes of other instances.
type Dialer interface {
	// Views returns a client of the control process at the address.
	Views(address string) (pb.LocalClient, error)
	// Drop closes the connection to the address.
	Drop(address string)
}

// Options are the parts that a Source uses.
type Options struct {
	Settings entry.ViewSettings
	Instance settings.Instance
	Own      pb.LocalClient // of this instance's control process
	Peers    Dialer
	Clock    *hlc.Clock
	Log      zerolog.Logger
	Random   *rand.Rand // used by the goroutine of Run alone
}

// Source follows the view of this instance's control process, and that of
// another instance while its own does not answer. It implements
// entry.ViewSource and entry.Reporter.
type Source struct {
	Options
	current  atomic.Pointer[entry.View]
	followed atomic.Pointer[pb.LocalClient] // takes the reports
	other    atomic.Bool                    // the client is that of another instance

	// Owned by the goroutine that follows a stream; there is one at a time.
	sections bundlefile.Sections
	manifest bundle.Hash
	bundle   *bundle.Bundle
	cells    map[news.CellID]replica.Cell
	members  []member.Member

	reported time.Time // owned by the goroutine that calls Report
}

// New returns a source that has no view before Run.
func New(o Options) *Source {
	s := &Source{
		Options:  o,
		sections: make(bundlefile.Sections),
		cells:    make(map[news.CellID]replica.Cell),
	}
	s.followed.Store(&s.Own)
	return s
}

// View implements entry.ViewSource.
func (s *Source) View() *entry.View { return s.current.Load() }

// FollowsOther reports whether the view followed last is that of another instance.
func (s *Source) FollowsOther() bool { return s.other.Load() }

// take makes message the present view. A control process that has restarted
// knows less for a while: a lower generation, and older replicas, are ignored.
func (s *Source) take(message *pb.View) error {
	if err := s.takeBundle(message); err != nil {
		return err
	}
	s.members = peercodec.DecodeMembers(message.GetMembers())
	misfit := s.takeCells(message.GetCells())
	if s.bundle != nil {
		s.current.Store(entry.NewView(s.viewData(message)))
	}
	return misfit
}

// takeCells takes in the cells that are newer. The error names the last cell whose change
// did not fit what is here; the next stream has it whole.
func (s *Source) takeCells(cells []*pb.CellReplicas) error {
	var misfit error
	for _, c := range cells {
		d := peercodec.DecodeDelta(c)
		id := d.Cell.Head.Cell
		next, err := replica.Apply(s.cells[id], d)
		switch {
		case err == nil:
			s.cells[id] = next
		case !errors.Is(err, replica.ErrStale):
			misfit = errs.Wrap(err, stepTakeCell, errs.Peer(id))
		}
	}
	return misfit
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

// Report implements entry.Reporter.
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
	response, err := (*s.followed.Load()).Report(ctx, request)
	if err != nil {
		return errs.Wrap(err, stepReport, controlPeer)
	}
	s.Clock.Observe(peercodec.DecodeTime(response.GetTime()))
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
