package journal

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/state/object"
	"savoryweir/internal/state/order"
)

var start = time.UnixMilli(1_800_000_000_000)

func testLimits() Limits {
	return Limits{
		Lifetime: time.Hour, ClockTolerance: time.Minute, ActiveBytes: 1024, SegmentBytes: 16 * 1024,
		MergeFanout: 8, MaxRecords: 1000, MaxBodyBytes: 8,
	}
}

func newClaim(key string, token byte) Claim {
	return Claim{Key: HashKey("desk", order.Key(key)), Token: Token{token}, Fingerprint: Fingerprint{1}, Deadline: start}
}

func newFinish(key string, token byte, o order.Outcome) Finish {
	return Finish{Key: HashKey("desk", order.Key(key)), Token: Token{token}, Fingerprint: Fingerprint{1}, Result: order.Result{Outcome: o, Status: 200, Body: []byte("ok")}}
}

// commit plans the write of the transaction and applies it as if the store had accepted it.
func commit(s *Shard, tx *Transaction, version object.Version) Write {
	w := tx.PlanWrite(Nonce{byte(version)})
	tx.Commit(w, version)
	return w
}

// step is a claim or a finish with its expected verdict.
type step struct {
	claim  *Claim
	finish *Finish
	want   Verdict
}

func claimStep(c Claim, want Verdict) step   { return step{claim: &c, want: want} }
func finishStep(f Finish, want Verdict) step { return step{finish: &f, want: want} }

