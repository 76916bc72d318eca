package claims

import (
	"time"

	"savoryweir/internal/state/journal"
)

// TokenStatus is what a claimant says of a token.
type TokenStatus string

// The answers of a claimant.
const (
	TokenHeld        TokenStatus = "held"        // the order may still be sent or is running
	TokenEnded       TokenStatus = "ended"       // this claim leads to no run from now on
	TokenLost        TokenStatus = "lost"        // the process that held the token is gone
	TokenUnreachable TokenStatus = "unreachable" // the claimant did not answer
)

// ResendDecision is what to do with a claim that meets another claim of the same order.
type ResendDecision string

// The decisions on a resend.
const (
	// ResendRunning tells the caller that the order is running.
	ResendRunning ResendDecision = "running"
	// ResendUnknown tells the caller that the order may have run.
	ResendUnknown ResendDecision = "unknown"
	// ResendSupersede claims again in place of the given-up claim.
	ResendSupersede ResendDecision = "supersede"
)

// FindClaimant returns the member to ask about a record. It is false when the
// claimant is no longer in the view, or has restarted since its claim.
func FindClaimant(claimant journal.Claimant, view []Member) (Member, bool) {
	for _, m := range view {
		if m.ID == claimant.Instance {
			return m, m.Incarnation <= claimant.Incarnation
		}
	}
	return Member{}, false
}

// DecideResend decides from the holder's record and its claimant's answer. Only
// the claimant's own word that it gave up allows another claim. A claimant that
// is gone leaves the outcome unknown.
func DecideResend(holder journal.Record, answer TokenStatus, now time.Time, grace time.Duration) ResendDecision {
	switch answer {
	case TokenEnded:
		return ResendSupersede
	case TokenLost:
		return ResendUnknown
	case TokenHeld:
		return ResendRunning
	default:
		if now.After(holder.Deadline.Add(grace)) {
			return ResendUnknown
		}
		return ResendRunning
	}
}
