package controlview

import (
	"context"
	"errors"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/errs"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/peercodec"
)

const (
	// localRetryInterval is the time between attempts to reach this instance's control process.
	localRetryInterval = 500 * time.Millisecond
	// meanPeerRetryInterval is the mean time between two rounds of attempts over the other
	// instances. The actual time is random between half and one and a half of it.
	meanPeerRetryInterval = time.Second
)

var errStreamIdle = errors.New("no message or heartbeat arrived within the idle timeout")

// viewStream is an open stream of views. It ends when no message arrives within idleTimeout.
type viewStream struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	stream      pb.Local_WatchViewClient
	first       *pb.View
	watchdog    *time.Timer
	idleTimeout time.Duration
}

// openStream starts a stream and waits for its first message, which holds the whole view.
func (s *Source) openStream(ctx context.Context, client pb.LocalClient) (*viewStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	idleTimeout := s.Settings.Silence
	v := &viewStream{ctx: ctx, cancel: cancel, idleTimeout: idleTimeout}
	v.watchdog = time.AfterFunc(idleTimeout, func() { cancel(errStreamIdle) })
	var err error
	v.stream, err = client.WatchView(ctx, &pb.WatchViewRequest{Time: peercodec.EncodeTime(s.Clock.Now())})
	if err == nil {
		v.first, err = v.next()
	}
	if err != nil {
		v.close()
		return nil, err
	}
	return v, nil
}

// next returns the next message. It returns errStreamIdle if none arrived within idleTimeout.
func (v *viewStream) next() (*pb.View, error) {
	message, err := v.stream.Recv()
	if err == nil {
		v.watchdog.Reset(v.idleTimeout)
		return message, nil
	}
	if cause := context.Cause(v.ctx); cause != nil {
		return nil, cause
	}
	return nil, err
}

func (v *viewStream) close() {
	v.watchdog.Stop()
	v.cancel(nil)
}

// Run follows the view until ctx ends. It prefers this instance's control process and reconnects
// to it whenever a stream ends.
func (s *Source) Run(ctx context.Context) {
	for ctx.Err() == nil {
		local, err := s.openStream(ctx, s.Local)
		if err != nil {
			local = s.followPeersUntilLocalAnswers(ctx)
		}
		if local == nil {
			return
		}
		err = s.follow(local, s.Local)
		if ctx.Err() != nil {
			return
		}
		s.Log.Warn().Err(errs.Wrap(err, stepWatchView, controlPeer)).Msg("View stream ended; the last view stays in use.")
		pause.For(ctx, localRetryInterval)
	}
}

// follow applies the messages of a stream until it ends, and returns the error that ended it.
// Reports go to client meanwhile.
func (s *Source) follow(v *viewStream, client pb.LocalClient) error {
	defer v.close()
	s.reportClient.Store(&client)
	s.followsPeer.Store(client != s.Local)
	for message := v.first; ; {
		s.Clock.Observe(peercodec.DecodeTime(message.GetTime()))
		if !message.GetHeartbeat() {
			if err := s.apply(message); err != nil {
				return err // the next stream starts with the whole view
			}
		}
		var err error
		if message, err = v.next(); err != nil {
			return err
		}
	}
}

// followPeersUntilLocalAnswers follows views of other instances until this instance's control
// process answers, and returns the stream of the local process. It returns nil if ctx ends first.
func (s *Source) followPeersUntilLocalAnswers(ctx context.Context) *viewStream {
	peerCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.followPeers(peerCtx)
	}()
	defer func() {
		stop()
		<-done
	}()
	for pause.For(ctx, localRetryInterval) {
		if local, err := s.openStream(ctx, s.Local); err == nil {
			return local
		}
	}
	return nil
}

// followPeers follows one instance after another until ctx ends.
func (s *Source) followPeers(ctx context.Context) {
	delay := s.Settings.PeerAfter
	for pause.For(ctx, delay) {
		for _, address := range s.candidates() {
			if ctx.Err() != nil || s.followPeer(ctx, address) {
				break // the view that was followed may list other instances
			}
		}
		delay = meanPeerRetryInterval/2 + time.Duration(s.Random.Int64N(int64(meanPeerRetryInterval)))
	}
}

// followPeer follows the view of the instance at address until its stream ends. It returns false
// if no stream could be opened.
func (s *Source) followPeer(ctx context.Context, address string) bool {
	client, err := s.Peers.Client(address)
	if err != nil {
		return false
	}
	defer s.Peers.Drop(address)
	peer := errs.Peer(address)
	v, err := s.openStream(ctx, client)
	if err != nil {
		s.Log.Debug().Err(errs.Wrap(err, stepWatchView, peer)).Msg("View stream of another instance not opened.")
		return false
	}
	s.Log.Info().Str("peer", address).Msg("Following the view of another instance.")
	err = s.follow(v, client)
	s.Log.Info().Err(errs.Wrap(err, stepWatchView, peer)).Msg("View stream of another instance ended.")
	return true
}
