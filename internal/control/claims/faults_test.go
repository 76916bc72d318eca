package claims

import (
	"context"
	"encoding/hex"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/standin/objectapi"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
)

// grant claims a key at an instance and requires that the claim is granted.
func grant(t *testing.T, n *node, key string) (order.Claim, order.Answer) {
	t.Helper()
	claim := testClaim(key, "book")
	answer, err := n.client.Claim(context.Background(), claim)
	assert.NilError(t, err)
	assert.Equal(t, answer.State, order.ClaimGranted)
	return claim, answer
}

// ownerOf returns the instance that owns the shard of a key.
func (c *cluster) ownerOf(key string) *node {
	shard := journal.HashKey("desk", order.Key(key)).Shard(c.settings.Shards)
	return c.nodes[claims.Owners(shard, c.nodes["i000"].Members())[0].ID]
}

// keysOwnedBy returns two keys of the same shard, which the instance owns.
func (c *cluster) keysOwnedBy(n *node) (first, second string) {
	shards := make(map[journal.ShardID]string)
	for i := 0; ; i++ {
		key := fmt.Sprintf("key %d", i)
		if c.ownerOf(key) != n {
			continue
		}
		shard := journal.HashKey("desk", order.Key(key)).Shard(c.settings.Shards)
		if other, ok := shards[shard]; ok {
			return other, key
		}
		shards[shard] = key
	}
}

// keyOwnedBy returns a key of a shard that the instance owns.
func (c *cluster) keyOwnedBy(n *node) string {
	key, _ := c.keysOwnedBy(n)
	return key
}

// resendClaim claims a key again at an instance.
func resendClaim(t *testing.T, n *node, key string) (order.Answer, error) {
	t.Helper()
	return n.client.Claim(context.Background(), testClaim(key, "book"))
}

// TestLostStoreAnswerIsReadBackByNonce guards against a second write when the store
// commits a write but its answer is lost.
func TestLostStoreAnswerIsReadBackByNonce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, testSettings(), objectapi.Limits{})
		c.store.SetFaults(objectapi.Faults{LoseAnswers: 1})
		grant(t, c.nodes["i000"], "k")
		assert.Equal(t, c.store.Counts().Writes(), uint64(1))
	})
}

// TestLateStoreWriteOfClaimLosesNoResult guards against the loss of a result when the
// write of a claim reaches the store late. Either the store refuses the late write or
// the owner recognises it as its own.
func TestLateStoreWriteOfClaimLosesNoResult(t *testing.T) {
	for _, delay := range []time.Duration{time.Millisecond, 50 * time.Millisecond, time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
			key := c.keyOwnedBy(c.nodes["i000"])
			c.nodes["i000"].link.SetFaults(objectapi.LinkFaults{LateWrites: 1, LateBy: delay})
			claim, answer := grant(t, c.nodes["i000"], key)
			assert.NilError(t, c.nodes["i000"].client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan, Status: 201}))
			time.Sleep(2 * time.Minute)
			resend, err := resendClaim(t, c.nodes["i001"], key)
			assert.NilError(t, err)
			assert.Equal(t, resend.State, order.ClaimFinished)
			assert.Equal(t, resend.Result.Outcome, order.OutcomeRan)
		})
	}
}

// TestResendAfterClaimantKillGetsUnknown guards against a second execution of an
// order whose claimant was killed after the grant and may have run it.
func TestResendAfterClaimantKillGetsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		key := c.keyOwnedBy(c.nodes["i001"])
		grant(t, c.nodes["i000"], key)
		c.nodes["i000"].kill()
		c.publishMembers(0)
		resend, err := resendClaim(t, c.nodes["i002"], key)
		assert.NilError(t, err)
		assert.Equal(t, resend.Result.Outcome, order.OutcomeUnknown)
	})
}

// TestOwnerKillLosesNoResult kills the owner of a shard between the grant and the
// result of an order, while all views still contain the owner.
func TestOwnerKillLosesNoResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		key := c.keyOwnedBy(c.nodes["i001"])
		claim, answer := grant(t, c.nodes["i000"], key)
		c.nodes["i001"].kill() // the owner is still in all views
		assert.NilError(t, c.nodes["i000"].client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan, Status: 201}))
		resend, err := resendClaim(t, c.nodes["i002"], key)
		assert.NilError(t, err)
		assert.Equal(t, resend.Result.Status, 201)
	})
}

// TestStaleOwnerRecordsResultOfClaimGrantedElsewhere guards against the loss of a
// result at an owner whose copy of the shard is outdated. An instance that does not
// see the owner grants a claim itself, and later sends the result to the owner.
func TestStaleOwnerRecordsResultOfClaimGrantedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		owner := c.nodes["i001"]
		key, loaded := c.keysOwnedBy(owner)
		grant(t, owner, loaded)
		other := c.nodes["i000"]
		other.setView([]claims.Member{{ID: "i000", Address: "i000", Incarnation: 1}})
		claim, answer := grant(t, other, key)
		c.publishMembers(0)
		assert.NilError(t, other.client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan, Status: 201}))
		resend, err := resendClaim(t, c.nodes["i002"], key)
		assert.NilError(t, err)
		assert.Equal(t, resend.State, order.ClaimFinished)
	})
}

