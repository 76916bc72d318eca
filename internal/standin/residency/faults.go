package residency

import (
	"slices"
	"time"

	"savoryweir/internal/protocol/enginehttp"
)

// Faults are the failures of the path between a sender and the engine. Each counter
// is the number of the next orders that it applies to, in this order of precedence.
type Faults struct {
	// Lose drops orders without an answer.
	Lose int `json:"lose"`
	// Late drops the answer and lets the order arrive after Delay.
	Late int `json:"late"`
	// Twice handles the order and lets a copy arrive after Delay.
	Twice int           `json:"twice"`
	Delay time.Duration `json:"delay"`
	// LateSurvivesRestart lets orders under way reach the engine after a restart,
	// as if their connection had outlived the process.
	LateSurvivesRestart bool `json:"late_survives_restart"`
}

// delayedOrder is an order that arrives later.
type delayedOrder struct {
	at     time.Time
	action Action
	order  enginehttp.Order
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Deliver handles an order under the engine's faults. It reports whether the sender gets an answer.
func (e *Engine) Deliver(now time.Time, action Action, order enginehttp.Order) (enginehttp.Outcome, bool) {
	e.Advance(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.faults.Lose > 0:
		e.faults.Lose--
		return "", false
	case e.faults.Late > 0:
		e.faults.Late--
		e.delay(now, action, order)
		return "", false
	case e.faults.Twice > 0:
		e.faults.Twice--
		e.delay(now, action, order)
	}
	return e.apply(now, action, order), true
}

func (e *Engine) delay(now time.Time, action Action, order enginehttp.Order) {
	e.delayed = append(e.delayed, delayedOrder{at: now.Add(e.faults.Delay), action: action, order: order})
	slices.SortStableFunc(e.delayed, func(a, b delayedOrder) int { return a.at.Compare(b.at) })
}

// Advance handles the delayed orders that are due at now.
func (e *Engine) Advance(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.delayed) > 0 && !e.delayed[0].at.After(now) {
		due := e.delayed[0]
		e.delayed = e.delayed[1:]
		e.apply(due.at, due.action, due.order)
	}
}
