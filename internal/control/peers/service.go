// Package peers connects the control processes of all instances. It runs failure
// detection and gossip over gRPC.
//
// One goroutine owns the detector and the gossip state. The gRPC handlers and the senders
// run code in it through a bounded queue of commands. The messages that it decides to send
// go through a bounded queue of actions to a few sender goroutines.
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

// Queue lengths, number of senders and intervals.
const (
	commandQueueLength = 1024
	actionQueueLength  = 256
	senderCount        = 8
	tickInterval       = 100 * time.Millisecond
	refreshInterval    = 10 * time.Second
)

// HeadListener receives the heads of the bundles that peers have in force.
type HeadListener interface {
	// OfferHead is called when the source has the head in force. It must not block.
	OfferHead(head bundle.Head, source member.Member)
	// OnPeersAnswered is called when a peer has answered after the start.
	OnPeersAnswered()
}

// SectionStore holds the sections of bundles by their hashes.
type SectionStore interface {
	// Section returns the section with the given hash and reports whether the store
	// holds it.
	Section(hash bundle.Hash) (bundlefile.Section, bool)
}

// CellStore holds the replicas of placement cells.
type CellStore interface {
	// Since returns the changes of the known cells since their given versions. With others
	// set, it also returns the cells that are not in known.
	Since(known []news.CellHead, others bool) []replica.Delta
	// OfferCell is called when the source has a version of a cell. It must not block.
	OfferCell(head news.CellHead, source member.Member)
	// OfferAll is called when the source has other cells or versions than this instance.
	// It must not block.
	OfferAll(source member.Member)
}

// DemandSink receives the demand reports of other instances.
type DemandSink interface {
	// OnDemand processes one report. It must not block.
	OnDemand(report demand.Report)
}

// Options are the settings and dependencies of a Service.
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

// Service runs membership and gossip for one instance. It implements pb.PeerServer.
type Service struct {
	pb.UnimplementedPeerServer
	Options

	commands *queue.Queue[command]
	actions  *queue.Queue[membership.Action]
	snapshot atomic.Pointer[Snapshot]
	changed  chan struct{} // holds one token after the snapshot has changed

	// Only the goroutine of runDetector uses the fields below, up to membersCompared.
	detector     *membership.Detector
	gossipState  *gossip.State
	published    time.Time
	cellNotifier *gossip.CellNotifier

	cellsCompared, membersCompared gossip.AntiEntropy

	syncQueue         *queue.Queue[member.Member]       // peers whose full state is requested
	cellNotifications *queue.Queue[gossip.Notification] // announcements of cell versions to neighbours
}

// Snapshot holds the members and the news that the instance knew at one time.
type Snapshot struct {
	Members []member.Record
	News    news.Batch
}

// Usable returns the members that other components may call.
func (s *Snapshot) Usable() []member.Member {
	var usable []member.Member
	for _, r := range s.Members {
		if r.IsUsable() {
			usable = append(usable, r.Member)
		}
	}
	return usable
}

// command is a function that runs in the detector's goroutine.
type command func(now time.Time)

// New returns a Service. Run starts it.
func New(o Options) *Service {
	s := &Service{
		Options:           o,
		commands:          queue.New[command](commandQueueLength),
		actions:           queue.New[membership.Action](actionQueueLength),
		changed:           make(chan struct{}, 1),
		syncQueue:         queue.New[member.Member](1),
		cellNotifications: queue.New[gossip.Notification](actionQueueLength),
		detector:          membership.New(o.Membership, o.Self, o.Random),
		gossipState:       gossip.NewState(o.Gossip),
		cellNotifier:      gossip.NewCellNotifier(o.Gossip),
	}
	s.snapshot.Store(&Snapshot{Members: []member.Record{{Member: o.Self}}})
	return s
}

// Snapshot returns the latest snapshot. The caller must not change it.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// MembersAndNews returns the usable members and all news.
func (s *Service) MembersAndNews() ([]member.Member, news.Batch) {
	known := s.Snapshot()
	return known.Usable(), known.News
}

// Changed receives a token after the snapshot has changed.
func (s *Service) Changed() <-chan struct{} { return s.changed }

// Run runs the detector, the senders and the join until ctx ends. It does not notify the
// neighbours of the end; see Leave.
func (s *Service) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.runDetector(ctx) })
	for range senderCount {
		group.Go(func() error { return s.runSender(ctx) })
		group.Go(func() error { return s.runCellNotifier(ctx) })
	}
	group.Go(func() error { return s.join(ctx) })
	group.Go(func() error { return s.runSync(ctx) })
	return group.Wait()
}

// runDetector runs the detector's goroutine: ticks and commands, until ctx ends.
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
		s.processChanges(time.Now())
	}
}

// processChanges records the changes of members since the last call, sends urgent updates
// and cell announcements, and replaces the snapshot.
func (s *Service) processChanges(now time.Time) {
	changes := s.detector.TakeChanges()
	for _, c := range changes {
		s.recordChange(c)
	}
	if s.detector.TakeUrgent() {
		s.push("")
	}
	for _, t := range s.cellNotifier.Next(now, s.detector.Neighbours()) {
		s.cellNotifications.Offer(t)
	}
	if len(changes) > 0 {
		s.publish(now)
	}
}

// refresh replaces the snapshot every refreshInterval, because news expires.
func (s *Service) refresh(now time.Time) {
	if now.Sub(s.published) >= refreshInterval {
		s.publish(now)
	}
}

// publish replaces the snapshot and signals the change.
func (s *Service) publish(now time.Time) {
	s.published = now
	s.snapshot.Store(&Snapshot{Members: s.detector.Table().All(), News: s.gossipState.Snapshot(now)})
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// recordChange records and logs a change of a member's state, and closes the connection
// to a member that is dead or has left.
func (s *Service) recordChange(c membership.StateChange) {
	kind := timeline.KindMemberJoined
	switch c.Member.State {
	case member.Suspect:
		kind = timeline.KindMemberSuspected
	case member.Dead, member.Left:
		kind = timeline.KindMemberLeft
		s.Pool.Drop(c.Member.Address)
	}
	s.Recorder.Record(timeline.Event{Kind: kind, Note: string(c.Member.ID) + " is " + c.Member.State.String()})
	s.Log.Info().Str("member", string(c.Member.ID)).Str("state", c.Member.State.String()).Msg("Member state changed.")
}

// enqueue passes actions to the senders. It drops them if the queue is full; the detector
// then treats them like lost messages.
func (s *Service) enqueue(actions []membership.Action) {
	for _, a := range actions {
		s.actions.Offer(a)
	}
}

// push probes all neighbours except one immediately, which sends them the pending news.
func (s *Service) push(except member.ID) {
	for _, m := range s.detector.Neighbours() {
		if m.ID != except {
			s.enqueue([]membership.Action{{Kind: membership.ActionProbe, Target: m, Timeout: s.Membership.ProbeTimeout}})
		}
	}
}

// runInDetector runs f in the detector's goroutine and waits until it has returned.
func (s *Service) runInDetector(ctx context.Context, f command) error {
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

// Leave notifies the neighbours that this instance stops, and waits for their answers.
func (s *Service) Leave(ctx context.Context) error {
	var targets []member.Member
	err := s.runInDetector(ctx, func(now time.Time) {
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
