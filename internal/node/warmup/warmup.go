// Package warmup limits the requests to upstreams that have just started or recovered, together with
// the other instances: it asks the owner of an upstream for room, and keeps the windows of the upstreams
// that this instance owns.
package warmup

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/permits"
	"savoryweir/internal/coordination/warmup"
	"savoryweir/internal/state/fleet"
)

const (
	// replyTimeout is the time within which an owner replies: several round trips between regions.
	replyTimeout = 60 * time.Millisecond
	// missedReplies is the number of successive requests without a reply after which another instance
	// is asked. Datagrams may be lost.
	missedReplies = 2
	// maxDenial is the longest time for which a denial is not asked for again: the window may open
	// meanwhile.
	maxDenial = 100 * time.Millisecond
	// minLogInterval is the shortest time between two log lines on the same window, except for those
	// on its begin and end.
	minLogInterval = 200 * time.Millisecond
)

// Options holds the dependencies of Warmup.
type Options struct {
	Instance string // ID of this instance
	Log      zerolog.Logger
	// Others returns the IDs of the other instances.
	Others func() []string
	// Send sends a message to another instance. Messages may be lost.
	Send func(instance string, m *pb.FleetMessage)
	// FailureRate returns the share of requests, 0 to 1, that an upstream fails, over all instances.
	FailureRate func(fleet.UpstreamID) float64
	// RecordWindow publishes the limit of an upstream that this instance owns, zero once it is warm.
	RecordWindow func(upstream string, limit float64)
}

// Slot is room for one request at an upstream.
type Slot struct {
	of    permits.Incarnation
	id    uint64
	owner string
}

// Upstream returns the upstream at which there is room.
func (s *Slot) Upstream() fleet.UpstreamID { return s.of.Upstream }

// Demand is a request that asks for room.
type Demand struct {
	Repeatable bool
	Usual      float64 // mean number of requests in flight at the other upstreams, zero if not known
}

// Answer is the reply to a demand.
type Answer struct {
	Slot     *Slot         // nil if there is no room
	IsWarm   bool          // the upstream needs no window any more
	IsSilent bool          // the owner did not reply
	Wait     time.Duration // until there may be room
}

// Warmup limits requests to upstreams that have just started or recovered. It is safe for concurrent use.
type Warmup struct {
	Options
	episodes atomic.Int64 // number of upstreams that are not warm, so that requests need no lock while there are none

	mu       sync.Mutex // guards all fields below
	detector *warmup.Detector
	windows  *warmup.Windows
	owners   *permits.Owners
	lastID   uint64
	pending  map[uint64]chan *pb.WarmupReply
	missed   map[string]int // successive requests without a reply, by instance
	denied   map[permits.Incarnation]denial
	loggedAt map[permits.Incarnation]time.Time
}

// denial is what the owner of an upstream has denied, and until when.
type denial struct {
	until      time.Time
	repeatable bool // the request could be repeated; if not, others may still get room
}

// New returns a Warmup that knows no upstream.
func New(o Options) *Warmup {
	return &Warmup{
		Options: o, detector: warmup.NewDetector(), windows: warmup.NewWindows(), owners: permits.NewOwners(o.Instance),
		pending: make(map[uint64]chan *pb.WarmupReply), missed: make(map[string]int), denied: make(map[permits.Incarnation]denial), loggedAt: make(map[permits.Incarnation]time.Time),
	}
}

