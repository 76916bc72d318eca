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
	// ownRetry spaces the attempts to reach this instance's control process.
	ownRetry = 500 * time.Millisecond
	// peerRetry is the mean time between two rounds over the other instances.
	peerRetry = time.Second
)

var errSilent = errors.New("no message and no heartbeat in time")

// viewStream is an open stream of views that ends when it is silent for too long.
type viewStream struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	stream   pb.Local_WatchViewClient
	first    *pb.View
	watchdog *time.Timer
	silence  time.Duration
}

// open starts a stream and waits for its first message, which is whole.
func (s *Source) open(ctx context.Context, client pb.LocalClient) (*viewStream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	silence := s.Settings.Silence
	v := &viewStream{ctx: ctx, cancel: cancel, silence: silence}
	v.watchdog = time.AfterFunc(silence, func() { cancel(errSilent) })
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

// next returns the next message. Its error is errSilent when none came in time.
func (v *viewStream) next() (*pb.View, error) {
	message, err := v.stream.Recv()
	if err == nil {
		v.watchdog.Reset(v.silence)
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

// Run follows the view until ctx ends.
func (s *Source) Run(ctx context.Context) {
	for ctx.Err() == nil {
		own, err := s.open(ctx, s.Local)
		if err != nil {
			own = s.followPeersUntilOwn(ctx)
		}
		if own == nil {
			return
		}
		err = s.follow(own, s.Local)
		if ctx.Err() != nil {
			return
		}
		s.Log.Warn().Err(errs.Wrap(err, stepWatchView, controlPeer)).Msg("View stream ended; the last view stays.")
		pause.For(ctx, ownRetry)
	}
}

// follow takes the messages of a stream until it ends. Reports go to its client meanwhile.
func (s *Source) follow(v *viewStream, client pb.LocalClient) error {
	defer v.close()
	s.followed.Store(&client)
	s.other.Store(client != s.Local)
	for message := v.first; ; {
		s.Clock.Observe(peercodec.DecodeTime(message.GetTime()))
		if !message.GetHeartbeat() {
			if err := s.take(message); err != nil {
				return err // a new stream starts with the whole view
			}
		}
		var err error
		if message, err = v.next(); err != nil {
			return err
		}
	}
}

// followPeersUntilOwn follows views of other instances until this instance's
// control process answers, and returns its stream. It returns nil when ctx ended.
func (s *Source) followPeersUntilOwn(ctx context.Context) *viewStream {
	following, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.followPeers(following)
	}()
	defer func() {
		stop()
		<-ended
	}()
	for pause.For(ctx, ownRetry) {
		if own, err := s.open(ctx, s.Local); err == nil {
			return own
		}
	}
	return nil
}

// followPeers follows one other instance after another until ctx ends.
func (s *Source) followPeers(ctx context.Context) {
	wait := s.Settings.PeerAfter
	for pause.For(ctx, wait) {
		for _, address := range s.candidates() {
			if ctx.Err() != nil || s.followPeer(ctx, address) {
				break // the followed view may name other instances
			}
		}
		wait = peerRetry/2 + time.Duration(s.Random.Int64N(int64(peerRetry)))
	}
}

// followPeer follows the view of one other instance. It is false when the
// instance gave none.
func (s *Source) followPeer(ctx context.Context, address string) bool {
	client, err := s.Peers.Client(address)
	if err != nil {
		return false
	}
	defer s.Peers.Drop(address)
	peer := errs.Peer(address)
	v, err := s.open(ctx, client)
	if err != nil {
		s.Log.Debug().Err(errs.Wrap(err, stepWatchView, peer)).Msg("Instance gave no view.")
		return false
	}
	s.Log.Info().Str("peer", address).Msg("Following the view of another instance.")
	err = s.follow(v, client)
	s.Log.Info().Err(errs.Wrap(err, stepWatchView, peer)).Msg("View of the other instance ended.")
	return true
}
