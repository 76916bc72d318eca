// Package admission queues and orders the requests of one service in an entry process.
//
// An entry process keeps one Queue for each service. It calls Offer for each request
// and sends the final response at once if Offer refuses the request. Whenever
// capacity may have become free it calls Take until Take returns false; the place
// function passed to Take selects the upstream and reports whether there is one.
// Done is called when a dispatched request has ended. Expire is called a few times a
// second and returns the waiting requests that can no longer meet their deadline;
// each of them gets its final response at once. Cancel removes a request whose
// caller has disconnected.
package admission

import "time"

// Settings configures a Queue.
type Settings struct {
	// MaxWaiting is the largest number of waiting requests of all classes together.
	MaxWaiting int
	// LongMaxShare is the largest share of the running requests that long streams may
	// have while other requests wait.
	LongMaxShare float64
	// LongMinShare is the share of the running requests up to which long streams are
	// dispatched before others.
	LongMinShare float64
	// OvernightReservedShare is the share of the capacity that overnight requests leave free.
	OvernightReservedShare float64
	// OvernightRefillPeriod is the time in which an entry process fills its share of
	// the free capacity with overnight requests.
	OvernightRefillPeriod time.Duration
	// FairnessHalfLife is the half-life of the recorded usage of the callers.
	FairnessHalfLife time.Duration
	// FairnessSlack is the fraction by which a caller may exceed its fair share before
	// requests of other callers go first.
	FairnessSlack float64
	RetryAfterMin time.Duration
	RetryAfterMax time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxWaiting:             4096,
		LongMaxShare:           0.5,
		LongMinShare:           0.1,
		OvernightReservedShare: 0.3,
		OvernightRefillPeriod:  time.Second,
		FairnessHalfLife:       10 * time.Second,
		FairnessSlack:          0.5,
		RetryAfterMin:          time.Second,
		RetryAfterMax:          time.Minute,
	}
}
