package claims

import (
	"math/rand/v2"
	"time"
)

// CommitPacing determines the times between the commits of a shard.
type CommitPacing struct {
	Interval       time.Duration // least time between two commits
	MaxFinishDelay time.Duration // longest time for which a finish waits for a claim to share its commit
	BatchSize      int           // number of waiting finishes that are committed without waiting for a claim
}

// PendingOperations describes the operations that wait for a commit.
type PendingOperations struct {
	Claims              int
	Finishes            int
	OldestFinishArrival time.Time // arrival time of the finish that has waited longest
}

// NextCommit returns the time at which the pending operations are to be committed, or
// the zero time if there are none. A claim is committed as soon as Interval has passed
// since the last commit, so an idle shard commits it at once.
func (p CommitPacing) NextCommit(lastCommit time.Time, pending PendingOperations) time.Time {
	if pending.Claims+pending.Finishes == 0 {
		return time.Time{}
	}
	earliest := lastCommit.Add(p.Interval)
	if pending.Claims > 0 || pending.Finishes >= p.BatchSize {
		return earliest
	}
	if due := pending.OldestFinishArrival.Add(p.MaxFinishDelay); due.After(earliest) {
		return due
	}
	return earliest
}

// NewCommitPacing derives the commit interval of each shard from a budget of store writes
// per second for all shards together.
func NewCommitPacing(writesPerSecond, shards int, finishDelay time.Duration, batchSize int) CommitPacing {
	return CommitPacing{
		Interval:       time.Duration(shards) * time.Second / time.Duration(writesPerSecond),
		MaxFinishDelay: finishDelay,
		BatchSize:      batchSize,
	}
}

// Backoff computes exponential delays between attempts, with full jitter.
type Backoff struct {
	Base time.Duration // upper bound of the delay for the first attempt
	Max  time.Duration // largest upper bound of the delay
}

// Delay returns a random delay of up to the upper bound for the attempt. Attempts count
// from zero.
func (b Backoff) Delay(attempt int, random *rand.Rand) time.Duration {
	upperBound := b.Max
	if attempt < maxShift && b.Base<<attempt < b.Max {
		upperBound = b.Base << attempt
	}
	return time.Duration(random.Int64N(int64(upperBound))) + 1
}

// maxShift keeps the shift in Delay from overflowing an int64.
const maxShift = 20

// RetryAfter returns the time after which a refused caller may retry. It is at least one
// second, plus jitter of up to the given spread so that callers do not retry together.
func RetryAfter(spread time.Duration, random *rand.Rand) time.Duration {
	return minRetryAfter + time.Duration(random.Int64N(int64(spread)))
}

const minRetryAfter = time.Second
