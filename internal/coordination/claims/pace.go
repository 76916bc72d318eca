package claims

import (
	"math/rand/v2"
	"time"
)

// Pace spaces the commits of a shard.
type Pace struct {
	Interval    time.Duration // least time between two commits
	FinishDelay time.Duration // longest time that a finish waits for a claim to share its commit
	BatchSize   int           // queued operations that end a finish's wait
}

// Queue describes the operations that wait for a commit.
type Queue struct {
	Claims       int
	Finishes     int
	OldestFinish time.Time // arrival of the finish that waits longest
}

// NextCommit returns when the queue is to be committed. The result is zero when
// nothing waits. An idle shard commits a claim at once.
func (p Pace) NextCommit(lastCommit time.Time, q Queue) time.Time {
	if q.Claims+q.Finishes == 0 {
		return time.Time{}
	}
	earliest := lastCommit.Add(p.Interval)
	if q.Claims > 0 || q.Finishes >= p.BatchSize {
		return earliest
	}
	if due := q.OldestFinish.Add(p.FinishDelay); due.After(earliest) {
		return due
	}
	return earliest
}

// PaceFor derives the interval of each shard from a write budget a second over all shards.
func PaceFor(writesPerSecond, shards int, finishDelay time.Duration, batchSize int) Pace {
	return Pace{
		Interval:    time.Duration(shards) * time.Second / time.Duration(writesPerSecond),
		FinishDelay: finishDelay,
		BatchSize:   batchSize,
	}
}

// Backoff returns waits that grow with each failed attempt, with full jitter.
type Backoff struct {
	Base time.Duration
	Cap  time.Duration
}

// Wait returns a random time up to the ceiling of the attempt, which counts from zero.
func (b Backoff) Wait(attempt int, random *rand.Rand) time.Duration {
	ceiling := b.Cap
	if attempt < maxDoublings && b.Base<<attempt < b.Cap {
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
