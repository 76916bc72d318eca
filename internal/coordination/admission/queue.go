package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"savoryweir/internal/coordination/fairness"
	"savoryweir/internal/coordination/routing"
)

// RequestID identifies a request within one entry process.
type RequestID uint64

// Caller identifies one of the customers that share the service.
type Caller string

// Request holds the properties of a request that the queue uses.
type Request struct {
	ID               RequestID
	Caller           Caller
	Class            routing.Class
	Deadline         time.Time
	ExpectedDuration time.Duration // time from dispatch to the complete response
}

// Refusal is the final response to a request for which the queue has no room or that
// can't meet its deadline.
type Refusal struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Reason states why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonQueueFull Reason = "queue full"
	ReasonDeadline  Reason = "deadline can't be met"
)

// Capacity counts the requests that the upstreams of the service can run for all
// entry processes together.
type Capacity struct {
	Total     int
	Free      int
	Instances int // number of instances whose entry processes share this capacity
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	settings         Settings
	rand             *rand.Rand
	waiting          [classCount][]Request // each ordered by deadline
	running          map[RequestID]Request
	runningByClass   [classCount]int
	usage            *fairness.Usage[Caller]
	dispatchInterval dispatchInterval
	overnightBudget  overnightBudget
}

type class int

const (
	classNow class = iota
	classLong
	classOvernight
	classCount
)

func classOf(c routing.Class) class {
	switch c {
	case routing.ClassLong:
		return classLong
	case routing.ClassOvernight:
		return classOvernight
	default:
		return classNow
	}
}

// New returns an empty queue. The random generator adds jitter to the Retry-After times.
func New(settings Settings, r *rand.Rand) *Queue {
	return &Queue{
		settings: settings,
		rand:     r,
		running:  make(map[RequestID]Request),
		usage:    newUsage(settings.FairnessHalfLife),
	}
}

// Offer adds the request to the queue. It returns false and the refusal if the queue is
// full or the request can't meet its deadline.
func (q *Queue) Offer(now time.Time, request Request) (Refusal, bool) {
	if q.Len() >= q.settings.MaxWaiting {
		return q.refuse(now, request, ReasonQueueFull), false
	}
	c := classOf(request.Class)
	at := insertPosition(q.waiting[c], request)
	if !q.meetsDeadline(now, request, q.countAhead(c, at)) {
		return q.refuse(now, request, ReasonDeadline), false
	}
	q.usage.MarkPresent(now, request.Caller, waitingUsage)
	if q.Len() == 0 {
		q.dispatchInterval.startBacklog(now)
	}
	q.waiting[c] = slices.Insert(q.waiting[c], at, request)
	return Refusal{}, true
}

// Take removes and returns the next request for which place returns true. It returns
// false if no request can run now.
func (q *Queue) Take(now time.Time, capacity Capacity, place func(Request) bool) (Request, bool) {
	q.overnightBudget.refill(now, capacity, q.settings)
	for _, c := range q.classOrder() {
		if request, ok := q.takeClass(now, c, place); ok {
			return request, true
		}
	}
	return Request{}, false
}

// Done records that a dispatched request has ended.
func (q *Queue) Done(id RequestID) {
	request, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.runningByClass[classOf(request.Class)]--
}

// Cancel removes a waiting request and reports whether it was in the queue.
func (q *Queue) Cancel(id RequestID) bool {
	for c := range q.waiting {
		i := slices.IndexFunc(q.waiting[c], func(r Request) bool { return r.ID == id })
		if i >= 0 {
			q.waiting[c] = slices.Delete(q.waiting[c], i, i+1)
			q.dispatchInterval.removed(q.Len())
			return true
		}
	}
	return false
}

