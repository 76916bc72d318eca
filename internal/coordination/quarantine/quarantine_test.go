package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"savoryweir/internal/state/fleet"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// newDetector returns a detector that started a minute ago.
func newDetector() *Detector { return New(at(-60), func(time.Duration) time.Duration { return 0 }) }

const (
	firstPart    Trait = 1
	otherPart    Trait = 2
	crashingPart Trait = 3
)

// recordCrash records that an upstream crashed with one request of its own content for each list of parts.
func recordCrash(d *Detector, seconds float64, upstream string, requests ...[]Trait) []Finding {
	var findings []Finding
	for i, parts := range requests {
		r := BrokenRequest{Upstream: fleet.UpstreamID(upstream), Content: Trait(xxhash.Sum64String(fmt.Sprint(seconds, upstream, i)))}
		for _, p := range parts {
			r.Parts = append(r.Parts, Part{Trait: p, CompletedAt: d.PartCompletedAt(p)})
		}
		d.RecordBroken(at(seconds), r)
	}
	return append(findings, d.Judge(at(seconds))...)
}

func TestPartIsQuarantinedAtThirdCrash(t *testing.T) {
	d := newDetector()
	recordCrash(d, 1, "u1", []Trait{firstPart, crashingPart}, []Trait{firstPart, otherPart})
	recordCrash(d, 2, "u2", []Trait{firstPart, crashingPart})
	assert.Equal(t, d.Blocked(at(2), Traits{Parts: []Trait{crashingPart}}), time.Duration(0))
	findings := recordCrash(d, 3, "u3", []Trait{firstPart, crashingPart}, []Trait{firstPart, otherPart})
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Trait, crashingPart)
	assert.Assert(t, findings[0].IsPart)
	assert.Assert(t, d.Blocked(at(3), Traits{Parts: []Trait{firstPart, crashingPart}}) > 0)
	assert.Equal(t, d.Blocked(at(3), Traits{Parts: []Trait{firstPart, otherPart}}), time.Duration(0))
}

// The reports of an instance with sound requests may arrive before those of the request that
// crashed the upstream.
func TestPartIsNotQuarantinedBeforeAllInstancesHaveReported(t *testing.T) {
	d := newDetector()
	recordCrash(d, 1, "u1", []Trait{firstPart, crashingPart})
	recordCrash(d, 2, "u2", []Trait{firstPart, crashingPart})
	assert.Equal(t, len(recordCrash(d, 3, "u3", []Trait{firstPart})), 0)
	findings := recordCrash(d, 3.01, "u3", []Trait{firstPart, crashingPart})
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Trait, crashingPart)
}

func TestFirstPartIsQuarantinedIfItAccountsForMoreCrashes(t *testing.T) {
	d := newDetector()
	recordCrash(d, 1, "u1", []Trait{firstPart, otherPart})
	recordCrash(d, 2, "u2", []Trait{firstPart, otherPart})
	recordCrash(d, 3, "u3", []Trait{firstPart})
	findings := d.Judge(at(3.1))
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Trait, firstPart)
}

func TestRepeatedRequestIsQuarantinedRatherThanItsParts(t *testing.T) {
	d := newDetector()
	for i, u := range []fleet.UpstreamID{"u1", "u2", "u1"} {
		d.RecordBroken(at(float64(i)), BrokenRequest{Upstream: u, Content: 77, Parts: []Part{{Trait: firstPart}}})
	}
	findings := d.Judge(at(2))
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Trait, Trait(77))
	assert.Equal(t, d.Blocked(at(2), Traits{Content: 78, Parts: []Trait{firstPart}}), time.Duration(0))
}

