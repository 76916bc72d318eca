package admission

import "time"

// gaps holds the overnight requests that this entry may send. All entries see the
// same free places with a lag, so each may fill only its part of them in the time
// that a new load report takes. Without this, a backlog of overnight work that all
// entries send into the same gap crowds out requests wanted now.
type gaps struct {
	tokens float64
	at     time.Time
}

func (g *gaps) refill(now time.Time, places Capacity, settings Settings) {
	elapsed := min(now.Sub(g.at), settings.OvernightRefillPeriod)
	g.at = now
	spare := float64(places.Free) - settings.OvernightReservedShare*float64(places.Total)
	if spare <= 0 {
		g.tokens = 0
		return
	}
	part := spare / float64(max(places.Instances, 1))
	g.tokens += part * float64(elapsed) / float64(settings.OvernightRefillPeriod)
	g.tokens = min(g.tokens, max(part, 1))
}