// Update learns from the upstreams that are listed now which ones have started or are down. canJudge
// says whether the instance reaches upstreams, so that failures say something of them.
func (w *Warmup) Update(now time.Time, listed []*fleet.Upstream, canJudge bool) {
	rate := w.FailureRate
	if !canJudge {
		rate = func(fleet.UpstreamID) float64 { return 0 }
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.detector.Observe(now, listed, rate)
	w.episodes.Store(int64(w.detector.Count()))
	isListed := make(map[permits.Incarnation]bool, len(listed))
	for _, u := range listed {
		isListed[permits.IncarnationOf(u)] = true
	}
	warm, gone := w.windows.Retain(now, func(of permits.Incarnation) bool { return isListed[of] })
	for _, of := range warm {
		w.logEnd(of)
	}
	for _, of := range gone {
		w.RecordWindow(string(of.Upstream), 0)
		delete(w.loggedAt, of)
	}
	for of := range w.denied {
		if !isListed[of] {
			delete(w.denied, of)
			delete(w.loggedAt, of)
		}
	}
}

// IsIdle reports whether all upstreams are warm.
func (w *Warmup) IsIdle() bool { return w.episodes.Load() == 0 }

// IsWarm reports whether an upstream is not limited by a window, as far as this instance knows.
func (w *Warmup) IsWarm(u *fleet.Upstream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, isLimited := w.detector.Episode(permits.IncarnationOf(u))
	return !isLimited
}

// Acquire asks the owner of an upstream for room for one request.
func (w *Warmup) Acquire(ctx context.Context, u *fleet.Upstream, d Demand) Answer {
	of, now := permits.IncarnationOf(u), time.Now()
	others := w.Others()
	w.mu.Lock()
	episode, isLimited := w.detector.Episode(of)
	if !isLimited {
		w.mu.Unlock()
		return Answer{IsWarm: true}
	}
	if denied := w.denied[of]; now.Before(denied.until) && (denied.repeatable || !d.Repeatable) {
		w.mu.Unlock()
		return Answer{Wait: denied.until.Sub(now)}
	}
	w.lastID++
	slot := &Slot{of: of, id: w.lastID, owner: w.owners.Choose(now, of.Upstream, others)}
	if slot.owner == w.Instance {
		defer w.mu.Unlock()
		decision, isWarm := w.reserve(now, of, episode, warmup.Demand{Slot: warmup.SlotID{Instance: w.Instance, ID: slot.id}, Repeatable: d.Repeatable, Usual: d.Usual})
		return w.answer(now, slot, d, decision, isWarm)
	}
	replies := make(chan *pb.WarmupReply, 1)
	w.pending[slot.id] = replies
	w.mu.Unlock()
	w.Send(slot.owner, &pb.FleetMessage{WarmupRequests: []*pb.WarmupRequest{{
		Id: slot.id, Upstream: string(of.Upstream), StartedAt: of.StartedAt, SinceAgoMicros: uint64(max(now.Sub(episode.Since), 0).Microseconds()),
		Failed: episode.HasFailed, Repeatable: d.Repeatable, Usual: d.Usual,
	}}})
	return w.awaitReply(ctx, slot, d, replies)
}

// awaitReply waits for the reply of the owner. One that does not reply grants nothing; room that it grants too late is given back.
func (w *Warmup) awaitReply(ctx context.Context, slot *Slot, d Demand, replies chan *pb.WarmupReply) Answer {
	timeout := time.NewTimer(replyTimeout)
	defer timeout.Stop()
	select {
	case reply := <-replies:
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.missed, slot.owner)
		return w.answer(time.Now(), slot, d, warmup.Decision{Granted: reply.Granted, Wait: time.Duration(reply.WaitMicros) * time.Microsecond}, reply.Warm)
	case <-timeout.C:
		w.recordMissed(slot)
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.pending, slot.id)
		w.mu.Unlock()
	}
	w.Finish(slot, warmup.OutcomeUnknown)
	return Answer{IsSilent: true}
}

// answer applies a decision of the owner. The caller holds w.mu.
func (w *Warmup) answer(now time.Time, slot *Slot, d Demand, decision warmup.Decision, isWarm bool) Answer {
	switch {
	case isWarm:
		w.detector.End(slot.of)
		w.episodes.Store(int64(w.detector.Count()))
		return Answer{IsWarm: true}
	case decision.Granted:
		return Answer{Slot: slot}
	default:
		w.denied[slot.of] = denial{until: now.Add(min(decision.Wait, maxDenial)), repeatable: d.Repeatable}
		return Answer{Wait: decision.Wait}
	}
}

func (w *Warmup) recordMissed(slot *Slot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.pending, slot.id)
	w.missed[slot.owner]++
	if w.missed[slot.owner] < missedReplies {
		return
	}
	delete(w.missed, slot.owner)
	w.owners.Suspect(time.Now(), slot.owner)
	w.Log.Info().Str("event", "warmup.owner_silent").Str("owner", slot.owner).Msg("instance does not reply to requests for room at upstreams that warm up; another one is asked")
}

// reserve grants room as the owner of an upstream. The caller holds w.mu.
func (w *Warmup) reserve(now time.Time, of permits.Incarnation, e warmup.Episode, d warmup.Demand) (warmup.Decision, bool) {
	isNew := w.windows.Get(of) == nil
	decision, isWarm := w.windows.Reserve(now, of, e, d)
	if window := w.windows.Get(of); isNew && window != nil {
		w.logMove(now, of, warmup.Move{After: window.Limit(), Reason: beginReason(e)}, true)
	}
	if isWarm && !isNew {
		w.logEnd(of)
	}
	return decision, isWarm
}

