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

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var manyPlaces = Capacity{Total: 32, Free: 32}

func newQueue() *Queue { return New(DefaultSettings(), rand.New(rand.NewPCG(1, 1))) }

func anywhere(Request) bool { return true }

func request(id RequestID, class routing.Class, deadline time.Duration) Request {
	return Request{ID: id, Caller: "desk", Class: class, Deadline: start.Add(deadline), ExpectedDuration: 100 * time.Millisecond}
}

func TestEarliestDeadlineGoesFirstAndOvernightLast(t *testing.T) {
	q := newQueue()
	for _, r := range []Request{
		request(1, routing.ClassOvernight, time.Second),
		request(2, routing.ClassNow, 9*time.Second),
		request(3, routing.ClassNow, 3*time.Second),
	} {
		_, ok := q.Offer(start, r)
		assert.Assert(t, ok)
	}
	for _, want := range []RequestID{3, 2, 1} {
		got, ok := q.Take(start, manyPlaces, anywhere)
		assert.Assert(t, ok)
		assert.Equal(t, got.ID, want)
	}
}

func TestOvernightWorkLeavesPlacesFree(t *testing.T) {
	q := newQueue()
	q.Offer(start, request(1, routing.ClassOvernight, time.Hour))
	_, ok := q.Take(start, Capacity{Total: 100, Free: 30}, anywhere)
	assert.Assert(t, !ok)
	_, ok = q.Take(start.Add(time.Second), Capacity{Total: 100, Free: 31}, anywhere)
	assert.Assert(t, ok)
}

// Eight entries with the same lagging view fill a gap once, not eight times.
func TestEntriesShareTheGaps(t *testing.T) {
	sent := 0
	for range 8 {
		q := newQueue()
		for id := range RequestID(100) {
			q.Offer(start, request(id, routing.ClassOvernight, time.Hour))
		}
		for at := time.Duration(0); at <= time.Second; at += 50 * time.Millisecond {
			for {
				if _, ok := q.Take(start.Add(at), Capacity{Total: 100, Free: 70, Instances: 8}, anywhere); !ok {
					break
				}
				sent++
			}
		}
	}
	assert.Assert(t, sent >= 30 && sent <= 80, "sent %d into a gap of 40", sent)
}

func TestOvernightWaitsForRequestsWantedNow(t *testing.T) {
	q := newQueue()
	q.Offer(start, request(1, routing.ClassOvernight, time.Hour))
	q.Offer(start, request(2, routing.ClassNow, time.Minute))
	onlyOvernight := func(r Request) bool { return r.Class == routing.ClassOvernight }
	_, ok := q.Take(start, manyPlaces, onlyOvernight)
	assert.Assert(t, !ok)
}

func TestLateRequestIsRefusedAtOnce(t *testing.T) {
	q := newQueue()
	refusal, ok := q.Offer(start, request(1, routing.ClassNow, 50*time.Millisecond))
	assert.Assert(t, !ok)
	assert.Equal(t, refusal.Reason, ReasonDeadline)
	assert.Assert(t, refusal.RetryAfter >= DefaultSettings().RetryAfterMin)
}

// While a service hangs, waiting requests get their answer long before their deadline.
func TestHangingServiceIsNoticedBeforeTheDeadline(t *testing.T) {
	q := newQueue()
	for id := range RequestID(20) {
		q.Offer(start, request(id, routing.ClassNow, 10*time.Second))
	}
	refused := q.Expire(start.Add(time.Second))
	assert.Assert(t, len(refused) >= 10, "refused %d", len(refused))
	assert.Assert(t, q.Len() > 0)
}

func TestRetryAfterIsSpread(t *testing.T) {
	q := newQueue()
	seconds := make(map[time.Duration]int)
	for id := range RequestID(1000) {
		refusal, _ := q.Offer(start, request(id, routing.ClassNow, 0))
		seconds[refusal.RetryAfter/(100*time.Millisecond)]++
	}
	for at, n := range seconds {
		assert.Assert(t, n < 200, "%d callers return in the tenth %d", n, at)
	}
}

func TestLongStreamsNeitherStarveNorBlock(t *testing.T) {
	q := newQueue()
	taken := make(map[routing.Class]int)
	for id := range RequestID(400) {
		class := routing.ClassNow
		if id%2 == 0 {
			class = routing.ClassLong
		}
		_, ok := q.Offer(start, request(id, class, time.Minute))
		assert.Assert(t, ok)
	}
	for range 100 {
		r, ok := q.Take(start, manyPlaces, anywhere)
		assert.Assert(t, ok)
		taken[r.Class]++
	}
	assert.Assert(t, taken[routing.ClassLong] >= 10, "long streams starve: %v", taken)
	assert.Assert(t, taken[routing.ClassLong] <= 50, "long streams block: %v", taken)
}

// A desk that floods the queue does not take the places of the others.
func TestCallersGetFairShares(t *testing.T) {
	q := newQueue()
	id := RequestID(0)
	offer := func(caller Caller, n int) {
		for range n {
			id++
			r := request(id, routing.ClassNow, time.Minute)
			r.Caller = caller
			q.Offer(start, r)
		}
	}
	offer("flood", 300)
	for i := range 9 {
		offer(Caller(fmt.Sprintf("desk-%d", i)), 10)
	}
	taken := make(map[Caller]int)
	for range 130 {
		r, ok := q.Take(start, manyPlaces, anywhere)
		assert.Assert(t, ok)
		taken[r.Caller]++
	}
	others := 130 - taken["flood"]
	assert.Assert(t, others >= 85, "the others got %d of their 90", others)
}

func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		q := newQueue()
		now := start
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
				if taken, ok := q.Take(now, Capacity{Total: 10, Free: r.IntN(10)}, anywhere); ok {
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
