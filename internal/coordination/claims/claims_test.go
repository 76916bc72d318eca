package claims

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/state/journal"
)

// newMembers returns n members with distinct identifiers.
func newMembers(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: fmt.Sprintf("i%03d", i), Incarnation: 1}
	}
	return list
}

func TestOwnersKeepOrderWhenMemberLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(2, 40).Draw(t, "members"))
		shard := journal.ShardID(rapid.Uint32().Draw(t, "shard"))
		before := Owners(shard, members)
		leaving := rapid.IntRange(0, len(members)-1).Draw(t, "leaving")
		var remaining []Member
		for i, m := range members {
			if i != leaving {
				remaining = append(remaining, m)
			}
		}
		var want []Member
		for _, m := range before {
			if m.ID != members[leaving].ID {
				want = append(want, m)
			}
		}
		assert.DeepEqual(t, Owners(shard, remaining), want)
	})
}

func TestNextCommitDependsOnPendingOperations(t *testing.T) {
	last := time.Unix(100, 0)
	pacing := CommitPacing{Interval: 100 * time.Millisecond, MaxFinishDelay: 500 * time.Millisecond, BatchSize: 10}
	for name, test := range map[string]struct {
		pending PendingOperations
		want    time.Time
	}{
		"no pending operation":                  {PendingOperations{}, time.Time{}},
		"claim":                                 {PendingOperations{Claims: 1}, last.Add(100 * time.Millisecond)},
		"claim shares its commit with finishes": {PendingOperations{Claims: 1, Finishes: 3, OldestFinishArrival: last}, last.Add(100 * time.Millisecond)},
		"finish without claim waits":            {PendingOperations{Finishes: 1, OldestFinishArrival: last.Add(time.Second)}, last.Add(1500 * time.Millisecond)},
		"wait counts from arrival of finish":    {PendingOperations{Finishes: 1, OldestFinishArrival: last.Add(-time.Hour)}, last.Add(100 * time.Millisecond)},
		"full batch of finishes does not wait":  {PendingOperations{Finishes: 10, OldestFinishArrival: last.Add(time.Second)}, last.Add(100 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, pacing.NextCommit(last, test.pending), test.want) })
	}
}

func TestCommitPacingStaysWithinWriteBudget(t *testing.T) {
	pacing := NewCommitPacing(150, 32, time.Second, 10)
	perSecond := 32 * float64(time.Second) / float64(pacing.Interval)
	assert.Assert(t, perSecond <= 150.001, "%f writes/s", perSecond)
}

func TestBackoffDelayStaysWithinUpperBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	backoff := Backoff{Base: 100 * time.Millisecond, Max: 5 * time.Second}
	for attempt := range 100 {
		delay := backoff.Delay(attempt, random)
		upperBound := min(backoff.Max, backoff.Base<<min(attempt, 10))
		assert.Assert(t, delay > 0 && delay <= upperBound, "attempt %d has a delay of %v", attempt, delay)
	}
}

func TestFindClaimantChecksIncarnation(t *testing.T) {
	view := []Member{{ID: "a", Incarnation: 3}}
	for name, test := range map[string]struct {
		claimant journal.Claimant
		want     bool
	}{
		"same incarnation":                 {journal.Claimant{Instance: "a", Incarnation: 3}, true},
		"restarted since the claim":        {journal.Claimant{Instance: "a", Incarnation: 2}, false},
		"membership view is behind":        {journal.Claimant{Instance: "a", Incarnation: 4}, true},
		"no longer in the membership view": {journal.Claimant{Instance: "b", Incarnation: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := FindClaimant(test.claimant, view)
			assert.Equal(t, ok, test.want)
		})
	}
}

func TestDecideResendDependsOnTokenStatus(t *testing.T) {
	deadline := time.Unix(100, 0)
	grace := 30 * time.Second
	for name, test := range map[string]struct {
		status TokenStatus
		now    time.Time
		want   ResendDecision
	}{
		"held":                        {TokenHeld, deadline.Add(time.Hour), ResendRunning},
		"ended":                       {TokenEnded, deadline, ResendSupersede},
		"lost":                        {TokenLost, deadline, ResendUnknown},
		"unreachable before deadline": {TokenUnreachable, deadline, ResendRunning},
		"unreachable within grace":    {TokenUnreachable, deadline.Add(grace), ResendRunning},
		"unreachable after grace":     {TokenUnreachable, deadline.Add(grace + 1), ResendUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, DecideResend(journal.Record{Deadline: deadline}, test.status, test.now, grace), test.want)
		})
	}
}
