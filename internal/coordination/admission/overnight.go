package admission

import "time"

// overnightBudget is a token bucket for the overnight requests that this entry
// process may dispatch. All entry processes see the same free capacity with a delay,
// so each may fill only its share of it in the time that a new load report takes.
// Without the bucket, all entry processes would send their backlog of overnight
// requests into the same free capacity and crowd out requests of class now.
type overnightBudget struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds tokens for the time since the last refill, up to this entry process's
// share of the capacity that is free beyond the reserve. If no capacity is free beyond
// the reserve, the bucket is emptied. The bucket has room for at least one token, so that
// a share below one request adds up to a request over time.
func (b *overnightBudget) refill(now time.Time, capacity Capacity, settings Settings) {
	elapsed := min(now.Sub(b.refilledAt), settings.OvernightRefillPeriod)
	b.refilledAt = now
	spareCapacity := float64(capacity.Free) - settings.OvernightReservedShare*float64(capacity.Total)
	if spareCapacity <= 0 {
		b.tokens = 0
		return
	}
	share := spareCapacity / float64(max(capacity.Instances, 1))
	b.tokens += share * float64(elapsed) / float64(settings.OvernightRefillPeriod)
	b.tokens = min(b.tokens, max(share, 1))
}
