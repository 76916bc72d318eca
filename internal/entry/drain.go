package entry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// activeCall describes a call in progress for the log.
type activeCall struct {
	Method  string
	Path    string
	Started time.Time
}

// drainer counts the calls in progress and ends the process without cutting them.
type drainer struct {
	streamCtx  context.Context // ends when streams are handed over
	endStreams context.CancelFunc

	mu         sync.Mutex // guards the fields below
	stopping   bool
	active     map[*activeCall]struct{}
	background int
	idle       chan struct{} // closed when nothing is in progress, nil while nobody waits
}

func newDrainer() *drainer {
	streams, end := context.WithCancel(context.Background())
	return &drainer{streamCtx: streams, endStreams: end, active: make(map[*activeCall]struct{})}
}

// begin counts a call in progress, unless limit calls already are.
func (d *drainer) begin(c *activeCall, limit int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.active) >= limit {
		return false
	}
	d.active[c] = struct{}{}
	return true
}

func (d *drainer) end(c *activeCall) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.active, c)
	d.notifyIdle()
}

// runInBackground runs work that the process waits for although no caller may.
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

// notifyIdle wakes the waiter when nothing is in progress. The caller holds mu.
func (d *drainer) notifyIdle() {
	if d.idle != nil && len(d.active)+d.background == 0 {
		close(d.idle)
		d.idle = nil
	}
}

// waitIdle returns nil when nothing is in progress, or ctx's cause.
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

// markStopping makes the process not ready.
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

// handOver ends all streams so that their callers resume them elsewhere.
func (d *drainer) handOver() { d.endStreams() }

// withHandover returns a context that ends with errHandover when streams are handed over.
func (d *drainer) withHandover(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(d.streamCtx, func() { cancel(errHandover) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// inProgress returns the calls in progress, oldest first, and the background work's count.
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
