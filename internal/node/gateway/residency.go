package gateway

import (
	"context"
	"net/http"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// maxAdapterWait bounds the wait for a load that is expected sooner than this, as that
	// of an adapter is. It covers the transfer of the load order and several turnovers of
	// the engine's adapter slots, each at the load time of an adapter.
	maxAdapterWait = time.Second
	// refusalLeadTime is how long before the caller leaves a refusal is sent, so that it arrives.
	refusalLeadTime = 150 * time.Millisecond
	// loadRequestInterval is the time between two load requests for the same request. They
	// are repeated because they are sent as datagrams, which may be lost.
	loadRequestInterval = 60 * time.Millisecond
	// loadTimeMargin is the factor on a model's load time that also allows for the load
	// order and for the engine's report.
	loadTimeMargin = 1.2
)

// awaitLoadedEngines returns the engines that hold the request's model and adapter. If
// there are none, it requests a load and waits for it. It refuses the request at once if the
// load would take longer than the caller waits or the service has no engines. It returns
// false if it has already sent the final response.
func (c *call) awaitLoadedEngines(ctx context.Context) ([]*fleet.Upstream, bool) {
	g := c.gateway
	registryChanged := g.Registry.Changed()
	usable := c.usableEngines(c.params.Model, c.params.Adapter)
	if len(usable) > 0 {
		return usable, true
	}
	expected := c.expectedLoadTime()
	maxWait := c.patience().Remaining - refusalLeadTime
	g.RequestLoad(c.service, c.params.Model, c.params.Adapter)
	if expected > maxWait || !c.mayBeLoaded() {
		c.refuseNotLoaded(ctx, expected)
		return nil, false
	}
	g.Log.Info().Str("event", "request.waits").Str("request", c.params.ID).Str("model", c.params.Model).Str("adapter", c.params.Adapter).
		Dur("expected", expected).Dur("limit", maxWait).Msg("no engine holds the model and adapter; waiting for a load")
	waitStart := time.Now()
	defer func() { g.Metrics.ObserveResidencyWait(time.Since(waitStart)) }()
	if expected < maxAdapterWait {
		maxWait = min(maxWait, maxAdapterWait)
	}
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	requestTicker := time.NewTicker(loadRequestInterval)
	defer requestTicker.Stop()
	for {
		select {
		case <-registryChanged:
			registryChanged = g.Registry.Changed()
			if usable = c.usableEngines(c.params.Model, c.params.Adapter); len(usable) > 0 {
				return usable, true
			}
		case <-requestTicker.C:
			g.RequestLoad(c.service, c.params.Model, c.params.Adapter)
		case <-timeout.C:
			c.refuseNotLoaded(ctx, expected)
			return nil, false
		case <-ctx.Done():
			c.failStream(ctx, "model not loaded in time")
			return nil, false
		}
	}
}

// mayBeLoaded reports whether a load may help the request. Models are placed without regard to
// software versions, so that a stream which has begun waits for an adapter at most.
func (c *call) mayBeLoaded() bool {
	if c.engineClass == nil || len(c.gateway.Registry.View().ByService(c.service)) == 0 {
		return false
	}
	return c.origin.Load() == nil || len(c.usableEngines(c.params.Model, "")) > 0
}

// expectedLoadTime returns the expected time until an engine holds the model and adapter.
// A model is expected to load from disk if an engine that is not draining has a local
// copy. The time is zero if the service has no engines or does not offer the model.
func (c *call) expectedLoadTime() time.Duration {
	if c.engineClass == nil {
		return 0
	}
	if len(c.usableEngines(c.params.Model, "")) > 0 {
		return loadRequestInterval
	}
	model := c.engineClass.Model(c.params.Model)
	if model == nil {
		return 0
	}
	loadTime := model.LoadTime
	for _, u := range c.gateway.Registry.View().ByService(c.service) {
		if !u.Draining && u.HasLocalCopy(c.params.Model) {
			loadTime = min(loadTime, model.DiskLoadTime)
			break
		}
	}
	return time.Duration(loadTimeMargin*float64(loadTime)) + loadRequestInterval
}

// refuseNotLoaded ends a request for which no engine holds the model and adapter. The
// caller is told to retry after the expected load time.
func (c *call) refuseNotLoaded(ctx context.Context, expected time.Duration) {
	c.gateway.Log.Info().Str("event", "request.not_resident").Str("request", c.params.ID).Str("model", c.params.Model).
		Str("adapter", c.params.Adapter).Dur("expected", expected).Dur("waited", time.Since(c.arrivedAt)).Msg("request not served; no engine holds the model and adapter")
	if !c.firstByteAt.IsZero() || c.possiblyExecuted() {
		c.failStream(ctx, "no engine holds the model")
		return
	}
	c.refuse(http.StatusServiceUnavailable, max(expected, unservedRetryAfter), "no engine holds the model")
}
