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
	// orderTimeout bounds an exchange with an engine: a connection and an answer
	// with one lost packet.
	orderTimeout = 300 * time.Millisecond
	// orderTries is how often an order without an answer is sent. All carry the
	// same count of orders before, so that at most one is carried out.
	orderTries = 4
	// orderBackoff is the pause after an order that did not succeed: an engine's
	// report is some hundred milliseconds old.
	orderBackoff = 500 * time.Millisecond
	// adapterReady is the time after which an adapter that was ordered is told to
	// the other instances: twice its load time at full speed.
	adapterReady   = 20 * time.Millisecond
	maxReportBytes = 1 << 20
	// reportLag is the age of a report at the most, some hundred milliseconds by the
	// platform's pages, and the way of the order and the report.
	reportLag = time.Second
)

// carryOut performs one action on a lane whose inFlight is set.
func (s *Reconciler) carryOut(ctx context.Context, service string, class *fleet.EngineClass, u fleet.Upstream, a rebalance.Action) {
	item := registry.ResidentKey{Upstream: u.ID, Model: a.Model, Adapter: a.Adapter}
	if !a.Load {
		s.announce(item, false)
		if a.Adapter != "" {
			pause.For(ctx, adapterRetireWait)
		} else {
			pause.For(ctx, retireWait)
		}
	}
	result := platform.OrderUnknown
	for try := 0; try < orderTries && result == platform.OrderUnknown; try++ {
		result = s.order(ctx, u, a)
	}
	if result == platform.OrderAccepted && a.Load && a.Adapter != "" {
		pause.For(ctx, adapterReady)
	}
	s.mu.Lock()
	l := s.lanes[u.ID]
	if l == nil || !l.upstream.StartedAt.Equal(u.StartedAt) {
		s.mu.Unlock()
		return
	}
	l.inFlight = false
	done := s.settle(l, class, a, result)
	s.mu.Unlock()
	switch {
	case done && a.Load && a.Adapter != "":
		s.announce(item, true)
	case !done && !a.Load:
		s.announce(item, true) // the model stays
	}
	s.wake()
}

// settle records the result of an order. It reports whether the order holds. The
// caller holds s.mu.
func (s *Reconciler) settle(l *lane, class *fleet.EngineClass, a rebalance.Action, result platform.OrderResult) bool {
	now := time.Now()
	switch result {
	case platform.OrderAccepted, platform.OrderAlreadyApplied:
		if result == platform.OrderAccepted || a.Adapter != "" && !a.Load { // adapters are unloaded at once
			l.upstream.AcceptedOrders++
			l.orderedAt = now
		}
	case platform.OrderUnknown, platform.OrderConflict, platform.OrderRejected:
		l.confirmed = false // read the engine's state before the next order
		l.waitUntil = now.Add(orderBackoff)
		if a.Load && a.Adapter == "" || a.MakesRoomFor != "" {
			l.loading = ""
		}
		if !a.Load {
			delete(l.retired, a.Model)
		}
		return false
	}
	switch {
	case a.Adapter != "":
		l.changeAdapter(a.Model, a.Adapter, a.Load)
	case a.Load:
		l.loading, l.pending, l.doneBy = a.Model, &a, now.Add(overdueLoad)
		if m := class.Model(a.Model); m != nil {
			l.doneBy = now.Add(m.LoadTime + overdueLoad)
		}
	default:
		l.loading, l.pending, l.doneBy = a.MakesRoomFor, &a, now.Add(overdueLoad)
	}
	return true
}

