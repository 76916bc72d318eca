package placing

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"savoryweir/internal/coordination/placement"
	"savoryweir/internal/standin/weights"
	"savoryweir/internal/state/bundle"
)

// schedules is the number of seeds for each kind of delivery. For a longer search, run
// go test ./internal/control/placing -args -schedules 1000.
var schedules = flag.Int("schedules", 80, "seeds for each kind of delivery")

const scheduleSeconds = 120

var testLimits = weights.Limits{LoadsPerSecond: 1, AtOnce: 4, AdapterTime: 8 * time.Millisecond, AdaptersInTransit: 30}

func testSettings(copies bool) Settings {
	return Settings{
		Interval: time.Second, Lease: 10 * time.Second, Resend: 3 * time.Second, LostAfter: 3 * time.Second, EngineTimeout: time.Second,
		ReportInterval: 5 * time.Second,
		Copies:         copies, ReportsAtOnce: 1, EngineTokens: 1000,
		Policy: placement.Settings{
			MoveCost: 1, Horizon: 2 * time.Minute, Decay: time.Minute, Headroom: 0.1, Spares: true, Reserve: 0.1, ZoneWeight: 0.05,
		},
	}
}

// testScope returns a scope with engines of 100 MiB in three zones, and with more models than
// fit into their memory twice.
func testScope(engines, models int, checksFence func(engine int) bool) Scope {
	scope := Scope{Name: cellName, Generation: 1, LoadLimits: placement.LoadLimits{ModelLoads: 4, AdapterLoads: 30}}
	for i := range engines {
		scope.Upstreams = append(scope.Upstreams, bundle.Upstream{
			ID: bundle.UpstreamID(fmt.Sprintf("e%d", i)), Zone: bundle.Zone(fmt.Sprintf("z%d", i%3)), Memory: 100, ChecksFence: checksFence(i),
		})
	}
	for i := range models {
		id := bundle.ModelID(fmt.Sprintf("m%d", i))
		scope.Models = append(scope.Models, bundle.Model{ID: id, Version: "1", Memory: bundle.MiB(20 + 5*(i%4)), MinReplicas: 1})
		adapter := bundle.AdapterID(fmt.Sprintf("a%d", i))
		scope.Adapters = append(scope.Adapters, bundle.Adapter{ID: adapter, Model: id, Memory: 3})
	}
	return scope
}

// changeDemand gives every model a new random demand, and some of them a tenfold burst.
func (w *simulation) changeDemand() {
	w.scope.Demand = nil
	for i, m := range w.scope.Models {
		tokens := 100 * w.rand.Float64()
		if w.happens(0.2) {
			tokens *= 10
		}
		w.scope.Demand = append(w.scope.Demand,
			Demand{Model: m.ID, TokensPerSecond: tokens},
			Demand{Adapter: w.scope.Adapters[i].ID, RequestsPerSecond: float64(w.rand.IntN(2))})
	}
}

// Two holders share a cell while orders, reports and writes are lost, late or duplicated, holders
// are killed or frozen, and engines restart. No engine may use more memory than its ledger charges.
func TestMemoryIsNeverOvercommittedUnderRandomSchedules(t *testing.T) {
	all := faultRates{
		lose: 0.05, late: 0.1, twice: 0.15, kill: 0.03, freeze: 0.03, staleReport: 0.2, loseAnswer: 0.1,
		lateWrite: 0.05, interleave: 0.2, restart: 0.02, rollout: 0.02, outage: 0.05,
	}
	noCopies := all
	noCopies.twice = 0
	cases := []struct {
		name   string
		fenced func(engine int) bool
		copies bool
		faults faultRates
	}{
		{"fenced", func(int) bool { return true }, true, all},
		{"copies", func(int) bool { return false }, true, all},
		{"once", func(int) bool { return false }, false, noCopies},
		{"mixed", func(i int) bool { return i%2 == 0 }, true, all},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var stats faultCounts
			for seed := range uint64(*schedules) {
				stats.add(runSchedule(t, seed, c.fenced, c.copies, c.faults))
			}
			t.Logf("%d schedules: %+v", *schedules, stats)
		})
	}
}

func runSchedule(t *testing.T, seed uint64, fenced func(int) bool, copies bool, f faultRates) (stats faultCounts) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := testSettings(copies)
		w := newSimulation(seed, testScope(4, 6, fenced), testLimits, s, f)
		for second := range scheduleSeconds {
			if second%15 == 0 {
				w.changeDemand()
			}
			w.advanceSecond(s)
		}
		time.Sleep(time.Minute) // lets late writes arrive
		stats = w.stats
		if len(w.failures) > 0 {
			t.Fatalf("seed %d: %d failures, first: %s", seed, len(w.failures), w.failures[0])
		}
	})
	return stats
}
