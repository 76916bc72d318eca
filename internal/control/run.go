package control

import (
	"context"
	"errors"
	"net"

	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"savoryweir/internal/state/timeline"
	"savoryweir/internal/transport/operations"
)

// Run runs the process until ctx ends or a component fails. Then it drains, leaves the
// membership and closes its ports.
func (p *Process) Run(ctx context.Context) error {
	p.recorder.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	p.log.Info().Str("peers", p.peerListener.Addr().String()).Str("local", p.localListener.Addr().String()).
		Str("operations", p.operationsListener.Addr().String()).Msg("Control process started.")
	working, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, working := errgroup.WithContext(working)
	group.Go(func() error { return p.peers.Run(working) })
	group.Go(func() error { return p.cells.Run(working, p.peers, p.peers) })
	group.Go(func() error { return p.bundles.Run(working) })
	group.Go(func() error { return p.sweeper.Run(working) })
	group.Go(func() error { return p.claims.Run(working) })
	group.Go(func() error { return p.rosters.Run(working) })
	group.Go(func() error { return p.holder.Run(working) })
	group.Go(func() error { return p.flow.Run(working, p.placingInputs(), p.peers) })
	group.Go(func() error { return p.runNotifier(working) })
	group.Go(func() error { return p.runHeads(working) })
	group.Go(func() error { return p.runInstanceList(working) })
	group.Go(func() error { return serveGRPC(p.peerServer, p.peerListener) })
	group.Go(func() error { return serveGRPC(p.localServer, p.localListener) })
	group.Go(func() error {
		return operations.Serve(working, p.operationsListener, p.operationsHandler(), stopTimeout)
	})
	select {
	case <-ctx.Done():
	case <-working.Done():
	}
	p.drain(working)
	p.leave(working)
	stop()
	p.peerServer.Stop()
	p.localServer.Stop()
	err := group.Wait()
	p.pool.Close()
	p.log.Info().Msg("Control process stopped.")
	return err
}

// drain keeps serving the local entry process until it has disconnected or EntryWait has
// passed. Then it waits until the results of all orders that this process holds are
// durable, at most DrainTime.
func (p *Process) drain(working context.Context) {
	p.recorder.Record(timeline.Event{Kind: timeline.KindProcessStopping})
	p.view.WaitForNoWatchers(working, p.settings.Shutdown.EntryWait)
	draining, cancel := context.WithTimeout(working, p.settings.Shutdown.DrainTime)
	defer cancel()
	if err := p.claims.Drain(draining); err != nil {
		p.log.Warn().Int("orders", p.claims.HeldCount()).Msg("Drain ended with orders in progress.")
	}
}

// leave notifies the neighbours in the membership that this instance stops.
func (p *Process) leave(working context.Context) {
	leaving, cancel := context.WithTimeout(working, leaveTimeout)
	defer cancel()
	if err := p.peers.Leave(leaving); err != nil {
		p.log.Warn().Err(err).Msg("Peers not notified that this instance leaves.")
	}
}

// serveGRPC serves until the server is stopped, which is no error.
func serveGRPC(server *grpc.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}
