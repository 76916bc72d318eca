package placing

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestEnginesChangeCellsUnderRandomSchedules(t *testing.T) {
	all := chances{
		lose: 0.05, late: 0.1, twice: 0.15, kill: 0.03, freeze: 0.03, staleReport: 0.2, loseAnswer: 0.1,
		lateWrite: 0.05, interleave: 0.2, restart: 0.02, rollout: 0.01, outage: 0.05,
	}
	noCopies := all
	noCopies.twice = 0
	cases := []struct {
		name   string
		fenced func(engine int) bool
		copies bool
		faults chances
	}{
		{"no faults", func(int) bool { return true }, true, chances{}},
		{"fenced", func(int) bool { return true }, true, all},
		{"copies", func(int) bool { return false }, true, all},
		{"once", func(int) bool { return false }, false, noCopies},
		{"mixed", func(i int) bool { return i%2 == 0 }, true, all},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resizes, moved := 0, 0
			var seen counts
			for seed := range uint64(*schedules) {
				w := runFleet(t, seed, c.fenced, c.copies, c.faults)
				seen.add(w.seen)
				resizes += w.resizes
				moved += w.moved
			}
			t.Logf("%d schedules, %d resizes, %d engines moved: %+v", *schedules, resizes, moved, seen)
			if moved < *schedules {
				t.Errorf("only %d engines moved", moved)
			}
		})
	}
}

func runFleet(t *testing.T, seed uint64, fenced func(int) bool, copies bool, f chances) (w *fleetWorld) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w = newFleetWorld(seed, testScope(8, 8, fenced), testLimits, testSettings(copies), f)
		for second := range secondsOfSchedule {
			if second%15 == 0 {
				w.changeDemand()
			}
			w.fleetSecond()
		}
		time.Sleep(time.Minute) // let late writes end
		w.settle()
		if len(w.failures) > 0 {
			t.Fatalf("seed %d: %d failures, first: %s", seed, len(w.failures), w.failures[0])
		}
	})
	return w
}
