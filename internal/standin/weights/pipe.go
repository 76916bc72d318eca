package weights

import (
	"math"
	"time"
)

// smallestWork is the remaining work, in loads, below which a load counts as finished.
const smallestWork = 1e-6

// transfer is one running load.
type transfer struct {
	remaining float64 // share of a whole load
	done      func(at time.Time)
}

// completion is one finished load.
type completion struct {
	at   time.Time
	done func(at time.Time)
}

// pipe is bandwidth that its transfers share equally.
type pipe struct {
	duration  float64 // seconds that a load takes at full speed
	atOnce    int
	clock     time.Time
	transfers []transfer
}

func (p *pipe) add(now time.Time, work float64, done func(time.Time)) {
	if len(p.transfers) == 0 {
		p.clock = now
	}
	p.transfers = append(p.transfers, transfer{remaining: work, done: done})
}

// speed returns the loads a second that one transfer gets.
func (p *pipe) speed() float64 {
	share := math.Min(1, float64(p.atOnce)/float64(len(p.transfers)))
	return share / p.duration
}

func (p *pipe) next() (time.Time, bool) {
	if len(p.transfers) == 0 {
		return time.Time{}, false
	}
	least := math.Inf(1)
	for _, t := range p.transfers {
		least = math.Min(least, t.remaining)
	}
	seconds := math.Max(least, 0) / p.speed()
	return p.clock.Add(time.Duration(math.Round(seconds * float64(time.Second)))), true
}

func (p *pipe) advance(now time.Time) []completion {
	var finished []completion
	for {
		due, ok := p.next()
		if !ok {
			return finished
		}
		if due.After(now) {
			p.work(now)
			return finished
		}
		p.work(due)
		finished = append(finished, p.takeFinished(due)...)
	}
}

// work lets all transfers run until the given time.
func (p *pipe) work(until time.Time) {
	if !until.After(p.clock) {
		return
	}
	step := until.Sub(p.clock).Seconds() * p.speed()
	for i := range p.transfers {
		p.transfers[i].remaining -= step
	}
	p.clock = until
}

func (p *pipe) takeFinished(at time.Time) []completion {
	var finished []completion
	var running []transfer
	for _, t := range p.transfers {
		if t.remaining > smallestWork {
			running = append(running, t)
			continue
		}
		finished = append(finished, completion{at: at, done: t.done})
	}
	p.transfers = running
	return finished
}
