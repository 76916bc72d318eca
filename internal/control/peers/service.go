// Package peers joins the control processes of all instances: it drives failure
// detection and the spread of news over gRPC.
//
// One goroutine owns the detector and the board. The gRPC handlers and the
// senders reach it by a bounded ring of commands; the messages it decides on
// leave by a bounded ring of actions that a few senders work off.
package peers

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"savoryweir/internal/coordination/gossip"
	"savoryweir/internal/coordination/membership"
	"savoryweir/internal/protocol/bundlefile"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/demand"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/member"
	"savoryweir/internal/state/news"
	"savoryweir/internal/state/replica"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/peerconn"

	pb "savoryweir/api/savoryweir/v1"
)

// Sizes of the rings and the number of senders.
const (
	commandRingLength = 1024
	actionRingLength  = 256
	senders           = 8
	tickInterval      = 100 * time.Millisecond
	refreshInterval   = 10 * time.Second
)

// HeadListener learns of bundle heads that peers have in force.
type HeadListener interface {
	// OfferHead tells that source has head in force. It must not block.
	OfferHead(head bundle.Head, source member.Member)
	// OnPeersAnswered tells that a peer has answered after the start.
	OnPeersAnswered()
}

// SectionStore holds the sections of bundles by their hashes.
type SectionStore interface {
	// Section returns the section with the given hash, if it is here.
	Section(hash bundle.Hash) (bundlefile.Section, bool)
}

// CellStore holds the replicas of placement cells.
type CellStore interface {
	// Since returns what the named cells, with others all cells, hold that is newer than the given versions.
	Since(known []news.CellHead, others bool) []replica.Delta
	// OfferCell tells that source has a version of a cell. It must not block.
	OfferCell(head news.CellHead, source member.Member)
	// OfferAll tells that source has other cells or versions than this instance. It must not block.
	OfferAll(source member.Member)
}

// DemandSink takes what the entries of other instances saw.
type DemandSink interface {
	// OnDemand takes in one report. It must not block.
	OnDemand(report demand.Report)
}

// Options are the parts that a Service uses.
type Options struct {
	Membership membership.Settings
	Gossip     gossip.Settings
	Seeds      []string // addresses of control processes, for an instance that starts alone
	Self       member.Member
	Pool       *peerconn.Pool
	Clock      *hlc.Clock
	Recorder   *timeline.Recorder
	Log        zerolog.Logger
	Random     *rand.Rand
	Heads      HeadListener
	Sections   SectionStore
	Cells      CellStore
	Demand     DemandSink
}

// Service is the membership and spread of one instance. It implements pb.PeerServer.
type Service struct {
	pb.UnimplementedPeerServer
	Options

	commands *queue.Queue[command]
	actions  *queue.Queue[membership.Action]
	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{} // holds one token when the snapshot changed

	// Owned by the goroutine of runDetector.
	detector  *membership.Detector
	board     *gossip.State
	published time.Time
	teller    *gossip.CellNotifier

	cellsCompared, membersCompared gossip.AntiEntropy

	syncs *queue.Queue[member.Member]       // peers to ask for all that they know
	tells *queue.Queue[gossip.Notification] // messages about cells to neighbours
}

// Snapshot is what the instance knows at one time.
type Snapshot struct {
	Members []member.Record
	News    news.Batch
}

// Usable returns the members that may be asked.
func (s *Snapshot) Usable() []member.Member {
	var usable []member.Member
	for _, r := range s.Members {
		if r.IsUsable() {
			usable = append(usable, r.Member)
		}
	}
	return usable
}

// command is one thing for the detector's goroutine to do.
type command func(now time.Time)

// New returns a service that does nothing before Run.
func New(o Options) *Service {
	s := &Service{
		Options:  o,
		commands: queue.New[command](commandRingLength),
		actions:  queue.New[membership.Action](actionRingLength),
		changed:  make(chan struct{}, 1),
		syncs:    queue.New[member.Member](1),
		tells:    queue.New[gossip.Notification](actionRingLength),
		detector: membership.New(o.Membership, o.Self, o.Random),
		board:    gossip.NewState(o.Gossip),
		teller:   gossip.NewCellNotifier(o.Gossip),
	}
	s.snapshot.Store(&Snapshot{Members: []member.Record{{Member: o.Self}}})
	return s
}

