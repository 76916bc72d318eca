package claims

import (
	"context"
	"encoding/hex"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/protocol/ordermsg"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
	"savoryweir/internal/state/timeline"
)

// ownerClaim is a claim that is sent to the owner of its shard.
type ownerClaim struct {
	journal.Claim
	giveUpAt time.Time // the owner does not record the claim after this time
}

// Claim implements the Claim method of the Orders service, which the local
// entry calls.
func (s *Service) Claim(ctx context.Context, request *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	s.observeTime(request.GetTime())
	response := s.claimLocal(ctx, request)
	response.Time = s.timestamp()
	s.metrics.claims.WithLabelValues(response.GetStatus().String()).Inc()
	return response, nil
}

// claimLocal claims an order for the local entry. It removes a claim that is not
// granted from the hold table before it answers the entry.
func (s *Service) claimLocal(ctx context.Context, request *pb.ClaimRequest) *pb.ClaimResponse {
	claim, ok := s.decodeClaimRequest(request)
	if !ok {
		return s.unavailableResponse(refusalMalformed)
	}
	if !s.holds.add(claim.Token, request.GetSession(), time.Now()) {
		return s.unavailableResponse(refusalOverload)
	}
	ctx, cancel := context.WithDeadline(ctx, claim.giveUpAt)
	defer cancel()
	response, definite := s.claimUntilDecided(ctx, claim, request.GetRequest())
	if response.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		if ctx.Err() == nil && s.holds.grant(claim.Token) {
			s.recordEvent(timeline.KindOrderClaimed, claim.Key, request.GetRequest())
			return response
		}
		response, definite = s.unavailableResponse(refusalTimeout), false
	}
	s.holds.abandon(claim.Token)
	response.InDoubt = !definite
	return response
}

// decodeClaimRequest decodes a claim of the local entry. It reports false when
// the token or the fingerprint is malformed or the session is missing.
func (s *Service) decodeClaimRequest(request *pb.ClaimRequest) (ownerClaim, bool) {
	token, tokenOK := ordermsg.TokenFromWire(request.GetToken())
	fingerprint, fingerprintOK := ordermsg.FingerprintFromWire(request.GetFingerprint())
	return ownerClaim{
		Claim: journal.Claim{
			Key:         journal.HashKey(bundle.ServiceName(request.GetService()), order.Key(request.GetKey())),
			Fingerprint: fingerprint,
			Token:       token,
			Claimant:    s.selfClaimant(),
			Deadline:    time.UnixMilli(request.GetDeadlineUnixMillis()),
		},
		giveUpAt: time.UnixMilli(request.GetGiveUpUnixMillis()),
	}, tokenOK && fingerprintOK && request.GetSession() != ""
}

// claimUntilDecided claims an order and resolves claims of other instances that
// hold it. It answers RUNNING after one WaitSlice, so that the entry can tell a
// frozen control process from a long wait. See claimAtOwner for the meaning of
// definite.
func (s *Service) claimUntilDecided(ctx context.Context, claim ownerClaim, requestID string) (response *pb.ClaimResponse, definite bool) {
	answerBy := time.Now().Add(s.settings.WaitSlice)
	definite = true
	for {
		answer, answerDefinite := s.claimAtOwner(ctx, claim)
		definite = definite && answerDefinite
		if answer.GetStatus() != pb.ClaimStatus_CLAIM_STATUS_RUNNING {
			return answer, definite
		}
		switch s.decideResend(ctx, answer, time.Until(answerBy)) {
		case claims.ResendSupersede:
			claim.Supersedes, _ = ordermsg.TokenFromWire(answer.GetHolderToken())
		case claims.ResendUnknown:
			return s.unknownOutcomeResponse(claim.Key, requestID), definite
		case claims.ResendRunning:
			return &pb.ClaimResponse{Status: answer.GetStatus()}, definite
		}
		if ctx.Err() != nil {
			return s.unavailableResponse(refusalTimeout), definite
		}
	}
}

