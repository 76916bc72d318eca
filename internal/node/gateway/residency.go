package gateway

import (
	"context"
	"net/http"
	"time"

	"savoryweir/internal/state/fleet"
)

const (
	// adapterWait is how long a request waits for an adapter: several turns of the
	// engine's slots at the load time of an adapter and the way of its order.
	adapterWait = time.Second
	// askAgain is the time between two askings of the holder, as datagrams may be lost.
	askAgain = 60 * time.Millisecond
	// loadShare is the multiple of a model's load time that is allowed for the
	// order and for the engine's report besides.
	loadShare = 1.2
)

// awaitEngines returns the engines that hold the request's model and adapter. It
// waits for a load where the caller's time allows, else it refuses at once. It
// returns false once the caller has an answer.
func (c *call) awaitEngines(ctx context.Context) ([]*fleet.Upstream, bool) {
	g := c.gateway
	changed := g.Registry.Changed()
	usable := g.Registry.View().Usable(c.service, c.wire.Model, c.wire.Adapter)
	if len(usable) > 0 {
		return usable, true
	}
	expected := c.loadTime()
	limit := c.patience().Remaining
	g.RequestLoad(c.service, c.wire.Model, c.wire.Adapter)
	if expected > limit || c.engines == nil || len(g.Registry.View().ByService(c.service)) == 0 {
		c.refuseMissing(ctx, expected)
		return nil, false
	}
	g.Log.Info().Str("event", "request.waits").Str("request", c.wire.ID).Str("model", c.wire.Model).Str("adapter", c.wire.Adapter).
		Dur("expected", expected).Dur("limit", limit).Msg("waiting for a load")
	began := time.Now()
	defer func() { g.Metrics.ObserveResidencyWait(time.Since(began)) }()
	if expected < adapterWait {
		limit = min(limit, adapterWait)
	}
	end := time.NewTimer(limit)
	defer end.Stop()
	ask := time.NewTicker(askAgain)
	defer ask.Stop()
	for {
		select {
		case <-changed:
			changed = g.Registry.Changed()
			if usable = g.Registry.View().Usable(c.service, c.wire.Model, c.wire.Adapter); len(usable) > 0 {
				return usable, true
			}
		case <-ask.C:
			g.RequestLoad(c.service, c.wire.Model, c.wire.Adapter)
		case <-end.C:
			c.refuseMissing(ctx, expected)
			return nil, false
		case <-ctx.Done():
			c.endStream(ctx, "model not loaded in time")
			return nil, false
		}
	}
}

// loadTime returns the time after which the model, or its adapter, can be there.
func (c *call) loadTime() time.Duration {
	if c.engines == nil {
		return 0
	}
	if len(c.gateway.Registry.View().Usable(c.service, c.wire.Model, "")) > 0 {
		return askAgain
	}
	model := c.engines.Model(c.wire.Model)
	if model == nil {
		return 0
	}
	load := model.LoadTime
	for _, u := range c.gateway.Registry.View().ByService(c.service) {
		if !u.Draining && u.HasLocalCopy(c.wire.Model) {
			load = min(load, model.DiskLoadTime)
			break
		}
	}
	return time.Duration(loadShare*float64(load)) + askAgain
}

func (c *call) refuseMissing(ctx context.Context, expected time.Duration) {
	c.gateway.Log.Info().Str("event", "request.not_resident").Str("request", c.wire.ID).Str("model", c.wire.Model).
		Str("adapter", c.wire.Adapter).Dur("expected", expected).Dur("waited", time.Since(c.arrived)).Msg("no engine holds the model")
	if !c.firstByteAt.IsZero() || c.mayHaveRun {
		c.endStream(ctx, "no engine holds the model")
		return
	}
	c.refuse(http.StatusServiceUnavailable, max(expected, retryUnserved), "no engine holds the model")
}