// Expire removes and returns the requests that can no longer meet their deadline.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refused []Refusal
	for c := range q.waiting {
		kept := q.waiting[c][:0]
		for _, request := range q.waiting[c] {
			if q.meetsDeadline(now, request, q.countAhead(class(c), len(kept))) {
				kept = append(kept, request)
				continue
			}
			refused = append(refused, q.refuse(now, request, ReasonDeadline))
		}
		q.waiting[c] = kept
	}
	q.dispatchInterval.removed(q.Len())
	return refused
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	n := 0
	for _, waiting := range q.waiting {
		n += len(waiting)
	}
	return n
}

// Running returns the number of dispatched requests that have not ended.
func (q *Queue) Running() int { return len(q.running) }

// classOrder returns the classes that may use free capacity, in order of preference.
// Long streams go first below LongMinShare and are left out from LongMaxShare on.
// Overnight requests run only if no request of class now waits.
func (q *Queue) classOrder() []class {
	var classes []class
	long := float64(q.runningByClass[classLong])
	running := float64(len(q.running) + 1)
	if long < q.settings.LongMinShare*running {
		classes = append(classes, classLong)
	}
	classes = append(classes, classNow)
	if long < q.settings.LongMaxShare*running {
		classes = append(classes, classLong)
	}
	if q.overnightBudget.tokens >= 1 && len(q.waiting[classNow]) == 0 {
		classes = append(classes, classOvernight)
	}
	return classes
}

// takeClass takes a request of one class. Callers within their fair share go first,
// and among them the request with the earliest deadline.
func (q *Queue) takeClass(now time.Time, c class, place func(Request) bool) (Request, bool) {
	for _, exceedsShare := range []bool{false, true} {
		for i, request := range q.waiting[c] {
			if q.usage.ExceedsFairShare(now, request.Caller, q.settings.FairnessSlack) != exceedsShare || !place(request) {
				continue
			}
			q.waiting[c] = slices.Delete(q.waiting[c], i, i+1)
			q.markRunning(now, c, request)
			return request, true
		}
	}
	return Request{}, false
}

func (q *Queue) markRunning(now time.Time, c class, request Request) {
	q.running[request.ID] = request
	q.runningByClass[c]++
	if c == classOvernight {
		q.overnightBudget.tokens--
	}
	q.usage.Add(now, request.Caller, float64(request.ExpectedDuration))
	q.dispatchInterval.dispatched(now, q.Len() > 0)
}

// countAhead returns the number of requests that go before index at of class c.
func (q *Queue) countAhead(c class, at int) int {
	switch c {
	case classOvernight:
		return at + len(q.waiting[classNow]) + len(q.waiting[classLong])
	default:
		return at
	}
}

// meetsDeadline reports whether the request can complete before its deadline when the
// given number of requests are dispatched before it.
func (q *Queue) meetsDeadline(now time.Time, request Request, ahead int) bool {
	wait := time.Duration(ahead) * q.dispatchInterval.estimate(now)
	return !now.Add(wait + request.ExpectedDuration).After(request.Deadline)
}

func (q *Queue) refuse(now time.Time, request Request, reason Reason) Refusal {
	return Refusal{Request: request, Reason: reason, RetryAfter: q.RetryAfter(now)}
}

// RetryAfter returns the estimated time to drain the queue, bounded by the settings,
// plus jitter of up to the same time so that callers do not retry together. The value
// is sent with every final response that asks the caller to retry, including the
// response to a request that ran too long.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	drain := time.Duration(q.Len()) * q.dispatchInterval.estimate(now)
	base := min(max(drain, q.settings.RetryAfterMin), q.settings.RetryAfterMax/2)
	return base + time.Duration(q.rand.Float64()*float64(base))
}

// insertPosition returns the index at which the request keeps the slice ordered by
// deadline, after requests with the same deadline.
func insertPosition(waiting []Request, request Request) int {
	at, _ := slices.BinarySearchFunc(waiting, request, func(w, r Request) int {
		if w.Deadline.After(r.Deadline) {
			return 1
		}
		return -1
	})
	return at
}
