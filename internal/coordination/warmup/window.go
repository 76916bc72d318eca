// Package warmup finds the pace of an upstream that has just started or recovered. One instance, its
// owner, keeps a window of the requests of all instances together that the upstream has not answered by a
// first byte. The window opens as answers come at the pace expected, and closes as they slow or fail.
package warmup

import (
	"math"
	"time"
)

const (
	// floor is the number of requests in flight from which a window opens and to which it closes.
	floor = 4
	// probesPerInstance bounds what one instance may have in flight at an upstream that has not
	// answered yet: an instance whose own path has failed must not be the only one that tries.
	probesPerInstance = 2
	// slowFactor and failureFactor are the factors by which a window closes after an answer that was
	// slow or a single failure, and after successive failures.
	slowFactor, failureFactor = 0.8, 0.5
	// failuresToClose is the number of successive failures after which an upstream is probed anew.
	failuresToClose = 3
	// minProbeDelay and maxProbeDelay bound the time from a failed probe to the next one, which doubles
	// with each. An upstream that goes down and up by turns is thereby noticed within a second.
	minProbeDelay, maxProbeDelay = 100 * time.Millisecond, time.Second
	// maxProbeOnly is how long requests that may not be repeated are kept from an upstream that has
	// failed but isn't seen to fail any more.
	maxProbeOnly = 3 * time.Second
	// shownShare is the share of the usual requests in flight with which an upstream counts as warm.
	shownShare = 0.9
	// steadyTime is the time after which an upstream counts as warm if nothing was denied and no answer
	// was slow.
	steadyTime = time.Second
	// holdTime is how long an upstream that has failed remains limited, so that one that goes down and
	// up by turns stays within its window.
	holdTime = 2 * time.Second
	// maxOpenTime bounds the time for which a window limits an upstream that answers.
	maxOpenTime = 10 * time.Second
	// slotTimeout is the time after which a request whose outcome was not heard of counts as ended.
	slotTimeout = 15 * time.Second
	// denialWait is the time after which a full window is asked again: about that of one answer.
	denialWait = 50 * time.Millisecond
)

// Outcome is what an attempt at an upstream shows of its pace.
type Outcome uint8

// The outcomes of attempts.
const (
	OutcomeUnknown Outcome = iota // shows nothing, for example because the caller has left
	OutcomeInTime
	OutcomeSlow
	OutcomeFailed
)

// SlotID identifies a request for which a window has granted room.
type SlotID struct {
	Instance string
	ID       uint64
}

// slot is the room of one request.
type slot struct {
	grantedAt time.Time
}

// Demand is one request that asks for room.
type Demand struct {
	Slot       SlotID
	Repeatable bool
	// Usual is the mean number of requests in flight at the other upstreams, zero if it is not known or
	// counts requests that have been answered by a first byte.
	Usual float64
}

// Decision is the answer to a demand.
type Decision struct {
	Granted bool
	Wait    time.Duration // until there may be room, if it was not granted
}

// Move is a change of a window, for logs.
type Move struct {
	Before, After float64
	Reason        string
}

// The reasons of moves.
const (
	ReasonOpened  = "answered in time"
	ReasonSlow    = "answered slowly"
	ReasonFailed  = "failed"
	ReasonProbing = "fails again and again"
	ReasonProbed  = "answered a probe"
)

// Window limits the requests that all instances have in flight at one upstream. It is not safe for
// concurrent use.
type Window struct {
	limit     float64
	threshold float64 // limit up to which each answer in time opens the window by one request
	isProbing bool
	slots     map[SlotID]slot
	usual     float64

	failures     int       // successive failures, those of one moment counted once while probing
	failedAt     time.Time // latest failure
	probeAt      time.Time // no probe before
	decreasedAt  time.Time // requests granted before tell nothing of the present limit
	openedAt     time.Time // zero while probing
	steadySince  time.Time // since then nothing was denied, slow or failed
	inTime       int       // answers in time since steadySince
	hasShownPace bool      // answered in time with nearly as many requests in flight as usual
}

// NewWindow returns the window of an upstream that has just started, or has failed and may have
// recovered.
func NewWindow(now time.Time, hasFailed bool) *Window {
	w := &Window{limit: floor, threshold: math.Inf(1), slots: make(map[SlotID]slot), steadySince: now, isProbing: hasFailed}
	if hasFailed {
		w.failedAt = now
	} else {
		w.openedAt = now
	}
	return w
}

// Limit returns the number of requests that may be in flight.
func (w *Window) Limit() float64 { return w.limit }

// InFlight returns the number of requests in flight.
func (w *Window) InFlight() int { return len(w.slots) }

// IsProbing reports whether the upstream has not answered since it failed.
func (w *Window) IsProbing() bool { return w.isProbing }

