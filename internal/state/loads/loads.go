// Package loads keeps what all instances have in flight at each upstream, as far
// as this instance knows, and how fast and how soundly each upstream answers.
package loads

import (
	"maps"
	"math"
	"time"

	"savoryweir/internal/state/fleet"
)

// Ranks is the number of ranks of urgency that are told apart; rank 0 is first.
const Ranks = 4

// RankOf returns the rank of a route's priority.
func RankOf(priority int) int { return min(max(priority, 0), Ranks-1) }

// Load is the work in flight at one upstream.
type Load struct {
	// Unread is the time that reading the prompts takes whose first event has not
	// come, by rank. It is a time and not a number of tokens, as the models that
	// share an engine are not read at the same speed.
	Unread  [Ranks]time.Duration
	Running int // requests in flight whose first event has come, and all of plain services
}

// Add adds other to l.
func (l *Load) Add(other Load) {
	for i := range l.Unread {
		l.Unread[i] += other.Unread[i]
	}
	l.Running += other.Running
}

// IsZero reports whether nothing is in flight.
func (l Load) IsZero() bool { return l == Load{} }

// UnreadUpTo returns the reading time of the prompts that are served no later than rank.
func (l Load) UnreadUpTo(rank int) time.Duration {
	var sum time.Duration
	for i := 0; i <= rank; i++ {
		sum += l.Unread[i]
	}
	return sum
}

// remote is what another instance has told.
type remote struct {
	loads map[fleet.UpstreamID]Load // by its last report
	mean  map[fleet.UpstreamID]meanLoad
	heard time.Time
}

// meanLoad is the moving average of a load over the reports of an instance.
type meanLoad struct {
	unread  [Ranks]float64
	running float64
}

const (
	// meanTime is the time constant of the average of another instance's loads: some
	// of its slowest reports.
	meanTime = 1500 * time.Millisecond
	// trustTime is the age at which a report counts for a third of the estimate. Prompts
	// are read within about that time, so that an older report tells little of the
	// present; what an instance has in flight on average is the better guess then, and
	// keeps all others from sending to the same upstream that was idle once.
	trustTime = 200 * time.Millisecond
	// leastReading and leastRunning are the loads below which an average is forgotten.
	leastReading = float64(time.Millisecond)
	leastRunning = 0.05
	// estimateEvery is how long an estimate of the loads of all others is used: a step of
	// an engine's batch. Working it out takes a look at the reports of all instances.
	estimateEvery = 30 * time.Millisecond
)

// add moves the average towards a reported load.
func (m meanLoad) add(l Load, weight float64) meanLoad {
	for i := range m.unread {
		m.unread[i] += weight * (float64(l.Unread[i]) - m.unread[i])
	}
	m.running += weight * (float64(l.Running) - m.running)
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
		l.Unread[i] = time.Duration(m.unread[i])
	}
	return l
}

// Book holds the loads. It is not safe for concurrent use.
type Book struct {
	freshness time.Duration // age beyond which another instance's report counts no more
	own       map[fleet.UpstreamID]Load
	remote    map[string]remote
	others    map[fleet.UpstreamID]meanLoad // estimate of the loads of all others
	othersAt  time.Time
}

// NewBook returns an empty book.
func NewBook(freshness time.Duration) *Book {
	return &Book{freshness: freshness, own: make(map[fleet.UpstreamID]Load), remote: make(map[string]remote)}
}

// Change adds delta to the own load of an upstream.
func (b *Book) Change(id fleet.UpstreamID, change func(*Load)) {
	l := b.own[id]
	change(&l)
	if l.IsZero() {
		delete(b.own, id)
		return
	}
	b.own[id] = l
}

// Own returns a copy of the own loads.
func (b *Book) Own() map[fleet.UpstreamID]Load { return maps.Clone(b.own) }

// Learn takes a report of what another instance has in flight.
func (b *Book) Learn(now time.Time, instance string, l map[fleet.UpstreamID]Load) {
	r, known := b.remote[instance]
	if !known {
		r.mean = make(map[fleet.UpstreamID]meanLoad, len(l))
	}
	weight := 1 - math.Exp(-float64(now.Sub(r.heard))/float64(meanTime))
	for id, m := range r.mean {
		r.mean[id] = m.add(l[id], weight)
		if _, told := l[id]; !told && r.mean[id].isNothing() {
			delete(r.mean, id)
		}
	}
	for id, load := range l {
		if _, ok := r.mean[id]; !ok {
			r.mean[id] = meanLoad{}.add(load, weight)
		}
	}
	r.loads, r.heard = l, now
	b.remote[instance] = r
}

// Total returns the load of an upstream over all instances.
func (b *Book) Total(now time.Time, id fleet.UpstreamID) Load {
	if now.Sub(b.othersAt) >= estimateEvery {
		b.estimate(now)
	}
	total := b.own[id]
	total.Add(b.others[id].load())
	return total
}

// estimate works out the loads of all others: of each instance, its last report as far
// as that is fresh, and its average for the rest.
func (b *Book) estimate(now time.Time) {
	b.othersAt = now
	b.others = make(map[fleet.UpstreamID]meanLoad, len(b.others))
	for name, r := range b.remote {
		age := now.Sub(r.heard)
		if age > b.freshness {
			delete(b.remote, name)
			continue
		}
		trust := math.Exp(-float64(age) / float64(trustTime))
		for id, m := range r.mean {
			b.others[id] = b.others[id].plus(m.add(r.loads[id], trust))
		}
	}
}
