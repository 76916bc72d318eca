package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"savoryweir/internal/coordination/routing"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var ampleCapacity = Capacity{Total: 32, Free: 32}

func newQueue() *Queue { return New(DefaultSettings(), rand.New(rand.NewPCG(1, 1))) }

func acceptAll(Request) bool { return true }

func newRequest(id RequestID, class routing.Class, deadline time.Duration) Request {
	return Request{ID: id, Caller: "desk", Class: class, Deadline: startTime.Add(deadline), ExpectedDuration: 100 * time.Millisecond}
}

func TestTakeOrdersByDeadlineWithOvernightLast(t *testing.T) {
	q := newQueue()
	for _, r := range []Request{
		newRequest(1, routing.ClassOvernight, time.Second),
		newRequest(2, routing.ClassNow, 9*time.Second),
		newRequest(3, routing.ClassNow, 3*time.Second),
	} {
		_, ok := q.Offer(startTime, r)
		assert.Assert(t, ok)
	}
	for _, want := range []RequestID{3, 2, 1} {
		got, ok := q.Take(startTime, ampleCapacity, acceptAll)
		assert.Assert(t, ok)
		assert.Equal(t, got.ID, want)
	}
}

func TestOvernightRequestsLeaveReservedCapacityFree(t *testing.T) {
	q := newQueue()
	q.Offer(startTime, newRequest(1, routing.ClassOvernight, time.Hour))
	_, ok := q.Take(startTime, Capacity{Total: 100, Free: 30}, acceptAll)
	assert.Assert(t, !ok)
	_, ok = q.Take(startTime.Add(time.Second), Capacity{Total: 100, Free: 31}, acceptAll)
	assert.Assert(t, ok)
}

// Load reports lag, so eight entry processes see the same free capacity. If each
// filled all of it, they would dispatch eight times as many overnight requests as fit.
func TestEntryProcessesShareFreeCapacityForOvernightRequests(t *testing.T) {
	sent := 0
	for range 8 {
		q := newQueue()
		for id := range RequestID(100) {
			q.Offer(startTime, newRequest(id, routing.ClassOvernight, time.Hour))
		}
		for at := time.Duration(0); at <= time.Second; at += 50 * time.Millisecond {
			for {
				if _, ok := q.Take(startTime.Add(at), Capacity{Total: 100, Free: 70, Instances: 8}, acceptAll); !ok {
					break
				}
				sent++
			}
		}
	}
	assert.Assert(t, sent >= 30 && sent <= 80, "dispatched %d overnight requests into free capacity for 40", sent)
}

func TestOvernightRequestWaitsWhileRequestOfClassNowWaits(t *testing.T) {
	q := newQueue()
	q.Offer(startTime, newRequest(1, routing.ClassOvernight, time.Hour))
	q.Offer(startTime, newRequest(2, routing.ClassNow, time.Minute))
	acceptOvernightOnly := func(r Request) bool { return r.Class == routing.ClassOvernight }
	_, ok := q.Take(startTime, ampleCapacity, acceptOvernightOnly)
	assert.Assert(t, !ok)
}

func TestOfferRefusesRequestThatCannotMeetDeadline(t *testing.T) {
	q := newQueue()
	refusal, ok := q.Offer(startTime, newRequest(1, routing.ClassNow, 50*time.Millisecond))
	assert.Assert(t, !ok)
	assert.Equal(t, refusal.Reason, ReasonDeadline)
	assert.Assert(t, refusal.RetryAfter >= DefaultSettings().RetryAfterMin)
}

// A service that hangs dispatches nothing, so the average interval never grows. Waiting
// requests must still be refused long before their deadline.
func TestExpireRefusesEarlyWhenServiceHangs(t *testing.T) {
	q := newQueue()
	for id := range RequestID(20) {
		q.Offer(startTime, newRequest(id, routing.ClassNow, 10*time.Second))
	}
	refused := q.Expire(startTime.Add(time.Second))
	assert.Assert(t, len(refused) >= 10, "refused %d of 20 waiting requests", len(refused))
	assert.Assert(t, q.Len() > 0)
}

func TestRetryAfterHasJitter(t *testing.T) {
	q := newQueue()
	refusalsByTenth := make(map[time.Duration]int)
	for id := range RequestID(1000) {
		refusal, _ := q.Offer(startTime, newRequest(id, routing.ClassNow, 0))
		refusalsByTenth[refusal.RetryAfter/(100*time.Millisecond)]++
	}
	for at, n := range refusalsByTenth {
		assert.Assert(t, n < 200, "%d callers retry in the same tenth of a second (%d)", n, at)
	}
}

func TestLongStreamsGetBetweenMinAndMaxShare(t *testing.T) {
	q := newQueue()
	taken := make(map[routing.Class]int)
	for id := range RequestID(400) {
		class := routing.ClassNow
		if id%2 == 0 {
			class = routing.ClassLong
		}
		_, ok := q.Offer(startTime, newRequest(id, class, time.Minute))
		assert.Assert(t, ok)
	}
	for range 100 {
		r, ok := q.Take(startTime, ampleCapacity, acceptAll)
		assert.Assert(t, ok)
		taken[r.Class]++
	}
	assert.Assert(t, taken[routing.ClassLong] >= 10, "long streams got less than their minimum share: %v", taken)
	assert.Assert(t, taken[routing.ClassLong] <= 50, "long streams got more than their maximum share: %v", taken)
}

// One caller queues far more requests than nine others together. Ordered by deadline
// alone, its requests would take the capacity that is due to the others.
func TestFloodingCallerDoesNotCrowdOutOthers(t *testing.T) {
	q := newQueue()
	id := RequestID(0)
	offer := func(caller Caller, n int) {
		for range n {
			id++
			r := newRequest(id, routing.ClassNow, time.Minute)
			r.Caller = caller
			q.Offer(startTime, r)
		}
	}
	offer("flood", 300)
	for i := range 9 {
		offer(Caller(fmt.Sprintf("desk-%d", i)), 10)
	}
	taken := make(map[Caller]int)
	for range 130 {
		r, ok := q.Take(startTime, ampleCapacity, acceptAll)
		assert.Assert(t, ok)
		taken[r.Caller]++
	}
	others := 130 - taken["flood"]
	assert.Assert(t, others >= 85, "the other callers got %d of their 90 requests dispatched", others)
}

func TestEachRequestEndsExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		q := newQueue()
		now := startTime
		ended := make(map[RequestID]int)
		classes := []routing.Class{routing.ClassNow, routing.ClassLong, routing.ClassOvernight}
		for id := range RequestID(200) {
			now = now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
			request := Request{
				ID: id, Caller: Caller(fmt.Sprint(r.IntN(4))), Class: classes[r.IntN(3)],
				Deadline: now.Add(time.Duration(r.IntN(4000)) * time.Millisecond), ExpectedDuration: 100 * time.Millisecond,
			}
			if _, ok := q.Offer(now, request); !ok {
				ended[id]++
			}
			if r.IntN(2) == 0 {
				if taken, ok := q.Take(now, Capacity{Total: 10, Free: r.IntN(10)}, acceptAll); ok {
					ended[taken.ID]++
					q.Done(taken.ID)
				}
			}
			for _, refusal := range q.Expire(now) {
				ended[refusal.Request.ID]++
			}
		}
		for _, refusal := range q.Expire(now.Add(time.Hour)) {
			ended[refusal.Request.ID]++
		}
		assert.Equal(t, len(ended), 200)
		for id, n := range ended {
			assert.Equal(t, n, 1, "request %d", id)
		}
		assert.Equal(t, q.Running(), 0)
	})
}