func TestPartWithCompletedRequestsIsNotQuarantinedAfterCrashesInShortTime(t *testing.T) {
	d := newDetector()
	d.RecordCompleted(at(0), Traits{Content: 1, Parts: []Trait{firstPart}})
	for i := range 8 {
		assert.Equal(t, len(recordCrash(d, 10+0.1*float64(i), fmt.Sprint("u", i), []Trait{firstPart})), 0)
	}
	d.RecordCompleted(at(11), Traits{Content: 2, Parts: []Trait{firstPart}})
	assert.Equal(t, len(d.Judge(at(13))), 0)
}

func TestPartThatBeginsToCrashUpstreamsIsQuarantined(t *testing.T) {
	d := newDetector()
	d.RecordCompleted(at(0), Traits{Parts: []Trait{crashingPart}})
	var findings []Finding
	for i := range 6 {
		findings = append(findings, recordCrash(d, 10+0.6*float64(i), fmt.Sprint("u", i), []Trait{crashingPart})...)
	}
	assert.Equal(t, len(findings), 1)
	assert.Equal(t, findings[0].Crashes, 5)
}

func TestCompletionsKnownToReporterCount(t *testing.T) {
	d := newDetector()
	for i := range 4 {
		d.RecordBroken(at(float64(i)), BrokenRequest{Upstream: fleet.UpstreamID(fmt.Sprint("u", i)), Content: Trait(100 + i), Parts: []Part{{Trait: firstPart, CompletedAt: at(-5)}}})
	}
	assert.Equal(t, len(d.Judge(at(3.5))), 0)
}

func TestConnectionsClosedByOneCrashCountOnce(t *testing.T) {
	d := newDetector()
	for i := range 5 {
		assert.Equal(t, len(recordCrash(d, 1+0.05*float64(i), "u1", []Trait{crashingPart})), 0)
	}
	assert.Equal(t, len(d.Judge(at(2))), 0)
	recordCrash(d, 4, "u1", []Trait{crashingPart})
	assert.Equal(t, len(recordCrash(d, 7, "u1", []Trait{crashingPart})), 1, "the upstream has started again each time")
}

func TestOneRequestPassesAfterTerm(t *testing.T) {
	d := newDetector()
	traits := Traits{Content: 9, Parts: []Trait{crashingPart}}
	for i := range 3 {
		recordCrash(d, float64(i), fmt.Sprint("u", i), []Trait{crashingPart})
	}
	assert.Equal(t, d.Admit(at(2), traits), firstTerm)
	assert.Equal(t, d.Admit(at(62.5), traits), time.Duration(0))
	assert.Equal(t, d.Admit(at(63), traits), trialInterval-500*time.Millisecond)
	recordCrash(d, 64, "u9", []Trait{crashingPart})
	assert.Equal(t, d.Admit(at(64), traits), 2*firstTerm, "a crash after the term doubles it")
	assert.Equal(t, d.Admit(at(184.5), traits), time.Duration(0))
	assert.DeepEqual(t, d.RecordCompleted(at(185), traits), []Trait{crashingPart})
	assert.Equal(t, d.Admit(at(185), traits), time.Duration(0))
}

func TestPartIsNotQuarantinedBeforeCompletionsCanBeKnown(t *testing.T) {
	d := newDetector()
	d.startedAt = at(0)
	for i := range 4 {
		assert.Equal(t, len(recordCrash(d, 1+0.1*float64(i), fmt.Sprint("u", i), []Trait{firstPart})), 0)
	}
	d.RecordCompleted(at(2), Traits{Parts: []Trait{firstPart}})
	assert.Equal(t, len(d.Judge(at(12))), 0)
}

func TestStartedDetectorQuarantinesPartAfterMoreCrashes(t *testing.T) {
	d := newDetector()
	d.startedAt = at(0)
	var findings []Finding
	for i := range 5 {
		findings = append(findings, recordCrash(d, 1+0.6*float64(i), fmt.Sprint("u", i), []Trait{crashingPart})...)
	}
	assert.Equal(t, len(findings), 1)
}

