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

// control answers that the order is running until a time, each time after a wait.
type control struct {
	pb.OrdersClient
	slice   time.Duration
	running time.Time
	claims  int
}

// Claim implements the client of the Orders service.
func (c *control) Claim(ctx context.Context, _ *pb.ClaimRequest, _ ...grpc.CallOption) (*pb.ClaimResponse, error) {
	c.claims++
	if !pause.For(ctx, c.slice) {
		return nil, ctx.Err()
	}
	if time.Now().Before(c.running) {
		return &pb.ClaimResponse{Status: pb.ClaimStatus_CLAIM_STATUS_RUNNING}, nil
	}
	return &pb.ClaimResponse{Status: pb.ClaimStatus_CLAIM_STATUS_FINISHED, Result: &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_RAN, Status: 201}}, nil
}

// TestClaimWaitsForARunningOrder has one wait, to the end of the order or to the
// deadline of the claim, also when it comes within a question.
func TestClaimWaitsForARunningOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		runs   time.Duration
		slice  time.Duration
		waits  time.Duration
		claims int
		want   order.ClaimState
	}{
		"ends in time":                 {runs: 20 * time.Second, slice: time.Second, waits: 21 * time.Second, claims: 17, want: order.ClaimFinished},
		"deadline within a question":   {runs: time.Hour, slice: time.Second, waits: 30 * time.Second, claims: 25, want: order.ClaimRunning},
		"deadline between two of them": {runs: time.Hour, slice: 990 * time.Millisecond, waits: 30 * time.Second, claims: 25, want: order.ClaimRunning},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &control{slice: tc.slice, running: time.Now().Add(tc.runs)}
				client := New(settings.Defaults[Settings](), c, hlc.New(time.Now))
				began := time.Now()
				answer, err := client.Claim(t.Context(), order.Claim{Key: "k", Deadline: began.Add(30 * time.Second)})
				assert.NilError(t, err)
				assert.Equal(t, answer.State, tc.want)
				assert.Equal(t, c.claims, tc.claims)
				assert.Assert(t, time.Since(began) <= tc.waits, time.Since(began))
			})
		})
	}
}
