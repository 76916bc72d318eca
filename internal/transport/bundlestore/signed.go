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

// maxUnsigned is how many badly signed approvals in a row are passed over.
const maxUnsigned = 64

// RejectedApproval is an approval that is not signed as the policy requires.
type RejectedApproval struct {
	Head  bundle.Head
	Cause error
}

// SignedPointer is the latest approval that is signed as the policy requires.
type SignedPointer struct {
	Pointer  // zero if there is none
	Rejected []RejectedApproval
}

// Data returns the approval as it is stored.
func (p Pointer) Data() []byte { return p.data }

// LatestSigned starts with the pointer's object and walks back through the history
// to the latest approval above the floor that is signed as the policy requires, so that a
// writer without keys cannot hide an approved generation.
func LatestSigned(ctx context.Context, reader object.Reader, policy approval.Policy, pointer object.Object, floor bundle.Generation) (SignedPointer, error) {
	var found SignedPointer
	o := pointer
	for range maxUnsigned {
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