// order sends one order, if this instance still may.
func (s *Reconciler) order(ctx context.Context, u fleet.Upstream, a rebalance.Action) platform.OrderResult {
	fence, ok := s.holder.FencingToken()
	if !ok {
		return platform.OrderRejected
	}
	body, err := platform.EncodeOrder(platform.Order{
		Load: a.Load, Model: a.Model, Adapter: a.Adapter, ExpectedOrders: u.AcceptedOrders, Holder: s.instance, FencingToken: uint64(fence),
	})
	if err != nil {
		s.log.Error().Err(err).Str("event", "order.failed").Msg("order was not encoded")
		return platform.OrderRejected
	}
	began := time.Now()
	status, _, err := s.exchange(ctx, u, upstreamconn.Request{
		Method: http.MethodPost, Target: platform.OrderPath, Body: body, AtMostOnce: true,
	})
	result := platform.OrderUnknown
	if err == nil {
		result = platform.DecodeOrderStatus(status)
	}
	s.log.Info().Str("event", "order.sent").Str("upstream", string(u.ID)).Bool("load", a.Load).Str("model", a.Model).
		Str("adapter", a.Adapter).Str("reason", string(a.Reason)).Bool("own_copy", a.FromDisk).Uint64("expect", u.AcceptedOrders).
		Uint64("fence", uint64(fence)).Int("status", status).Err(err).Dur("took", time.Since(began)).Msg("order given")
	s.metrics.CountOrder(operation(a), resultName(result))
	return result
}

func operation(a rebalance.Action) string {
	name := "unload"
	if a.Load {
		name = "load"
	}
	if a.Adapter != "" {
		return name + "_adapter"
	}
	return name
}

func resultName(r platform.OrderResult) string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "refused"}[r]
}

func (s *Reconciler) exchange(ctx context.Context, u fleet.Upstream, r upstreamconn.Request) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r.Address, r.Host, r.Header = u.Address, u.Address, platform.OrderHeaders(string(u.ID))
	x, err := s.pool.Do(ctx, r)
	if err != nil {
		return 0, nil, err
	}
	defer x.Close()
	body, err := io.ReadAll(io.LimitReader(x, maxReportBytes))
	return x.Response.StatusCode, body, err
}

// readReport asks an engine for its state, for a lane whose inFlight is set.
func (s *Reconciler) readReport(ctx context.Context, u fleet.Upstream) {
	status, body, err := s.exchange(ctx, u, upstreamconn.Request{Method: http.MethodGet, Target: platform.ReportPath})
	if err == nil && status != http.StatusOK {
		err = errReport
	}
	var read fleet.Upstream
	if err == nil {
		read, err = platform.DecodeReport(u, body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lanes[u.ID]
	if l == nil || !l.upstream.StartedAt.Equal(u.StartedAt) {
		return
	}
	l.inFlight = false
	if err != nil || !read.StartedAt.Equal(u.StartedAt) {
		l.waitUntil = time.Now().Add(orderBackoff)
		l.confirmed = false
		if l.lostSince.IsZero() {
			l.lostSince = time.Now()
		}
		s.log.Info().Str("event", "report.failed").Str("upstream", string(u.ID)).Int("status", status).Err(err).Msg("engine did not report")
		return
	}
	if !l.lostSince.IsZero() {
		s.log.Info().Str("event", "report.regained").Str("upstream", string(u.ID)).Dur("away", time.Since(l.lostSince)).Msg("engine reports again")
		l.lostSince = time.Time{}
	}
	s.takeReport(l, read, time.Now())
}

// takeReport adopts an engine's report. A report is some hundred milliseconds old:
// one that lacks orders of this term is read again. The caller holds s.mu.
func (s *Reconciler) takeReport(l *lane, read fleet.Upstream, now time.Time) {
	if read.AcceptedOrders < l.upstream.AcceptedOrders && now.Sub(l.orderedAt) < reportLag {
		l.waitUntil = now.Add(orderBackoff / 2)
		return
	}
	l.upstream, l.confirmed = read, true
	l.notice()
	if read.OrderInProgress {
		l.waitUntil = now.Add(orderBackoff)
		l.doneBy = l.waitUntil
		return
	}
	l.pending = nil
	if !l.isMakingRoom() {
		l.loading = ""
	}
}

// isMakingRoom reports whether an unload precedes the load that is intended.
func (l *lane) isMakingRoom() bool { return len(l.retired) > 0 }
