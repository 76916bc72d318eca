package warmup

import (
	"time"

	"savoryweir/internal/coordination/permits"
)

const (
	// endTolerance is the time by which instances may learn of the same failures one after another. An
	// upstream that has become warm stays warm for those that learned of them late.
	endTolerance = time.Second
	// endMemory is how long the end of a window is remembered: longer than any instance keeps an
	// episode.
	endMemory = 2 * episodeMemory
)

// Windows holds the windows of the upstreams that one instance owns. It is not safe for concurrent use.
type Windows struct {
	windows map[permits.Incarnation]*Window
	endedAt map[permits.Incarnation]time.Time
}

// NewWindows returns no windows.
func NewWindows() *Windows {
	return &Windows{windows: make(map[permits.Incarnation]*Window), endedAt: make(map[permits.Incarnation]time.Time)}
}

// Get returns the window of an upstream, nil if there is none.
func (o *Windows) Get(of permits.Incarnation) *Window { return o.windows[of] }

// Reserve grants room for one request to an upstream that is in an episode as another instance, or this
// one, knows it. isWarm reports that the upstream needs no window any more.
func (o *Windows) Reserve(now time.Time, of permits.Incarnation, e Episode, d Demand) (decision Decision, isWarm bool) {
	w := o.windows[of]
	if w == nil {
		if endedAt, ok := o.endedAt[of]; ok && e.Since.Before(endedAt.Add(endTolerance)) {
			return Decision{}, true
		}
		w = NewWindow(now, e.HasFailed)
		o.windows[of] = w
	}
	if w.IsWarm(now) {
		o.end(now, of)
		return Decision{}, true
	}
	return w.Reserve(now, d), false
}

func (o *Windows) end(now time.Time, of permits.Incarnation) {
	delete(o.windows, of)
	o.endedAt[of] = now
}

// Finish records the outcome of a request, frees its room, and returns how the window of the upstream moves.
func (o *Windows) Finish(now time.Time, of permits.Incarnation, id SlotID, outcome Outcome) (Move, bool) {
	if w := o.windows[of]; w != nil {
		return w.Finish(now, id, outcome)
	}
	return Move{}, false
}

// Retain ends the windows of upstreams that are warm, and forgets those of upstreams that are not
// listed. It returns both.
func (o *Windows) Retain(now time.Time, isListed func(permits.Incarnation) bool) (warm, gone []permits.Incarnation) {
	for of, w := range o.windows {
		switch {
		case !isListed(of):
			delete(o.windows, of)
			gone = append(gone, of)
		case w.IsWarm(now):
			o.end(now, of)
			warm = append(warm, of)
		}
	}
	for of, at := range o.endedAt {
		if now.Sub(at) > endMemory {
			delete(o.endedAt, of)
		}
	}
	return warm, gone
}

// All returns the windows by upstream.
func (o *Windows) All() map[permits.Incarnation]*Window { return o.windows }
