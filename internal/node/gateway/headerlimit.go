package gateway

import (
	"net/http"
	"time"

	"savoryweir/internal/state/fleet"
)

// headTransitTime is how long the first byte of a head may be on its way to the instance.
const headTransitTime = time.Second

// headerLimit is the limit on the heads of requests. When the limit is lowered, the former one
// applies to the heads that callers have begun to send by then.
type headerLimit struct {
	bytes, formerBytes int
	formerEnd          time.Time // when formerBytes no longer applies
	timeout            time.Duration
}

// changeTo returns the limit after a configuration with the given limits was put in force.
func (l headerLimit) changeTo(limits fleet.Limits, now time.Time) headerLimit {
	next := headerLimit{bytes: limits.MaxHeaderBytes, formerBytes: l.formerBytes, formerEnd: l.formerEnd, timeout: limits.HeaderTimeout}
	if next.bytes <= 0 {
		next.bytes = http.DefaultMaxHeaderBytes
	}
	if next.bytes < l.bytes {
		next.formerBytes = l.at(now)
		next.formerEnd = now.Add(max(l.timeout, next.timeout) + headTransitTime)
	}
	return next
}

// at returns the limit in bytes that applies at a time.
func (l headerLimit) at(now time.Time) int {
	if now.Before(l.formerEnd) {
		return max(l.bytes, l.formerBytes)
	}
	return l.bytes
}
