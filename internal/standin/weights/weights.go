// Package weights is a stand-in for the rate-limited weight store. Loads share
// its bandwidth: up to a number of loads run at full speed, and more than that
// slow each other down in proportion. It keeps no time of its own.
package weights

import (
	"slices"
	"sync"
	"time"
)

// Kind tells models from adapters, which use separate bandwidth.
type Kind string

// The kinds of loads.
const (
	Model   Kind = "model"
	Adapter Kind = "adapter"
)

// Limits are the rates of the store.
type Limits struct {
	LoadsPerSecond    float64       // model loads finished a second at full use
	AtOnce            int           // model loads that run at full speed
	AdapterTime       time.Duration // duration of an adapter load at full speed
	AdaptersInTransit int           // adapter loads that run at full speed
}

// ModelTime returns the duration of a model load at full speed.
func (l Limits) ModelTime() time.Duration {
	return time.Duration(float64(l.AtOnce) / l.LoadsPerSecond * float64(time.Second))
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex // guards all below
	models   pipe
	adapters pipe
	slowdown float64
	started  map[Kind]int
	due      []completion // finished, not yet reported
}

// New returns an idle store.
func New(l Limits) *Store {
	return &Store{
		models:   pipe{duration: l.ModelTime().Seconds(), atOnce: l.AtOnce},
		adapters: pipe{duration: l.AdapterTime.Seconds(), atOnce: l.AdaptersInTransit},
		slowdown: 1,
		started:  make(map[Kind]int),
	}
}

// Start begins a load. Advance calls done with the moment at which it finishes.
func (s *Store) Start(now time.Time, kind Kind, done func(at time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The caller may hold a lock that done takes, so Advance reports what is due.
	s.due = append(s.due, s.pipe(kind).advance(now)...)
	s.started[kind]++
	work := 1.0
	if kind == Adapter {
		work = s.slowdown
	}
	s.pipe(kind).add(now, work, done)
}

// SlowAdapters makes adapter loads that start from now on take factor times as long.
func (s *Store) SlowAdapters(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Started returns how many loads of a kind have begun.
func (s *Store) Started(kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.started[kind]
}

// InTransit returns how many loads of a kind are running.
func (s *Store) InTransit(kind Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pipe(kind).transfers)
}

// Advance finishes all loads that are due at now, in order of time.
func (s *Store) Advance(now time.Time) {
	s.mu.Lock()
	finished := slices.Concat(s.due, s.models.advance(now), s.adapters.advance(now))
	s.due = nil
	s.mu.Unlock()
	slices.SortStableFunc(finished, func(a, b completion) int { return a.at.Compare(b.at) })
	for _, f := range finished {
		f.done(f.at)
	}
}

// Next returns when the next load finishes if none is added before.
func (s *Store) Next() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.due) > 0 {
		return s.due[0].at, true
	}
	model, modelOK := s.models.next()
	adapter, adapterOK := s.adapters.next()
	if !modelOK || (adapterOK && adapter.Before(model)) {
		return adapter, adapterOK
	}
	return model, true
}

func (s *Store) pipe(kind Kind) *pipe {
	if kind == Adapter {
		return &s.adapters
	}
	return &s.models
}