// TestClaimAtFrozenControlTimesOutAndLeavesKeyFree guards against a claim that
// waits for a frozen control process longer than the claim timeout, or that holds
// the key after the thaw.
func TestClaimAtFrozenControlTimesOutAndLeavesKeyFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		n := c.nodes["i000"]
		n.freeze()
		start := time.Now()
		_, err := resendClaim(t, n, "k")
		assert.ErrorContains(t, err, "unavailable")
		assert.Equal(t, time.Since(start), clientSettings().ClaimTimeout)
		n.thaw()
		time.Sleep(time.Minute)
		grant(t, c.nodes["i001"], "k")
	})
}

// TestResendAfterEntryRestartGetsUnknown guards against a second execution of an
// order that the previous entry process may have run. The first claim of the new
// entry process marks the earlier claims as lost.
func TestResendAfterEntryRestartGetsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1, testSettings(), objectapi.Limits{})
		n := c.nodes["i000"]
		grant(t, n, "k")
		n.stopEntry()
		n.startEntry()
		grant(t, n, "other")
		resend, err := resendClaim(t, c.nodes["i001"], "k")
		assert.NilError(t, err)
		assert.Equal(t, resend.Result.Outcome, order.OutcomeUnknown)
	})
}

// TestResultIsRecordedAfterControlRestart guards against the loss of a result when
// the control process of the claimant restarts while its entry process continues. A
// resend gets an unknown outcome until the entry sends the result.
func TestResultIsRecordedAfterControlRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		n := c.nodes["i000"]
		claim, answer := grant(t, n, "k")
		n.killControl()
		n.startControl()
		synctest.Wait()
		resend, err := resendClaim(t, c.nodes["i001"], "k") // the view of i001 is behind
		assert.NilError(t, err)
		assert.Equal(t, resend.Result.Outcome, order.OutcomeUnknown)
		c.publishMembers(0)
		assert.NilError(t, n.client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan, Status: 201}))
		resend, err = resendClaim(t, c.nodes["i001"], "k")
		assert.NilError(t, err)
		assert.Equal(t, resend.Result.Status, 201)
	})
}

// TestResendOfFinishedOrderIsAnsweredDuringStoreOutage checks that the owner
// answers the resend of a finished order from memory.
func TestResendOfFinishedOrderIsAnsweredDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		claim, answer := grant(t, c.nodes["i000"], "k")
		assert.NilError(t, c.nodes["i000"].client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan, Status: 201}))
		c.store.SetFaults(objectapi.Faults{Outage: true})
		resend, err := resendClaim(t, c.nodes["i001"], "k")
		assert.NilError(t, err)
		assert.Equal(t, resend.Result.Status, 201)
	})
}

func TestLongBodyIsStoredAsHash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1, testSettings(), objectapi.Limits{})
		claim, answer := grant(t, c.nodes["i000"], "k")
		result := order.Result{Outcome: order.OutcomeRan, Status: 200, Body: make([]byte, 257)}
		assert.NilError(t, c.nodes["i000"].client.Finish(context.Background(), claim, answer.Token, result))
		resend, err := resendClaim(t, c.nodes["i001"], "k")
		assert.NilError(t, err)
		assert.Assert(t, resend.Result.BodyOmitted)
		assert.Equal(t, len(resend.Result.Body), 0)
		assert.Equal(t, len(resend.Result.BodyHash), 32)
	})
}

// TestDrainWaitsForUnfinishedOrders guards against a shutdown that ends the service
// while an order of the local entry is unfinished.
func TestDrainWaitsForUnfinishedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, testSettings(), objectapi.Limits{})
		n := c.nodes["i000"]
		claim, answer := grant(t, n, "k")
		drained := make(chan error, 1)
		go func() { drained <- n.service.Drain(context.Background()) }()
		time.Sleep(time.Minute)
		assert.Equal(t, len(drained), 0)
		assert.NilError(t, n.client.Finish(context.Background(), claim, answer.Token, order.Result{Outcome: order.OutcomeRan}))
		assert.NilError(t, <-drained)
	})
}

// TestOwnerRefusesClaimAfterItsGiveUpTime guards against a claim that holds an order
// although its entry no longer waits for it. A slow network can deliver a claim
// after its give-up time.
func TestOwnerRefusesClaimAfterItsGiveUpTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1, testSettings(), objectapi.Limits{})
		claim := journal.Claim{Key: journal.HashKey("desk", "k"), Token: journal.Token{1}, Deadline: time.Now().Add(time.Minute)}
		response := claimOverStream(c.nodes["i001"], claim, time.Now().Add(-time.Second))
		assert.Equal(t, response.GetStatus(), pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE)
		assert.Equal(t, c.store.Counts().Writes(), uint64(0))
	})
}