// IsWarm reports whether the upstream needs no window any more.
func (w *Window) IsWarm(now time.Time) bool {
	switch {
	case w.isProbing || now.Sub(w.failedAt) < holdTime:
		return false
	case w.hasShownPace:
		return true
	case now.Sub(w.openedAt) >= maxOpenTime:
		return true
	default:
		return w.inTime >= floor && now.Sub(w.steadySince) >= steadyTime
	}
}

// Reserve grants room for one request if there is any.
func (w *Window) Reserve(now time.Time, d Demand) Decision {
	w.expire(now)
	if w.usual = d.Usual; d.Usual > 0 && math.IsInf(w.threshold, 1) {
		w.threshold = max(d.Usual/2, floor)
	}
	if w.isProbing {
		if wait := w.waitForProbe(now, d); wait > 0 {
			return Decision{Wait: wait}
		}
	}
	if float64(len(w.slots)) >= math.Floor(w.limit) {
		w.markUnsteady(now)
		return Decision{Wait: denialWait}
	}
	w.slots[d.Slot] = slot{grantedAt: now}
	return Decision{Granted: true}
}

// waitForProbe returns the time until a request may be sent as a probe, zero if it may be sent now.
func (w *Window) waitForProbe(now time.Time, d Demand) time.Duration {
	if now.Before(w.probeAt) {
		return w.probeAt.Sub(now)
	}
	if end := w.failedAt.Add(maxProbeOnly); !d.Repeatable && now.Before(end) {
		return end.Sub(now)
	}
	held := 0
	for id := range w.slots {
		if id.Instance == d.Slot.Instance {
			held++
		}
	}
	if held >= probesPerInstance {
		return denialWait
	}
	return 0
}

func (w *Window) expire(now time.Time) {
	for id, s := range w.slots {
		if now.Sub(s.grantedAt) >= slotTimeout {
			delete(w.slots, id)
		}
	}
}

func (w *Window) markUnsteady(now time.Time) { w.steadySince, w.inTime = now, 0 }

// Finish records the outcome of a request for which room was granted, frees its room, and returns how the
// window moves.
func (w *Window) Finish(now time.Time, id SlotID, o Outcome) (Move, bool) {
	s, ok := w.slots[id]
	if !ok {
		return Move{}, false
	}
	inFlight := float64(len(w.slots))
	delete(w.slots, id)
	if o == OutcomeUnknown {
		return Move{}, false
	}
	before := w.limit
	reason := w.judge(now, s, o, inFlight)
	return Move{Before: before, After: w.limit, Reason: reason}, reason != ""
}

// judge moves the window and returns the reason, empty if it stays. inFlight includes the request itself.
func (w *Window) judge(now time.Time, s slot, o Outcome, inFlight float64) string {
	isCurrent := !s.grantedAt.Before(w.decreasedAt)
	switch {
	case o == OutcomeFailed:
		return w.recordFailure(now, s, isCurrent)
	case w.isProbing:
		w.isProbing, w.failures, w.openedAt = false, 0, now
		w.markUnsteady(now)
		return ReasonProbed
	case o == OutcomeSlow:
		w.failures = 0
		w.markUnsteady(now)
		if !isCurrent {
			return ""
		}
		return w.decrease(now, slowFactor, ReasonSlow)
	default:
		return w.recordInTime(inFlight)
	}
}

func (w *Window) recordInTime(inFlight float64) string {
	w.failures = 0
	w.inTime++
	if w.usual > 0 && inFlight >= max(shownShare*w.usual, floor) {
		w.hasShownPace = true
	}
	if inFlight < w.limit/2 {
		return "" // the limit has not been tried
	}
	if w.limit < w.threshold {
		w.limit++
	} else {
		w.limit += 1 / w.limit
	}
	return ReasonOpened
}

func (w *Window) recordFailure(now time.Time, s slot, isCurrent bool) string {
	w.markUnsteady(now)
	w.hasShownPace = false
	if w.isProbing {
		if s.grantedAt.Before(w.failedAt) {
			return ""
		}
		return w.close(now)
	}
	w.failedAt = now
	if w.failures++; w.failures >= failuresToClose {
		w.failures = 0
		return w.close(now)
	}
	if !isCurrent {
		return ""
	}
	if w.failures == 1 { // the request itself may be the cause
		return w.decrease(now, slowFactor, ReasonFailed)
	}
	return w.decrease(now, failureFactor, ReasonFailed)
}

// close starts to probe the upstream, or delays the next probe.
func (w *Window) close(now time.Time) string {
	w.isProbing, w.failedAt, w.decreasedAt = true, now, now
	w.probeAt = now.Add(min(minProbeDelay<<min(w.failures, 8), maxProbeDelay))
	w.failures++
	w.limit, w.threshold = floor, max(w.limit/2, floor)
	return ReasonProbing
}

func (w *Window) decrease(now time.Time, factor float64, reason string) string {
	w.decreasedAt = now
	w.limit = max(factor*w.limit, floor)
	w.threshold = w.limit
	return reason
}
