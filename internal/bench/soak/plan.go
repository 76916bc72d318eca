package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Fault is one disturbance of a run. Those of one run overlap and come in series.
type Fault struct {
	At     time.Duration // since traffic began
	Lasts  time.Duration // zero for what happens at one moment
	Kind   Kind
	Target int     // instance or upstream, as the kind has it
	Share  float64 // strength where the kind has one, from 0 to 1
}

func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-18s target %d for %.2fs strength %.2f", f.At.Seconds(), f.Kind, f.Target, f.Lasts.Seconds(), f.Share)
}

// Kind names what a fault does.
type Kind string

// The kinds of faults.
const (
	KindTerm           Kind = "term"          // SIGTERM to an instance, which is started again
	KindKill           Kind = "kill"          // SIGKILL to an instance, which is started again
	KindKillAll        Kind = "kill-all"      // SIGKILL to all instances at once
	KindPause          Kind = "pause"         // SIGSTOP, later SIGCONT
	KindReload         Kind = "reload"        // the settings change, with or without SIGHUP
	KindCallersReset   Kind = "callers-reset" // connections between callers and an instance are reset
	KindCallersDelay   Kind = "callers-delay"
	KindStoreCut       Kind = "store-cut"       // an instance's link to the store is held, one way or both
	KindStoreRefused   Kind = "store-refused"   // the store resets an instance's connections
	KindStoreSilent    Kind = "store-silent"    // open connections to the store go silent for good
	KindStoreDown      Kind = "store-down"      // for all
	KindStoreSlow      Kind = "store-slow"      // for all
	KindStoreLost      Kind = "store-lost"      // answers to writes are lost
	KindStoreForgets   Kind = "store-forgets"   // history is dropped
	KindStoreRestored  Kind = "store-restored"  // after a pause it comes back from an older copy
	KindUpstreamCut    Kind = "upstream-cut"    // the link to an upstream is held, one way or both
	KindUpstreamReset  Kind = "upstream-reset"  // its open connections are reset
	KindUpstreamSilent Kind = "upstream-silent" // its open connections go silent for good
	KindUpstreamDelay  Kind = "upstream-delay"
	KindUpstreamCrash  Kind = "upstream-crash"
	KindUpstreamLeaves Kind = "upstream-leaves" // it drains, ends and is replaced
	KindUpstreamGrey   Kind = "upstream-grey"   // it fails a share of its requests
	KindAnswersLost    Kind = "answers-lost"    // it runs requests and loses their answers
	KindOrdersLate     Kind = "orders-late"     // engines carry out orders late, without an answer
	KindEntryLapses    Kind = "entry-lapses"    // its entry is gone for a while though it lives
	KindConfig         Kind = "config"          // a route comes or goes
	KindPoison         Kind = "poison"          // a request that crashes what runs it
	KindCrashingPart   Kind = "crashing-part"   // requests come one part of whose prompts crashes engines
	KindVersionRelease Kind = "version-release" // a share of the engines is replaced by another version
	KindLimits         Kind = "limits"          // a configuration changes the idle timeout and the timeouts of routes
	KindNoRetries      Kind = "no-retries"      // the settings of all instances allow no retries from now on
	KindBrittle        Kind = "brittle"         // all engines have little room and fall over if they must reject more than they say
	KindInstanceCut    Kind = "instance-cut"    // an instance loses its path to all upstreams
	KindNamedLimit     Kind = "named-limit"     // an engine names a limit of requests per second
	KindLeavers        Kind = "leavers"         // callers leave at any stage of their requests
	KindReplace        Kind = "replace"         // an instance is replaced by one of the other build
	KindSlow           Kind = "slow"            // an instance gets a tenth to a quarter of its time
	KindEnginePause    Kind = "engine-pause"    // a sound engine sends and reads nothing for a while and goes on
)

