// Package admission orders the requests of one service that wait in an entry.
//
// An entry keeps one Queue for each service. It calls Offer for each request and
// sends the final answer at once when Offer refuses. Whenever a place may have
// become free it calls Take until Take returns false; place picks the upstream
// and reports whether there is one. Done follows each taken request. Expire is
// called a few times a second and returns the waiting requests that can no longer
// meet their deadline; each of them gets its final answer at once. Cancel removes
// a request whose caller left.
package admission

import "time"

// Settings are the settings of a Queue.
type Settings struct {
	MaxWaiting int // waiting requests, all classes together
	// LongMaxShare is the largest share of running requests that long streams may
	// have while others wait.
	LongMaxShare float64
	// LongMinShare is the share of running requests that long streams get before others.
	LongMinShare float64
	// OvernightReservedShare is the share of places that overnight work leaves free.
	OvernightReservedShare float64
	OvernightRefillPeriod  time.Duration // in which an entry fills its part of the gaps
	FairnessHalfLife       time.Duration // half-life of the callers' recorded use
	FairnessSlack          float64       // how far above its fair share a caller keeps its place
	RetryAfterMin          time.Duration
	RetryAfterMax          time.Duration
}

// DefaultSettings returns the settings to start from.
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
