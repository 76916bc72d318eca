// Package engine is a small stand-in of a model engine for tests and the demo.
// It batches continuously: one step gives each running request one token, and a
// step takes longer the more requests run.
package engine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savoryweir/internal/pause"
)

// Settings describes a stand-in engine.
type Settings struct {
	Models      []string      // models and adapters that the engine serves, unless Memory is set
	Memory      Memory        // nil serves Models at all times
	MaxBatch    int           // requests that run at once
	StepBase    time.Duration // time of a step with an empty batch
	StepPerRun  time.Duration // time that each running request adds to a step
	Prefill     time.Duration // time of a prompt that is not in the prefix cache
	CacheSize   int           // prompts in the prefix cache
	LoadLag     time.Duration // age of the reported load
	OnCrash     func()        // ends the engine; nil does nothing
	CrashMarker string        // a request that holds this text crashes the engine
}

// Memory tells which models and adapters are loaded, and takes the orders to load them.
type Memory interface {
	// Serves reports whether the model or adapter is ready.
	Serves(name string) bool
	// Handler serves the order and residency API and its switches.
	Handler() http.Handler
}

// serves reports whether the engine can run a request for a model or adapter.
func (s Settings) serves(name string) bool {
	if s.Memory != nil {
		return s.Memory.Serves(name)
	}
	return slices.Contains(s.Models, name)
}

// DefaultTokens is the length of an answer to a request without max_tokens.
const DefaultTokens = 16

// Load is the engine's report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// sequence is one request in the engine.
type sequence struct {
	prompt   string
	priority int
	next     int // offset of the next token
	end      int // offset of the last token
	prefill  time.Duration
	tokens   chan int
	ctx      context.Context
}

// Engine is the stand-in. Run drives it; Handler serves it.
type Engine struct {
	settings Settings
	faults   *faultList
	leaving  atomic.Bool
	wake     chan struct{}

	mu      sync.Mutex // guards the fields below
	waiting []*sequence
	running []*sequence
	cache   []string
	reports []stampedLoad
	started int
	slow    float64
	ended   bool
}

type stampedLoad struct {
	at   time.Time
	load Load
}

// New returns an engine that is not yet running.
func New(s Settings) *Engine {
	s.MaxBatch = max(s.MaxBatch, 1)
	return &Engine{settings: s, faults: &faultList{}, wake: make(chan struct{}, 1), slow: 1}
}

// Run gives out tokens until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	defer e.end()
	for {
		wait := e.step()
		if wait > 0 {
			if !pause.For(ctx, wait) {
				return
			}
			continue
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
			return
		}
	}
}

// end closes the streams of all requests, and of those to come.
func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ended = true
	for _, s := range slices.Concat(e.waiting, e.running) {
		close(s.tokens)
	}
	e.waiting, e.running = nil, nil
}

// step gives each running request a token and returns the time until the next
// step, or zero when there is no work.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	wait := e.settings.StepBase
	remaining := e.running[:0]
	for _, s := range e.running {
		wait += e.settings.StepPerRun + s.prefill
		s.prefill = 0
		if s.ctx.Err() != nil {
			close(s.tokens)
			continue
		}
		s.tokens <- s.next
		s.next++
		if s.next > s.end {
			close(s.tokens)
			continue
		}
		remaining = append(remaining, s)
	}
	clear(e.running[len(remaining):])
	e.running = remaining
	if len(e.running)+len(e.waiting) == 0 {
		return 0
	}
	return time.Duration(float64(wait) * e.slow)
}

func (e *Engine) admit() {
	e.waiting = slices.DeleteFunc(e.waiting, func(s *sequence) bool {
		if s.ctx.Err() != nil {
			close(s.tokens)
			return true
		}
		return false
	})
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return a.priority - b.priority })
	for len(e.waiting) > 0 && len(e.running) < e.settings.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if !e.cached(s.prompt) {
			s.prefill = e.settings.Prefill
		}
		e.running = append(e.running, s)
	}
}

// cached reports whether prompt is in the prefix cache, and puts it there.
func (e *Engine) cached(prompt string) bool {
	if slices.Contains(e.cache, prompt) {
		return true
	}
	e.cache = append(e.cache, prompt)
	if len(e.cache) > e.settings.CacheSize {
		e.cache = e.cache[1:]
	}
	return false
}

// submit queues a request for the tokens after offset.
func (e *Engine) submit(ctx context.Context, prompt string, priority, offset, end int) *sequence {
	s := &sequence{
		prompt:   prompt,
		priority: priority,
		next:     offset + 1,
		end:      end,
		tokens:   make(chan int, max(end-offset, 0)+1),
		ctx:      ctx,
	}
	if s.next > s.end {
		close(s.tokens)
		return s
	}
	if !e.enqueue(s) {
		close(s.tokens)
		return s
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

func (e *Engine) enqueue(s *sequence) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.waiting = append(e.waiting, s)
	e.started++
	return true
}

// Load returns the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.reports = append(e.reports, stampedLoad{now, Load{len(e.running), len(e.waiting)}})
	oldest := now.Add(-e.settings.LoadLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(oldest) {
		e.reports = e.reports[1:]
	}
	return e.reports[0].load
}

// Started returns how many requests the engine has taken.
func (e *Engine) Started() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// SetLeaving makes the engine announce in its answers that it takes no new work.
func (e *Engine) SetLeaving(leaving bool) { e.leaving.Store(leaving) }

func (e *Engine) setSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}