func TestOnlyStartedDetectorAdoptsQuarantine(t *testing.T) {
	d := newDetector()
	assert.Assert(t, !d.Adopt(at(0), crashingPart, time.Minute), "it knows which requests have completed")
}

func TestAdoptedQuarantineEndsAsAnOwnOneDoes(t *testing.T) {
	d := newDetector()
	d.startedAt = at(0)
	traits := Traits{Content: 9, Parts: []Trait{crashingPart}}
	assert.Assert(t, d.Adopt(at(0), crashingPart, 20*time.Second))
	assert.Assert(t, !d.Adopt(at(1), crashingPart, time.Hour), "the own term stands")
	assert.Equal(t, d.Admit(at(15), traits), 5*time.Second)
	assert.Equal(t, len(d.Quarantined(at(5))), 0, "only those that have judged tell others")
	assert.DeepEqual(t, d.Quarantined(at(15)), map[Trait]time.Duration{crashingPart: 5 * time.Second})
	assert.Equal(t, d.Admit(at(21), traits), time.Duration(0))
	d.Release(at(22), crashingPart)
	assert.Equal(t, d.Admit(at(22), traits), time.Duration(0))
}

// Crashes at random times among many sound requests, some of whose parts are rare. Instances
// learn of completions only by the reports.
func TestOnlyCrashingPartIsQuarantinedAmongMixedTraffic(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		d := newDetector()
		soundParts := func() []Trait { return []Trait{firstPart, 10 + Trait(random.IntN(40))} }
		for i := range 300 {
			d.RecordCompleted(at(0.1*float64(i)), Traits{Content: Trait(5000 + i), Parts: soundParts()})
		}
		now, crashes := 30.0, 0
		for ; len(d.terms) == 0; crashes++ {
			assert.Assert(t, crashes < 5, "seed %d", seed)
			requests := [][]Trait{{firstPart, crashingPart}}
			for range random.IntN(12) {
				requests = append(requests, soundParts())
			}
			random.Shuffle(len(requests), func(i, j int) { requests[i], requests[j] = requests[j], requests[i] })
			recordCrash(d, now, fmt.Sprint("u", crashes%7), requests...)
			now += 0.02 + random.ExpFloat64()*0.15
			d.Judge(at(now))
		}
		for range 100 {
			assert.Equal(t, d.Blocked(at(now), Traits{Content: 1, Parts: soundParts()}), time.Duration(0), "seed %d", seed)
		}
		assert.Assert(t, d.Blocked(at(now), Traits{Content: 1, Parts: []Trait{crashingPart}}) > 0, "seed %d", seed)
	}
}

// Many upstreams end at once when an availability zone loses power.
func TestPopularRequestsAndPartsAreNotQuarantinedAfterLossOfZone(t *testing.T) {
	d := newDetector()
	popular := Traits{Content: 77, Parts: []Trait{firstPart}}
	d.RecordCompleted(at(0), popular)
	for i := range 40 {
		recordCrash(d, 1, fmt.Sprint("u", i), []Trait{firstPart, Trait(100 + i/2)})
		d.RecordBroken(at(1), BrokenRequest{Upstream: fleet.UpstreamID(fmt.Sprint("u", i)), Content: popular.Content})
	}
	d.RecordCompleted(at(2), popular)
	assert.Equal(t, len(d.Judge(at(2.5))), 0)
	assert.Equal(t, len(d.terms), 0)
}

func TestRecordsAreBounded(t *testing.T) {
	d := newDetector()
	for i := range 9_000 {
		d.RecordCompleted(at(0.001*float64(i)), Traits{Content: Trait(i), Parts: []Trait{Trait(1<<20 + i)}})
		recordCrash(d, 0.001*float64(i), fmt.Sprint("u", i), []Trait{Trait(1<<30 + i)})
	}
	assert.Assert(t, len(d.crashes) <= maxCrashes)
	assert.Assert(t, len(d.parts.recent)+len(d.parts.older) <= maxCompletedTraits)
}
