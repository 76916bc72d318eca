package admission

import "time"

const (
	paceWeight = 0.1             // of the latest interval in the mean
	paceMemory = 5 * time.Second // after which an idle queue forgets its pace
)

// pace estimates the time between two dispatches while requests wait.
type pace struct {
	mean    time.Duration
	last    time.Time // latest dispatch or start of the backlog
	backlog bool
}

func (p *pace) backlogStarts(now time.Time) {
	if now.Sub(p.last) > paceMemory {
		p.mean = 0
	}
	p.last = now
	p.backlog = true
}

// took records a dispatch. More tells whether requests still wait.
func (p *pace) took(now time.Time, more bool) {
	if p.backlog {
		interval := now.Sub(p.last)
		p.mean += time.Duration(paceWeight * float64(interval-p.mean))
	}
	p.last = now
	p.backlog = more
}

// shrunk records that requests left without a dispatch and how many still wait.
func (p *pace) shrunk(waiting int) {
	if waiting == 0 {
		p.backlog = false
	}
}

// interval returns the mean, or the time without a dispatch when that is longer,
// so that a service that hangs is noticed.
func (p *pace) interval(now time.Time) time.Duration {
	if !p.backlog {
		return p.mean
	}
	return max(p.mean, now.Sub(p.last))
}
