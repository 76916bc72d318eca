package node

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/freshness"
	"savoryweir/internal/node/storewatch"
	"savoryweir/internal/state/object"
)

// proofCallsPerTick is the number of calls to the store in one checkInterval of the informers, over all instances
// together, while nobody that they can ask has a recent proof: ten per second.
const proofCallsPerTick = 1

// minProofWatch is the duration of a watch that is to be answered at once. Unlike one without a wait, it ends soon if the store
// is silent, and too soon if it is slow.
const minProofWatch = time.Millisecond

// configFreshness keeps the proof that the configuration in force is recent enough for API keys to be accepted. It takes part in
// what the instances exchange only where a configuration names customers and their keys must end in time.
type configFreshness struct {
	node *Node

	mu       sync.Mutex // guards the fields below
	tracker  *freshness.Tracker
	isRecent bool // as last logged
	waits    bool // the next call for a proof waits for a slow store
}

func newConfigFreshness(n *Node) *configFreshness {
	return &configFreshness{node: n, tracker: freshness.NewTracker(), isRecent: true}
}

// bound returns the time after which a removed key must not work, and whether there is such a bound and any key.
func (f *configFreshness) bound() (freshness.Bound, bool) {
	bound, config := freshness.Bound(f.node.bounds.Load().Revoke), f.node.gateway.Config()
	return bound, bound > 0 && config != nil && len(config.Customers) > 0
}

// ProofAge implements gateway.Freshness.
func (f *configFreshness) ProofAge() (age time.Duration, isRecent bool) {
	bound, inForce := f.bound()
	if !inForce {
		return 0, true
	}
	now := f.node.bootTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	age = f.tracker.Age(now)
	isRecent = bound.IsRecent(age)
	f.logChange(age, isRecent)
	return age, isRecent
}

// logChange logs that keys are no longer accepted, or accepted again. The caller holds f.mu.
func (f *configFreshness) logChange(age time.Duration, isRecent bool) {
	if isRecent == f.isRecent {
		return
	}
	f.isRecent = isRecent
	isComplete := f.node.store.IncompleteFor() == 0
	entry := f.node.log.Warn().Str("event", "config.freshness").Bool("recent", isRecent).Bool("store_complete", isComplete)
	if age != freshness.Unproven {
		entry = entry.Dur("proof_age", age)
	}
	entry.Msg("whether API keys are accepted has changed, as the configuration is known to be recent or no longer is")
}

// recordApplied records that a configuration of the store, or a newer one, is in force now.
func (f *configFreshness) recordApplied(version object.Version, config uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.RecordApplied(version, config)
}

// recordUnread records the version of a configuration that can't be decoded.
func (f *configFreshness) recordUnread(version object.Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tracker.RecordUnread(version)
}

// attach makes the informer of configurations prove them, and call the store at the times at which that is needed.
func (f *configFreshness) attach(s *storewatch.Settings) {
	s.BeginProof, s.NeedsProof = f.beginProof, f.needsCall
	watchTimeout := s.WatchTimeout
	s.WatchTimeout = func() time.Duration { return f.watchTimeout(watchTimeout()) }
}

// beginProof records what a response of the store to a call that is made now proves.
func (f *configFreshness) beginProof() func() {
	calledAt := f.node.bootTime()
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.tracker.RecordResponse(calledAt, f.node.store.CompleteFrom())
	}
}

// age returns the age of the proof, and whether it matters.
func (f *configFreshness) age() (freshness.Bound, time.Duration, bool) {
	bound, inForce := f.bound()
	if !inForce {
		return bound, 0, false
	}
	now := f.node.bootTime()
	f.mu.Lock()
	defer f.mu.Unlock()
	return bound, f.tracker.Age(now), true
}

