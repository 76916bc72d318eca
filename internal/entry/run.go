package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"savoryweir/internal/errs"
	"savoryweir/internal/pause"
	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/tlsconf"
)

// Steps that errors name.
const (
	stepListenCallers    errs.Step = "listen for callers"
	stepListenOperations errs.Step = "listen for operators"
	stepServe            errs.Step = "serve"
	stepDrain            errs.Step = "finish requests in progress"
)

// operationsTimeout bounds requests on the operations port.
const operationsTimeout = 30 * time.Second

// ErrRequestsAborted reports that the process ended while requests were in progress.
var ErrRequestsAborted = errors.New("process ended with requests in progress")

// Run listens on the configured addresses and serves callers and operators. After the first signal
// it drains and returns; after a second signal it returns at once.
func (s *Server) Run(ctx context.Context, signals <-chan os.Signal) error {
	callers, err := net.Listen("tcp", s.settings.Callers.Address)
	if err != nil {
		return errs.Wrap(err, stepListenCallers, errs.Self)
	}
	operations, err := net.Listen("tcp", s.settings.Operations.Address)
	if err != nil {
		return errors.Join(errs.Wrap(err, stepListenOperations, errs.Self), callers.Close())
	}
	operations, err = tlsconf.Listen(operations, s.settings.Operations.TLS)
	if err != nil {
		return errors.Join(errs.Wrap(err, stepListenOperations, errs.Self), callers.Close())
	}
	return s.Serve(ctx, callers, operations, signals)
}

// Serve does the work of Run on open listeners, which it closes.
func (s *Server) Serve(ctx context.Context, callers, operations net.Listener, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callerServer, callers, err := s.newCallerServer(callers)
	if err != nil {
		return err
	}
	operationsServer := &http.Server{Handler: s.Operations(), ReadTimeout: operationsTimeout, WriteTimeout: operationsTimeout}
	failed := make(chan error, 2)
	go func() { failed <- callerServer.Serve(callers) }()
	go func() { failed <- operationsServer.Serve(operations) }()
	go s.RunBackgroundTasks(ctx)
	s.recorder.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	s.log.Info().Str("callers", callers.Addr().String()).Str("operations", operations.Addr().String()).Msg("Listening.")
	select {
	case err = <-failed:
		err = errs.Wrap(err, stepServe, errs.Self)
	case <-ctx.Done():
	case <-signals:
		err = s.shutDown(ctx, callerServer, signals)
	}
	return errors.Join(err, callerServer.Close(), operationsServer.Close())
}

// newCallerServer returns the HTTP server for callers and the listener, with TLS if configured, that it serves.
func (s *Server) newCallerServer(listener net.Listener) (*http.Server, net.Listener, error) {
	c := s.settings.Callers
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           s.Handler(),
		Protocols:         protocols,
		ReadHeaderTimeout: c.ReadTimeout,
		IdleTimeout:       c.IdleTimeout,
		MaxHeaderBytes:    c.MaxHeaderBytes,
	}
	secure, err := tlsconf.Listen(listener, c.TLS)
	if err != nil {
		return nil, nil, err
	}
	return server, secure, nil
}

// shutDown makes the readiness check fail, waits until the load balancer has noticed, and waits for
// requests in progress.
func (s *Server) shutDown(ctx context.Context, callerServer *http.Server, signals <-chan os.Signal) error {
	s.drain.markStopping()
	s.recorder.Record(timeline.Event{Kind: timeline.KindProcessStopping})
	s.log.Info().Msg("Shutting down; the readiness check fails from now on.")
	ctx, cancel := context.WithTimeoutCause(ctx, s.settings.Shutdown.BalancerLag+s.settings.Shutdown.DrainTime, errDeadlineExceeded)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- s.drainAll(ctx, callerServer) }()
	select {
	case err := <-drained:
		return s.logShutdown(err)
	case <-signals:
		s.log.Warn().Msg("Second signal received; ending at once.")
		return s.logShutdown(ErrRequestsAborted)
	}
}

// drainAll waits until no request is in progress and returns nil, or returns an error if ctx ends first.
func (s *Server) drainAll(ctx context.Context, callerServer *http.Server) error {
	if !pause.For(ctx, s.settings.Shutdown.BalancerLag) {
		return context.Cause(ctx)
	}
	handover := time.AfterFunc(s.settings.Shutdown.HandoverTime, s.drain.handOver)
	defer handover.Stop()
	if err := callerServer.Shutdown(ctx); err != nil {
		return err
	}
	return s.drain.waitIdle(ctx)
}

// logShutdown logs the requests that the end of the process aborts. It returns ErrRequestsAborted if
// there are any.
func (s *Server) logShutdown(err error) error {
	calls, background := s.drain.inProgress()
	if err == nil || len(calls)+background == 0 {
		s.log.Info().Msg("Stopped; all requests were completed.")
		return nil
	}
	for _, c := range calls {
		s.log.Warn().Str("method", c.Method).Str("path", c.Path).Dur("age_ms", s.now().Sub(c.Started)).Msg("Request aborted by shutdown.")
	}
	s.log.Warn().Int("requests", len(calls)).Int("orders", background).Msg("Stopped with requests in progress.")
	return errs.Wrap(ErrRequestsAborted, stepDrain, errs.Self)
}
