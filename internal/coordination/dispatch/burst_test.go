package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// visit is one attempt of a caller.
type visit struct {
	at, firstAt time.Duration
	tokens      int
	returning   bool
}

// visits is a heap of visits by time.
type visits []visit

func (v visits) Len() int           { return len(v) }
func (v visits) Less(i, j int) bool { return v[i].at < v[j].at }
func (v visits) Swap(i, j int)      { v[i], v[j] = v[j], v[i] }
func (v *visits) Push(x any)        { *v = append(*v, x.(visit)) }
func (v *visits) Pop() any {
	last := (*v)[len(*v)-1]
	*v = (*v)[:len(*v)-1]
	return last
}

// burstResult counts what callers get in the end.
type burstResult struct{ onTime, late, refused, lost int }

const (
	burstTarget   = 600 * time.Millisecond
	burstPatience = 2400 * time.Millisecond
	burstDeadline = 4 * time.Second
)

// admitFunc decides on a visit, given the expected time to the first byte.
type admitFunc func(v visit, expected time.Duration, limits LatencyLimits) AdmissionDecision

// playBursts plays an engine that processes prompts one after another. In two of six seconds
// the load is nearly twice its capacity, in the others about half. A caller who is refused
// returns once, after at most a third of the time that it has left.
func playBursts(admit admitFunc) burstResult {
	random := rand.New(rand.NewPCG(3, 3))
	var arrivals visits
	for at := time.Duration(0); at < 10*time.Minute; {
		interval := 200 * time.Millisecond
		if at%(6*time.Second) < 2*time.Second {
			interval = 55 * time.Millisecond
		}
		at += time.Duration(random.ExpFloat64() * float64(interval))
		arrivals = append(arrivals, visit{at: at, firstAt: at, tokens: 1000 + random.IntN(2000)})
	}
	heap.Init(&arrivals)
	var r burstResult
	engine := burstEngine{result: &r}
	for len(arrivals) > 0 {
		v := heap.Pop(&arrivals).(visit)
		engine.serve(v.at)
		left := burstDeadline - (v.at - v.firstAt)
		limits := LatencyLimits{Target: burstTarget, Remaining: min(burstPatience, left), Deadline: left}
		decision := admit(v, engine.expected(v), limits)
		switch {
		case decision.Admitted:
			engine.waiting = append(engine.waiting, v)
		case v.returning:
			r.refused++
		default:
			v.at, v.returning = v.at+min(decision.RetryAfter, left/3), true
			heap.Push(&arrivals, v)
		}
	}
	engine.serve(time.Hour)
	return r
}

// burstEngine is the engine of playBursts.
type burstEngine struct {
	waiting   []visit
	busyUntil time.Duration
	result    *burstResult
}

// expected returns the expected time to the first byte of a visit.
func (e *burstEngine) expected(v visit) time.Duration {
	c := candidate("e", 0, 0)
	c.Load.PendingPrefill[1] = max(e.busyUntil-v.at, 0)
	for _, w := range e.waiting {
		c.Load.PendingPrefill[1] += testLatency.PrefillTime(w.tokens)
	}
	return Request{PromptTokens: v.tokens, Rank: 1, Latency: testLatency}.ExpectedTTFB(c)
}

// serve processes prompts up to a time.
func (e *burstEngine) serve(until time.Duration) {
	for len(e.waiting) > 0 && e.busyUntil < until {
		v := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.busyUntil = max(e.busyUntil, v.at)
		if e.busyUntil-v.at > burstPatience {
			e.result.lost++
			continue
		}
		e.busyUntil += testLatency.PrefillTime(v.tokens)
		switch {
		case e.busyUntil-v.firstAt <= burstTarget:
			e.result.onTime++
		case e.busyUntil-v.at <= burstPatience:
			e.result.late++
		default:
			e.result.lost++
		}
	}
	e.busyUntil = max(e.busyUntil, until)
}

// admitAsGateway admits as the gateway does.
func admitAsGateway(_ visit, expected time.Duration, limits LatencyLimits) AdmissionDecision {
	return Admit(expected, limits)
}

// admitAndCallBackSoon lets refused callers return as soon as the prompts that are waiting now
// will have been processed.
func admitAndCallBackSoon(_ visit, expected time.Duration, limits LatencyLimits) AdmissionDecision {
	d := Admit(expected, limits)
	d.RetryAfter = max(expected-limits.Target, minRetryAfter)
	return d
}

// Callers that are refused in a burst and return while it lasts are refused for good. They
// must be told to return later, when most of them are served.
func TestCallersRefusedInBurstAreServedWhenTheyReturn(t *testing.T) {
	before, after := playBursts(admitAndCallBackSoon), playBursts(admitAsGateway)
	t.Logf("called back soon: %+v, later: %+v", before, after)
	assert.Assert(t, before.refused > 500, "the load does not show the failure")
	assert.Assert(t, after.onTime >= before.onTime, "returning callers make others late")
	assert.Assert(t, after.refused <= before.refused*2/3, "callers are refused for good")
	assert.Equal(t, after.lost, 0, "callers wait in vain")
}

func TestRefusedCallerKeepsMostOfItsTime(t *testing.T) {
	limits := LatencyLimits{Target: 600 * time.Millisecond, Remaining: 2 * time.Second, Deadline: 4 * time.Second}
	decision := Admit(700*time.Millisecond, limits)
	assert.Assert(t, !decision.Admitted)
	assert.Assert(t, decision.RetryAfter > time.Second && decision.RetryAfter <= limits.Deadline/3, "retry after %v", decision.RetryAfter)
}

// Of a crashed engine nothing is expected but an immediate response, since it has no load. As
// soon as the fleet knows that almost all requests fail there, a busy engine is better.
func TestUpstreamThatFailsAlmostAllRequestsIsAvoided(t *testing.T) {
	request := Request{PromptTokens: 200, Rank: 1, Latency: testLatency}
	crashed, unreliable := candidate("crashed", 0, 0), candidate("unreliable", 0, 0)
	crashed.FailureRate, unreliable.FailureRate = 0.8, 0.5
	assert.Equal(t, choose(t, request, crashed, candidate("busy", 12000, 40)), "busy")
	assert.Equal(t, choose(t, request, crashed), "crashed", "it is tried if there is no other")
	assert.Equal(t, choose(t, request, unreliable, candidate("busy", 12000, 40)), "unreliable")
}