// watchTimeout returns the duration of the next watch. A watch proves that the configuration was the newest when the watch began. The
// first of the watching instances therefore watches for short times, which is proof enough for all, and whoever has an old
// proof asks for an answer at once.
func (f *configFreshness) watchTimeout(usual time.Duration) time.Duration {
	bound, age, matters := f.age()
	rank, _ := f.node.reporter.watcherRank(time.Now())
	switch {
	case !matters:
		return usual
	case bound.IsOld(age):
		return f.urgentWatch()
	case rank == 0:
		return min(usual, bound.WatchTime())
	default:
		return usual
	}
}

// urgentWatch returns the duration of a watch that is to be answered at once. A silent store and a slow one look the same, so that
// every other watch waits for longer.
func (f *configFreshness) urgentWatch() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waits = !f.waits
	if f.waits {
		return minProofWatch
	}
	return 0
}

// needsCall reports whether this instance, which doesn't watch the store, calls it now for a proof. All instances with an old proof
// share a rate of calls, and those that have got one tell the others.
func (f *configFreshness) needsCall() bool {
	bound, age, matters := f.age()
	return matters && bound.NeedsCall(age) && rand.Float64() < proofCallsPerTick/float64(f.node.instanceCount())
}

// ask asks other instances for their proof if that is due.
func (f *configFreshness) ask() {
	bound, inForce := f.bound()
	if !inForce {
		return
	}
	now := f.node.bootTime()
	rank, _ := f.node.reporter.watcherRank(time.Now())
	f.mu.Lock()
	if age := f.tracker.Age(now); age != freshness.Unproven {
		f.node.metrics.ConfigProofAge.Set(age.Seconds())
	}
	due := f.tracker.QuestionsDue(now, bound, rank > 0 && rank < watcherCount)
	f.mu.Unlock()
	if due == 0 {
		return
	}
	for _, instance := range f.targets(due, rank) {
		question := rand.Uint64()
		f.mu.Lock()
		f.tracker.RecordQuestion(now, question)
		f.mu.Unlock()
		f.node.mesh.Send(instance, &pb.FleetMessage{ConfigProof: &pb.ConfigProof{Question: question}})
	}
}

// targets returns the instances to ask: one that watches the store, if any, and others at random. Watching instances ask the
// first of them, which has the newest proof.
func (f *configFreshness) targets(count, rank int) []string {
	var targets []string
	if watchers := f.node.reporter.recentWatchers(time.Now()); len(watchers) > 0 {
		slices.Sort(watchers)
		first := 0
		if rank >= watcherCount {
			first = rand.IntN(len(watchers))
		}
		targets = append(targets, watchers[first])
	}
	if len(targets) == count {
		return targets
	}
	others := f.node.mesh.PeerIDs()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, instance := range others {
		if len(targets) < count && !slices.Contains(targets, instance) {
			targets = append(targets, instance)
		}
	}
	return targets
}

// receive answers the question of another instance, or takes over the proof in an answer.
func (f *configFreshness) receive(m *pb.FleetMessage) {
	proof := m.ConfigProof
	bound, inForce := f.bound()
	if proof == nil || !inForce {
		return
	}
	now := f.node.bootTime()
	f.mu.Lock()
	if proof.IsAnswer {
		word := freshness.Word{Version: object.Version(proof.Version), Config: proof.Config, Age: decodeMicros(proof.AgeMicros)}
		f.tracker.RecordAnswer(proof.Question, word, f.node.store.CompleteFrom())
		f.mu.Unlock()
		return
	}
	word, hasWord := f.tracker.Word(now, bound)
	f.mu.Unlock()
	if hasWord {
		f.node.mesh.Send(m.Instance, &pb.FleetMessage{ConfigProof: &pb.ConfigProof{
			Question: proof.Question, IsAnswer: true, AgeMicros: uint64(word.Age.Microseconds()) + 1, Version: uint64(word.Version), Config: word.Config,
		}})
	}
}

// maxProofAge limits the ages that are told.
const maxProofAge = 24 * time.Hour

func decodeMicros(micros uint64) time.Duration {
	return time.Duration(min(micros, uint64(maxProofAge.Microseconds()))) * time.Microsecond
}
