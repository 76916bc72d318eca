package soak

import (
	"time"

	"savoryweir/internal/standin/upstream"
)

// written is one event that a run wrote.
type written struct {
	run   upstream.Run
	event int
}

// service is the time in which an engine of a version took requests; to is zero while it does.
type service struct {
	version  string
	from, to time.Time
}

// Wrote implements upstream.Journal.
func (l *ledger) Wrote(r upstream.Run, event int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written[r.Request] = append(l.written[r.Request], written{run: r, event: event})
}

// Serving implements upstream.Journal.
func (l *ledger) Serving(id, version string, serving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[id]; serving {
		l.services[id] = &service{version: version, from: time.Now()}
	} else if s != nil && s.to.IsZero() {
		s.to = time.Now()
	}
}
