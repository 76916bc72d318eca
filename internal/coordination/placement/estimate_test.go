package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// observe passes the same traffic to the estimator once a second for a minute and returns
// the last demand.
func observe(e *Estimator, compute float64, traffic ...Traffic) []float64 {
	var demand []float64
	for second := range 60 {
		demand = e.Demand(time.Unix(int64(second), 0), traffic, compute)
	}
	return demand
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, got > want-0.01 && got < want+0.01, "%.3f, want %.3f", got, want)
}

func TestDemandIncludesRequestsThatWereNotCompleted(t *testing.T) {
	e := &Estimator{EngineTokens: 1000, Smoothing: 5 * time.Second}
	demand := observe(e, 10, Traffic{Model: "a", Requests: 30, Completed: 10, Tokens: 1000})
	assertNear(t, demand[0], 3)
}

func TestExcessRequestsAreScaledDownToTheCapacityLeft(t *testing.T) {
	e := &Estimator{EngineTokens: 1000}
	demand := observe(e, 10,
		Traffic{Model: "a", Requests: 20, Completed: 20, Tokens: 2000},
		Traffic{Model: "b", Requests: 200, Completed: 10, Tokens: 1000},
		Traffic{Model: "c", Requests: 100, Completed: 5, Tokens: 500},
	)
	assertNear(t, demand[0], 2)
	assertNear(t, demand[0]+demand[1]+demand[2], 10*maxUtilization)
	assertNear(t, (demand[1]-1)/(demand[2]-0.5), 2)
}

func TestModelWithoutAnswersUsesTheMeanAnswerLengthOfAllModels(t *testing.T) {
	e := &Estimator{EngineTokens: 1000}
	demand := observe(e, 10,
		Traffic{Model: "a", Requests: 10, Completed: 10, Tokens: 1000},
		Traffic{Model: "b", Requests: 20},
	)
	assertNear(t, demand[1], 2)
}

func TestDemandFollowsTokensWithoutCompletedRequests(t *testing.T) {
	e := &Estimator{EngineTokens: 1000}
	assertNear(t, observe(e, 10, Traffic{Model: "a", Tokens: 1500})[0], 1.5)
}

func TestShortPeakIsSmoothed(t *testing.T) {
	e := &Estimator{EngineTokens: 1000, Smoothing: 5 * time.Second}
	steady := Traffic{Model: "a", Requests: 10, Completed: 10, Tokens: 1000}
	observe(e, 10, steady)
	peak := steady
	peak.Requests = 30
	demand := e.Demand(time.Unix(60, 0), []Traffic{peak}, 10)
	assert.Assert(t, demand[0] > 1.2 && demand[0] < 1.6, "%.3f", demand[0])
}
