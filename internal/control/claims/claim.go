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

// Claim implements the Orders service for the local entry and for peers.
func (s *Service) Claim(ctx context.Context, request *pb.ClaimRequest) (*pb.ClaimResponse, error) {
	s.observe(request.GetTime())
	if request.GetClaimant() != nil {
		return s.serveClaim(ctx, request), nil
	}
	response := s.claimLocal(ctx, request)
	s.metrics.claims.WithLabelValues(response.GetStatus().String()).Inc()
	return response, nil
}

// claimLocal claims for the local entry. A claim that is not granted leaves the
// table before the entry is told so.
func (s *Service) claimLocal(ctx context.Context, request *pb.ClaimRequest) *pb.ClaimResponse {
	token, ok := ordermsg.TokenFromWire(request.GetToken())
	if !ok {
		return s.unavailable(refusalRequest)
	}
	if !s.holds.open(token, request.GetSession(), time.Now()) {
		return s.unavailable(refusalOverload)
	}
	ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(request.GetGiveUpUnixMillis()))
	defer cancel()
	key := journal.HashKey(bundle.ServiceName(request.GetService()), order.Key(request.GetKey()))
	response, sure := s.claimUntilDecided(ctx, key, request)
	if response.GetStatus() == pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		if ctx.Err() == nil && s.holds.grant(token) {
			s.record(timeline.KindOrderClaimed, key, request.GetRequest())
			return response
		}
		response, sure = s.unavailable(refusalTimeout), false
	}
	s.holds.abandon(token)
	response.InDoubt = !sure
	return response
}

// claimUntilDecided claims, and resolves the claims of others that it meets.
// It answers RUNNING after one wait, so that a frozen control process is told
// from a long wait by its entry. See claimAtOwner for sure.
func (s *Service) claimUntilDecided(ctx context.Context, key journal.KeyHash, local *pb.ClaimRequest) (response *pb.ClaimResponse, sure bool) {
	request := s.forwarded(local)
	answerBy := time.Now().Add(s.settings.WaitSlice)
	sure = true
	for {
		answer, allSure := s.claimAtOwner(ctx, key, request)
		sure = sure && allSure
		if answer.GetStatus() != pb.ClaimStatus_CLAIM_STATUS_RUNNING {
			return answer, sure
		}
		switch s.decideResend(ctx, answer, time.Until(answerBy)) {
		case claims.ResendSupersede:
			request = s.forwarded(local)
			request.Supersedes = answer.GetHolderToken()
		case claims.ResendUnknown:
			return s.unknown(key, local), sure
		case claims.ResendRunning:
			return &pb.ClaimResponse{Time: s.stamp(), Status: answer.GetStatus()}, sure
		}
		if ctx.Err() != nil {
			return s.unavailable(refusalTimeout), sure
		}
	}
}

func (s *Service) forwarded(local *pb.ClaimRequest) *pb.ClaimRequest {
	return &pb.ClaimRequest{
		Time:               s.stamp(),
		Service:            local.GetService(),
		Key:                local.GetKey(),
		Fingerprint:        local.GetFingerprint(),
		Token:              local.GetToken(),
		DeadlineUnixMillis: local.GetDeadlineUnixMillis(),
		GiveUpUnixMillis:   local.GetGiveUpUnixMillis(),
		Claimant:           ordermsg.ClaimantToWire(s.claimant()),
	}
}

func (s *Service) claimant() journal.Claimant {
	return journal.Claimant{Instance: s.options.Self.ID, Incarnation: s.options.Self.Incarnation}
}

// decideResend asks the claimant of the holding claim and decides what the resend gets.
func (s *Service) decideResend(ctx context.Context, held *pb.ClaimResponse, wait time.Duration) claims.Resend {
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

// serveClaim decides a claim as the owner of its shard.
func (s *Service) serveClaim(ctx context.Context, request *pb.ClaimRequest) *pb.ClaimResponse {
	claim, ok := claimFromWire(request)
	if !ok {
		return s.unavailable(refusalRequest)
	}
	ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(request.GetGiveUpUnixMillis()))
	defer cancel()
	op := newOperation(ctx, time.Now())
	op.claim = &claim
	r := s.submit(claim.Key.Shard(s.settings.Shards), op)
	if r.refusal != refusalNone {
		return s.unavailable(r.refusal)
	}
	return s.claimResponse(r.decision)
}

func claimFromWire(request *pb.ClaimRequest) (journal.Claim, bool) {
	token, tokenOK := ordermsg.TokenFromWire(request.GetToken())
	fingerprint, fingerprintOK := ordermsg.FingerprintFromWire(request.GetFingerprint())
	supersedes, _ := ordermsg.TokenFromWire(request.GetSupersedes())
	return journal.Claim{
		Key:         journal.HashKey(bundle.ServiceName(request.GetService()), order.Key(request.GetKey())),
		Fingerprint: fingerprint,
		Token:       token,
		Claimant:    ordermsg.ClaimantFromWire(request.GetClaimant()),
		Deadline:    time.UnixMilli(request.GetDeadlineUnixMillis()),
		Supersedes:  supersedes,
	}, tokenOK && fingerprintOK
}

func (s *Service) claimResponse(d journal.Decision) *pb.ClaimResponse {
	response := &pb.ClaimResponse{Time: s.stamp()}
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
		return s.unavailable(refusalFull)
	default:
		return s.unavailable(refusalGivenUp)
	}
	return response
}

// unavailable answers that nothing was granted.
func (s *Service) unavailable(why refusal) *pb.ClaimResponse {
	return &pb.ClaimResponse{
		Time:             s.stamp(),
		Status:           pb.ClaimStatus_CLAIM_STATUS_UNAVAILABLE,
		RetryAfterMillis: s.random.retryAfter(s.settings.RetrySpread).Milliseconds(),
		Reason:           string(why),
	}
}

// unknown answers that the order may have run.
func (s *Service) unknown(key journal.KeyHash, request *pb.ClaimRequest) *pb.ClaimResponse {
	s.metrics.unknown.Inc()
	s.record(timeline.KindOrderUnknown, key, request.GetRequest())
	return &pb.ClaimResponse{
		Time:   s.stamp(),
		Status: pb.ClaimStatus_CLAIM_STATUS_FINISHED,
		Result: &pb.OrderResult{Outcome: pb.OrderOutcome_ORDER_OUTCOME_UNKNOWN},
	}
}

// record notes an event of an order under the hash of its key.
func (s *Service) record(kind timeline.Kind, key journal.KeyHash, requestID string) {
	s.options.Recorder.Record(timeline.Event{Kind: kind, Request: requestID, Order: hex.EncodeToString(key[:])})
}
