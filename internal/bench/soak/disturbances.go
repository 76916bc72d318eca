package soak

import (
	"slices"
	"sync"
	"time"
)

// stable is the time without a fault after which a promise with a time bound holds again.
const stable = 3 * time.Second

// Subjects of faults that concern all instances. Those atUpstreams, and the engines that requests
// have crashed, leave the instances in touch with the store and with each other.
const (
	everywhere  = -1
	atUpstreams = -2
	atCrashed   = -3
)

// plannedness tells planned work from faults.
type plannedness bool

const (
	planned   plannedness = true
	unplanned plannedness = false
)

type span struct {
	subject  int
	kind     plannedness
	from, to time.Time // to is zero while it lasts
	isSlow   bool      // the instance is slow, so that it is in touch for callers that leave
}

// disturbances remembers when instances were disturbed. It is safe for concurrent use.
type disturbances struct {
	mu     sync.Mutex
	spans  []span
	stalls int
}

func (d *disturbances) begin(subject int, kind plannedness) {
	d.add(span{subject: subject, kind: kind, from: time.Now()})
}

func (d *disturbances) add(s span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, s)
}

const (
	stallTick = 20 * time.Millisecond
	// stallFrom is the lateness of a tick from which the machine counts as stalled: half
	// of what a final answer may be late.
	stallFrom = answerSlack / 2
)

// watchStalls notices when the machine gives the soak itself no processor time, which is
// a disturbance of all instances, until stop is closed.
func (d *disturbances) watchStalls(stop <-chan struct{}) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		now := time.Now()
		if now.Sub(last) > stallFrom {
			d.mu.Lock()
			d.spans = append(d.spans, span{subject: everywhere, kind: unplanned, from: last, to: now})
			d.stalls++
			d.mu.Unlock()
		}
		last = now
	}
}

// stallCount returns how often the machine stalled.
func (d *disturbances) stallCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stalls
}

// end ends the first disturbance of the kind that lasts.
func (d *disturbances) end(subject int, kind plannedness) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.spans {
		s := &d.spans[i]
		if s.subject == subject && s.kind == kind && s.to.IsZero() && !s.isSlow {
			s.to = time.Now()
			return
		}
	}
}

// touched reports whether an instance was disturbed since a time.
func (d *disturbances) touched(subject int, since time.Time, kind plannedness) bool {
	return d.between(subject, since, time.Now(), kind)
}

// between reports whether an instance was disturbed in a span of time.
func (d *disturbances) between(subject int, from, to time.Time, kind plannedness) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		concerns := s.subject == subject || s.subject == everywhere || s.subject == atUpstreams || s.subject == atCrashed || subject == everywhere
		if concerns && s.kind == kind && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// own reports whether an instance itself was killed or paused in a span of time.
func (d *disturbances) own(subject int, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.spans {
		if s.subject == subject && s.kind == unplanned && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// isInTouch reports whether no fault touched an instance, or the ways between instances, in a
// span of time nor in the stable time before it.
func (d *disturbances) isInTouch(subject int, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.spans, func(s span) bool {
		return (s.subject == subject || s.subject == everywhere) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-stable)))
	})
}

// isInTouchWithCallers is isInTouch for promises that hold for slow instances too.
func (d *disturbances) isInTouchWithCallers(subject int, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.ContainsFunc(d.spans, func(s span) bool {
		return !s.isSlow && (s.subject == subject || s.subject == everywhere) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-stable)))
	})
}

// isSlow reports whether an instance was slow in a span of time.
func (d *disturbances) isSlow(subject int, from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans, func(s span) bool {
		return s.isSlow && s.subject == subject && s.from.Before(to) && s.to.After(from)
	})
}

// isCalm reports whether neither faults nor planned work touched an instance in a
// span of time nor in the stable time before it.
func (d *disturbances) isCalm(subject int, from, to time.Time) bool {
	from = from.Add(-stable)
	return !d.between(subject, from, to, unplanned) && !d.between(subject, from, to, planned)
}