func TestVerdictFollowsFromEarlierClaimsAndFinishes(t *testing.T) {
	otherBody := newClaim("k", 2)
	otherBody.Fingerprint = Fingerprint{9}
	supersedes := newClaim("k", 2)
	supersedes.Supersedes = Token{1}
	wrongSupersedes := newClaim("k", 2)
	wrongSupersedes.Supersedes = Token{7}
	granted := claimStep(newClaim("k", 1), VerdictGranted)
	for name, steps := range map[string][]step{
		"repeated claim is granted":                             {granted, claimStep(newClaim("k", 1), VerdictGranted)},
		"other claim while held is refused":                     {granted, claimStep(newClaim("k", 2), VerdictHeld)},
		"claim with other body is a mismatch":                   {granted, claimStep(otherBody, VerdictMismatch)},
		"claim after run gets its result":                       {granted, finishStep(newFinish("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(newClaim("k", 2), VerdictFinished)},
		"claim after not run is granted":                        {granted, finishStep(newFinish("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(newClaim("k", 2), VerdictGranted)},
		"claim with other body after not run is a mismatch":     {granted, finishStep(newFinish("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(otherBody, VerdictMismatch)},
		"claim after its release is not granted":                {granted, finishStep(newFinish("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(newClaim("k", 1), VerdictReleased)},
		"claim that arrives after its release is not granted":   {finishStep(newFinish("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(newClaim("k", 1), VerdictReleased), claimStep(newClaim("k", 2), VerdictGranted)},
		"claim after unknown outcome is not granted":            {granted, finishStep(newFinish("k", 1, order.OutcomeUnknown), VerdictRecorded), claimStep(newClaim("k", 2), VerdictFinished)},
		"superseding claim is granted and ends the earlier one": {granted, claimStep(supersedes, VerdictGranted), finishStep(newFinish("k", 1, order.OutcomeRan), VerdictNotHolder)},
		"claim that supersedes another token is refused":        {granted, claimStep(wrongSupersedes, VerdictHeld)},
		"superseding claim after run gets its result":           {granted, finishStep(newFinish("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(supersedes, VerdictFinished)},
		"result after unknown outcome is recorded":              {granted, finishStep(newFinish("k", 1, order.OutcomeUnknown), VerdictRecorded), finishStep(newFinish("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(newClaim("k", 2), VerdictFinished)},
		"not run after run is ignored":                          {granted, finishStep(newFinish("k", 1, order.OutcomeRan), VerdictRecorded), finishStep(newFinish("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(newClaim("k", 2), VerdictFinished)},
		"result without a claim is refused":                     {finishStep(newFinish("k", 1, order.OutcomeRan), VerdictNotHolder), claimStep(newClaim("k", 2), VerdictGranted)},
		"third claim after superseding claim is refused":        {granted, claimStep(supersedes, VerdictGranted), claimStep(newClaim("k", 3), VerdictHeld)},
		"further claims of one key are refused":                 {granted, claimStep(newClaim("k", 2), VerdictHeld), claimStep(newClaim("k", 3), VerdictHeld)},
		"claims of two keys are granted":                        {granted, claimStep(newClaim("l", 2), VerdictGranted)},
		"claim directly after finish gets its result":           {granted, finishStep(newFinish("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(newClaim("k", 2), VerdictFinished)},
	} {
		for _, inOneTransaction := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s in one transaction=%t", name, inOneTransaction), func(t *testing.T) { runSteps(t, steps, inOneTransaction) })
		}
	}
}

func runSteps(t *testing.T, steps []step, inOneTransaction bool) {
	t.Helper()
	s := NewShard(1, testLimits())
	tx := s.Begin(start)
	for i, st := range steps {
		var got Decision
		if st.claim != nil {
			got = tx.Claim(*st.claim)
		} else {
			got = tx.Finish(*st.finish)
		}
		assert.Equal(t, got.Verdict, st.want, "step %d", i)
		if !inOneTransaction {
			commit(s, tx, object.Version(i+1))
			tx = s.Begin(start)
		}
	}
}

func TestKeyIsKeptForLifetimeAndClockTolerance(t *testing.T) {
	s := NewShard(1, testLimits())
	tx := s.Begin(start)
	tx.Claim(newClaim("k", 1))
	tx.Finish(newFinish("k", 1, order.OutcomeRan))
	commit(s, tx, 1)
	for _, tc := range []struct {
		after time.Duration
		want  Verdict
	}{
		{0, VerdictFinished},
		{time.Hour, VerdictFinished},
		{time.Hour + time.Minute, VerdictFinished},
		{time.Hour + time.Minute + time.Millisecond, VerdictGranted},
	} {
		got := s.Begin(start.Add(tc.after)).Claim(newClaim("k", 2))
		assert.Equal(t, got.Verdict, tc.want, "after %v", tc.after)
	}
}

func TestFullShardRefusesOnlyNewKeysUntilRecordsExpire(t *testing.T) {
	limits := testLimits()
	limits.MaxRecords = 2
	s := NewShard(1, limits)
	tx := s.Begin(start)
	assert.Equal(t, tx.Claim(newClaim("a", 1)).Verdict, VerdictGranted)
	assert.Equal(t, tx.Claim(newClaim("b", 1)).Verdict, VerdictGranted)
	assert.Equal(t, tx.Claim(newClaim("c", 1)).Verdict, VerdictShardFull)
	assert.Equal(t, tx.Finish(newFinish("a", 1, order.OutcomeRan)).Verdict, VerdictRecorded)
	commit(s, tx, 1)
	assert.Equal(t, s.Begin(start).Claim(newClaim("c", 1)).Verdict, VerdictShardFull)
	later := s.Begin(start.Add(2 * time.Hour))
	later.Claim(newClaim("a", 2))
	commit(s, later, 2)
	assert.Equal(t, s.Begin(start.Add(2*time.Hour)).Claim(newClaim("c", 1)).Verdict, VerdictGranted)
}

// TestShardRebuiltFromSegmentsKeepsEveryRecord guards against records that are lost when
// the head is sealed and segments are merged. It commits many orders and rebuilds the
// shard from the segments that the store would hold.
func TestShardRebuiltFromSegmentsKeepsEveryRecord(t *testing.T) {
	s := NewShard(1, testLimits())
	segments := make(map[object.Name][]Record)
	now := start
	for i := range 900 {
		key := fmt.Sprint(i)
		tx := s.Begin(now)
		assert.Equal(t, tx.Claim(newClaim(key, 1)).Verdict, VerdictGranted)
		assert.Equal(t, tx.Finish(newFinish(key, 1, order.OutcomeRan)).Verdict, VerdictRecorded)
		w := commit(s, tx, object.Version(i+1))
		if w.Segment != nil {
			segments[w.Segment.Name] = w.Segment.Records
		}
		for _, ref := range w.Obsolete {
			assert.Assert(t, IsOrphan(ref.Name, s.Head(), s.Version()))
			delete(segments, ref.Name)
		}
	}
	assert.Assert(t, len(s.Head().Segments) <= 24, "%d segments", len(s.Head().Segments))
	assert.Equal(t, len(segments), len(s.Head().Segments))
	rebuilt := NewShard(1, testLimits())
	assert.NilError(t, rebuilt.ApplyHead(s.Version(), s.Head(), segments))
	for i := range 900 {
		got := rebuilt.Begin(now).Claim(newClaim(fmt.Sprint(i), 2))
		assert.Equal(t, got.Verdict, VerdictFinished, "key %d", i)
	}
	late := rebuilt.Begin(now.Add(2 * time.Hour))
	late.Claim(newClaim("new", 1))
	w := commit(rebuilt, late, s.Version()+1)
	assert.Equal(t, len(w.Head.Segments), 0)
	assert.Equal(t, len(w.Obsolete), len(segments))
}

// TestBoundHeadStaysSmallAndSealingRare guards against heads that grow large although each
// commit rewrites them, and against sealing too often. It commits orders one at a time and
// several at a time. With one order per commit the head holds few records, and at most
// one commit in MergeFanout seals a segment.
func TestBoundHeadStaysSmallAndSealingRare(t *testing.T) {
	for _, perCommit := range []int{1, 2, 4, 16} {
		limits := testLimits()
		limits.ActiveBytes, limits.SegmentBytes, limits.MaxRecords = 8*1024, 512*1024, 100_000
		s := NewShard(1, limits)
		const commits = 400
		seals, sealedBytes, rewrittenBytes, changedBytes := 0, 0, 0, 0
		for i := range commits {
			tx := s.Begin(start)
			changedBytes = 0
			for j := range perCommit {
				key := fmt.Sprint(i, " ", j)
				tx.Claim(newClaim(key, 1))
				tx.Finish(newFinish(key, 1, order.OutcomeRan))
			}
			for _, r := range tx.changed {
				changedBytes += r.estimatedSize()
			}
			w := commit(s, tx, object.Version(i+1))
			rewrittenBytes += totalEstimatedSize(w.Head.Active)
			if w.Segment != nil {
				seals++
				sealedBytes += totalEstimatedSize(w.Segment.Records)
			}
		}
		bound := min(max(limits.MergeFanout*changedBytes, limits.ActiveBytes/limits.MergeFanout), limits.ActiveBytes)
		assert.Assert(t, rewrittenBytes/commits <= bound, "%d orders per commit: the head holds %d bytes of records on average", perCommit, rewrittenBytes/commits)
		assert.Assert(t, seals <= max(commits/limits.MergeFanout, commits*changedBytes/limits.ActiveBytes+1), "%d orders per commit: %d segments sealed", perCommit, seals)
		segments := len(s.Head().Segments)
		assert.Assert(t, segments <= 3*limits.MergeFanout, "%d orders per commit: %d segments in the head", perCommit, segments)
		tiers := 4 // merges at 1, 8 and 64 KiB, and the first sealing
		assert.Assert(t, sealedBytes <= tiers*commits*changedBytes, "%d orders per commit: %d bytes sealed for %d bytes of changes", perCommit, sealedBytes, commits*changedBytes)
	}
}

func TestApplyHeadIgnoresOlderVersion(t *testing.T) {
	s := NewShard(1, testLimits())
	tx := s.Begin(start)
	tx.Claim(newClaim("k", 1))
	old := commit(s, tx, 5)
	tx = s.Begin(start)
	tx.Finish(newFinish("k", 1, order.OutcomeRan))
	commit(s, tx, 6)
	assert.NilError(t, s.ApplyHead(5, old.Head, nil))
	assert.Equal(t, s.Version(), object.Version(6))
	assert.Equal(t, s.Begin(start).Claim(newClaim("k", 2)).Verdict, VerdictFinished)
}

func TestApplyHeadFailsWithoutEverySegment(t *testing.T) {
	s := NewShard(1, testLimits())
	err := s.ApplyHead(5, Head{Segments: []SegmentRef{{Name: "0001/x"}}}, nil)
	assert.ErrorIs(t, err, ErrMissingSegment)
}

func TestSegmentIsOrphanOnlyIfBaseIsOlderThanHeadThatOmitsIt(t *testing.T) {
	name := segmentName(1, 7, Nonce{1})
	assert.Assert(t, IsOrphan(name, Head{}, 8))
	assert.Assert(t, !IsOrphan(name, Head{}, 7))
	assert.Assert(t, !IsOrphan(name, Head{Segments: []SegmentRef{{Name: name}}}, 8))
	assert.Assert(t, !IsOrphan("foreign", Head{}, 8))
}
