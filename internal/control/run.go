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

// Run works until ctx ends. Then it leaves the membership and closes its ports.
func (p *Process) Run(ctx context.Context) error {
	p.recorder.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	p.log.Info().Str("peers", p.peerListener.Addr().String()).Str("local", p.localListener.Addr().String()).
		Str("operations", p.operationsListener.Addr().String()).Msg("Control started.")
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
	p.log.Info().Msg("Control stopped.")
	return err
}

// drain goes on for the entry until it has stopped or had time to, and then
// waits until the results of all its orders are durable.
func (p *Process) drain(working context.Context) {
	p.recorder.Record(timeline.Event{Kind: timeline.KindProcessStopping})
	p.view.WaitForNoWatchers(working, p.settings.Shutdown.EntryWait)
	draining, cancel := context.WithTimeout(working, p.settings.Shutdown.DrainTime)
	defer cancel()
	if err := p.claims.Drain(draining); err != nil {
		p.log.Warn().Int("orders", p.claims.HeldCount()).Msg("Stopped with orders in progress.")
	}
}

// leave tells the peers that this instance stops.
func (p *Process) leave(working context.Context) {
	leaving, cancel := context.WithTimeout(working, leaveTimeout)
	defer cancel()
	if err := p.peers.Leave(leaving); err != nil {
		p.log.Warn().Err(err).Msg("Peers were not told of the leave.")
	}
}

func serveGRPC(server *grpc.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, grpc.ErrServerStopped) {
		return nil
	}
	return err
}
