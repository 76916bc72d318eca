package orderclient

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/pause"
	"savoryweir/internal/settings"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/order"
)

// ordersStub reports the order as running until runningUntil and as finished afterwards.
// Each response takes responseDelay.
type ordersStub struct {
	pb.OrdersClient
	responseDelay time.Duration
	runningUntil  time.Time
	claims        int
}

// Claim implements pb.OrdersClient.
func (c *ordersStub) Claim(ctx context.Context, _ *pb.ClaimRequest, _ ...grpc.CallOption) (*pb.ClaimResponse, error) {
	c.claims++
	if !pause.For(ctx, c.responseDelay) {
		return nil, ctx.Err()
	}
	if time.Now().Before(c.runningUntil) {
		return &pb.ClaimResponse{Status: pb.ClaimStatus_CLAIM_STATUS_RUNNING}, nil
	}
	return &pb.ClaimResponse{Status: pb.ClaimStatus_CLAIM_STATUS_FINISHED, Result: &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_RAN, Status: 201}}, nil
}

// A claim of a running order must return at the end of the order or at the claim's deadline,
// also if the deadline passes while a poll is in progress.
func TestClaimOfRunningOrderWaitsForItsEndOrTheDeadline(t *testing.T) {
	for name, tc := range map[string]struct {
		runTime       time.Duration
		responseDelay time.Duration
		maxWait       time.Duration
		claims        int
		want          order.ClaimState
	}{
		"order ends before the deadline": {runTime: 20 * time.Second, responseDelay: time.Second, maxWait: 21 * time.Second, claims: 17, want: order.ClaimFinished},
		"deadline during a poll":         {runTime: time.Hour, responseDelay: time.Second, maxWait: 30 * time.Second, claims: 25, want: order.ClaimRunning},
		"deadline between two polls":     {runTime: time.Hour, responseDelay: 990 * time.Millisecond, maxWait: 30 * time.Second, claims: 25, want: order.ClaimRunning},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &ordersStub{responseDelay: tc.responseDelay, runningUntil: time.Now().Add(tc.runTime)}
				client := New(settings.Defaults[Settings](), c, hlc.New(time.Now))
				start := time.Now()
				answer, err := client.Claim(t.Context(), order.Claim{Key: "k", Deadline: start.Add(30 * time.Second)})
				assert.NilError(t, err)
				assert.Equal(t, answer.State, tc.want)
				assert.Equal(t, c.claims, tc.claims)
				assert.Assert(t, time.Since(start) <= tc.maxWait, time.Since(start))
			})
		})
	}
}
