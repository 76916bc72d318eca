// Package residency is the memory and order part of the model engine stand-in.
// It loads and unloads models and adapters by order, refuses what does not fit,
// and keeps its own account of the memory in use, loads in progress included.
package residency

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"savoryweir/internal/protocol/enginehttp"
	"savoryweir/internal/standin/weights"
)

// handledLimit is how many handled orders a report lists.
const handledLimit = 64

// Loader brings weights to the engine. *weights.Store and *weights.Remote are loaders.
type Loader interface {
	Start(now time.Time, kind weights.Kind, done func(at time.Time))
}

// Config describes one engine.
type Config struct {
	Name        string
	CapacityMiB int64
	ChecksFence bool
	ReportLag   time.Duration
	// NoEntityTags makes the engine send each report whole.
	NoEntityTags bool
}

// Account is the engine's own count of its memory.
type Account struct {
	UsedMiB     int64
	PeakMiB     int64
	CapacityMiB int64
	// Refused counts loads that did not fit, each of which would have overcommitted memory.
	Refused int
	Loads   int
	Unloads int
}

// resident is one slot in memory.
type resident struct {
	enginehttp.Resident
	load uint64 // number of the load that brought it, to tell a finished load from a cancelled one
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	config Config
	loader Loader

	mu        sync.Mutex // guards all below
	boots     int
	sequence  uint64
	fence     uint64
	residents []resident
	handled   []string
	nextLoad  uint64
	account   Account
	history   []moment
	faults    Faults
	delayed   []delayedOrder
}

// moment is a report with the time from which it held.
type moment struct {
	at     time.Time
	report enginehttp.Report
}

// New returns an empty engine that has just started.
func New(c Config, loader Loader, now time.Time) *Engine {
	e := &Engine{config: c, loader: loader, account: Account{CapacityMiB: c.CapacityMiB}}
	e.boot(now)
	return e
}

// Restart stops the engine and starts it anew. It loses all memory, its highest
// fencing number and, unless the faults say otherwise, orders that have not arrived yet.
func (e *Engine) Restart(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot(now)
}

func (e *Engine) boot(now time.Time) {
	e.boots++
	e.sequence, e.fence = 0, 0
	e.residents, e.handled, e.history = nil, nil, nil
	e.account.UsedMiB = 0
	if !e.faults.LateSurvivesRestart {
		e.delayed = nil
	}
	e.record(now)
}

// Account returns the engine's own count of its memory.
func (e *Engine) Account() Account {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.account
}

// Now returns the state of this moment, without a lag.
func (e *Engine) Now() enginehttp.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.snapshot()
}

// Report returns the state as the engine reports it, with its lag.
func (e *Engine) Report(now time.Time) enginehttp.Report {
	e.Advance(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	visible := 0
	for i, m := range e.history {
		if !m.at.After(now.Add(-e.config.ReportLag)) {
			visible = i
		}
	}
	e.history = e.history[visible:]
	return e.history[0].report
}

// HasReady reports whether a slot is loaded and usable.
func (e *Engine) HasReady(slot enginehttp.Slot) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.find(slot)
	return i >= 0 && e.residents[i].State == enginehttp.StateReady
}

func (e *Engine) snapshot() enginehttp.Report {
	report := enginehttp.Report{
		Boot:        e.config.Name + "-" + strconv.Itoa(e.boots),
		Sequence:    e.sequence,
		Fence:       e.fence,
		CapacityMiB: e.config.CapacityMiB,
		Handled:     slices.Clone(e.handled),
	}
	for _, r := range e.residents {
		report.Residents = append(report.Residents, r.Resident)
	}
	return report
}

// record notes a change of state.
func (e *Engine) record(now time.Time) {
	e.sequence++
	e.history = append(e.history, moment{at: now, report: e.snapshot()})
}

func (e *Engine) find(slot enginehttp.Slot) int {
	return slices.IndexFunc(e.residents, func(r resident) bool { return r.Slot == slot })
}
