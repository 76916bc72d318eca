package claims

import (
	"math/rand/v2"
	"time"
)

// CommitPacing spaces the commits of a shard.
type CommitPacing struct {
	Interval       time.Duration // least time between two commits
	MaxFinishDelay time.Duration // longest time that a finish waits for a claim to share its commit
	BatchSize      int           // queued operations that end a finish's wait
}

// PendingOperations describes the operations that wait for a commit.
type PendingOperations struct {
	Claims              int
	Finishes            int
	OldestFinishArrival time.Time // arrival of the finish that waits longest
}

// NextCommit returns when the queue is to be committed. The result is zero when
// nothing waits. An idle shard commits a claim at once.
func (p CommitPacing) NextCommit(lastCommit time.Time, q PendingOperations) time.Time {
	if q.Claims+q.Finishes == 0 {
		return time.Time{}
	}
	earliest := lastCommit.Add(p.Interval)
	if q.Claims > 0 || q.Finishes >= p.BatchSize {
		return earliest
	}
	if due := q.OldestFinishArrival.Add(p.MaxFinishDelay); due.After(earliest) {
		return due
	}
	return earliest
}

// NewCommitPacing derives the interval of each shard from a write budget a second over all shards.
func NewCommitPacing(writesPerSecond, shards int, finishDelay time.Duration, batchSize int) CommitPacing {
	return CommitPacing{
		Interval:       time.Duration(shards) * time.Second / time.Duration(writesPerSecond),
		MaxFinishDelay: finishDelay,
		BatchSize:      batchSize,
	}
}

// Backoff returns waits that grow with each failed attempt, with full jitter.
type Backoff struct {
	Base time.Duration
	Max  time.Duration
}

// Delay returns a random time up to the ceiling of the attempt, which counts from zero.
func (b Backoff) Delay(attempt int, random *rand.Rand) time.Duration {
	ceiling := b.Max
	if attempt < maxDoublings && b.Base<<attempt < b.Max {
		ceiling = b.Base << attempt
	}
	return time.Duration(random.Int64N(int64(ceiling))) + 1
}

// maxDoublings keeps the shift of Wait within an int64.
const maxDoublings = 20

// RetryAfter returns when a refused caller may come back: at least a second,
// spread over the given time so that callers do not return together.
func RetryAfter(spread time.Duration, random *rand.Rand) time.Duration {
	return minRetryAfter + time.Duration(random.Int64N(int64(spread)))
}

const minRetryAfter = time.Second
