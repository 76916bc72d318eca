package admission

import "time"

const (
	// intervalSmoothing is the weight of the latest interval in the moving average.
	intervalSmoothing = 0.1
	// intervalTTL is the idle time of the queue after which the average is discarded.
	intervalTTL = 5 * time.Second
)

// dispatchInterval estimates the time between two dispatches while requests wait.
type dispatchInterval struct {
	mean       time.Duration
	lastEvent  time.Time // time of the latest dispatch, or of the start of the backlog if that is later
	hasBacklog bool
}

// startBacklog records that the first request waits in a queue that was empty.
func (d *dispatchInterval) startBacklog(now time.Time) {
	if now.Sub(d.lastEvent) > intervalTTL {
		d.mean = 0
	}
	d.lastEvent = now
	d.hasBacklog = true
}

// dispatched records a dispatch. The flag hasMore states whether other requests still wait.
func (d *dispatchInterval) dispatched(now time.Time, hasMore bool) {
	if d.hasBacklog {
		elapsed := now.Sub(d.lastEvent)
		d.mean += time.Duration(intervalSmoothing * float64(elapsed-d.mean))
	}
	d.lastEvent = now
	d.hasBacklog = hasMore
}

// removed records that requests left the queue without a dispatch; waiting is the
// number of requests that remain.
func (d *dispatchInterval) removed(waiting int) {
	if waiting == 0 {
		d.hasBacklog = false
	}
}

// estimate returns the average interval, or the time since the latest dispatch if
// that is longer, so that a service that hangs is detected.
func (d *dispatchInterval) estimate(now time.Time) time.Duration {
	if !d.hasBacklog {
		return d.mean
	}
	return max(d.mean, now.Sub(d.lastEvent))
}
