package gateway

import (
	"context"
	"sync"
	"time"

	"savoryweir/internal/transport/hangup"
)

// callerCheckInterval is the interval at which the connection of a caller is checked while its request
// is served. An upstream must stop working within half a second after its caller has disconnected.
const callerCheckInterval = 250 * time.Millisecond

// callerWatch cancels a request once its caller has closed the connection. net/http does so sooner,
// but not while bytes of a next request wait to be read.
type callerWatch struct {
	ctx    context.Context // of the request as net/http gives it
	cancel context.CancelFunc

	mu     sync.Mutex  // guards the fields below
	timer  *time.Timer // of the next check
	isOver bool
}

// watchCaller starts a watch and returns the function that ends it.
func watchCaller(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	w := &callerWatch{ctx: ctx, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(callerCheckInterval, w.check)
	return w.stop
}

func (w *callerWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.isOver:
	case hangup.IsSeen(w.ctx):
		w.cancel()
	default:
		w.timer.Reset(callerCheckInterval)
	}
}

func (w *callerWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isOver = true
	w.timer.Stop()
}
