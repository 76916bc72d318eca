package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/transport/operations"
	"savoryweir/internal/transport/sockbuf"
	"savoryweir/platform"
)

const (
	// deregistrationDelay is how long a stopping instance still accepts connections. The
	// platform checks readiness every second and stops sending callers to an instance after
	// two failed checks. The instance then closes its port, because the platform may go on
	// sending callers to it if an availability zone has too few other instances.
	deregistrationDelay = 2500 * time.Millisecond
	// shutdownMargin is reserved between the last response and the platform's SIGKILL.
	shutdownMargin = 400 * time.Millisecond
	// responseTime is how much earlier the requests in flight are ended for each of them, since an instance with a
	// fraction of a core needs some milliseconds for a response. maxMarginRatio bounds that as a fraction of the
	// grace period.
	responseTime   = 2500 * time.Microsecond
	maxMarginRatio = 0.25
	// exitMargin is reserved for the end of the process after the last connection.
	exitMargin = 50 * time.Millisecond
	// drainPollInterval is the interval at which a stopping instance checks whether all
	// requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// softMemoryLimitRatio is the fraction of the memory limit at which the garbage collector
	// starts to run more often.
	softMemoryLimitRatio = 0.7
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. It is above
	// the default of 100 because CPU time is scarcer than memory here.
	gcPercent = 200
)

// Run serves callers until a termination signal arrives, then waits for the requests in
// flight and stops. SIGHUP reloads the settings. Run returns an error if a port can't be
// opened or a server can't be closed.
func (n *Node) Run(signals <-chan os.Signal) error {
	n.configureGC()
	bounded := net.ListenConfig{Control: sockbuf.LimitReceive}
	callerListener, err := bounded.Listen(context.Background(), "tcp4", n.settings.Callers.Address)
	if err != nil {
		return errs.Wrap(err, "listen for callers", errs.Self)
	}
	readyListener, err := net.Listen("tcp4", n.settings.Ready.Address)
	if err != nil {
		return errs.Wrap(err, "listen for readiness", errs.Self)
	}
	metricsListener, err := net.Listen("tcp4", n.operationsAddress())
	if err != nil {
		return errs.Wrap(err, "listen for metrics", errs.Self)
	}
	forwardListener, err := n.listenForForwards()
	if err != nil {
		return err
	}
	n.log.Info().Str("event", "start").Str("callers", n.settings.Callers.Address).Str("zone", n.settings.Instance.Zone).
		Str("store", n.settings.Store.URL).Interface("bounds", n.settings.Bounds).Msg("instance is starting")
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for name, task := range n.backgroundTasks() {
		group.Go(func() { n.supervise(ctx, name, task) })
	}
	group.Go(func() { n.serveOperations(ctx, metricsListener) })
	readyServer := &http.Server{Handler: http.HandlerFunc(n.serveReady), IdleTimeout: readyIdleTimeout}
	go n.serve("ready", readyServer, readyListener)
	forwardServer := n.forwardServer()
	go n.serve("forwards", forwardServer, forwardListener)
	callers := newCallerServers(n.gateway, callerListener)
	group.Go(func() { n.supervise(ctx, "callers", callers.acceptConnections) })
	n.awaitTermination(signals)
	killedAt := time.Now().Add(n.bounds.Load().Grace)
	isDrained := n.drain(callers, killedAt)
	closeBy := time.Now().Add(shutdownMargin / 2)
	if !isDrained {
		closeBy = killedAt.Add(-exitMargin) // many responses may have to be flushed
	}
	cancel()
	stopped := waitWithTimeout(&group, shutdownMargin/4)
	closeCtx, cancelClose := context.WithDeadline(context.Background(), closeBy)
	defer cancelClose()
	closeErr := callers.shutdown(closeCtx)
	n.log.Info().Str("event", "stop").Int64("in_flight", n.gateway.InFlight()).Bool("duties_ended", stopped).Msg("instance drained; exiting")
	return errors.Join(readyServer.Close(), forwardServer.Close(), closeErr)
}

// readyIdleTimeout is the idle timeout of connections to the readiness port.
const readyIdleTimeout = 30 * time.Second

