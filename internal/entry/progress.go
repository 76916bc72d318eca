package entry

import (
	"context"
	"errors"
	"io"
	"time"
)

// errUpstreamIdle reports that no byte arrived from an upstream within the timeout.
var errUpstreamIdle = errors.New("no byte arrived from the upstream within the timeout")

// watchdog cancels a context when no byte arrives from an upstream in time.
type watchdog struct {
	timer *time.Timer
	idle  time.Duration
}

// newWatchdog starts a watchdog that calls cancel with errUpstreamIdle. It allows the duration
// first until the first byte and idle between later reads.
func newWatchdog(first, idle time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(first, func() { cancel(errUpstreamIdle) }), idle: idle}
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
