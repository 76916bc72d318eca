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
	"savoryweir/platform"
)

const (
	// noticeTime is how long an instance that leaves still takes new connections:
	// the platform asks for readiness each second and needs two misses. Then it
	// closes its port, as the platform may go on to send callers here where an
	// availability zone has too few other instances.
	noticeTime = 2500 * time.Millisecond
	// graceMargin is kept between the last answer and the platform's SIGKILL.
	graceMargin = 400 * time.Millisecond
	// drainStep is the time between two looks at whether all requests have ended.
	drainStep = 20 * time.Millisecond
	// memoryShare is the share of the memory limit at which the garbage collector
	// works harder.
	memoryShare = 0.7
	// collectAt starts a collection when the heap has grown by this percentage:
	// processor time is dearer here than memory.
	collectAt = 200
)

// Run serves until a signal tells to stop and the requests in flight have ended.
func (n *Node) Run(signals <-chan os.Signal) error {
	n.limitMemory()
	front, err := net.Listen("tcp4", n.settings.Callers.Address)
	if err != nil {
		return errs.Wrap(err, "listen for callers", errs.Self)
	}
	ready, err := net.Listen("tcp4", n.settings.Ready.Address)
	if err != nil {
		return errs.Wrap(err, "listen for readiness", errs.Self)
	}
	metrics, err := net.Listen("tcp4", n.operationsAddress())
	if err != nil {
		return errs.Wrap(err, "listen for metrics", errs.Self)
	}
	n.log.Info().Str("event", "start").Str("callers", n.settings.Callers.Address).Str("zone", n.settings.Instance.Zone).
		Str("store", n.settings.Store.URL).Interface("bounds", n.settings.Bounds).Msg("instance starts")
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for name, duty := range n.duties() {
		group.Go(func() { n.supervise(ctx, name, duty) })
	}
	group.Go(func() { n.serveOperations(ctx, metrics) })
	readiness := &http.Server{Handler: http.HandlerFunc(n.serveReady), IdleTimeout: readyIdle}
	go n.serve("ready", readiness, ready)
	callers := newCallerServers(n.gateway, front)
	group.Go(func() { n.supervise(ctx, "callers", callers.run) })
	n.awaitStop(signals)
	n.drain(callers)
	cancel()
	stopped := waitFor(&group, graceMargin/4)
	n.log.Info().Str("event", "stop").Int64("in_flight", n.gateway.InFlight()).Bool("duties_ended", stopped).Msg("instance stops")
	return errors.Join(readiness.Close(), callers.close())
}

const readyIdle = 30 * time.Second

func (n *Node) limitMemory() {
	debug.SetGCPercent(collectAt)
	if limit := n.settings.Bounds.MemoryMB; limit > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(limit) * (1 << 20)))
	}
}

func (n *Node) serve(name string, server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Err(err).Str("event", "server.failed").Str("server", name).Msg("server ended")
	}
}

func (n *Node) serveOperations(ctx context.Context, listener net.Listener) {
	handler := operations.Handler(operations.Options{Metrics: n.metrics.Registry, Ready: n.notReady})
	if err := operations.Serve(ctx, listener, handler, graceMargin); err != nil {
		n.log.Error().Err(err).Str("event", "server.failed").Str("server", "operations").Msg("server ended")
	}
}

var (
	errStopping    = errors.New("instance is stopping")
	errNoConfig    = errors.New("no configuration yet")
	errNoUpstreams = errors.New("no upstreams known yet")
)

// notReady returns why callers should not be sent here, or nil.
func (n *Node) notReady() error {
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

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if err := n.notReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// awaitStop waits for the signal to stop. SIGHUP reads the settings again.
func (n *Node) awaitStop(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			n.reloadSettings()
			continue
		}
		n.log.Info().Str("event", "stopping").Str("signal", s.String()).Int64("in_flight", n.gateway.InFlight()).Msg("instance is leaving")
		return
	}
}

// drain answers the requests in flight while callers move to other instances.
func (n *Node) drain(callers *callerServers) {
	began := time.Now()
	n.stopping.Store(true)
	callers.leave()
	grace := n.bounds.Load().Grace
	time.Sleep(min(noticeTime, grace/3))
	if err := callers.refuse(); err != nil {
		n.log.Warn().Err(err).Str("event", "listener.failed").Msg("callers' port was not closed")
	}
	n.awaitRequests(began.Add(grace - graceMargin))
	n.gateway.CancelInFlight()
	n.awaitRequests(began.Add(grace - graceMargin/2))
}

// awaitRequests waits until no request is in flight, at the latest until a time.
func (n *Node) awaitRequests(until time.Time) {
	for n.gateway.InFlight() > 0 && time.Now().Before(until) {
		time.Sleep(drainStep)
	}
}

func waitFor(group *sync.WaitGroup, limit time.Duration) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}
