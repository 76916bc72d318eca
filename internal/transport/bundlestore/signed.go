package bundlestore

import (
	"context"
	"errors"

	"savoryweir/internal/coordination/signoff"
	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// maxRejectedApprovals bounds the number of consecutive approvals with insufficient
// signatures that LatestSigned skips.
const maxRejectedApprovals = 64

// RejectedApproval is an approval that does not satisfy the signature policy.
type RejectedApproval struct {
	Head  bundle.Head
	Cause error
}

// SignedPointer is the latest approval that satisfies the signature policy, with the later
// approvals that do not.
type SignedPointer struct {
	Pointer  // zero if no such approval was found
	Rejected []RejectedApproval
}

// Data returns the encoded approval as stored.
func (p Pointer) Data() []byte { return p.data }

// LatestSigned searches for the latest approval above the generation floor that satisfies
// the signature policy. It starts with the pointer object and walks back through the
// history, so that a writer without keys cannot hide an approved generation.
func LatestSigned(ctx context.Context, reader object.Reader, policy approval.Policy, pointer object.Object, floor bundle.Generation) (SignedPointer, error) {
	var found SignedPointer
	o := pointer
	for range maxRejectedApprovals {
		candidate, err := DecodePointer(o)
		if err == nil {
			err = signoff.VerifyApproval(policy, candidate.Approval)
		}
		if err == nil {
			found.Pointer = candidate
			return found, nil
		}
		found.Rejected = append(found.Rejected, RejectedApproval{Head: candidate.Head(), Cause: err})
		generation := candidate.Approval.Generation
		if generation <= floor+1 {
			return found, nil
		}
		o, err = reader.Get(ctx, approvalfile.KindHistory, approvalfile.HistoryName(generation-1))
		if errors.Is(err, object.ErrNotFound) {
			return found, nil
		}
		if err != nil {
			return found, errs.Wrap(err, "read bundle history", peer)
		}
	}
	return found, nil
}
