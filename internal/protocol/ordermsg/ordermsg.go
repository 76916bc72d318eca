// Package ordermsg converts order types to the messages of the Orders service and back.
package ordermsg

import (
	pb "savoryweir/api/savoryweir/v1"
	"savoryweir/internal/state/hlc"
	"savoryweir/internal/state/journal"
	"savoryweir/internal/state/order"
)

// Stamp returns the wire form of a timestamp.
func Stamp(t hlc.Timestamp) *pb.Timestamp {
	return &pb.Timestamp{WallMillis: t.WallMillis, Logical: t.Logical}
}

// Time returns the timestamp of a message, zero if it has none.
func Time(t *pb.Timestamp) hlc.Timestamp {
	return hlc.Timestamp{WallMillis: t.GetWallMillis(), Logical: t.GetLogical()}
}

// ResultToWire converts a result.
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

// ResultFromWire converts a result. An outcome that it does not know counts as unknown.
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

// TokenFromWire reads a token. It is false when the length is wrong.
func TokenFromWire(b []byte) (journal.Token, bool) {
	if len(b) != journal.HashBytes {
		return journal.Token{}, false
	}
	return journal.Token(b), true
}

// FingerprintFromWire reads a fingerprint. It is false when the length is wrong.
func FingerprintFromWire(b []byte) (journal.Fingerprint, bool) {
	if len(b) != len(order.Fingerprint{}) {
		return journal.Fingerprint{}, false
	}
	return journal.Shorten(order.Fingerprint(b)), true
}

// ClaimantToWire converts a claimant.
func ClaimantToWire(c journal.Claimant) *pb.Claimant {
	return &pb.Claimant{Instance: c.Instance, Incarnation: c.Incarnation}
}

// ClaimantFromWire converts a claimant.
func ClaimantFromWire(m *pb.Claimant) journal.Claimant {
	return journal.Claimant{Instance: m.GetInstance(), Incarnation: m.GetIncarnation()}
}
