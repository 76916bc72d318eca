// Package orderclient claims orders from the control process of the same instance and
// reports their results to it.
package orderclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/errs"
	"savoryweir/internal/pause"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/queue"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
)

// Settings configures a Client.
type Settings struct {
	ClaimTimeout  time.Duration `help:"Time limit for the control process's response to a claim." default:"2s" min:"100ms" max:"60s"`
	FinishTimeout time.Duration `help:"Time limit for one attempt to record a result at the control process." default:"2s" min:"100ms" max:"60s"`
	RunningPoll   time.Duration `help:"Interval at which a running order is claimed again to check whether it has finished." default:"250ms" min:"10ms" max:"10s"`
	RetryAfter    time.Duration `help:"Retry delay that is sent to callers while the control process does not respond." default:"2s" min:"1s" max:"5m"`
	Backlog       int           `help:"Maximum number of results and abandoned claims that wait to be sent to the control process." default:"4096" min:"1" max:"65536"`
	RetryInterval time.Duration `help:"Interval between attempts to record a result." default:"500ms" min:"10ms" max:"1m"`
}

const (
	controlPeer errs.Peer = "control"
	// backlogWorkers is the number of backlog requests that are sent concurrently.
	backlogWorkers = 4
	// clockSkewMargin covers the difference between the clocks of the instances.
	clockSkewMargin = time.Second
)

// delayedRelease is the second release of an abandoned claim. Until the claim's give-up
// time a slow owner may still record the claim after it has received the first release.
type delayedRelease struct {
	request   *pb.FinishRequest
	notBefore time.Time
}

// Client claims orders for one entry process. Results that could not be recorded are
// retried only while Run is running.
type Client struct {
	settings Settings
	orders   pb.OrdersClient
	clock    *hlc.Clock
	session  string
	backlog  *queue.Queue[*pb.FinishRequest]
	delayed  *queue.Queue[delayedRelease]
	pending  atomic.Int64 // requests in both queues and at their workers
}

// New returns a client for one entry process.
func New(s Settings, orders pb.OrdersClient, clock *hlc.Clock) *Client {
	return &Client{
		settings: s,
		orders:   orders,
		clock:    clock,
		session:  uuid.NewString(),
		backlog:  queue.New[*pb.FinishRequest](s.Backlog),
		delayed:  queue.New[delayedRelease](s.Backlog),
	}
}

// Claim requests the right to run an order once. While another claim holds the order, it
// waits until that claim ends, ctx ends or the claim's deadline passes; in the last two
// cases it returns the state ClaimRunning. After an UnavailableError the order must not be
// sent.
func (c *Client) Claim(ctx context.Context, claim order.Claim) (order.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, claim.Deadline)
	defer cancel()
	running := false
	for {
		answer, err := c.claimOnce(ctx, claim)
		if err != nil && running && ctx.Err() != nil {
			return order.Answer{State: order.ClaimRunning}, nil
		}
		if err != nil || answer.State != order.ClaimRunning {
			return answer, err
		}
		running = true
		if !pause.For(ctx, c.settings.RunningPoll) {
			return answer, nil
		}
	}
}

// claimOnce makes one claim with a new token. It abandons a claim whose response did not
// arrive in time: the order is not sent, even if the response arrives later.
func (c *Client) claimOnce(ctx context.Context, claim order.Claim) (order.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ClaimTimeout)
	defer cancel()
	token := newToken()
	response, err := c.orders.Claim(ctx, c.claimRequest(ctx, claim, token))
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		c.abandonClaim(ctx, claim, token)
		return order.Answer{}, c.unavailableError(errs.Wrap(err, "claim order", controlPeer), c.settings.RetryAfter)
	}
	c.clock.Observe(ordermsg.TimestampFromWire(response.GetTime()))
	if response.GetInDoubt() {
		c.abandonClaim(ctx, claim, token)
	}
	return c.toAnswer(response, token)
}

// claimRequest returns the message of a claim. The deadline of ctx is its give-up time.
func (c *Client) claimRequest(ctx context.Context, claim order.Claim, token journal.Token) *pb.ClaimRequest {
	giveUpTime, _ := ctx.Deadline()
	return &pb.ClaimRequest{
		Time:               ordermsg.TimestampToWire(c.clock.Now()),
		Service:            string(claim.Service),
		Key:                string(claim.Key),
		Fingerprint:        claim.Fingerprint[:],
		Request:            claim.Request,
		Token:              token[:],
		Session:            c.session,
		DeadlineUnixMillis: claim.Deadline.UnixMilli(),
		GiveUpUnixMillis:   giveUpTime.UnixMilli(),
	}
}

