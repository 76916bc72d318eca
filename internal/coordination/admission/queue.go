package admission

import (
	"math/rand/v2"
	"slices"
	"time"

	"savoryweir/internal/coordination/routing"
)

// RequestID identifies a request within one entry.
type RequestID uint64

// Caller identifies who shares the service, for example a desk or a bakery.
type Caller string

// Request is what the queue knows of a request.
type Request struct {
	ID               RequestID
	Caller           Caller
	Class            routing.Class
	Deadline         time.Time
	ExpectedDuration time.Duration // time from dispatch to the whole answer
}

// Refusal is the final answer to a request that can't meet its deadline.
type Refusal struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}

// Reason tells why a request was refused.
type Reason string

// The reasons of refusals.
const (
	ReasonQueueFull Reason = "queue full"
	ReasonDeadline  Reason = "deadline can't be met"
)

// Capacity are the requests that the service's upstreams can run, for all entries.
type Capacity struct {
	Total     int
	Free      int
	Instances int // entries that fill these places
}

// Queue holds the waiting requests of one service. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	rand     *rand.Rand
	waiting  [classCount][]Request // each ordered by deadline
	running  map[RequestID]Request
	byClass  [classCount]int
	usage    *usage
	pace     pace
	gaps     gaps
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

// New returns an empty queue. The generator spreads the Retry-After times.
func New(settings Settings, r *rand.Rand) *Queue {
	return &Queue{
		settings: settings,
		rand:     r,
		running:  make(map[RequestID]Request),
		usage:    newUsage(settings.FairnessHalfLife),
	}
}

// Offer admits the request or returns its refusal.
func (q *Queue) Offer(now time.Time, request Request) (Refusal, bool) {
	if q.Len() >= q.settings.MaxWaiting {
		return q.refuse(now, request, ReasonQueueFull), false
	}
	c := classOf(request.Class)
	at := position(q.waiting[c], request)
	if !q.meetsDeadline(now, request, q.ahead(c, at)) {
		return q.refuse(now, request, ReasonDeadline), false
	}
	q.usage.see(now, request.Caller)
	if q.Len() == 0 {
		q.pace.backlogStarts(now)
	}
	q.waiting[c] = slices.Insert(q.waiting[c], at, request)
	return Refusal{}, true
}

// Take removes the next request for which place returns true. It returns false
// when none can run now.
func (q *Queue) Take(now time.Time, places Capacity, place func(Request) bool) (Request, bool) {
	q.gaps.refill(now, places, q.settings)
	for _, c := range q.order() {
		if request, ok := q.takeFrom(now, c, place); ok {
			return request, true
		}
	}
	return Request{}, false
}

// Done records that a taken request ended.
func (q *Queue) Done(id RequestID) {
	request, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	q.byClass[classOf(request.Class)]--
}

// Cancel removes a waiting request.
func (q *Queue) Cancel(id RequestID) bool {
	for c := range q.waiting {
		i := slices.IndexFunc(q.waiting[c], func(r Request) bool { return r.ID == id })
		if i >= 0 {
			q.waiting[c] = slices.Delete(q.waiting[c], i, i+1)
			q.pace.shrunk(q.Len())
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
			if q.meetsDeadline(now, request, q.ahead(class(c), len(kept))) {
				kept = append(kept, request)
				continue
			}
			refused = append(refused, q.refuse(now, request, ReasonDeadline))
		}
		q.waiting[c] = kept
	}
	q.pace.shrunk(q.Len())
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

// Running returns the number of taken requests that are not done.
func (q *Queue) Running() int { return len(q.running) }

// order returns the classes in the order in which they may use a free place.
func (q *Queue) order() []class {
	var order []class
	long := float64(q.byClass[classLong])
	running := float64(len(q.running) + 1)
	if long < q.settings.LongMinShare*running {
		order = append(order, classLong)
	}
	order = append(order, classNow)
	if long < q.settings.LongMaxShare*running {
		order = append(order, classLong)
	}
	if q.gaps.tokens >= 1 && len(q.waiting[classNow]) == 0 {
		order = append(order, classOvernight)
	}
	return order
}

// takeFrom prefers callers within their fair share, then the earliest deadline.
func (q *Queue) takeFrom(now time.Time, c class, place func(Request) bool) (Request, bool) {
	for _, overShare := range []bool{false, true} {
		for i, request := range q.waiting[c] {
			if q.usage.isOver(now, request.Caller, q.settings.FairnessSlack) != overShare || !place(request) {
				continue
			}
			q.waiting[c] = slices.Delete(q.waiting[c], i, i+1)
			q.start(now, c, request)
			return request, true
		}
	}
	return Request{}, false
}

func (q *Queue) start(now time.Time, c class, request Request) {
	q.running[request.ID] = request
	q.byClass[c]++
	if c == classOvernight {
		q.gaps.tokens--
	}
	q.usage.add(now, request.Caller, request.ExpectedDuration)
	q.pace.took(now, q.Len() > 0)
}

// ahead returns how many requests go before position at of class c.
func (q *Queue) ahead(c class, at int) int {
	switch c {
	case classOvernight:
		return at + len(q.waiting[classNow]) + len(q.waiting[classLong])
	default:
		return at
	}
}

func (q *Queue) meetsDeadline(now time.Time, request Request, ahead int) bool {
	wait := time.Duration(ahead) * q.pace.interval(now)
	return !now.Add(wait + request.ExpectedDuration).After(request.Deadline)
}

func (q *Queue) refuse(now time.Time, request Request, reason Reason) Refusal {
	return Refusal{Request: request, Reason: reason, RetryAfter: q.RetryAfter(now)}
}

// RetryAfter returns the time to work off the queue, spread over twice that time.
// It goes with each final answer that asks the caller to come back, also with
// that of a request which ran too long.
func (q *Queue) RetryAfter(now time.Time) time.Duration {
	drain := time.Duration(q.Len()) * q.pace.interval(now)
	base := min(max(drain, q.settings.RetryAfterMin), q.settings.RetryAfterMax/2)
	return base + time.Duration(q.rand.Float64()*float64(base))
}

func position(waiting []Request, request Request) int {
	at, _ := slices.BinarySearchFunc(waiting, request, func(w, r Request) int {
		if w.Deadline.After(r.Deadline) {
			return 1
		}
		return -1
	})
	return at
}
