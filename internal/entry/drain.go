package entry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// activeCall describes a call in progress, for the log.
type activeCall struct {
	Method  string
	Path    string
	Started time.Time
}

// drainer tracks the calls and the background work in progress, so that the process can stop
// after they are complete.
type drainer struct {
	streamCtx  context.Context // ends when streams are to be handed over
	endStreams context.CancelFunc

	mu         sync.Mutex // guards the fields below
	stopping   bool
	active     map[*activeCall]struct{}
	background int
	idle       chan struct{} // closed when nothing is in progress; nil while nothing waits for it
}

func newDrainer() *drainer {
	streams, end := context.WithCancel(context.Background())
	return &drainer{streamCtx: streams, endStreams: end, active: make(map[*activeCall]struct{})}
}

// begin adds a call in progress. It returns false if limit calls are in progress already.
func (d *drainer) begin(c *activeCall, limit int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.active) >= limit {
		return false
	}
	d.active[c] = struct{}{}
	return true
}

// end removes a call that begin added.
func (d *drainer) end(c *activeCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, c)
	d.notifyIdle()
}

// runInBackground runs work in a goroutine. A shutdown waits for it even if no caller does.
func (d *drainer) runInBackground(work func()) {
	d.mu.Lock()
	d.background++
	d.mu.Unlock()
	go func() {
		defer func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.background--
			d.notifyIdle()
		}()
		work()
	}()
}

// notifyIdle wakes the waiter if nothing is in progress. The caller holds mu.
func (d *drainer) notifyIdle() {
	if d.idle != nil && len(d.active)+d.background == 0 {
		close(d.idle)
		d.idle = nil
	}
}

// waitIdle waits until nothing is in progress and returns nil, or returns the cause of ctx if ctx ends first.
func (d *drainer) waitIdle(ctx context.Context) error {
	d.mu.Lock()
	if len(d.active)+d.background == 0 {
		d.mu.Unlock()
		return nil
	}
	idle := make(chan struct{})
	d.idle = idle
	d.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// markStopping makes the readiness check fail from now on.
func (d *drainer) markStopping() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
}

func (d *drainer) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// handOver ends all streams, so that their callers resume them at other instances.
func (d *drainer) handOver() { d.endStreams() }

// withHandover returns a context that ends with errHandover when streams are handed over. The
// returned function releases its resources.
func (d *drainer) withHandover(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(d.streamCtx, func() { cancel(errHandover) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// inProgress returns the calls in progress, oldest first, and the number of background tasks.
func (d *drainer) inProgress() ([]activeCall, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := make([]activeCall, 0, len(d.active))
	for c := range d.active {
		calls = append(calls, *c)
	}
	slices.SortFunc(calls, func(a, b activeCall) int {
		return a.Started.Compare(b.Started)
	})
	return calls, d.background
}
