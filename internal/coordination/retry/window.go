package retry

import (
	"time"
)

// WindowSettings limit the retries of a service over all instances.
type WindowSettings struct {
	Ratio  float64       // retries as a share of requests
	Slack  float64       // retries per window beyond that share, over all instances
	Window time.Duration // length of the sliding window
}

// allowanceShare is the share of the allowed retries that the instances use together. The
// rest is a reserve for the time when instances do not yet know how many of them there are.
const allowanceShare = 0.8

// WindowBudget limits retries to a share of the requests plus an equal part of the slack,
// in every interval of the window's length. It counts in buckets of a tenth of the window.
// It is not safe for concurrent use.
type WindowBudget struct {
	settings WindowSettings
	buckets  [windowBucketCount]windowBucket
	latest   int64 // latest time of a call, in Unix nanoseconds
}

// windowBucketCount covers one window and the bucket that is being filled.
const windowBucketCount = 11

// windowBucket holds the counts of a tenth of the window.
type windowBucket struct {
	number            int64
	requests, retries float64
}

// NewWindowBudget returns a WindowBudget without requests.
func NewWindowBudget(s WindowSettings) *WindowBudget { return &WindowBudget{settings: s} }

// Configure changes the limits and keeps the counts. The exact time of a count within its
// bucket is unknown if the window changes: requests are taken to be as old and retries as
// recent as possible, so that the limit holds.
func (w *WindowBudget) Configure(s WindowSettings) {
	if s.Window == w.settings.Window {
		w.settings = s
		return
	}
	former, formerLength := w.buckets, w.bucketLength()
	w.settings, w.buckets = s, [windowBucketCount]windowBucket{}
	for _, b := range former {
		start := b.number * formerLength
		end := min(start+formerLength-1, w.latest)
		w.add(start, windowBucket{requests: b.requests})
		w.add(end, windowBucket{retries: b.retries})
	}
}

// bucketLength returns the time that a bucket covers, in nanoseconds.
func (w *WindowBudget) bucketLength() int64 {
	return int64(w.settings.Window / (windowBucketCount - 1))
}

// add adds counts of a time that is not after the latest call. Counts from before the window
// are dropped.
func (w *WindowBudget) add(at int64, counts windowBucket) {
	number := at / w.bucketLength()
	if w.latest/w.bucketLength()-number >= windowBucketCount {
		return
	}
	b := &w.buckets[number%windowBucketCount]
	b.number = number
	b.requests += counts.requests
	b.retries += counts.retries
}

// bucket returns the bucket for now. It clears the bucket first if it holds the counts of
// an earlier time.
func (w *WindowBudget) bucket(now time.Time) *windowBucket {
	w.latest = max(w.latest, now.UnixNano())
	number := now.UnixNano() / w.bucketLength()
	b := &w.buckets[number%windowBucketCount]
	if b.number != number {
		*b = windowBucket{number: number}
	}
	return b
}

// RecordRequest records a request from a caller.
func (w *WindowBudget) RecordRequest(now time.Time) { w.bucket(now).requests++ }

// Remaining returns how many retries this instance may send now if the given number of
// instances is alive.
func (w *WindowBudget) Remaining(now time.Time, instances int) float64 {
	allowance, retries := w.usage(now, instances)
	return allowance - retries
}

// usage returns the retries that this instance may send in the current window, and those that it
// has sent.
func (w *WindowBudget) usage(now time.Time, instances int) (allowance, retries float64) {
	current := w.bucket(now).number
	var requests float64
	for _, b := range w.buckets {
		if current-b.number < windowBucketCount {
			requests += b.requests
			retries += b.retries
		}
	}
	instanceSlack := w.settings.Slack / float64(max(instances, 1))
	return allowanceShare * (w.settings.Ratio*requests + instanceSlack), retries
}

// Spend counts one retry and returns true if a retry is allowed now.
func (w *WindowBudget) Spend(now time.Time, instances int) bool {
	if w.Remaining(now, instances) < 1 {
		return false
	}
	w.bucket(now).retries++
	return true
}

// hedgeShare is the share of the allowance that hedges may use. The rest is left to requests
// whose upstream has failed.
const hedgeShare = 0.5

// SpendHedge counts one retry and returns true if a request may be sent a second time although its
// upstream may still respond.
func (w *WindowBudget) SpendHedge(now time.Time, instances int) bool {
	if allowance, retries := w.usage(now, instances); retries+1 > hedgeShare*allowance {
		return false
	}
	return w.Spend(now, instances)
}