// toAnswer converts the response to a claim. An unavailable order results in an error.
func (c *Client) toAnswer(response *pb.ClaimResponse, token journal.Token) (order.Answer, error) {
	switch response.GetStatus() {
	case pb.ClaimStatus_CLAIM_STATUS_GRANTED:
		return order.Answer{State: order.ClaimGranted, Token: hex.EncodeToString(token[:])}, nil
	case pb.ClaimStatus_CLAIM_STATUS_FINISHED:
		return order.Answer{State: order.ClaimFinished, Result: ordermsg.ResultFromWire(response.GetResult())}, nil
	case pb.ClaimStatus_CLAIM_STATUS_RUNNING:
		return order.Answer{State: order.ClaimRunning}, nil
	case pb.ClaimStatus_CLAIM_STATUS_MISMATCH:
		return order.Answer{State: order.ClaimMismatch}, nil
	default:
		cause := errs.New("claim order", controlPeer, response.GetReason())
		return order.Answer{}, c.unavailableError(cause, time.Duration(response.GetRetryAfterMillis())*time.Millisecond)
	}
}

// unavailableError returns an UnavailableError with the given retry delay, but at least half
// the RetryAfter setting.
func (c *Client) unavailableError(cause error, retryAfter time.Duration) error {
	return &order.UnavailableError{RetryAfter: max(retryAfter, c.settings.RetryAfter/2), Cause: cause}
}

// abandonClaim queues the two releases of a claim that may have been recorded or granted.
func (c *Client) abandonClaim(ctx context.Context, claim order.Claim, token journal.Token) {
	request := c.finishRequest(claim, token, order.Result{Outcome: order.OutcomeNotRun})
	c.enqueue(request)
	giveUpTime, _ := ctx.Deadline()
	c.pending.Add(1)
	if !c.delayed.Offer(delayedRelease{request, giveUpTime.Add(clockSkewMargin)}) {
		c.pending.Add(-1)
	}
}

// enqueue adds a request to the backlog. It returns false if the backlog is full.
func (c *Client) enqueue(request *pb.FinishRequest) bool {
	c.pending.Add(1)
	if c.backlog.Offer(request) {
		return true
	}
	c.pending.Add(-1)
	return false
}

func (c *Client) finishRequest(claim order.Claim, token journal.Token, result order.Result) *pb.FinishRequest {
	return &pb.FinishRequest{
		Service:     string(claim.Service),
		Key:         string(claim.Key),
		Token:       token[:],
		Fingerprint: claim.Fingerprint[:],
		Result:      ordermsg.ResultToWire(result),
	}
}

var (
	errNotRecorded = errors.New("control process has not recorded the result yet")
	errTokenFormat = errors.New("malformed claim token; expected a fixed number of hexadecimal digits")
	errBacklogFull = errors.New("backlog of unrecorded results is full")
)

// Finish records the result of a granted claim. If that fails, it queues the result for
// Run to retry and returns an error, because the result is not durable yet.
func (c *Client) Finish(ctx context.Context, claim order.Claim, token string, result order.Result) error {
	parsed, err := parseToken(token)
	if err != nil {
		return errs.Wrap(err, "finish order", errs.Self)
	}
	request := c.finishRequest(claim, parsed, result)
	err = c.send(ctx, request)
	if err != nil && !c.enqueue(request) {
		err = errors.Join(err, errBacklogFull)
	}
	return errs.Wrap(err, "finish order", controlPeer)
}

// send makes one attempt to record a result or release.
func (c *Client) send(ctx context.Context, request *pb.FinishRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.FinishTimeout)
	defer cancel()
	stamped := proto.CloneOf(request)
	stamped.Time = ordermsg.TimestampToWire(c.clock.Now())
	response, err := c.orders.Finish(ctx, stamped)
	if err != nil {
		return err
	}
	c.clock.Observe(ordermsg.TimestampFromWire(response.GetTime()))
	if !response.GetRecorded() {
		return errNotRecorded
	}
	return nil
}

// Run retries results and releases that were not recorded. It returns when ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range backlogWorkers {
		workers.Go(func() { c.processBacklog(ctx) })
	}
	workers.Go(func() { c.queueDelayedReleases(ctx) })
	workers.Wait()
	return nil
}

// queueDelayedReleases adds the second releases to the backlog when they are due. All
// claims have the same timeout, so the queue is nearly in the order of their times.
func (c *Client) queueDelayedReleases(ctx context.Context) {
	for {
		release, err := c.delayed.Get(ctx)
		if err != nil || !pause.For(ctx, time.Until(release.notBefore)) {
			return
		}
		c.enqueue(release.request)
		c.pending.Add(-1)
	}
}

// processBacklog sends the requests of the backlog one by one and retries each until it is
// recorded.
func (c *Client) processBacklog(ctx context.Context) {
	for {
		request, err := c.backlog.Get(ctx)
		if err != nil {
			return
		}
		for c.send(ctx, request) != nil && pause.For(ctx, c.settings.RetryInterval) {
			continue
		}
		c.pending.Add(-1)
	}
}

// Backlog returns the number of results and releases that are not recorded yet.
func (c *Client) Backlog() int { return int(c.pending.Load()) }

func newToken() journal.Token {
	var t journal.Token
	_, _ = rand.Read(t[:]) // never fails, see crypto/rand
	return t
}

func parseToken(text string) (journal.Token, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != journal.HashBytes {
		return journal.Token{}, errTokenFormat
	}
	return journal.Token(raw), nil
}
