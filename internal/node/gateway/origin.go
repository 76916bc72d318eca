package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"savoryweir/internal/state/fleet"
	"savoryweir/internal/state/streams"
)

// StreamOrigins knows at which software version of its service each stream began. It is safe
// for concurrent use.
type StreamOrigins interface {
	// Record records the origin of the stream that a request began.
	Record(request string, origin streams.Origin)
	// Find returns the origin of the stream that an earlier request began, and whether it
	// is known. service is the service that the stream is expected to have begun at. If the
	// origin may become known later, retryAfter is the time after which to ask again; otherwise
	// it is zero.
	Find(ctx context.Context, request, service string) (origin streams.Origin, isKnown bool, retryAfter time.Duration)
	// NewVersions returns the versions that have joined others of their service lately. The store may come back from a copy that
	// doesn't name them.
	NewVersions() []streams.Origin
}

// reasonOriginUnknown is the reason of a refusal to continue a stream.
const reasonOriginUnknown = "software version of the stream is not known"

// isResumption reports whether the caller takes up a stream of an earlier request.
func (c *call) isResumption() bool { return c.route.Resumable && c.params.LastEventID != "" }

// streamRequest returns the ID of the request that began the stream.
func (c *call) streamRequest() string {
	if c.isResumption() && c.params.ResumedID != "" {
		return c.params.ResumedID
	}
	return c.params.ID
}

// bindToOrigin binds a request that takes up a stream to the software version that began it.
// If that is not known, it refuses the request and returns false. No time to retry is given if
// the version will not become known later.
func (c *call) bindToOrigin(ctx context.Context) bool {
	origin, ok, retryAfter := c.gateway.Streams.Find(ctx, c.params.ResumedID, c.service)
	c.gateway.Log.Info().Str("event", "stream.taken_up").Str("request", c.params.ID).Str("resumes", c.params.ResumedID).Str("last_event", c.params.LastEventID).
		Bool("known", ok).Dur("retry_after", retryAfter).Str("service", origin.Service).Str("software", origin.Version).Msg("caller takes up a stream")
	if !ok {
		c.refuse(http.StatusServiceUnavailable, retryAfter, reasonOriginUnknown)
		return false
	}
	if origin.Service != c.service && c.route.RoutesTo(origin.Service) {
		c.service, c.engineClass = origin.Service, c.config.Services[origin.Service].EnginesOrNil()
	}
	c.origin.Store(&origin)
	return true
}

// recordOrigin binds the stream to the software version of the engine whose first event has
// arrived, and records it for callers that take the stream up later.
func (c *call) recordOrigin(u *fleet.Upstream) {
	if !c.route.Resumable {
		return
	}
	if c.origin.Load() == nil {
		c.origin.Store(&streams.Origin{Service: c.service, Version: u.SoftwareVersion})
	}
	c.gateway.Streams.Record(c.streamRequest(), *c.origin.Load())
}

// usableEngines returns the engines that accept requests, hold the model and adapter and can
// continue the stream if it has begun. An empty name sets no condition.
func (c *call) usableEngines(model, adapter string) []*fleet.Upstream {
	usable := c.gateway.Registry.View().Usable(c.service, model, adapter)
	origin := c.origin.Load()
	if origin == nil {
		return usable
	}
	return slices.DeleteFunc(usable, func(u *fleet.Upstream) bool { return u.SoftwareVersion != origin.Version })
}

// withoutNewVersions leaves out the engines of new versions at which a stream that may be resumed should not begin yet. It returns all
// if there are no others.
func (c *call) withoutNewVersions(engines []*fleet.Upstream) []*fleet.Upstream {
	if !c.route.Resumable || c.origin.Load() != nil {
		return engines
	}
	versions := c.gateway.Streams.NewVersions()
	if len(versions) == 0 {
		return engines
	}
	var others []*fleet.Upstream
	for _, u := range engines {
		if !slices.Contains(versions, streams.Origin{Service: c.service, Version: u.SoftwareVersion}) {
			others = append(others, u)
		}
	}
	if len(others) == 0 {
		return engines
	}
	return others
}