func beginReason(e warmup.Episode) string {
	if e.HasFailed {
		return "was down"
	}
	return "has started"
}

// Finish tells the owner of an upstream what a request shows of its pace, and gives the room back.
func (w *Warmup) Finish(s *Slot, o warmup.Outcome) {
	if s.owner == w.Instance {
		w.finish(time.Now(), s.of, warmup.SlotID{Instance: w.Instance, ID: s.id}, o)
		return
	}
	w.Send(s.owner, &pb.FleetMessage{WarmupResults: []*pb.WarmupResult{{
		Id: s.id, Upstream: string(s.of.Upstream), StartedAt: s.of.StartedAt, Outcome: pb.WarmupResult_Outcome(o),
	}}})
}

// finish records what became of a request, as the owner of its upstream.
func (w *Warmup) finish(now time.Time, of permits.Incarnation, id warmup.SlotID, o warmup.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if move, ok := w.windows.Finish(now, of, id, o); ok {
		w.logMove(now, of, move, false)
	}
}

// Receive processes what another instance asks for, replies and reports.
func (w *Warmup) Receive(m *pb.FleetMessage) {
	now := time.Now()
	for _, r := range m.WarmupRequests {
		w.Send(m.Instance, &pb.FleetMessage{WarmupReplies: []*pb.WarmupReply{w.reply(now, m.Instance, r)}})
	}
	for _, r := range m.WarmupReplies {
		w.mu.Lock()
		replies := w.pending[r.Id]
		delete(w.pending, r.Id)
		w.mu.Unlock()
		if replies != nil {
			replies <- r
		}
	}
	for _, r := range m.WarmupResults {
		of := permits.Incarnation{Upstream: fleet.UpstreamID(r.Upstream), StartedAt: r.StartedAt}
		w.finish(now, of, warmup.SlotID{Instance: m.Instance, ID: r.Id}, decodeOutcome(r.Outcome))
	}
}

// decodeOutcome returns OutcomeUnknown for outcomes that a later build may add.
func decodeOutcome(o pb.WarmupResult_Outcome) warmup.Outcome {
	if o < 0 || o > pb.WarmupResult_OUTCOME_FAILED {
		return warmup.OutcomeUnknown
	}
	return warmup.Outcome(o)
}

func (w *Warmup) reply(now time.Time, from string, r *pb.WarmupRequest) *pb.WarmupReply {
	of := permits.Incarnation{Upstream: fleet.UpstreamID(r.Upstream), StartedAt: r.StartedAt}
	e := warmup.Episode{Since: now.Add(-time.Duration(r.SinceAgoMicros) * time.Microsecond), HasFailed: r.Failed}
	w.mu.Lock()
	defer w.mu.Unlock()
	decision, isWarm := w.reserve(now, of, e, warmup.Demand{Slot: warmup.SlotID{Instance: from, ID: r.Id}, Repeatable: r.Repeatable, Usual: r.Usual})
	return &pb.WarmupReply{Id: r.Id, Granted: decision.Granted, Warm: isWarm, WaitMicros: uint64(decision.Wait.Microseconds())}
}

// logMove logs that a window moves, but not more than one line in minLogInterval unless isMajor is set.
// The caller holds w.mu.
func (w *Warmup) logMove(now time.Time, of permits.Incarnation, m warmup.Move, isMajor bool) {
	w.RecordWindow(string(of.Upstream), m.After)
	if !isMajor && now.Sub(w.loggedAt[of]) < minLogInterval {
		return
	}
	w.loggedAt[of] = now
	w.Log.Info().Str("event", "warmup.window").Str("upstream", string(of.Upstream)).Float64("before", m.Before).Float64("limit", m.After).
		Int("in_flight", w.windows.Get(of).InFlight()).Str("reason", m.Reason).Msg("window of an upstream that has started or recovered moved")
}

// logEnd logs that an upstream is warm. The caller holds w.mu.
func (w *Warmup) logEnd(of permits.Incarnation) {
	w.RecordWindow(string(of.Upstream), 0)
	delete(w.loggedAt, of)
	w.Log.Info().Str("event", "warmup.end").Str("upstream", string(of.Upstream)).Msg("upstream has shown its pace and is no longer limited")
}
