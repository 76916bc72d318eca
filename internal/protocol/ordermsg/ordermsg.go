// Package ordermsg converts order types to the messages of the Orders service and back.
package ordermsg

import (
	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
)

// TimestampToWire returns the message of a timestamp.
func TimestampToWire(t hlc.Timestamp) *pb.Timestamp {
	return &pb.Timestamp{WallMillis: t.WallMillis, Logical: t.Logical}
}

// TimestampFromWire returns the timestamp in a message. It returns the zero timestamp if the message is nil.
func TimestampFromWire(t *pb.Timestamp) hlc.Timestamp {
	return hlc.Timestamp{WallMillis: t.GetWallMillis(), Logical: t.GetLogical()}
}

// ResultToWire returns the message of the result of an order.
func ResultToWire(r order.Result) *pb.OrderResult {
	return &pb.OrderResult{
		Outcome:     outcomeToWire(r.Outcome),
		Status:      uint32(r.Status),
		ContentType: r.ContentType,
		Body:        r.Body,
		BodyOmitted: r.BodyOmitted,
		BodyHash:    r.BodyHash,
	}
}

// ResultFromWire returns the result of an order in a message. It reads an outcome that this
// version does not define as order.OutcomeUnknown.
func ResultFromWire(m *pb.OrderResult) order.Result {
	return order.Result{
		Outcome:     outcomeFromWire(m.GetOutcome()),
		Status:      int(m.GetStatus()),
		ContentType: m.GetContentType(),
		Body:        m.GetBody(),
		BodyOmitted: m.GetBodyOmitted(),
		BodyHash:    m.GetBodyHash(),
	}
}

func outcomeToWire(o order.Outcome) pb.OrderOutcome {
	switch o {
	case order.OutcomeRan:
		return pb.OrderOutcome_ORDER_OUTCOME_RAN
	case order.OutcomeNotRun:
		return pb.OrderOutcome_ORDER_OUTCOME_NOT_RUN
	default:
		return pb.OrderOutcome_ORDER_OUTCOME_UNKNOWN
	}
}

func outcomeFromWire(o pb.OrderOutcome) order.Outcome {
	switch o {
	case pb.OrderOutcome_ORDER_OUTCOME_RAN:
		return order.OutcomeRan
	case pb.OrderOutcome_ORDER_OUTCOME_NOT_RUN:
		return order.OutcomeNotRun
	default:
		return order.OutcomeUnknown
	}
}

// TokenFromWire returns the token in a message. It returns false if the token has the wrong length.
func TokenFromWire(b []byte) (journal.Token, bool) {
	if len(b) != journal.HashBytes {
		return journal.Token{}, false
	}
	return journal.Token(b), true
}

// FingerprintFromWire returns the shortened form of the fingerprint in a message. It returns false
// if the fingerprint has the wrong length.
func FingerprintFromWire(b []byte) (journal.Fingerprint, bool) {
	if len(b) != len(order.Fingerprint{}) {
		return journal.Fingerprint{}, false
	}
	return journal.TruncateFingerprint(order.Fingerprint(b)), true
}

// ClaimantToWire returns the message of a claimant.
func ClaimantToWire(c journal.Claimant) *pb.Claimant {
	return &pb.Claimant{Instance: c.Instance, Incarnation: c.Incarnation}
}

// ClaimantFromWire returns the claimant in a message.
func ClaimantFromWire(m *pb.Claimant) journal.Claimant {
	return journal.Claimant{Instance: m.GetInstance(), Incarnation: m.GetIncarnation()}
}
