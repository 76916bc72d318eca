package reconciler

import (
	"context"
	"io"
	"net/http"
	"time"

	"savoryweir/internal/coordination/rebalance"
	"savoryweir/internal/node/registry"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/fleet"
	"savoryweir/internal/transport/upstreamconn"
	"savoryweir/platform"
)

const (
	// orderTimeout bounds one request to an engine: connecting and receiving the
	// response, with one lost packet.
	orderTimeout = 300 * time.Millisecond
	// maxOrderAttempts is how often an order without a response is sent. All attempts
	// carry the same expected order count, so that the engine accepts at most one.
	maxOrderAttempts = 4
	// orderBackoff is the delay after an order that did not succeed: an engine's
	// report is some hundred milliseconds old.
	orderBackoff = 500 * time.Millisecond
	// adapterAnnounceDelay is the time between the order to load an adapter and its
	// announcement to the other instances: twice its load time at full speed.
	adapterAnnounceDelay = 20 * time.Millisecond
	maxReportBytes       = 64 << 10 // of each of many engines at once
	// maxReportAge bounds the age of a report, some hundred milliseconds according to
	// the platform's documentation, plus the delivery of the order and of the report.
	maxReportAge = time.Second
)

// executeAction sends the order of an action to an engine whose inFlight flag is set,
// and announces the change to the other instances.
func (r *Reconciler) executeAction(ctx context.Context, service string, class *fleet.EngineClass, u fleet.Upstream, a rebalance.Action) {
	key := registry.ResidentKey{Upstream: u.ID, Model: a.Model, Adapter: a.Adapter}
	if !a.Load {
		r.announce(service, key, false)
		if a.Adapter != "" {
			pause.For(ctx, adapterUnloadDelay)
		} else {
			pause.For(ctx, modelUnloadDelay)
		}
	}
	result, attempts := platform.OrderUnknown, 0
	var sentAt time.Time
	for ; attempts < maxOrderAttempts && result == platform.OrderUnknown; attempts++ {
		sentAt = time.Now()
		result = r.sendOrder(ctx, u, a)
	}
	if result == platform.OrderAccepted && a.Load && a.Adapter != "" {
		pause.For(ctx, adapterAnnounceDelay)
	}
	r.mu.Lock()
	e := r.engines[u.ID]
	if e == nil || !e.upstream.StartedAt.Equal(u.StartedAt) {
		r.mu.Unlock()
		return
	}
	e.inFlight = false
	succeeded, isUnresolved := r.settle(e, class, a, orderOutcome{result: result, attempts: attempts, expectedOrders: u.AcceptedOrders, sentAt: sentAt}, time.Now())
	r.mu.Unlock()
	switch {
	case succeeded && a.Load && a.Adapter != "":
		r.announce(service, key, true)
	case !succeeded && !a.Load && !isUnresolved:
		r.announce(service, key, true) // the model or adapter stays loaded
	}
	r.wake()
}

// orderOutcome is what is known of an order after all attempts to send it.
type orderOutcome struct {
	result         platform.OrderResult // of the last attempt
	attempts       int
	expectedOrders uint64
	sentAt         time.Time // time of the last attempt
}

// settle updates an engine's state with the outcome of an order. It reports whether the engine carries the order out, and
// whether only a report can show that. The caller holds r.mu.
func (r *Reconciler) settle(e *engineState, class *fleet.EngineClass, a rebalance.Action, o orderOutcome, now time.Time) (succeeded, isUnresolved bool) {
	succeeded = r.recordResult(e, class, a, o.result, now)
	mayBeAccepted := o.result == platform.OrderUnknown || o.attempts > 1
	isUnresolved = !a.Load && !succeeded && (mayBeAccepted || o.result == platform.OrderConflict)
	if isUnresolved {
		key := registry.ResidentKey{Upstream: e.upstream.ID, Model: a.Model, Adapter: a.Adapter}
		e.addUnresolvedUnload(key, unresolvedUnload{mayBeAccepted: mayBeAccepted, expectedOrders: o.expectedOrders, sentAt: o.sentAt}, now)
	}
	return succeeded, isUnresolved
}

