package fairness

import "math"

// Demand is what one party asks for.
type Demand struct {
	Work   float64
	Weight float64 // above zero; its part of the whole beside the others'
}

// MaxMin returns the weighted max-min shares of a capacity: no party gets more than it asks for, what
// it leaves goes to the others by their weights, and a party that doesn't get all it asks for gets no
// less for its weight than any other.
func MaxMin[K comparable](capacity float64, demands map[K]Demand) map[K]float64 {
	shares := make(map[K]float64, len(demands))
	open := make(map[K]Demand, len(demands))
	for party, d := range demands {
		open[party] = d
	}
	for len(open) > 0 {
		level := max(capacity, 0) / weights(open)
		lowest := math.Inf(1)
		for _, d := range open {
			lowest = min(lowest, d.Work/d.Weight)
		}
		if lowest > level {
			for party, d := range open {
				shares[party] = level * d.Weight
			}
			return shares
		}
		for party, d := range open {
			if d.Work/d.Weight <= lowest {
				shares[party] = d.Work
				capacity -= d.Work
				delete(open, party)
			}
		}
	}
	return shares
}

func weights[K comparable](demands map[K]Demand) float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d.Weight
	}
	return sum
}
