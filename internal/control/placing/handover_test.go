package placing

import (
	"testing"
	"testing/synctest"
	"time"
)

// Engines change cells while orders, reports and writes of the ledgers are lost, late or
// duplicated and instances are killed or frozen. No engine may be overcommitted or be in two
// ledgers, and each handover has to complete.
func TestEnginesChangeCellsUnderRandomSchedules(t *testing.T) {
	all := faultRates{
		lose: 0.05, late: 0.1, twice: 0.15, kill: 0.03, freeze: 0.03, staleReport: 0.2, loseAnswer: 0.1,
		lateWrite: 0.05, interleave: 0.2, restart: 0.02, rollout: 0.01, outage: 0.05,
	}
	noCopies := all
	noCopies.twice = 0
	cases := []struct {
		name   string
		fenced func(engine int) bool
		copies bool
		faults faultRates
	}{
		{"no faults", func(int) bool { return true }, true, faultRates{}},
		{"fenced", func(int) bool { return true }, true, all},
		{"copies", func(int) bool { return false }, true, all},
		{"once", func(int) bool { return false }, false, noCopies},
		{"mixed", func(i int) bool { return i%2 == 0 }, true, all},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resizes, moved := 0, 0
			var stats faultCounts
			for seed := range uint64(*schedules) {
				w := runFleetSchedule(t, seed, c.fenced, c.copies, c.faults)
				stats.add(w.stats)
				resizes += w.resizes
				moved += w.moved
			}
			t.Logf("%d schedules, %d resizes, %d engines moved: %+v", *schedules, resizes, moved, stats)
			if moved < *schedules {
				t.Errorf("only %d engines moved", moved)
			}
		})
	}
}

func runFleetSchedule(t *testing.T, seed uint64, fenced func(int) bool, copies bool, f faultRates) (w *fleetSimulation) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w = newFleetSimulation(seed, testScope(8, 8, fenced), testLimits, testSettings(copies), f)
		for second := range scheduleSeconds {
			if second%15 == 0 {
				w.changeDemand()
			}
			w.advanceFleetSecond()
		}
		time.Sleep(time.Minute) // lets late writes arrive
		w.runUntilSettled()
		if len(w.failures) > 0 {
			t.Fatalf("seed %d: %d failures, first: %s", seed, len(w.failures), w.failures[0])
		}
	})
	return w
}