// recordResult updates an engine's state with the result of an order and reports
// whether the engine carries the order out. The order count that the next order expects never exceeds the engine's:
// an order without a response that expects more is carried out after a later one, beside which it may have no
// room. An order that expects the engine's count at most is never carried out once another one has been. The
// caller holds r.mu.
func (r *Reconciler) recordResult(e *engineState, class *fleet.EngineClass, a rebalance.Action, result platform.OrderResult, now time.Time) bool {
	isAdapterUnload := a.Adapter != "" && !a.Load
	isAccepted := result == platform.OrderAccepted || result == platform.OrderAlreadyApplied
	switch {
	case !isAccepted:
		e.confirmed = false // the engine's state must be read before the next order
		e.backoffUntil = now.Add(orderBackoff)
	case result == platform.OrderAlreadyApplied && !isAdapterUnload: // nothing was accepted; unused adapters are unloaded at once
	case e.isCounted(a, r.mayHaveFormerOrders(now)):
		e.upstream.AcceptedOrders++
		e.lastOrderAt = now
	default:
		e.confirmed = false // only a report shows whether the order was counted
		e.lastOrderAt, e.maybeAccepted = now, e.upstream.AcceptedOrders+1
		e.backoffUntil = now.Add(orderBackoff / 4)
	}
	if isAdapterUnload {
		e.recordAdapterUnload(a.AdapterKey(), result, now)
	}
	switch {
	case !isAccepted:
		if a.Load && a.Adapter == "" || a.MakesRoomFor != "" {
			e.loading = ""
		}
		if !a.Load {
			delete(e.drainingModels, a.Model)
		}
	case isAdapterUnload:
	case a.Adapter != "":
		e.forgetUnload(a.AdapterKey())
		if result == platform.OrderAccepted {
			e.recordLoadInTerm(a.AdapterKey())
		}
		e.recordAdapterChange(a.Model, a.Adapter, true)
	case a.Load:
		e.loading, e.pending, e.pendingDeadline = a.Model, &a, now.Add(orderGracePeriod)
		if m := class.Model(a.Model); m != nil {
			e.pendingDeadline = now.Add(m.LoadTime + orderGracePeriod)
		}
	default:
		e.loading, e.pending, e.pendingDeadline = a.MakesRoomFor, &a, now.Add(orderGracePeriod)
	}
	return isAccepted
}

// mayHaveFormerOrders reports whether orders of an earlier holder may still be carried out or be in progress.
func (r *Reconciler) mayHaveFormerOrders(now time.Time) bool {
	return r.hadHolder && now.Sub(r.termStart) < formerOrderPeriod
}

// isLeaving reports whether an engine is known to be leaving by now.
func (r *Reconciler) isLeaving(u fleet.Upstream) bool {
	current := r.registry.View().Get(u.ID)
	return current != nil && current.StartedAt.Equal(u.StartedAt) && current.Draining
}

// sendOrder sends one order if this instance still holds the lease and the engine is not
// leaving. Otherwise it returns OrderRejected.
func (r *Reconciler) sendOrder(ctx context.Context, u fleet.Upstream, a rebalance.Action) platform.OrderResult {
	fence, ok := r.leases.FencingToken()
	if !ok || r.isLeaving(u) {
		return platform.OrderRejected
	}
	body, err := platform.EncodeOrder(platform.Order{
		Load: a.Load, Model: a.Model, Adapter: a.Adapter, ExpectedOrders: u.AcceptedOrders, Holder: r.instance, FencingToken: uint64(fence),
	})
	if err != nil {
		r.log.Error().Err(err).Str("event", "order.failed").Msg("failed to encode the order")
		return platform.OrderRejected
	}
	start := time.Now()
	status, _, err := r.roundTrip(ctx, u, upstreamconn.Request{
		Method: http.MethodPost, Target: platform.OrderPath, Body: body, AtMostOnce: true,
	})
	result := platform.OrderUnknown
	if err == nil {
		result = platform.DecodeOrderStatus(status)
	}
	r.log.Info().Str("event", "order.sent").Str("upstream", string(u.ID)).Bool("load", a.Load).Str("model", a.Model).
		Str("adapter", a.Adapter).Str("reason", string(a.Reason)).Bool("own_copy", a.FromDisk).Uint64("expect", u.AcceptedOrders).
		Stringer("fence", fence).Int("status", status).Err(err).Dur("took", time.Since(start)).Msg("sent an order to the engine")
	r.metrics.CountOrder(operationName(a), resultName(result))
	return result
}

// operationName returns the metric label for the operation of an action.
func operationName(a rebalance.Action) string {
	name := "unload"
	if a.Load {
		name = "load"
	}
	if a.Adapter != "" {
		return name + "_adapter"
	}
	return name
}

// resultName returns the metric label for the result of an order.
func resultName(r platform.OrderResult) string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused"}[r]
}

