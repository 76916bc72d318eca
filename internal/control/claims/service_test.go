package claims

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/order"
)

// testClaim returns a claim whose fingerprint is derived from the body.
func testClaim(key, body string) order.Claim {
	var f order.Fingerprint
	copy(f[:], body)
	return order.Claim{Service: "desk", Key: order.Key(key), Fingerprint: f, Request: "r", Deadline: time.Now().Add(10 * time.Second)}
}

// TestResendWaitsForRunningOrderAndGetsItsResult claims, resends and finishes an order
// at different instances. The key with another body is a mismatch.
func TestResendWaitsForRunningOrderAndGetsItsResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		ctx := context.Background()
		first := testClaim("k", "book")
		granted, err := c.nodes["i000"].client.Claim(ctx, first)
		assert.NilError(t, err)
		assert.Equal(t, granted.State, order.ClaimGranted)

		other, err := c.nodes["i001"].client.Claim(ctx, testClaim("k", "cancel"))
		assert.NilError(t, err)
		assert.Equal(t, other.State, order.ClaimMismatch)

		resend := make(chan order.Answer)
		go func() {
			answer, _ := c.nodes["i002"].client.Claim(ctx, testClaim("k", "book"))
			resend <- answer
		}()
		time.Sleep(3 * time.Second)
		result := order.Result{Outcome: order.OutcomeRan, Status: 201, ContentType: "text/plain", Body: []byte("booked")}
		assert.NilError(t, c.nodes["i000"].client.Finish(ctx, first, granted.Token, result))
		answer := <-resend
		assert.Equal(t, answer.State, order.ClaimFinished)
		assert.DeepEqual(t, answer.Result, result)
	})
}

// TestResultsSurviveSegmentRotation guards against results that are lost when a shard
// seals and merges segments. The segments are small, so that 400 orders rotate them.
func TestResultsSurviveSegmentRotation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := testSettings()
		settings.Shards, settings.ActiveKiB, settings.SegmentKiB = 1, 1, 16
		c := newCluster(t, 2, 1, settings, objectapi.Limits{})
		ctx := context.Background()
		for i := range 400 {
			claim := testClaim(fmt.Sprint(i), "book")
			answer, err := c.nodes["i000"].client.Claim(ctx, claim)
			assert.NilError(t, err)
			assert.Equal(t, answer.State, order.ClaimGranted)
			assert.NilError(t, c.nodes["i000"].client.Finish(ctx, claim, answer.Token, order.Result{Outcome: order.OutcomeRan, Status: i}))
		}
		for i := range 400 {
			answer, err := c.nodes["i001"].client.Claim(ctx, testClaim(fmt.Sprint(i), "book"))
			assert.NilError(t, err)
			assert.Equal(t, answer.State, order.ClaimFinished)
			assert.Equal(t, answer.Result.Status, i)
		}
	})
}

// TestClaimDuringStoreOutageIsRefusedPromptly guards against claims that wait for a
// store that is down instead of being refused with a time for the retry.
func TestClaimDuringStoreOutageIsRefusedPromptly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		c.store.SetFaults(objectapi.Faults{Outage: true})
		for i := range 50 {
			start := time.Now()
			_, err := c.nodes["i000"].client.Claim(context.Background(), testClaim(fmt.Sprint(i), "book"))
			var unavailable *order.UnavailableError
			assert.Assert(t, errors.As(err, &unavailable))
			assert.Assert(t, unavailable.RetryAfter >= time.Second)
			assert.Assert(t, time.Since(start) < 3*time.Second, time.Since(start))
		}
	})
}
