package policy

import (
	"container/heap"
	"container/list"
	"time"

	"savoryweir/internal/coordination/routing"
	"savoryweir/internal/state/bundle"
)

// engine is a small model of a batching upstream. All requests of its batch
// advance by a token at each step, and a step takes longer with a larger batch.
type engine struct {
	id      bundle.UpstreamID
	index   int
	service int
	zone    int
	inZone  bundle.Zone
	spec    *ServiceSpec
	sim     *simulation

	steps     float64       // made by the batch since the start
	stepsAt   time.Duration // when steps was brought up to date
	batch     batch
	waiting   [3][]*attempt // by priority
	cache     prefixCache
	wake      uint64 // number of the latest wake-up
	slowdown  float64
	hung      bool
	failing   bool
	down      bool
	downSince time.Duration
}

func (e *engine) load() routing.Load {
	return routing.Load{Running: len(e.batch), Waiting: e.waitingCount(), ReportedAt: e.sim.time()}
}

func (e *engine) waitingCount() int { return len(e.waiting[0]) + len(e.waiting[1]) + len(e.waiting[2]) }

func priority(c routing.Class) int {
	switch c {
	case routing.ClassNow:
		return 0
	case routing.ClassLong:
		return 1
	default:
		return 2
	}
}

// advance brings the steps up to the present.
func (e *engine) advance() {
	elapsed := e.sim.now - e.stepsAt
	e.stepsAt = e.sim.now
	if len(e.batch) == 0 || e.hung || e.down {
		return
	}
	made := float64(elapsed) / e.stepTime()
	e.steps += made
	e.sim.result.work(e.service, made*float64(len(e.batch)))
}

// presentSteps returns the steps made up to the present and changes nothing.
func (e *engine) presentSteps() float64 {
	if len(e.batch) == 0 || e.hung || e.down {
		return e.steps
	}
	return e.steps + float64(e.sim.now-e.stepsAt)/e.stepTime()
}

func (e *engine) stepTime() float64 {
	return float64(e.spec.step(len(e.batch))) * e.slowdown
}

func (e *engine) arrive(a *attempt) {
	if e.down || e.failing || !e.sim.ready(e.service, a.job.model, e.index) {
		e.answer(a, false)
		return
	}
	e.advance()
	p := priority(a.job.class)
	e.waiting[p] = append(e.waiting[p], a)
	e.fill()
	e.schedule()
}

// fill moves waiting requests into the batch, by priority and then by arrival.
func (e *engine) fill() {
	for p := range e.waiting {
		for len(e.batch) < e.spec.Slots && len(e.waiting[p]) > 0 {
			a := e.waiting[p][0]
			e.waiting[p] = e.waiting[p][1:]
			a.firstStep = e.steps
			a.lastStep = e.steps + e.prefill(a.job) + a.job.tokens
			heap.Push(&e.batch, a)
			if a.job.crash {
				e.sim.crash(e)
				return
			}
		}
	}
}

func (e *engine) prefill(j *job) float64 {
	if j.prefix == 0 {
		return 0
	}
	if e.cache.touch(j.prefix, e.spec.CacheSize) {
		e.sim.result.hits++
		return e.spec.PrefillHit
	}
	e.sim.result.misses++
	return e.spec.PrefillAll
}

// schedule plans the wake-up at the end of the shortest answer in the batch.
func (e *engine) schedule() {
	e.wake++
	if len(e.batch) == 0 || e.hung || e.down {
		return
	}
	number := e.wake
	left := max(e.batch[0].lastStep-e.steps, 0)
	e.sim.after(time.Duration(left*e.stepTime())+1, func() {
		if number == e.wake {
			e.complete()
		}
	})
}

const stepTolerance = 1e-6 // of a step, for rounding

func (e *engine) complete() {
	e.advance()
	for len(e.batch) > 0 && e.batch[0].lastStep <= e.steps+stepTolerance {
		a := heap.Pop(&e.batch).(*attempt)
		e.answer(a, true)
	}
	e.fill()
	e.schedule()
}

// answer sends the outcome and the present load to the instance.
func (e *engine) answer(a *attempt, completed bool) {
	load := e.load()
	a.left = true
	e.sim.after(e.sim.delay(a.instance.zone, e.zone), func() { a.instance.answered(a, completed, load) })
}

// cancel removes an attempt that its entry gave up.
func (e *engine) cancel(a *attempt) {
	if a.left {
		return
	}
	e.advance()
	a.left = true
	if a.position >= 0 && a.position < len(e.batch) && e.batch[a.position] == a {
		heap.Remove(&e.batch, a.position)
		e.sim.result.workWasted += e.steps - a.firstStep
	}
	p := priority(a.job.class)
	for i, w := range e.waiting[p] {
		if w == a {
			e.waiting[p] = append(e.waiting[p][:i:i], e.waiting[p][i+1:]...)
			break
		}
	}
	e.fill()
	e.schedule()
}

// die drops all requests. Their entries see broken connections.
func (e *engine) die() {
	e.advance()
	e.down = true
	e.downSince = e.sim.now
	lost := append([]*attempt(nil), e.batch...)
	for p := range e.waiting {
		lost = append(lost, e.waiting[p]...)
		e.waiting[p] = nil
	}
	for _, a := range e.batch {
		e.sim.result.workWasted += e.steps - a.firstStep
	}
	e.batch = nil
	e.cache = prefixCache{}
	e.schedule()
	e.sim.tellDeath(e, lost)
}

func (e *engine) restart() {
	e.advance()
	e.down = false
	e.sim.tellRestart(e)
}

// setFault changes the speed or health, after the steps were brought up to date.
func (e *engine) setFault(change func()) {
	e.advance()
	change()
	e.fill()
	e.schedule()
}

// batch is a heap by the step at which answers end.
type batch []*attempt

func (b batch) Len() int           { return len(b) }
func (b batch) Less(i, j int) bool { return b[i].lastStep < b[j].lastStep }
func (b batch) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].position, b[j].position = i, j
}

// Push implements heap.Interface.
func (b *batch) Push(x any) {
	a := x.(*attempt)
	a.position = len(*b)
	*b = append(*b, a)
}

// Pop implements heap.Interface.
func (b *batch) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	last.position = -1
	return last
}

// prefixCache keeps the prefixes used last.
type prefixCache struct {
	order   *list.List
	entries map[uint64]*list.Element
}

// touch uses the prefix and reports whether it was in the cache.
func (c *prefixCache) touch(prefix uint64, size int) bool {
	if c.order == nil {
		c.order = list.New()
		c.entries = make(map[uint64]*list.Element)
	}
	if element, ok := c.entries[prefix]; ok {
		c.order.MoveToFront(element)
		return true
	}
	c.entries[prefix] = c.order.PushFront(prefix)
	if c.order.Len() > size {
		oldest := c.order.Back()
		delete(c.entries, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return false
}

// arriveUnlessLeft drops an attempt that its entry gave up on the way.
func (e *engine) arriveUnlessLeft(a *attempt) {
	if !a.left {
		e.arrive(a)
	}
}
