package claims

import (
	"time"

	"savoryweir/internal/state/journal"
)

// TokenStatus is the status of a claim's token as reported by the claimant.
type TokenStatus string

// The statuses of a token.
const (
	TokenHeld        TokenStatus = "held"        // the order may still be sent or is running
	TokenEnded       TokenStatus = "ended"       // the claim will not lead to an execution of the order any more
	TokenLost        TokenStatus = "lost"        // the process that held the token has terminated
	TokenUnreachable TokenStatus = "unreachable" // the claimant did not respond
)

// ResendDecision is the handling of a claim for an order that already has another claim.
type ResendDecision string

// The decisions on a resend.
const (
	// ResendRunning tells the caller that the order is running.
	ResendRunning ResendDecision = "running"
	// ResendUnknown tells the caller that the order may have run.
	ResendUnknown ResendDecision = "unknown"
	// ResendSupersede replaces the abandoned claim by a new claim.
	ResendSupersede ResendDecision = "supersede"
)

// FindClaimant returns the member to ask about a record. It returns false if the
// claimant is no longer in the membership view or has restarted since its claim. An
// incarnation in the view that is lower than that of the claim only shows that the view
// is behind.
func FindClaimant(claimant journal.Claimant, view []Member) (Member, bool) {
	for _, m := range view {
		if m.ID == claimant.Instance {
			return m, m.Incarnation <= claimant.Incarnation
		}
	}
	return Member{}, false
}

// DecideResend decides how to handle a resend from the record of the earlier claim and the
// status that its claimant reported. Only the claimant's own report that the claim has
// ended allows another claim. If the claimant has terminated, the outcome is unknown. If
// it does not respond, the order counts as running until the grace period after the
// deadline has passed, and its outcome is unknown from then on.
func DecideResend(record journal.Record, status TokenStatus, now time.Time, grace time.Duration) ResendDecision {
	switch status {
	case TokenEnded:
		return ResendSupersede
	case TokenLost:
		return ResendUnknown
	case TokenHeld:
		return ResendRunning
	default:
		if now.After(record.Deadline.Add(grace)) {
			return ResendUnknown
		}
		return ResendRunning
	}
}
