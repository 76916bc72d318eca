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
	streams    context.Context // ends when streams are handed over
	endStreams context.CancelFunc

	mu         sync.Mutex // guards the fields below
	stopping   bool
	active     map[*activeCall]struct{}
	background int
	idle       chan struct{} // closed when nothing is in progress, nil while nobody waits
}

func newDrainer() *drainer {
	streams, end := context.WithCancel(context.Background())
	return &drainer{streams: streams, endStreams: end, active: make(map[*activeCall]struct{})}
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
	d.signal()
}

// goBackground runs work that the process waits for although no caller may.
func (d *drainer) goBackground(work func()) {
	d.mu.Lock()
	d.background++
	d.mu.Unlock()
	go func() {
		defer func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.background--
			d.signal()
		}()
		work()
	}()
}

// signal wakes the waiter when nothing is in progress. The caller holds mu.
func (d *drainer) signal() {
	if d.idle != nil && len(d.active)+d.background == 0 {
		close(d.idle)
		d.idle = nil
	}
}

// wait returns nil when nothing is in progress, or ctx's cause.
func (d *drainer) wait(ctx context.Context) error {
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

// stop makes the process not ready.
func (d *drainer) stop() {
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

// handingOver returns a context that ends with errHandover when streams are handed over.
func (d *drainer) handingOver(parent context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(d.streams, func() { cancel(errHandover) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// calls returns the calls in progress, oldest first, and the background work's count.
func (d *drainer) calls() ([]activeCall, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := make([]activeCall, 0, len(d.active))
	for c := range d.active {
		found = append(found, *c)
	}
	slices.SortFunc(found, func(a, b activeCall) int {
		return a.Started.Compare(b.Started)
	})
	return found, d.background
}
