package admission

import (
	"time"

	"savoryweir/internal/coordination/fairness"
)

const (
	// negligibleUsage is the decayed usage in nanoseconds of service time below which a caller is
	// forgotten.
	negligibleUsage = float64(time.Millisecond)
	// waitingUsage is the least usage in nanoseconds recorded for a caller that has
	// requests in the queue but none dispatched.
	waitingUsage = float64(10 * time.Millisecond)
)

func newUsage(halfLife time.Duration) *fairness.Usage[Caller] {
	return fairness.NewUsage[Caller](halfLife, negligibleUsage)
}