// selfClaimant returns the claimant that claims of the local entry carry.
func (s *Service) selfClaimant() journal.Claimant {
	return journal.Claimant{Instance: s.options.Self.ID, Incarnation: s.options.Self.Incarnation}
}

// decideResend asks the claimant that holds the order for the status of its
// claim, and decides how to answer the resend.
func (s *Service) decideResend(ctx context.Context, held *pb.ClaimResponse, wait time.Duration) claims.ResendDecision {
	token, ok := ordermsg.TokenFromWire(held.GetHolderToken())
	if !ok {
		return claims.ResendRunning
	}
	holder := journal.Record{
		Token:    token,
		Claimant: ordermsg.ClaimantFromWire(held.GetHolder()),
		Deadline: time.UnixMilli(held.GetHolderDeadlineUnixMillis()),
	}
	answer := s.askClaimant(ctx, holder.Claimant, token, max(wait, 0))
	return claims.DecideResend(holder, answer, time.Now(), s.settings.ResendGrace)
}

// commitClaim decides a claim and commits the decision as the owner of the shard.
func (s *Service) commitClaim(ctx context.Context, claim ownerClaim) *pb.ClaimResponse {
	ctx, cancel := context.WithDeadline(ctx, claim.giveUpAt)
	defer cancel()
	op := newOperation(ctx, time.Now())
	op.claim = &claim.Claim
	r := s.submit(claim.Key.Shard(s.settings.Shards), op)
	if r.refusal != refusalNone {
		return s.unavailableResponse(r.refusal)
	}
	return s.claimResponse(r.decision)
}

// claimResponse converts a decision of the journal to a response.
func (s *Service) claimResponse(d journal.Decision) *pb.ClaimResponse {
	response := &pb.ClaimResponse{}
	switch d.Verdict {
	case journal.VerdictGranted:
		response.Status = pb.ClaimStatus_CLAIM_STATUS_GRANTED
	case journal.VerdictFinished:
		response.Status = pb.ClaimStatus_CLAIM_STATUS_FINISHED
		response.Result = ordermsg.ResultToWire(d.Record.Outcome())
	case journal.VerdictHeld:
		response.Status = pb.ClaimStatus_CLAIM_STATUS_RUNNING
		response.Holder = ordermsg.ClaimantToWire(d.Record.Claimant)
		response.HolderToken = d.Record.Token[:]
		response.HolderDeadlineUnixMillis = d.Record.Deadline.UnixMilli()
	case journal.VerdictMismatch:
		response.Status = pb.ClaimStatus_CLAIM_STATUS_MISMATCH
	case journal.VerdictShardFull:
		return s.unavailableResponse(refusalJournalFull)
	default:
		return s.unavailableResponse(refusalGivenUp)
	}
	return response
}

// unavailableResponse returns a response that grants nothing and tells the
// caller when to retry.
func (s *Service) unavailableResponse(reason refusal) *pb.ClaimResponse {
	return &pb.ClaimResponse{
		Status:           pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE,
		RetryAfterMillis: s.random.retryAfter(s.settings.RetrySpread).Milliseconds(),
		Reason:           string(reason),
	}
}

// unknownOutcomeResponse counts and records an unknown outcome, and returns a
// response that says that the order may have run.
func (s *Service) unknownOutcomeResponse(key journal.KeyHash, requestID string) *pb.ClaimResponse {
	s.metrics.unknown.Inc()
	s.recordEvent(timeline.KindOrderUnknown, key, requestID)
	return &pb.ClaimResponse{
		Status: pb.ClaimStatus_CLAIM_STATUS_FINISHED,
		Result: &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_UNKNOWN},
	}
}

// recordEvent adds an event of an order to the timeline, under the hash of the
// order's key.
func (s *Service) recordEvent(kind timeline.Kind, key journal.KeyHash, requestID string) {
	s.options.Recorder.Record(timeline.Event{Kind: kind, Request: requestID, Order: hex.EncodeToString(key[:])})
}
