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
		Lifetime: time.Hour, Grace: time.Minute, ActiveBytes: 1024, SegmentBytes: 16 * 1024,
		MergeFanout: 8, MaxRecords: 1000, MaxBodyBytes: 8,
	}
}

func claimOf(key string, token byte) Claim {
	return Claim{Key: HashKey("desk", order.Key(key)), Token: Token{token}, Fingerprint: Fingerprint{1}, Deadline: start}
}

func finishOf(key string, token byte, o order.Outcome) Finish {
	return Finish{Key: HashKey("desk", order.Key(key)), Token: Token{token}, Fingerprint: Fingerprint{1}, Result: order.Result{Outcome: o, Status: 200, Body: []byte("ok")}}
}

// commit takes a draft in as if the store had accepted it.
func commit(s *Shard, d *Draft, version object.Version) Write {
	w := d.Plan(Nonce{byte(version)})
	d.Commit(w, version)
	return w
}

// step is a claim or a finish with the verdict that is expected.
type step struct {
	claim  *Claim
	finish *Finish
	want   Verdict
}

func claimStep(c Claim, want Verdict) step   { return step{claim: &c, want: want} }
func finishStep(f Finish, want Verdict) step { return step{finish: &f, want: want} }

func TestVerdicts(t *testing.T) {
	otherBody := claimOf("k", 2)
	otherBody.Fingerprint = Fingerprint{9}
	supersedes := claimOf("k", 2)
	supersedes.Supersedes = Token{1}
	wrongSupersedes := claimOf("k", 2)
	wrongSupersedes.Supersedes = Token{7}
	granted := claimStep(claimOf("k", 1), VerdictGranted)
	for name, steps := range map[string][]step{
		"repeat of the same claim":       {granted, claimStep(claimOf("k", 1), VerdictGranted)},
		"other claim while held":         {granted, claimStep(claimOf("k", 2), VerdictHeld)},
		"other body":                     {granted, claimStep(otherBody, VerdictMismatch)},
		"resend after run":               {granted, finishStep(finishOf("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(claimOf("k", 2), VerdictFinished)},
		"resend after not run":           {granted, finishStep(finishOf("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(claimOf("k", 2), VerdictGranted)},
		"other body after not run":       {granted, finishStep(finishOf("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(otherBody, VerdictMismatch)},
		"same claim after its release":   {granted, finishStep(finishOf("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(claimOf("k", 1), VerdictGivenUp)},
		"claim after release before it":  {finishStep(finishOf("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(claimOf("k", 1), VerdictGivenUp), claimStep(claimOf("k", 2), VerdictGranted)},
		"unknown end":                    {granted, finishStep(finishOf("k", 1, order.OutcomeUnknown), VerdictRecorded), claimStep(claimOf("k", 2), VerdictFinished)},
		"supersede":                      {granted, claimStep(supersedes, VerdictGranted), finishStep(finishOf("k", 1, order.OutcomeRan), VerdictNotHolder)},
		"supersede of another token":     {granted, claimStep(wrongSupersedes, VerdictHeld)},
		"supersede after the run":        {granted, finishStep(finishOf("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(supersedes, VerdictFinished)},
		"result after unknown":           {granted, finishStep(finishOf("k", 1, order.OutcomeUnknown), VerdictRecorded), finishStep(finishOf("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(claimOf("k", 2), VerdictFinished)},
		"not run after ran is ignored":   {granted, finishStep(finishOf("k", 1, order.OutcomeRan), VerdictRecorded), finishStep(finishOf("k", 1, order.OutcomeNotRun), VerdictRecorded), claimStep(claimOf("k", 2), VerdictFinished)},
		"result without a claim":         {finishStep(finishOf("k", 1, order.OutcomeRan), VerdictNotHolder), claimStep(claimOf("k", 2), VerdictGranted)},
		"result of a superseded holder":  {granted, claimStep(supersedes, VerdictGranted), claimStep(claimOf("k", 3), VerdictHeld)},
		"claims of one batch, same key":  {granted, claimStep(claimOf("k", 2), VerdictHeld), claimStep(claimOf("k", 3), VerdictHeld)},
		"claims of one batch, two keys":  {granted, claimStep(claimOf("l", 2), VerdictGranted)},
		"finish and resend in one batch": {granted, finishStep(finishOf("k", 1, order.OutcomeRan), VerdictRecorded), claimStep(claimOf("k", 2), VerdictFinished)},
	} {
		for _, batched := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s batched=%t", name, batched), func(t *testing.T) { runSteps(t, steps, batched) })
		}
	}
}

func runSteps(t *testing.T, steps []step, batched bool) {
	t.Helper()
	s := NewShard(1, testLimits())
	d := s.Begin(start)
	for i, st := range steps {
		var got Decision
		if st.claim != nil {
			got = d.Claim(*st.claim)
		} else {
			got = d.Finish(*st.finish)
		}
		assert.Equal(t, got.Verdict, st.want, "step %d", i)
		if !batched {
			commit(s, d, object.Version(i+1))
			d = s.Begin(start)
		}
	}
}

func TestKeyLifetime(t *testing.T) {
	s := NewShard(1, testLimits())
	d := s.Begin(start)
	d.Claim(claimOf("k", 1))
	d.Finish(finishOf("k", 1, order.OutcomeRan))
	commit(s, d, 1)
	for _, tc := range []struct {
		after time.Duration
		want  Verdict
	}{
		{0, VerdictFinished},
		{time.Hour, VerdictFinished},
		{time.Hour + time.Minute, VerdictFinished},
		{time.Hour + time.Minute + time.Millisecond, VerdictGranted},
	} {
		got := s.Begin(start.Add(tc.after)).Claim(claimOf("k", 2))
		assert.Equal(t, got.Verdict, tc.want, "after %v", tc.after)
	}
}

func TestFullShardRefusesNewKeysOnly(t *testing.T) {
	limits := testLimits()
	limits.MaxRecords = 2
	s := NewShard(1, limits)
	d := s.Begin(start)
	assert.Equal(t, d.Claim(claimOf("a", 1)).Verdict, VerdictGranted)
	assert.Equal(t, d.Claim(claimOf("b", 1)).Verdict, VerdictGranted)
	assert.Equal(t, d.Claim(claimOf("c", 1)).Verdict, VerdictFull)
	assert.Equal(t, d.Finish(finishOf("a", 1, order.OutcomeRan)).Verdict, VerdictRecorded)
	commit(s, d, 1)
	assert.Equal(t, s.Begin(start).Claim(claimOf("c", 1)).Verdict, VerdictFull)
	later := s.Begin(start.Add(2 * time.Hour))
	later.Claim(claimOf("a", 2))
	commit(s, later, 2)
	assert.Equal(t, s.Begin(start.Add(2*time.Hour)).Claim(claimOf("c", 1)).Verdict, VerdictGranted)
}

// TestRotation commits many orders and rebuilds the shard from what the store would hold.
func TestRotation(t *testing.T) {
	s := NewShard(1, testLimits())
	segments := make(map[object.Name][]Record)
	now := start
	for i := range 900 {
		key := fmt.Sprint(i)
		d := s.Begin(now)
		assert.Equal(t, d.Claim(claimOf(key, 1)).Verdict, VerdictGranted)
		assert.Equal(t, d.Finish(finishOf(key, 1, order.OutcomeRan)).Verdict, VerdictRecorded)
		w := commit(s, d, object.Version(i+1))
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
	fresh := NewShard(1, testLimits())
	assert.NilError(t, fresh.Advance(s.Version(), s.Head(), segments))
	for i := range 900 {
		got := fresh.Begin(now).Claim(claimOf(fmt.Sprint(i), 2))
		assert.Equal(t, got.Verdict, VerdictFinished, "key %d", i)
	}
	late := fresh.Begin(now.Add(2 * time.Hour))
	late.Claim(claimOf("new", 1))
	w := commit(fresh, late, s.Version()+1)
	assert.Equal(t, len(w.Head.Segments), 0)
	assert.Equal(t, len(w.Obsolete), len(segments))
}

// TestBoundHeadOfFewOrders commits orders one by one and many at a time. A head
// that is rewritten for one order holds few records, and sealing costs at most
// one segment in MergeFanout commits.
func TestBoundHeadOfFewOrders(t *testing.T) {
	for _, perCommit := range []int{1, 2, 4, 16} {
		limits := testLimits()
		limits.ActiveBytes, limits.SegmentBytes, limits.MaxRecords = 8*1024, 512*1024, 100_000
		s := NewShard(1, limits)
		const commits = 400
		seals, sealed, rewritten, grown := 0, 0, 0, 0
		for i := range commits {
			d := s.Begin(start)
			grown = 0
			for j := range perCommit {
				key := fmt.Sprint(i, " ", j)
				d.Claim(claimOf(key, 1))
				d.Finish(finishOf(key, 1, order.OutcomeRan))
			}
			for _, r := range d.changed {
				grown += r.size()
			}
			w := commit(s, d, object.Version(i+1))
			rewritten += totalSize(w.Head.Active)
			if w.Segment != nil {
				seals++
				sealed += totalSize(w.Segment.Records)
			}
		}
		bound := min(max(limits.MergeFanout*grown, limits.ActiveBytes/limits.MergeFanout), limits.ActiveBytes)
		assert.Assert(t, rewritten/commits <= bound, "%d orders a commit: mean of %d B of records in the head", perCommit, rewritten/commits)
		assert.Assert(t, seals <= max(commits/limits.MergeFanout, commits*grown/limits.ActiveBytes+1), "%d orders a commit: %d segments", perCommit, seals)
		segments := len(s.Head().Segments)
		assert.Assert(t, segments <= 3*limits.MergeFanout, "%d orders a commit: %d segments in the head", perCommit, segments)
		tiers := 4 // 1, 8 and 64 KiB, and the first sealing
		assert.Assert(t, sealed <= tiers*commits*grown, "%d orders a commit: %d B sealed of %d", perCommit, sealed, commits*grown)
	}
}

func TestAdvanceIgnoresStaleHead(t *testing.T) {
	s := NewShard(1, testLimits())
	d := s.Begin(start)
	d.Claim(claimOf("k", 1))
	old := commit(s, d, 5)
	d = s.Begin(start)
	d.Finish(finishOf("k", 1, order.OutcomeRan))
	commit(s, d, 6)
	assert.NilError(t, s.Advance(5, old.Head, nil))
	assert.Equal(t, s.Version(), object.Version(6))
	assert.Equal(t, s.Begin(start).Claim(claimOf("k", 2)).Verdict, VerdictFinished)
}

func TestAdvanceNeedsEverySegment(t *testing.T) {
	s := NewShard(1, testLimits())
	err := s.Advance(5, Head{Segments: []SegmentRef{{Name: "0001/x"}}}, nil)
	assert.ErrorIs(t, err, ErrMissingSegment)
}

func TestSegmentOfANewerBaseIsNoOrphan(t *testing.T) {
	name := segmentName(1, 7, Nonce{1})
	assert.Assert(t, IsOrphan(name, Head{}, 8))
	assert.Assert(t, !IsOrphan(name, Head{}, 7))
	assert.Assert(t, !IsOrphan(name, Head{Segments: []SegmentRef{{Name: name}}}, 8))
	assert.Assert(t, !IsOrphan("foreign", Head{}, 8))
}
