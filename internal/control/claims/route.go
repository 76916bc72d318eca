package claims

import (
	"context"
	"time"

	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/coordination/claims"
	"savoryweir/internal/state/journal"
)

// maxRemoteOwners is the number of other members that are tried before this
// instance commits to the store itself.
const maxRemoteOwners = 2

// toleratedStoreRefusals is the number of members that may refuse a claim because
// of the store before the claim is tried no further. One member may be cut off
// from the store; two refusals show that the store is down.
const toleratedStoreRefusals = 1

// claimAtOwner sends a claim to the owner of the key's shard, then to the next
// members in rendezvous order, and finally commits it to the store itself. Trying
// several members is safe although one that did not answer may have recorded the
// claim, because the token makes claims idempotent. The result definite is false
// when the claim may be recorded although the response grants nothing.
func (s *Service) claimAtOwner(ctx context.Context, claim ownerClaim) (response *pb.ClaimResponse, definite bool) {
	definite = true
	storeRefusals := 0
	for _, m := range s.route(claim.Key) {
		answer, err := s.claimAt(ctx, m, claim)
		if err != nil {
			definite = false
			continue
		}
		reason := refusal(answer.GetReason())
		definite = definite && reason.definite()
		response = answer
		if !reason.retryElsewhere() || storeRefusals == toleratedStoreRefusals {
			return answer, definite
		}
		storeRefusals++
	}
	if response == nil {
		response = s.unavailableResponse(refusalTimeout)
	}
	return response, definite
}

// claimAt sends a claim to one member, which may be this instance.
func (s *Service) claimAt(ctx context.Context, m claims.Member, claim ownerClaim) (*pb.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.peerTimeout())
	defer cancel()
	if m.ID == s.options.Self.ID {
		return s.commitClaim(ctx, claim), nil
	}
	reply, err := s.callPeer(ctx, m, &linkCall{claim: &claim})
	return reply.GetClaim(), err
}

// finishAtOwner records a result and reports whether it is durable. It tries the
// members in the same order as claimAtOwner.
func (s *Service) finishAtOwner(ctx context.Context, finish journal.Finish) bool {
	for _, m := range s.route(finish.Key) {
		response, err := s.finishAt(ctx, m, finish)
		if err == nil && response.GetRecorded() {
			return true
		}
	}
	return false
}

// finishAt sends a result to one member, which may be this instance.
func (s *Service) finishAt(ctx context.Context, m claims.Member, finish journal.Finish) (*pb.FinishResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.finishTimeout())
	defer cancel()
	if m.ID == s.options.Self.ID {
		return s.commitFinish(ctx, finish), nil
	}
	reply, err := s.callPeer(ctx, m, &linkCall{finish: &finish})
	return reply.GetFinish(), err
}

// callPeer calls another member. When the call fails, the member is avoided for a
// while.
func (s *Service) callPeer(ctx context.Context, m claims.Member, c *linkCall) (*pb.OrderReply, error) {
	reply, err := s.links.call(ctx, m.Address, c)
	if err == nil && (reply.GetClaim() != nil) != (c.claim != nil) {
		err = errReplyKind
	}
	if err != nil {
		s.peers.recordFailure(m.ID, time.Now())
	}
	return reply, err
}

// route returns the members to try for a key. This instance is always the last.
func (s *Service) route(key journal.KeyHash) []claims.Member {
	now := time.Now()
	var route []claims.Member
	for _, m := range s.owners.lookup(key.Shard(s.settings.Shards), s.options.Members.Members()) {
		if m.ID == s.options.Self.ID || len(route) == maxRemoteOwners {
			break
		}
		if s.peers.isUsable(m.ID, now) {
			route = append(route, m)
		}
	}
	return append(route, s.options.Self)
}

// askClaimant asks the claimant for the status of its claim. The claimant waits
// for up to the given time until a held claim ends.
func (s *Service) askClaimant(ctx context.Context, claimant journal.Claimant, token journal.Token, wait time.Duration) claims.TokenStatus {
	if claimant.Instance == s.options.Self.ID {
		return s.lookupLocal(ctx, token, claimant.Incarnation, wait)
	}
	m, ok := claims.FindClaimant(claimant, s.options.Members.Members())
	if !ok {
		return claims.TokenLost
	}
	client, err := s.peers.client(m)
	if err != nil {
		return claims.TokenUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, wait+s.settings.PeerTimeout)
	defer cancel()
	response, err := client.Lookup(ctx, &pb.LookupRequest{
		Time:        s.timestamp(),
		Token:       token[:],
		Incarnation: claimant.Incarnation,
		WaitMillis:  wait.Milliseconds(),
	})
	if err != nil {
		return claims.TokenUnreachable
	}
	s.observeTime(response.GetTime())
	return tokenStatusFromWire(response.GetStatus())
}

func tokenStatusFromWire(status pb.HoldStatus) claims.TokenStatus {
	switch status {
	case pb.HoldStatus_HOLD_STATUS_HELD:
		return claims.TokenHeld
	case pb.HoldStatus_HOLD_STATUS_ENDED:
		return claims.TokenEnded
	case pb.HoldStatus_HOLD_STATUS_LOST:
		return claims.TokenLost
	default:
		return claims.TokenUnreachable
	}
}
