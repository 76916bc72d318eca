package entry

import (
	"context"
	"errors"
	"io"
	"time"
)

// errUpstreamIdle reports that a connection carried nothing for too long.
var errUpstreamIdle = errors.New("the connection went silent")

// watchdog ends a context when an upstream makes no progress.
type watchdog struct {
	timer *time.Timer
	idle  time.Duration
}

// newWatchdog gives the upstream until first for its first byte, and idle between any two later.
func newWatchdog(first, idle time.Duration, cancel context.CancelCauseFunc) *watchdog {
	return &watchdog{timer: time.AfterFunc(first, func() { cancel(errUpstreamIdle) }), idle: idle}
}

func (w *watchdog) stop() { w.timer.Stop() }

// progressReader tells a watchdog of each read that returns bytes.
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
