// Package orderclient claims orders at the control process of the same instance.
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

// Settings of the client.
type Settings struct {
	ClaimTimeout  time.Duration `help:"Time for the control process to answer a claim." default:"2s" min:"100ms" max:"60s"`
	FinishTimeout time.Duration `help:"Time for the control process to record a result, for one attempt." default:"2s" min:"100ms" max:"60s"`
	RunningPoll   time.Duration `help:"Time between two questions about a running order." default:"250ms" min:"10ms" max:"10s"`
	RetryAfter    time.Duration `help:"Time after which callers are told to come back while the control process does not answer." default:"2s" min:"1s" max:"5m"`
	Backlog       int           `help:"Results and given-up claims that wait for the control process." default:"4096" min:"1" max:"65536"`
	RetryInterval time.Duration `help:"Time between two attempts at recording a result." default:"500ms" min:"10ms" max:"1m"`
}

const (
	controlPeer errs.Peer = "control"
	// backlogWorkers is how many results of the backlog are sent at the same time.
	backlogWorkers = 4
	// lateReleaseMargin covers the clocks of the instances.
	lateReleaseMargin = time.Second
)

// lateRelease is the second release of a claim. Until the claim's give-up time a
// slow owner may record it after the first release.
type lateRelease struct {
	request *pb.FinishRequest
	after   time.Time
}

// Client claims orders for one entry process. Run must be running for results
// to be repeated after a failure.
type Client struct {
	settings Settings
	orders   pb.OrdersClient
	clock    *hlc.Clock
	session  string
	backlog  *queue.Queue[*pb.FinishRequest]
	late     *queue.Queue[lateRelease]
	pending  atomic.Int64 // requests in both rings and at their workers
}

// New returns a client for one entry process.
func New(s Settings, orders pb.OrdersClient, clock *hlc.Clock) *Client {
	return &Client{
		settings: s,
		orders:   orders,
		clock:    clock,
		session:  uuid.NewString(),
		backlog:  queue.New[*pb.FinishRequest](s.Backlog),
		late:     queue.New[lateRelease](s.Backlog),
	}
}

// Claim asks for the right to run an order once. While another claim holds the
// order, it waits until ctx or the claim's deadline ends, and answers that the
// order is running. An UnavailableError means that the order must not be sent.
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

// claimOnce makes one claim under a new token. A claim whose answer did not come
// in time is given up: the order is not sent, also when the answer comes later.
func (c *Client) claimOnce(ctx context.Context, claim order.Claim) (order.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.ClaimTimeout)
	defer cancel()
	token := newToken()
	response, err := c.orders.Claim(ctx, c.claimRequest(ctx, claim, token))
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err != nil {
		c.giveUp(ctx, claim, token)
		return order.Answer{}, c.unavailable(errs.Wrap(err, "claim order", controlPeer), c.settings.RetryAfter)
	}
	c.clock.Observe(ordermsg.Time(response.GetTime()))
	if response.GetInDoubt() {
		c.giveUp(ctx, claim, token)
	}
	return c.answer(response, token)
}

func (c *Client) claimRequest(ctx context.Context, claim order.Claim, token journal.Token) *pb.ClaimRequest {
	giveUp, _ := ctx.Deadline()
	return &pb.ClaimRequest{
		Time:               ordermsg.Stamp(c.clock.Now()),
		Service:            string(claim.Service),
		Key:                string(claim.Key),
		Fingerprint:        claim.Fingerprint[:],
		Request:            claim.Request,
		Token:              token[:],
		Session:            c.session,
		DeadlineUnixMillis: claim.Deadline.UnixMilli(),
		GiveUpUnixMillis:   giveUp.UnixMilli(),
	}
}

func (c *Client) answer(response *pb.ClaimResponse, token journal.Token) (order.Answer, error) {
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
		return order.Answer{}, c.unavailable(cause, time.Duration(response.GetRetryAfterMillis())*time.Millisecond)
	}
}

func (c *Client) unavailable(cause error, retryAfter time.Duration) error {
	return &order.UnavailableError{RetryAfter: max(retryAfter, c.settings.RetryAfter/2), Cause: cause}
}

// giveUp queues the releases of a claim that may be recorded or granted.
func (c *Client) giveUp(ctx context.Context, claim order.Claim, token journal.Token) {
	request := c.finishRequest(claim, token, order.Result{Outcome: order.OutcomeNotRun})
	c.queue(request)
	giveUp, _ := ctx.Deadline()
	c.pending.Add(1)
	if !c.late.Offer(lateRelease{request, giveUp.Add(lateReleaseMargin)}) {
		c.pending.Add(-1)
	}
}

func (c *Client) queue(request *pb.FinishRequest) bool {
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
	errNotRecorded = errors.New("result not recorded yet")
	errTokenFormat = errors.New("malformed claim token")
	errBacklogFull = errors.New("backlog of results is full")
)

// Finish records the end of a granted claim. When that fails the result is
// queued, repeated by Run, and the error tells that it is not durable yet.
func (c *Client) Finish(ctx context.Context, claim order.Claim, token string, result order.Result) error {
	parsed, err := parseToken(token)
	if err != nil {
		return errs.Wrap(err, "finish order", errs.Self)
	}
	request := c.finishRequest(claim, parsed, result)
	err = c.send(ctx, request)
	if err != nil && !c.queue(request) {
		err = errors.Join(err, errBacklogFull)
	}
	return errs.Wrap(err, "finish order", controlPeer)
}

func (c *Client) send(ctx context.Context, request *pb.FinishRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.FinishTimeout)
	defer cancel()
	stamped := proto.CloneOf(request)
	stamped.Time = ordermsg.Stamp(c.clock.Now())
	response, err := c.orders.Finish(ctx, stamped)
	if err != nil {
		return err
	}
	c.clock.Observe(ordermsg.Time(response.GetTime()))
	if !response.GetRecorded() {
		return errNotRecorded
	}
	return nil
}

// Run repeats results and releases that were not recorded until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	var duties sync.WaitGroup
	for range backlogWorkers {
		duties.Go(func() { c.backlogDuty(ctx) })
	}
	duties.Go(func() { c.lateDuty(ctx) })
	duties.Wait()
	return nil
}

// lateDuty queues second releases when they are due. All claims have the same
// timeout, so that the ring is nearly in the order of their times.
func (c *Client) lateDuty(ctx context.Context) {
	for {
		release, err := c.late.Get(ctx)
		if err != nil || !pause.For(ctx, time.Until(release.after)) {
			return
		}
		c.queue(release.request)
		c.pending.Add(-1)
	}
}

func (c *Client) backlogDuty(ctx context.Context) {
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

// Backlog returns how many results and releases wait for the control process.
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
