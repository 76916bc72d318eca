package dispatch

import (
	"time"

	"savoryweir/internal/state/loads"
)

const (
	// relaxedTarget is the target latency from which requests leave precedence to those
	// with shorter targets: several times the time that an engine takes for the longest
	// prompts, so that they can wait for a few of them and still be on time.
	relaxedTarget = 2 * time.Second
	// relaxedRank is the rank of such requests.
	relaxedRank = loads.PriorityRanks - 1
	// maxPriorityRank is the rank of the lowest priority of other requests.
	maxPriorityRank = relaxedRank - 1
)

// Rank returns the rank at which engines serve the requests of a route: by its priority, but
// last if its target latency is long. Batch work then never delays interactive requests,
// whatever their priorities, and is still on time as long as engines have any capacity left.
func Rank(priority int, target time.Duration) int {
	if target >= relaxedTarget {
		return relaxedRank
	}
	return min(max(priority, 0), maxPriorityRank)
}
