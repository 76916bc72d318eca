// Package loads keeps what all instances have in flight at each upstream, as far
// as this instance knows, and how fast and how soundly each upstream answers.
package loads

import (
	"maps"
	"math"
	"time"

	"savoryweir/internal/state/fleet"
)

// PriorityRanks is the number of ranks of urgency that are told apart; rank 0 is first.
const PriorityRanks = 4

// PriorityRank returns the rank of a route's priority.
func PriorityRank(priority int) int { return min(max(priority, 0), PriorityRanks-1) }

// Load is the work in flight at one upstream.
type Load struct {
	// PendingPrefill is the time that reading the prompts takes whose first event has not
	// come, by rank. It is a time and not a number of tokens, as the models that
	// share an engine are not read at the same speed.
	PendingPrefill [PriorityRanks]time.Duration
	Running        int // requests in flight whose first event has come, and all of plain services
}

// Add adds other to l.
func (l *Load) Add(other Load) {
	for i := range l.PendingPrefill {
		l.PendingPrefill[i] += other.PendingPrefill[i]
	}
	l.Running += other.Running
}

// IsZero reports whether nothing is in flight.
func (l Load) IsZero() bool { return l == Load{} }

// PendingPrefillUpTo returns the reading time of the prompts that are served no later than rank.
func (l Load) PendingPrefillUpTo(rank int) time.Duration {
	var sum time.Duration
	for i := 0; i <= rank; i++ {
		sum += l.PendingPrefill[i]
	}
	return sum
}

// remote is what another instance has told.
type remote struct {
	loads map[fleet.UpstreamID]Load
	heard time.Time
}

// meanLoad is a load as a sum of shares.
type meanLoad struct {
	unread  [PriorityRanks]float64
	running float64
}

const (
	// meanTime is the time constant of the average load of an upstream: some of the
	// slowest reports.
	meanTime = 1500 * time.Millisecond
	// trustTime is the age at which a report counts for a third of the estimate. Prompts
	// are read within about that time, so that an older report tells little of the
	// present; what an upstream has in flight on average is the better guess then, and
	// keeps all instances from sending to the same upstream that was idle once.
	trustTime = 200 * time.Millisecond
	// leastReading and leastRunning are the loads below which an average is forgotten.
	leastReading = float64(time.Millisecond)
	leastRunning = 0.05
	// estimateEvery is how long what was worked out of the reports of all others is used: a
	// step of an engine's batch.
	estimateEvery = 30 * time.Millisecond
)

// scaled returns a share of a load.
func scaled(l Load, share float64) meanLoad {
	m := meanLoad{running: share * float64(l.Running)}
	for i := range m.unread {
		m.unread[i] = share * float64(l.PendingPrefill[i])
	}
	return m
}

func (m meanLoad) scaled(share float64) meanLoad {
	for i := range m.unread {
		m.unread[i] *= share
	}
	m.running *= share
	return m
}

func (m meanLoad) isNothing() bool {
	sum := 0.0
	for _, u := range m.unread {
		sum += u
	}
	return sum < leastReading && m.running < leastRunning
}

// plus returns the sum of two loads.
func (m meanLoad) plus(other meanLoad) meanLoad {
	for i := range m.unread {
		m.unread[i] += other.unread[i]
	}
	m.running += other.running
	return m
}

func (m meanLoad) load() Load {
	l := Load{Running: int(math.Round(m.running))}
	for i := range m.unread {
		l.PendingPrefill[i] = time.Duration(m.unread[i])
	}
	return l
}

// Tracker holds the loads. It is not safe for concurrent use.
type Tracker struct {
	freshness time.Duration // age beyond which another instance's report counts no more
	own       map[fleet.UpstreamID]Load
	remote    map[string]remote
	mean      map[fleet.UpstreamID]meanLoad // moving average over the reports of all others
	others    map[fleet.UpstreamID]meanLoad // estimate of the loads of all others
	othersAt  time.Time
}

// NewTracker returns an empty book.
func NewTracker(freshness time.Duration) *Tracker {
	return &Tracker{freshness: freshness, own: make(map[fleet.UpstreamID]Load), remote: make(map[string]remote), mean: make(map[fleet.UpstreamID]meanLoad)}
}

// UpdateLocal adds delta to the own load of an upstream.
func (b *Tracker) UpdateLocal(id fleet.UpstreamID, change func(*Load)) {
	l := b.own[id]
	change(&l)
	if l.IsZero() {
		delete(b.own, id)
		return
	}
	b.own[id] = l
}

// Local returns a copy of the own loads.
func (b *Tracker) Local() map[fleet.UpstreamID]Load { return maps.Clone(b.own) }

// SetRemote replaces what another instance has in flight.
func (b *Tracker) SetRemote(now time.Time, instance string, l map[fleet.UpstreamID]Load) {
	b.remote[instance] = remote{loads: l, heard: now}
}

// Total returns the load of an upstream over all instances.
func (b *Tracker) Total(now time.Time, id fleet.UpstreamID) Load {
	b.refresh(now)
	total := b.own[id]
	total.Add(b.others[id].load())
	return total
}

// refresh estimates the loads of all others, unless that was done a moment ago: each
// report counts as far as it is fresh, and the average load for the rest.
func (b *Tracker) refresh(now time.Time) {
	since := now.Sub(b.othersAt)
	if since < estimateEvery {
		return
	}
	b.othersAt = now
	latest := make(map[fleet.UpstreamID]meanLoad, len(b.mean))
	b.others = make(map[fleet.UpstreamID]meanLoad, len(b.mean))
	trusted := 0.0
	for name, r := range b.remote {
		age := now.Sub(r.heard)
		if age > b.freshness {
			delete(b.remote, name)
			continue
		}
		trust := math.Exp(-float64(age) / float64(trustTime))
		trusted += trust
		for id, l := range r.loads {
			latest[id] = latest[id].plus(scaled(l, 1))
			b.others[id] = b.others[id].plus(scaled(l, trust))
		}
	}
	if len(b.remote) == 0 {
		clear(b.mean)
		return
	}
	b.average(latest, 1-math.Exp(-float64(since)/float64(meanTime)))
	untrusted := 1 - trusted/float64(len(b.remote))
	for id, m := range b.mean {
		b.others[id] = b.others[id].plus(m.scaled(untrusted))
	}
}

// average moves the average towards the latest reports.
func (b *Tracker) average(latest map[fleet.UpstreamID]meanLoad, weight float64) {
	for id, m := range b.mean {
		m = m.scaled(1 - weight).plus(latest[id].scaled(weight))
		if _, told := latest[id]; !told && m.isNothing() {
			delete(b.mean, id)
			continue
		}
		b.mean[id] = m
	}
	for id, l := range latest {
		if _, ok := b.mean[id]; !ok {
			b.mean[id] = l.scaled(weight)
		}
	}
}
