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

func members(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: fmt.Sprintf("i%03d", i), Incarnation: 1}
	}
	return list
}

func TestOwnersKeepTheirOrderWhenOneLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := members(rapid.IntRange(2, 40).Draw(t, "members"))
		shard := journal.ShardID(rapid.Uint32().Draw(t, "shard"))
		before := Owners(shard, all)
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		var rest []Member
		for i, m := range all {
			if i != gone {
				rest = append(rest, m)
			}
		}
		var want []Member
		for _, m := range before {
			if m.ID != all[gone].ID {
				want = append(want, m)
			}
		}
		assert.DeepEqual(t, Owners(shard, rest), want)
	})
}

func TestNextCommit(t *testing.T) {
	last := time.Unix(100, 0)
	pace := CommitPacing{Interval: 100 * time.Millisecond, MaxFinishDelay: 500 * time.Millisecond, BatchSize: 10}
	for name, tc := range map[string]struct {
		queue PendingOperations
		want  time.Time
	}{
		"nothing waits":              {PendingOperations{}, time.Time{}},
		"claim":                      {PendingOperations{Claims: 1}, last.Add(100 * time.Millisecond)},
		"claim takes results along":  {PendingOperations{Claims: 1, Finishes: 3, OldestFinishArrival: last}, last.Add(100 * time.Millisecond)},
		"result alone waits":         {PendingOperations{Finishes: 1, OldestFinishArrival: last.Add(time.Second)}, last.Add(1500 * time.Millisecond)},
		"result waits from arrival":  {PendingOperations{Finishes: 1, OldestFinishArrival: last.Add(-time.Hour)}, last.Add(100 * time.Millisecond)},
		"full batch of results goes": {PendingOperations{Finishes: 10, OldestFinishArrival: last.Add(time.Second)}, last.Add(100 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, pace.NextCommit(last, tc.queue), tc.want) })
	}
}

func TestPaceKeepsTheWriteBudget(t *testing.T) {
	pace := NewCommitPacing(150, 32, time.Second, 10)
	perSecond := 32 * float64(time.Second) / float64(pace.Interval)
	assert.Assert(t, perSecond <= 150.001, "%f writes/s", perSecond)
}

func TestBackoffStaysBelowItsCeiling(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	backoff := Backoff{Base: 100 * time.Millisecond, Max: 5 * time.Second}
	for attempt := range 100 {
		wait := backoff.Delay(attempt, random)
		ceiling := min(backoff.Max, backoff.Base<<min(attempt, 10))
		assert.Assert(t, wait > 0 && wait <= ceiling, "attempt %d: %v", attempt, wait)
	}
}

func TestFindClaimant(t *testing.T) {
	view := []Member{{ID: "a", Incarnation: 3}}
	for name, tc := range map[string]struct {
		claimant journal.Claimant
		want     bool
	}{
		"same incarnation":      {journal.Claimant{Instance: "a", Incarnation: 3}, true},
		"restarted":             {journal.Claimant{Instance: "a", Incarnation: 2}, false},
		"view is behind":        {journal.Claimant{Instance: "a", Incarnation: 4}, true},
		"no longer in the view": {journal.Claimant{Instance: "b", Incarnation: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := FindClaimant(tc.claimant, view)
			assert.Equal(t, ok, tc.want)
		})
	}
}

func TestDecideResend(t *testing.T) {
	deadline := time.Unix(100, 0)
	grace := 30 * time.Second
	for name, tc := range map[string]struct {
		answer TokenStatus
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
			assert.Equal(t, DecideResend(journal.Record{Deadline: deadline}, tc.answer, tc.now, grace), tc.want)
		})
	}
}