// roundTrip sends a request to an engine and returns the status and the body of its
// response. It returns errResponseTooLarge if the body is longer than maxReportBytes.
func (r *Reconciler) roundTrip(ctx context.Context, u fleet.Upstream, request upstreamconn.Request) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	request.Address, request.Host, request.Header = u.Address, u.Address, platform.OrderHeaders(string(u.ID))
	x, err := r.pool.Do(ctx, request)
	if err != nil {
		return 0, nil, err
	}
	defer x.Close()
	r.observeResponse(&u, x.Response.StatusCode, x.Response.Header)
	body, err := io.ReadAll(io.LimitReader(x, maxReportBytes+1))
	if err == nil && len(body) > maxReportBytes {
		err = errResponseTooLarge
	}
	return x.Response.StatusCode, body, err
}

// fetchReport requests the state of an engine whose inFlight flag is set and applies
// it. It announces the models and adapters that stay loaded after an unload without a known
// outcome, before the engine can get another order.
func (r *Reconciler) fetchReport(ctx context.Context, u fleet.Upstream) {
	for _, key := range r.fetchAndApplyReport(ctx, u) {
		r.announce(u.Service, key, true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.engines[u.ID]; e != nil && e.upstream.StartedAt.Equal(u.StartedAt) {
		e.inFlight = false
	}
}

// fetchAndApplyReport requests and applies the state of an engine, and returns the models and
// adapters that stay loaded after an unload without a known outcome.
func (r *Reconciler) fetchAndApplyReport(ctx context.Context, u fleet.Upstream) []registry.ResidentKey {
	requestedAt := time.Now()
	status, body, err := r.roundTrip(ctx, u, upstreamconn.Request{Method: http.MethodGet, Target: platform.ReportPath})
	if err == nil && status != http.StatusOK {
		err = errReportStatus
	}
	var report fleet.Upstream
	if err == nil {
		report, err = platform.DecodeReport(u, body)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[u.ID]
	if e == nil || !e.upstream.StartedAt.Equal(u.StartedAt) {
		return nil
	}
	if err != nil || !report.StartedAt.Equal(u.StartedAt) {
		e.backoffUntil = time.Now().Add(orderBackoff)
		e.confirmed = false
		if e.unreachableSince.IsZero() {
			e.unreachableSince = time.Now()
		}
		r.log.Info().Str("event", "report.failed").Str("upstream", string(u.ID)).Int("status", status).Err(err).Msg("engine report failed; no orders are sent until the engine reports")
		return nil
	}
	if !e.unreachableSince.IsZero() {
		r.log.Info().Str("event", "report.regained").Str("upstream", string(u.ID)).Dur("away", time.Since(e.unreachableSince)).Msg("engine reports again")
		e.unreachableSince = time.Time{}
	}
	now := time.Now()
	r.applyReport(e, report, now)
	if !e.confirmed {
		return nil
	}
	return e.resolveUnloads(report, requestedAt, now)
}

// applyReport adopts the state that an engine reports. Reports are some hundred
// milliseconds old, so a report that lacks recently accepted orders is ignored and
// requested again. The caller holds r.mu.
func (r *Reconciler) applyReport(e *engineState, report fleet.Upstream, now time.Time) {
	if report.AcceptedOrders < max(e.upstream.AcceptedOrders, e.maybeAccepted) && now.Sub(e.lastOrderAt) < maxReportAge {
		e.backoffUntil = now.Add(orderBackoff / 4)
		return
	}
	e.upstream, e.confirmed, e.maybeAccepted = report, true, 0
	for key := range e.unloadedBefore {
		if !report.Holds(key.Model, key.Adapter) {
			e.forgetUnload(key)
		}
	}
	hasMadeRoom := e.pending != nil && !e.pending.Load && !report.Holds(e.pending.Model, "")
	e.clearCompleted()
	if report.OrderInProgress {
		e.backoffUntil = now.Add(orderBackoff)
		if now.Sub(e.changedAt) < maxReportAge { // the order may be done, and the report older
			e.backoffUntil = now.Add(orderBackoff / 4)
		}
		e.pendingDeadline = e.backoffUntil
		return
	}
	e.pending = nil
	if !e.isFreeingMemory() && !hasMadeRoom { // else the load that the memory was freed for is next
		e.loading = ""
	}
}

// isFreeingMemory reports whether the engine unloads a model before the intended load.
func (e *engineState) isFreeingMemory() bool { return len(e.drainingModels) > 0 }
