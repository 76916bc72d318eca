package engine

import (
	"slices"
	"strings"
	"sync"
)

// FaultKind is a kind of misbehaviour.
type FaultKind string

// The kinds of faults.
const (
	// FaultSilent keeps the connection open and sends nothing more.
	FaultSilent FaultKind = "silent"
	// FaultCut closes the connection within the stream.
	FaultCut FaultKind = "cut"
	// FaultSlow multiplies the time of a step.
	FaultSlow FaultKind = "slow"
	// FaultWrongOffset starts a resumed stream one event too late.
	FaultWrongOffset FaultKind = "wrong-offset"
	// FaultDoubled sends an event twice.
	FaultDoubled FaultKind = "doubled"
	// FaultCrossed sends an event of another request.
	FaultCrossed FaultKind = "crossed"
	// FaultNoEnd leaves out the end mark.
	FaultNoEnd FaultKind = "no-end"
	// FaultCrash ends the engine.
	FaultCrash FaultKind = "crash"
	// FaultRefuse refuses the request before running it.
	FaultRefuse FaultKind = "refuse"
)

// Fault is one misbehaviour to show.
type Fault struct {
	Kind   FaultKind `json:"kind"`
	Match  string    `json:"match"`  // text that the request's body must hold, empty for all
	After  int       `json:"after"`  // events that are sent before
	Count  int       `json:"count"`  // requests to hit, zero for no end
	Factor float64   `json:"factor"` // of FaultSlow
}

type faultList struct {
	mu     sync.Mutex // guards faults
	faults []Fault
}

func (l *faultList) add(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Count == 0 {
		f.Count = -1
	}
	l.faults = append(l.faults, f)
}

func (l *faultList) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = nil
}

// take returns the fault for a request, or one without a kind.
func (l *faultList) take(body string, resumed bool) Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, f := range l.faults {
		if !strings.Contains(body, f.Match) || f.Kind == FaultWrongOffset && !resumed {
			continue
		}
		if l.faults[i].Count > 0 {
			l.faults[i].Count--
		}
		if l.faults[i].Count == 0 {
			l.faults = slices.Delete(l.faults, i, i+1)
		}
		return f
	}
	return Fault{}
}

// Inject makes the engine misbehave.
func (e *Engine) Inject(f Fault) {
	if f.Kind == FaultSlow {
		e.setSlow(f.Factor)
		return
	}
	e.faults.add(f)
}

// ClearFaults ends all misbehaviour.
func (e *Engine) ClearFaults() {
	e.setSlow(1)
	e.faults.clear()
}
