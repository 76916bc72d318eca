package gateway

import (
	"context"
	"net/http"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// maxAdapterWait is how long a request waits for an adapter: several turns of the
	// engine's slots at the load time of an adapter and the way of its order.
	maxAdapterWait = time.Second
	// loadRequestInterval is the time between two askings of the holder, as datagrams may be lost.
	loadRequestInterval = 60 * time.Millisecond
	// loadTimeMargin is the multiple of a model's load time that is allowed for the
	// order and for the engine's report besides.
	loadTimeMargin = 1.2
)

// awaitLoadedEngines returns the engines that hold the request's model and adapter. It
// waits for a load where the caller's time allows, else it refuses at once. It
// returns false once the caller has an answer.
func (c *call) awaitLoadedEngines(ctx context.Context) ([]*fleet.Upstream, bool) {
	g := c.gateway
	registryChanged := g.Registry.Changed()
	usable := g.Registry.View().Usable(c.service, c.params.Model, c.params.Adapter)
	if len(usable) > 0 {
		return usable, true
	}
	expected := c.expectedLoadTime()
	maxWait := c.patience().Remaining
	g.RequestLoad(c.service, c.params.Model, c.params.Adapter)
	if expected > maxWait || c.engineClass == nil || len(g.Registry.View().ByService(c.service)) == 0 {
		c.refuseNotLoaded(ctx, expected)
		return nil, false
	}
	g.Log.Info().Str("event", "request.waits").Str("request", c.params.ID).Str("model", c.params.Model).Str("adapter", c.params.Adapter).
		Dur("expected", expected).Dur("limit", maxWait).Msg("waiting for a load")
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
			if usable = g.Registry.View().Usable(c.service, c.params.Model, c.params.Adapter); len(usable) > 0 {
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

// expectedLoadTime returns the time after which the model, or its adapter, can be there.
func (c *call) expectedLoadTime() time.Duration {
	if c.engineClass == nil {
		return 0
	}
	if len(c.gateway.Registry.View().Usable(c.service, c.params.Model, "")) > 0 {
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

func (c *call) refuseNotLoaded(ctx context.Context, expected time.Duration) {
	c.gateway.Log.Info().Str("event", "request.not_resident").Str("request", c.params.ID).Str("model", c.params.Model).
		Str("adapter", c.params.Adapter).Dur("expected", expected).Dur("waited", time.Since(c.arrivedAt)).Msg("no engine holds the model")
	if !c.firstByteAt.IsZero() || c.mayHaveExecuted {
		c.failStream(ctx, "no engine holds the model")
		return
	}
	c.refuse(http.StatusServiceUnavailable, max(expected, unservedRetryAfter), "no engine holds the model")
}