// claimOverStream sends a claim of instance i000 to an owner as a call of a stream.
func claimOverStream(owner *node, claim journal.Claim, giveUp time.Time) *pb.ClaimResponse {
	now := owner.service.clock().Now()
	x := &exchangeStream{service: owner.service, claimant: journal.Claimant{Instance: "i000", Incarnation: 1}}
	return x.handleCall(context.Background(), ordermsg.ClaimCall(1, claim, giveUp, now), now).GetClaim()
}

func TestHoldTableReportsTokenStatus(t *testing.T) {
	token, now := journal.Token{1}, time.Unix(100, 0)
	add := func(h *holdTable) { h.add(token, "first", now) }
	granted := func(h *holdTable) { add(h); h.grant(token) }
	for name, tc := range map[string]struct {
		prepare  func(h *holdTable)
		want     claims.TokenStatus
		mayGrant bool
	}{
		"never added":                     {func(*holdTable) {}, claims.TokenEnded, false},
		"pending":                         {add, claims.TokenHeld, true},
		"granted once only":               {granted, claims.TokenHeld, false},
		"abandoned":                       {func(h *holdTable) { add(h); h.abandon(token) }, claims.TokenEnded, false},
		"granted claims aren't abandoned": {func(h *holdTable) { granted(h); h.abandon(token) }, claims.TokenHeld, false},
		"result durable":                  {func(h *holdTable) { granted(h); h.complete(token) }, claims.TokenEnded, false},
		"released while pending":          {func(h *holdTable) { add(h); h.complete(token) }, claims.TokenEnded, false},
		"entry replaced, granted":         {func(h *holdTable) { granted(h); h.add(journal.Token{2}, "second", now) }, claims.TokenLost, false},
		"entry replaced, pending":         {func(h *holdTable) { add(h); h.add(journal.Token{2}, "second", now) }, claims.TokenLost, false},
		"key's lifetime over":             {func(h *holdTable) { granted(h); h.removeExpired(now.Add(1)) }, claims.TokenEnded, false},
		"another key's lifetime over":     {func(h *holdTable) { granted(h); h.removeExpired(now) }, claims.TokenHeld, false},
		"same token is not added again":   {func(h *holdTable) { granted(h); add(h) }, claims.TokenHeld, false},
		"full table refuses another token": {func(h *holdTable) {
			add(h)
			h.add(journal.Token{2}, "first", now)
			h.add(journal.Token{3}, "first", now)
		}, claims.TokenHeld, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHoldTable(2)
			tc.prepare(h)
			got, _ := h.lookup(token)
			assert.Equal(t, got, tc.want)
			assert.Equal(t, h.grant(token), tc.mayGrant)
			assert.Assert(t, h.len() <= 2)
		})
	}
}

// TestClaimDecidedAfterItsReleaseIsNotRecorded guards against a claim that holds an
// order after its caller has gone. The owner is frozen while it opens the shard for
// the claim. Meanwhile the claim times out and is released, and a later claim of the
// same order is granted and released elsewhere. The journal keeps only the last
// release, since a key has one record, so that the owner can't recognise the claim
// as released after its thaw.
func TestClaimDecidedAfterItsReleaseIsNotRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, testSettings(), objectapi.Limits{})
		owner, claimant, other := c.nodes["i001"], c.nodes["i000"], c.nodes["i002"]
		key := c.keyOwnedBy(owner)
		first := testClaim(key, "book")
		token := journal.Token{1}
		c.store.SetFaults(objectapi.Faults{Delay: 100 * time.Millisecond})
		lateClaim := journal.Claim{Key: journal.HashKey(first.Service, order.Key(key)), Fingerprint: journal.TruncateFingerprint(first.Fingerprint), Token: token}
		c.goRun(func() { claimOverStream(owner, lateClaim, time.Now().Add(2*time.Second)) })
		time.Sleep(50 * time.Millisecond)
		owner.freeze()
		c.store.SetFaults(objectapi.Faults{})
		withoutOwner := slices.DeleteFunc(slices.Clone(other.Members()), func(m claims.Member) bool { return m.ID == owner.id })
		claimant.setView(withoutOwner)
		other.setView(withoutOwner)
		time.Sleep(3 * time.Second)
		released := order.Result{Outcome: order.OutcomeNotRun}
		assert.NilError(t, claimant.client.Finish(context.Background(), first, hex.EncodeToString(token[:]), released))
		second, answer := grant(t, other, key)
		assert.NilError(t, other.client.Finish(context.Background(), second, answer.Token, released))
		owner.thaw()
		time.Sleep(10 * time.Second)
		claimant.kill()
		c.publishMembers(0)
		grant(t, other, key)
	})
}
