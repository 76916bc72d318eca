package residency

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/protocol/enginehttp"
	"savoryweir/internal/standin/weights"
)

var (
	start  = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	limits = weights.Limits{LoadsPerSecond: 1, AtOnce: 2, AdapterTime: 8 * time.Millisecond, AdaptersInTransit: 2}
)

func order(id string, fence uint64, model string, memory int64) enginehttp.Order {
	return enginehttp.Order{ID: id, Fence: fence, Slot: enginehttp.Slot{Model: model, Version: "1"}, MemoryMiB: memory}
}

func TestLoadsBeyondFullSpeedSlowEachOtherDown(t *testing.T) {
	store := weights.New(limits)
	var finished []time.Duration
	for range 4 {
		store.Start(start, weights.Model, func(at time.Time) { finished = append(finished, at.Sub(start)) })
	}
	store.Advance(start.Add(3900 * time.Millisecond))
	assert.Equal(t, len(finished), 0)
	store.Advance(start.Add(4 * time.Second))
	assert.Equal(t, len(finished), 4)
}

func TestMemoryRefusesWhatDoesNotFitAndCountsLoadsInProgress(t *testing.T) {
	store := weights.New(limits)
	e := New(Config{Name: "e", CapacityMiB: 100}, store, start)
	assert.Equal(t, e.Apply(start, Load, order("1", 1, "a", 60)), enginehttp.OutcomeAccepted)
	assert.Equal(t, e.Apply(start, Load, order("2", 1, "b", 60)), enginehttp.OutcomeNoMemory)
	assert.Equal(t, e.Account().UsedMiB, int64(60))
	assert.Equal(t, e.Account().Refused, 1)
	assert.Equal(t, e.Now().Residents[0].State, enginehttp.StateLoading)
	store.Advance(start.Add(2 * time.Second))
	assert.Equal(t, e.Now().Residents[0].State, enginehttp.StateReady)
}

func TestOnlyCheckingEnginesRefuseOldFences(t *testing.T) {
	for _, checks := range []bool{true, false} {
		e := New(Config{Name: "e", CapacityMiB: 100, ChecksFence: checks}, weights.New(limits), start)
		e.Apply(start, Load, order("1", 5, "a", 10))
		outcome := e.Apply(start, Load, order("2", 4, "b", 10))
		assert.Equal(t, outcome == enginehttp.OutcomeOldFence, checks)
	}
}

func TestLateAndDoubledOrdersArriveAfterTheirDelay(t *testing.T) {
	e := New(Config{Name: "e", CapacityMiB: 100, ReportLag: time.Second}, weights.New(limits), start)
	e.SetFaults(Faults{Lose: 1, Late: 1, Twice: 1, Delay: 5 * time.Second})
	_, answered := e.Deliver(start, Load, order("1", 1, "a", 10))
	assert.Assert(t, !answered)
	_, answered = e.Deliver(start, Load, order("2", 1, "b", 10))
	assert.Assert(t, !answered)
	_, answered = e.Deliver(start, Load, order("3", 1, "c", 10))
	assert.Assert(t, answered)
	assert.Equal(t, len(e.Report(start).Residents), 0) // the report lags
	e.Apply(start.Add(time.Second), Unload, order("4", 1, "c", 0))
	assert.Equal(t, e.Account().UsedMiB, int64(0))
	e.Advance(start.Add(5 * time.Second))
	assert.Equal(t, e.Account().UsedMiB, int64(20)) // b late, c doubled
	e.Restart(start.Add(6 * time.Second))
	assert.Equal(t, e.Account().UsedMiB, int64(0))
	assert.Equal(t, e.Now().Boot, "e-2")
}
