package entry

import (
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// errUpstreamIdle reports that no byte arrived from an upstream within the timeout.
var errUpstreamIdle = errors.New("no byte arrived from the upstream within the timeout")

// watchdog cancels a context when no byte arrives from an upstream in time.
type watchdog struct {
	timer  *time.Timer
	idle   time.Duration
	cancel context.CancelCauseFunc

	toleratedUntil time.Time   // silence after the connection is open is no reason to cancel before this time
	onSilence      func()      // called when silence is tolerated; nil if it never is
	connected      atomic.Bool // the request has a connection
}

// newWatchdog returns a watchdog that calls cancel with errUpstreamIdle. It allows the duration
// idle between later reads; start sets that until the first byte.
func newWatchdog(idle time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{idle: idle, cancel: cancel}
}

// tolerateSilence makes the watchdog call onSilence instead of cancel until a time, if the request
// has a connection. It returns the context with which the request is to be sent.
func (w *watchdog) tolerateSilence(ctx context.Context, until time.Time, onSilence func()) context.Context {
	w.toleratedUntil, w.onSilence = until, onSilence
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { w.connected.Store(true) }})
}

// start allows the duration first until the first byte.
func (w *watchdog) start(first time.Duration) { w.timer = time.AfterFunc(first, w.expire) }

func (w *watchdog) expire() {
	wait := time.Until(w.toleratedUntil)
	if wait <= 0 || !w.connected.Load() {
		w.cancel(errUpstreamIdle)
		return
	}
	w.onSilence()
	w.timer.Reset(wait)
}

func (w *watchdog) stop() { w.timer.Stop() }

// progressReader restarts a watchdog's timer after each read that returns bytes.
type progressReader struct {
	io.Reader
	watchdog *watchdog
}

// Read implements io.Reader.
func (p progressReader) Read(buffer []byte) (int, error) {
	n, err := p.Reader.Read(buffer)
	if n > 0 {
		p.watchdog.timer.Reset(p.watchdog.idle)
	}
	return n, err
}