// kinds are all kinds with their weights in a random plan, and how long they last at
// the most.
var kinds = []struct {
	kind   Kind
	weight int
	lasts  time.Duration
}{
	{KindTerm, 4, 0}, {KindKill, 4, 0}, {KindKillAll, 1, 0}, {KindPause, 4, 4 * time.Second}, {KindReload, 2, 0},
	{KindCallersReset, 2, 0}, {KindCallersDelay, 1, 2 * time.Second},
	{KindStoreCut, 3, 5 * time.Second}, {KindStoreRefused, 2, 4 * time.Second}, {KindStoreSilent, 2, 0},
	{KindStoreDown, 2, 5 * time.Second}, {KindStoreSlow, 2, 4 * time.Second}, {KindStoreLost, 3, 0}, {KindStoreForgets, 2, 0},
	{KindUpstreamCut, 2, 3 * time.Second}, {KindUpstreamReset, 2, 0}, {KindUpstreamSilent, 2, 0}, {KindUpstreamDelay, 1, 2 * time.Second},
	{KindUpstreamCrash, 3, 2 * time.Second}, {KindUpstreamLeaves, 3, 3 * time.Second}, {KindUpstreamGrey, 2, 3 * time.Second},
	{KindAnswersLost, 2, 3 * time.Second}, {KindOrdersLate, 2, 6 * time.Second}, {KindEntryLapses, 2, 1500 * time.Millisecond},
	{KindConfig, 6, 0}, {KindPoison, 1, 0},
}

// seriesShare is the share of faults that follow the one before within seriesGap.
const (
	seriesShare = 0.5
	seriesGap   = 300 * time.Millisecond
)

// maxCopyAge is the longest time by which the copy of the store is behind.
const maxCopyAge = 4 * time.Second

// AddRestore adds to a plan, for every second seed, that the store comes back from an older
// copy. It is drawn apart, so that the other faults of a seed stay the same.
func AddRestore(plan []Fault, seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 8))
	if random.IntN(2) == 0 {
		return plan
	}
	f := Fault{At: time.Duration(random.Int64N(int64(length))), Kind: KindStoreRestored, Lasts: time.Duration(random.Int64N(int64(maxCopyAge)))}
	plan = append(slices.Clone(plan), f)
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

const (
	// pausesFrom is the time after the last fault at which its effects are over.
	pausesFrom   = stable + time.Second
	pausesLength = 5 * time.Second
	pauseCount   = 8
	limitsCount  = 7
	// An engine pauses for minPause to maxPause.
	minPause, maxPause = 800 * time.Millisecond, 1800 * time.Millisecond
)

// NewPauses returns the part of a seed's plan that follows its faults, in which no instance is
// disturbed: engines pause while the operator changes the limits. For every second seed
// retries are off meanwhile. Times count from the end of the last fault.
func NewPauses(seed uint64) []Fault {
	random := rand.New(rand.NewPCG(seed, 9))
	var plan []Fault
	if random.IntN(2) == 0 {
		plan = append(plan, Fault{At: pausesFrom, Kind: KindNoRetries})
	}
	for n := range pauseCount + limitsCount {
		f := Fault{At: pausesFrom + time.Duration(random.Int64N(int64(pausesLength))), Kind: KindLimits, Target: random.IntN(1 << 10), Share: random.Float64()}
		if n < pauseCount {
			f.Kind, f.Lasts = KindEnginePause, minPause+time.Duration(random.Int64N(int64(maxPause-minPause)))
		}
		plan = append(plan, f)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}

// NewPlan returns the faults of a seed: count of them within length.
func NewPlan(seed uint64, count int, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, 7))
	var drawn []int
	for i, k := range kinds {
		drawn = append(drawn, slices.Repeat([]int{i}, k.weight)...)
	}
	var plan []Fault
	at := time.Duration(0)
	for len(plan) < count {
		if random.Float64() < seriesShare {
			at += time.Duration(random.Int64N(int64(seriesGap)))
		} else {
			at = time.Duration(random.Int64N(int64(length)))
		}
		k := kinds[drawn[random.IntN(len(drawn))]]
		f := Fault{At: min(at, length), Kind: k.kind, Target: random.IntN(1 << 10), Share: random.Float64()}
		if k.lasts > 0 {
			f.Lasts = k.lasts/8 + time.Duration(random.Int64N(int64(k.lasts)))
		}
		plan = append(plan, f)
	}
	slices.SortStableFunc(plan, func(a, b Fault) int { return int(a.At - b.At) })
	return plan
}
