package claims

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
)

// fakeOwner is a peer whose frames the test reads and whose replies it writes.
type fakeOwner struct {
	pb.OrdersClient
	streams chan *fakeStream
}

// Orders implements Dialer.
func (o *fakeOwner) Orders(string) (pb.OrdersClient, error) { return o, nil }

// Exchange implements pb.OrdersClient.
func (o *fakeOwner) Exchange(ctx context.Context, _ ...grpc.CallOption) (grpc.BidiStreamingClient[pb.OrderFrame, pb.OrderReplies], error) {
	ctx, cut := context.WithCancel(ctx)
	s := &fakeStream{ctx: ctx, end: cut, frames: make(chan *pb.OrderFrame, 16), replies: make(chan *pb.OrderReplies, 16)}
	o.streams <- s
	return s, nil
}

// fakeStream is the client's end of a stream to a fakeOwner.
type fakeStream struct {
	grpc.ClientStream
	ctx     context.Context
	end     context.CancelFunc
	frames  chan *pb.OrderFrame
	replies chan *pb.OrderReplies
}

// Send implements pb.Orders_ExchangeClient.
func (s *fakeStream) Send(f *pb.OrderFrame) error {
	s.frames <- f
	return nil
}

// Recv implements pb.Orders_ExchangeClient.
func (s *fakeStream) Recv() (*pb.OrderReplies, error) {
	select {
	case r := <-s.replies:
		return r, nil
	case <-s.ctx.Done():
		return nil, errUnreachable
	}
}

// linkTest is a link table with one owner, and the errors of the ended calls by key.
type linkTest struct {
	links      *linkTable
	owner      *fakeOwner
	wait       sync.WaitGroup
	mu         sync.Mutex // guards callErrors
	callErrors map[byte]error
}

func newLinkTest(t *testing.T) *linkTest {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	l := &linkTest{owner: &fakeOwner{streams: make(chan *fakeStream, 16)}, callErrors: make(map[byte]error)}
	l.links = &linkTable{
		dialer: l.owner, settings: testSettings(), clock: hlc.New(time.Now), byPeer: make(map[string]*link),
		self: journal.Claimant{Instance: "i000", Incarnation: 1},
		startTask: func(duty func(context.Context)) bool {
			l.wait.Go(func() { duty(ctx) })
			return true
		},
	}
	t.Cleanup(func() {
		cancel()
		l.wait.Wait()
	})
	return l
}

// call starts a claim of a one-byte key and records its error when it ends.
func (l *linkTest) call(ctx context.Context, key byte) {
	claim := &ownerClaim{Claim: journal.Claim{Key: journal.KeyHash{key}}, giveUpAt: time.Now().Add(time.Second)}
	l.wait.Go(func() {
		_, err := l.links.call(ctx, "peer", &linkCall{claim: claim})
		l.mu.Lock()
		defer l.mu.Unlock()
		l.callErrors[key] = err
	})
	synctest.Wait()
}

// callResult returns the error of the call with a key, and whether the call has ended.
func (l *linkTest) callResult(key byte) (err error, ok bool) {
	synctest.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	err, ok = l.callErrors[key]
	return err, ok
}

// grantedReply returns a frame that grants the claim with a number.
func grantedReply(id uint32) *pb.OrderReplies {
	claim := &pb.ClaimResponse{Status: pb.ClaimStatus_CLAIM_STATUS_GRANTED}
	return &pb.OrderReplies{Replies: []*pb.OrderReply{{Id: id, Claim: claim}}}
}

// TestLinkStreamEndFailsUnansweredCalls guards against calls that wait on after their
// stream has ended. The stream ends when one of three calls of a frame is answered
// and a fourth call waits to be sent.
func TestLinkStreamEndFailsUnansweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinkTest(t)
		l.call(t.Context(), 0)
		stream := <-l.owner.streams
		assert.Equal(t, len((<-stream.frames).GetCalls()), 1, "an idle link must send a call at once")
		stream.replies <- grantedReply(1)
		for key := byte(1); key <= 3; key++ {
			l.call(t.Context(), key)
		}
		frame := <-stream.frames
		assert.Equal(t, len(frame.GetCalls()), 3, "calls within one interval must share a frame")
		assert.Assert(t, frame.GetClaimant() == nil, "only the first frame may name the claimant")
		l.call(t.Context(), 4)
		stream.replies <- grantedReply(frame.GetCalls()[1].GetId())
		stream.replies <- grantedReply(frame.GetCalls()[1].GetId()) // a duplicate reply
		stream.replies <- grantedReply(99)
		synctest.Wait()
		start := time.Now()
		stream.end()
		for key, want := range []error{nil, errStreamEnded, nil, errStreamEnded, errStreamEnded} {
			err, ok := l.callResult(byte(key))
			assert.Assert(t, ok, "call %d still waits after the stream has ended", key)
			assert.Assert(t, errors.Is(err, want), "call %d: %v", key, err)
		}
		assert.Equal(t, time.Since(start), time.Duration(0))
		l.call(t.Context(), 5)
		newStream := <-l.owner.streams
		assert.Equal(t, (<-newStream.frames).GetClaimant().GetInstance(), "i000", "a new stream must name the claimant")
	})
}