// configureGC sets the garbage collection target and, if a memory limit is configured, the
// soft memory limit of the Go runtime.
func (n *Node) configureGC() {
	debug.SetGCPercent(gcPercent)
	if limit := n.settings.Bounds.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(limit) * (1 << 20)))
	}
}

// serve runs an HTTP server until it is closed.
func (n *Node) serve(name string, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Err(err).Str("event", "server.failed").Str("server", name).Msg("server failed; the listener no longer accepts connections")
	}
}

// serveOperations serves metrics and health checks on the operations port until ctx ends.
func (n *Node) serveOperations(ctx context.Context, listener net.Listener) {
	handler := operations.Handler(operations.Options{Metrics: n.metrics.Registry, Ready: n.readinessError})
	if err := operations.Serve(ctx, listener, handler, shutdownMargin); err != nil {
		n.log.Error().Err(err).Str("event", "server.failed").Str("server", "operations").Msg("operations server failed")
	}
}

var (
	errStopping    = errors.New("instance is stopping")
	errNoConfig    = errors.New("no configuration yet")
	errNoUpstreams = errors.New("no upstreams known yet")
)

// readinessError returns nil if callers may be sent to this instance, otherwise the reason why
// not.
func (n *Node) readinessError() error {
	switch {
	case n.stopping.Load():
		return errStopping
	case n.gateway.Config() == nil:
		return errNoConfig
	case n.registry.View().Count() == 0:
		return errNoUpstreams
	default:
		return nil
	}
}

// serveReady answers the readiness checks of the platform.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if err := n.readinessError(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// awaitTermination returns when a signal other than SIGHUP arrives. On SIGHUP it reloads the
// settings.
func (n *Node) awaitTermination(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			n.reloadSettings()
			continue
		}
		n.log.Info().Str("event", "stopping").Str("signal", s.String()).Int64("in_flight", n.gateway.InFlight()).Msg("termination signal received; draining requests")
		return
	}
}

// drain stops the instance gracefully: it fails the readiness checks so that callers move to
// other instances, then refuses new requests, waits for the requests in flight, and cancels
// those that have not ended before the end of the grace period, when the process is killed: first those without a response, so
// that their callers get one, and last the streams that have begun. It reports whether all had ended before.
func (n *Node) drain(callers *callerServers, killedAt time.Time) bool {
	n.stopping.Store(true)
	n.gateway.CloseConnectionsAfterResponses()
	n.quotas.Leave()
	grace := n.bounds.Load().Grace
	time.Sleep(min(deregistrationDelay, grace/3))
	if err := callers.refuseNewRequests(); err != nil {
		n.log.Warn().Err(err).Str("event", "listener.failed").Msg("failed to close the callers' port")
	}
	if n.awaitInFlightRequests(func(inFlight int64) time.Time { return killedAt.Add(-drainMargin(grace, inFlight)) }) {
		return true
	}
	n.gateway.CancelUnanswered()
	n.awaitInFlightRequests(func(int64) time.Time { return killedAt.Add(-shutdownMargin) })
	n.gateway.CancelInFlight()
	n.awaitInFlightRequests(func(int64) time.Time { return killedAt.Add(-shutdownMargin / 4) })
	return false
}

// drainMargin returns how long before the end of the grace period requests without a response are ended, so that each of
// them gets its final response.
func drainMargin(grace time.Duration, inFlight int64) time.Duration {
	margin := shutdownMargin + time.Duration(inFlight)*responseTime
	return max(min(margin, time.Duration(maxMarginRatio*float64(grace))), shutdownMargin)
}

// awaitInFlightRequests waits until no requests are in flight or the time that deadline gives for their number has passed. It
// reports whether all have ended.
func (n *Node) awaitInFlightRequests(deadline func(inFlight int64) time.Time) bool {
	for {
		inFlight := n.gateway.InFlight()
		if inFlight == 0 || !time.Now().Before(deadline(inFlight)) {
			return inFlight == 0
		}
		time.Sleep(drainPollInterval)
	}
}

// waitWithTimeout waits for group and reports whether it finished within timeout.
func waitWithTimeout(group *sync.WaitGroup, timeout time.Duration) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}