// Snapshot returns the present knowledge. The caller must not change it.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// MembersAndNews returns the usable members and all news.
func (s *Service) MembersAndNews() ([]member.Member, news.Batch) {
	known := s.Snapshot()
	return known.Usable(), known.News
}

// Changed receives a token after the snapshot has changed.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Run works until ctx ends, then tells the neighbours that this instance leaves.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runDetector(ctx) })
	for range senders {
		group.Go(func() error { return s.runSender(ctx) })
		group.Go(func() error { return s.runTeller(ctx) })
	}
	group.Go(func() error { return s.join(ctx) })
	group.Go(func() error { return s.runSync(ctx) })
	return group.Wait()
}

// runDetector owns the detector and the board.
func (s *Service) runDetector(ctx context.Context) error {
	s.detector.Start(time.Now())
	s.publish(time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.enqueue(s.detector.Tick(time.Now()))
			s.refresh(time.Now())
		case run := <-s.commands.C():
			run(time.Now())
		}
		s.settle(time.Now())
	}
}

// settle passes on what has become known since the last call.
func (s *Service) settle(now time.Time) {
	changes := s.detector.TakeChanges()
	for _, c := range changes {
		s.note(c)
	}
	if s.detector.TakeUrgent() {
		s.push("")
	}
	for _, t := range s.teller.Next(now, s.detector.Neighbours()) {
		s.tells.Offer(t)
	}
	if len(changes) > 0 {
		s.publish(now)
	}
}

// refresh replaces the snapshot from time to time, since news expires.
func (s *Service) refresh(now time.Time) {
	if now.Sub(s.published) >= refreshInterval {
		s.publish(now)
	}
}

// publish replaces the snapshot.
func (s *Service) publish(now time.Time) {
	s.published = now
	s.snapshot.Store(&Snapshot{Members: s.detector.Table().All(), News: s.board.Snapshot(now)})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// note records a change of a member's state.
func (s *Service) note(c membership.StateChange) {
	kind := timeline.KindMemberJoined
	switch c.Member.State {
	case member.Suspect:
		kind = timeline.KindMemberSuspected
	case member.Dead, member.Left:
		kind = timeline.KindMemberLeft
		s.Pool.Drop(c.Member.Address)
	}
	s.Recorder.Record(timeline.Event{Kind: kind, Note: string(c.Member.ID) + " is " + c.Member.State.String()})
	s.Log.Info().Str("member", string(c.Member.ID)).Str("state", c.Member.State.String()).Msg("Member changed.")
}

// enqueue hands messages to the senders. A full ring drops them: the detector
// treats them like lost messages.
func (s *Service) enqueue(actions []membership.Action) {
	for _, a := range actions {
		s.actions.Offer(a)
	}
}

// push sends the pending news to all neighbours at once, except one.
func (s *Service) push(except member.ID) {
	for _, m := range s.detector.Neighbours() {
		if m.ID != except {
			s.enqueue([]membership.Action{{Kind: membership.ActionProbe, Target: m, Timeout: s.Membership.ProbeTimeout}})
		}
	}
}

// do runs f in the detector's goroutine and waits for its end.
func (s *Service) do(ctx context.Context, f command) error {
	done := make(chan struct{})
	err := s.commands.Put(ctx, func(now time.Time) {
		defer close(done)
		f(now)
	})
	if err != nil {
		return err
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Leave tells the neighbours that this instance stops, and waits for their answers.
func (s *Service) Leave(ctx context.Context) error {
	var targets []member.Member
	err := s.do(ctx, func(now time.Time) {
		s.detector.Leave(now)
		targets = s.detector.Neighbours()
	})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range targets {
		group.Go(func() error {
			s.probe(ctx, membership.Action{Target: m, Timeout: s.Membership.ProbeTimeout})
			return nil
		})
	}
	return group.Wait()
}