// TestLinkDropsAbandonedCalls guards against calls that are sent, or kept, after their
// callers have stopped waiting.
func TestLinkDropsAbandonedCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinkTest(t)
		sent, cancelSent := context.WithCancel(t.Context())
		l.call(sent, 0)
		stream := <-l.owner.streams
		<-stream.frames
		unsent, cancelUnsent := context.WithCancel(t.Context())
		l.call(unsent, 1)
		l.call(t.Context(), 2)
		cancelSent()
		cancelUnsent()
		frame := <-stream.frames
		assert.Equal(t, len(frame.GetCalls()), 1)
		assert.Equal(t, frame.GetCalls()[0].GetKey()[0], byte(2), "an abandoned call must not be sent")
		l.links.mu.Lock()
		k := l.links.byPeer["peer"]
		l.links.mu.Unlock()
		k.mu.Lock()
		defer k.mu.Unlock()
		assert.Equal(t, len(k.waiting), 1)
	})
}

// TestLinkClosesWhenIdle guards against a link that closes while a call waits for its
// reply, and against one that stays open without calls.
func TestLinkClosesWhenIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinkTest(t)
		l.call(t.Context(), 0)
		stream := <-l.owner.streams
		id := (<-stream.frames).GetCalls()[0].GetId()
		time.Sleep(2 * l.links.settings.IdleUnload)
		assert.NilError(t, stream.ctx.Err(), "the stream must stay open while a call waits for its reply")
		stream.replies <- grantedReply(id)
		time.Sleep(2 * l.links.settings.IdleUnload)
		assert.Assert(t, stream.ctx.Err() != nil)
		assert.Equal(t, len(l.links.byPeer), 0)
	})
}

// TestBoundLinkFrameRateIsIndependentOfLoad sends a thousand claims per second. The
// number of frames depends on frameInterval and not on the load.
func TestBoundLinkFrameRateIsIndependentOfLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLinkTest(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		frames, calls := 0, 0
		for i := range 1000 {
			l.call(ctx, byte(i))
			time.Sleep(time.Millisecond)
			if i == 0 {
				continue
			}
			for _, stream := range l.links.openStreams(l.owner) {
				for len(stream.frames) > 0 {
					calls += len((<-stream.frames).GetCalls())
					frames++
				}
			}
		}
		assert.Assert(t, calls > 900, calls)
		assert.Assert(t, frames <= int(time.Second/frameInterval)+1, "%d frames", frames)
	})
}

// openStreams returns the streams to an owner without removing them from its channel.
func (l *linkTable) openStreams(o *fakeOwner) []*fakeStream {
	var list []*fakeStream
	for range len(o.streams) {
		s := <-o.streams
		list = append(list, s)
		o.streams <- s
	}
	return list
}

// TestClaimsOfEndedStreamAreGrantedByNextOwner loses the replies to a batch of claims
// that took effect. Each claim is granted once by another member, without waiting for
// the peer timeout.
func TestClaimsOfEndedStreamAreGrantedByNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		n, owner := c.nodes["i000"], c.nodes["i001"]
		first, second := c.keysOwnedBy(owner)
		grant(t, n, first) // opens the stream
		var wait sync.WaitGroup
		start := time.Now()
		c.setLostReplies(1)
		for _, key := range []string{second, fmt.Sprint(second, " ")} {
			wait.Go(func() {
				claim, answer := grant(t, n, key)
				assert.NilError(t, n.client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan, Status: 201}))
			})
		}
		wait.Wait()
		assert.Assert(t, time.Since(start) < c.settings.PeerTimeout, time.Since(start))
		c.setLostReplies(0)
		resend, err := resendClaim(t, c.nodes["i002"], second)
		assert.NilError(t, err)
		assert.Equal(t, resend.Result.Status, 201)
	})
}

// TestClaimWithoutSessionIsRefused guards against claims of the local entry that are
// marked as lost by mistake. A control process of another version may forward a claim
// as a separate call, which has no session and must not count as the first claim of a
// new entry process.
func TestClaimWithoutSessionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, testSettings(), objectapi.Limits{})
		n := c.nodes["i000"]
		_, held := grant(t, n, "k")
		response, err := n.service.Claim(context.Background(), &pb.ClaimRequest{
			Service: "desk", Key: "other", Fingerprint: make([]byte, len(order.Fingerprint{})), Token: make([]byte, journal.HashBytes),
			GiveUpUnixMillis: time.Now().Add(time.Second).UnixMilli(),
		})
		assert.NilError(t, err)
		assert.Equal(t, response.GetReason(), string(refusalMalformed))
		raw, err := hex.DecodeString(held.Token)
		assert.NilError(t, err)
		hold, _ := n.service.holds.lookup(journal.Token(raw))
		assert.Equal(t, hold, claims.TokenHeld)
	})
}
