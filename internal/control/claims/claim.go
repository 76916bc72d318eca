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

// ownerClaim is a claim for the owner of its shard.
type ownerClaim struct {
	journal.Claim
	giveUpAt time.Time // it is not recorded later
}

// Claim implements the Orders service for the local entry.
func (s *Service) Claim(ctx context.Context, request *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	s.observeTime(request.GetTime())
	response := s.claimLocal(ctx, request)
	response.Time = s.timestamp()
	s.metrics.claims.WithLabelValues(response.GetStatus().String()).Inc()
	return response, nil
}

// claimLocal claims for the local entry. A claim that is not granted leaves the
// table before the entry is told so.
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

// decodeClaimRequest reads a claim of the local entry, which names its session.
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

// claimUntilDecided claims, and resolves the claims of others that it meets.
// It answers RUNNING after one wait, so that a frozen control process is told
// from a long wait by its entry. See claimAtOwner for sure.
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

func (s *Service) selfClaimant() journal.Claimant {
	return journal.Claimant{Instance: s.options.Self.ID, Incarnation: s.options.Self.Incarnation}
}

// decideResend asks the claimant of the holding claim and decides what the resend gets.
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

// commitClaim decides a claim as the owner of its shard.
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
	case journal.VerdictFull:
		return s.unavailableResponse(refusalJournalFull)
	default:
		return s.unavailableResponse(refusalGivenUp)
	}
	return response
}

// unavailableResponse answers that nothing was granted.
func (s *Service) unavailableResponse(reason refusal) *pb.ClaimResponse {
	return &pb.ClaimResponse{
		Status:           pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE,
		RetryAfterMillis: s.random.retryAfter(s.settings.RetrySpread).Milliseconds(),
		Reason:           string(reason),
	}
}

// unknownOutcomeResponse answers that the order may have run.
func (s *Service) unknownOutcomeResponse(key journal.KeyHash, requestID string) *pb.ClaimResponse {
	s.metrics.unknown.Inc()
	s.recordEvent(timeline.KindOrderUnknown, key, requestID)
	return &pb.ClaimResponse{
		Status: pb.ClaimStatus_CLAIM_STATUS_FINISHED,
		Result: &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_UNKNOWN},
	}
}

// recordEvent notes an event of an order under the hash of its key.
func (s *Service) recordEvent(kind timeline.Kind, key journal.KeyHash, requestID string) {
	s.options.Recorder.Record(timeline.Event{Kind: kind, Request: requestID, Order: hex.EncodeToString(key[:])})
}
