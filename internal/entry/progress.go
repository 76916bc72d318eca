package entry

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// errUpstreamIdle reports that no byte arrived from an upstream within the timeout.
var errUpstreamIdle = errors.New("no byte arrived from the upstream within the timeout")

// watchdog cancels a context when no byte arrives from an upstream in time.
type watchdog struct {
	idle   time.Duration
	cancel context.CancelCauseFunc
	// tolerate is called when no byte arrived in time. It returns for how long the silence is
	// tolerated, and zero if it is not.
	tolerate  func() time.Duration
	connected atomic.Bool  // the request has a connection
	reads     atomic.Int64 // reads that returned bytes
	lastRead  atomic.Int64 // time of the last such read or of the start, in Unix nanoseconds

	mu      sync.Mutex // guards the fields below; held while silence is judged
	timer   *time.Timer
	stopped bool
}

// newWatchdog returns a watchdog that calls cancel with errUpstreamIdle. It allows the duration
// idle between later reads; start sets that until the first byte.
func newWatchdog(idle time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{idle: idle, cancel: cancel}
}

// traceConnection returns the context with which a request is to be sent, so that the watchdog
// knows when it has a connection.
func (w *watchdog) traceConnection(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.connected.Store(true) }})
}

// tolerateUntil makes the watchdog call onSilence instead of cancel before a time, if the request
// has a connection.
func (w *watchdog) tolerateUntil(end time.Time, onSilence func()) {
	w.tolerate = func() time.Duration {
		wait := time.Until(end)
		if wait <= 0 || !w.connected.Load() {
			return 0
		}
		onSilence()
		return wait
	}
}

// start allows the duration first until the first byte.
func (w *watchdog) start(first time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRead.Store(time.Now().UnixNano())
	w.timer = time.AfterFunc(first, w.expire)
}

// silence returns the time since the last byte, or since the start.
func (w *watchdog) silence() time.Duration { return time.Since(time.Unix(0, w.lastRead.Load())) }

func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if wait := w.tolerate(); wait > 0 {
		w.timer.Reset(wait)
		return
	}
	w.cancel(errUpstreamIdle)
}

// stop ends the watchdog. It waits while silence is judged.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// progressReader restarts a watchdog's timer after each read that returns bytes.
type progressReader struct {
	io.Reader
	watchdog *watchdog
}

// Read implements io.Reader.
func (p progressReader) Read(buffer []byte) (int, error) {
	n, err := p.Reader.Read(buffer)
	if n > 0 {
		p.watchdog.reads.Add(1)
		p.watchdog.lastRead.Store(time.Now().UnixNano())
		p.watchdog.timer.Reset(p.watchdog.idle)
	}
	return n, err
}
