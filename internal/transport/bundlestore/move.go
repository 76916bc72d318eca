package bundlestore

import (
	"context"
	"errors"
	"fmt"

	"savoryweir/internal/errs"
	"savoryweir/internal/protocol/approvalfile"
	"savoryweir/internal/state/approval"
	"savoryweir/internal/state/bundle"
	"savoryweir/internal/state/object"
)

// ConflictError reports that another approval of the same generation was stored first.
type ConflictError struct{ Winner approval.Approval }

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d was taken by %s's %s of bundle %s",
		e.Winner.Generation, e.Winner.Operator, e.Winner.Action, e.Winner.Manifest)
}

// OutcomeUnknownError reports that an approval may or may not have been stored.
type OutcomeUnknownError struct {
	Attempt approval.Approval
	Cause   error
}

// Error implements the error interface.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("whether generation %d was approved is unknown (nonce %s): %v", e.Attempt.Generation, e.Attempt.Nonce, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// AdvancePointer replaces the pointer current by the approval next, which must have the
// following generation. The update is conditional on the pointer's version, so one of
// several concurrent approvals succeeds and the others return a *ConflictError. After a
// lost response AdvancePointer reads the pointer again and recognizes its own approval by
// the nonce. If that fails it returns an *OutcomeUnknownError.
func (s *Store) AdvancePointer(ctx context.Context, current Pointer, next approval.Approval) error {
	if err := s.recordHistory(ctx, current); err != nil {
		return err
	}
	data, err := approvalfile.EncodeApproval(next)
	if err != nil {
		return errs.Wrap(err, "encode approval", errs.Self)
	}
	maybeWritten := false
	wait := initialBackoff
	for attempt := 1; ; attempt++ {
		err := s.writePointer(ctx, current.Version, data)
		if err == nil {
			return nil
		}
		maybeWritten = maybeWritten || errors.Is(err, object.ErrOutcomeUnknown)
		if errors.Is(err, object.ErrConflict) || maybeWritten {
			isKnown, result := s.checkOutcome(ctx, current, next)
			if isKnown {
				return result
			}
		}
		if !maybeWritten && !isTransient(err) {
			return errs.Wrap(err, "move bundle pointer", peer)
		}
		if attempt == maxAttempts {
			return finalError(maybeWritten, next, err)
		}
		if err := sleep(ctx, wait); err != nil {
			return finalError(maybeWritten, next, err)
		}
		wait = min(2*wait, maxBackoff)
	}
}

// finalError returns the error of an approval after its last attempt. The outcome is unknown
// if one of the attempts may have written the pointer.
func finalError(maybeWritten bool, next approval.Approval, err error) error {
	if maybeWritten {
		return &OutcomeUnknownError{Attempt: next, Cause: err}
	}
	return errs.Wrap(err, "move bundle pointer", peer)
}

// writePointer writes the pointer object if it has the expected version; 0 means that it
// must not exist.
func (s *Store) writePointer(ctx context.Context, expected object.Version, data []byte) error {
	var err error
	if expected == 0 {
		_, err = s.objects.Create(ctx, approvalfile.KindPointer, approvalfile.PointerName, data)
	} else {
		_, err = s.objects.Update(ctx, approvalfile.KindPointer, approvalfile.PointerName, data, expected)
	}
	return err
}

// checkOutcome reads the pointer to find out whether the approval next was stored. The
// outcome is not known while the pointer cannot be read or has not advanced. The write may
// then be repeated, because at most one write with the expected version can succeed.
func (s *Store) checkOutcome(ctx context.Context, current Pointer, next approval.Approval) (isKnown bool, result error) {
	pointer, err := s.Pointer(ctx)
	if err != nil || pointer.Version <= current.Version {
		return false, nil
	}
	winner := pointer.Approval
	if winner.Generation > next.Generation {
		winner, err = s.readHistory(ctx, next.Generation)
		if err != nil {
			return false, nil
		}
	}
	if winner.Nonce == next.Nonce {
		return true, nil
	}
	return true, &ConflictError{Winner: winner}
}

// recordHistory writes the current approval to the history, before the pointer is replaced.
func (s *Store) recordHistory(ctx context.Context, current Pointer) error {
	if current.Version == 0 {
		return nil
	}
	name := approvalfile.HistoryName(current.Approval.Generation)
	return errs.Wrap(s.createImmutable(ctx, approvalfile.KindHistory, name, current.data), "write bundle history", peer)
}

// readHistory reads the approval of a generation from the history.
func (s *Store) readHistory(ctx context.Context, generation bundle.Generation) (approval.Approval, error) {
	o, err := s.objects.Get(ctx, approvalfile.KindHistory, approvalfile.HistoryName(generation))
	if err != nil {
		return approval.Approval{}, errs.Wrap(err, "read bundle history", peer)
	}
	a, err := approvalfile.DecodeApproval(o.Data)
	return a, errs.Wrap(err, "decode bundle history", peer)
}

// ApprovalOf returns the approval of a generation. The error wraps object.ErrNotFound if the
// generation does not exist or is no longer kept.
func (s *Store) ApprovalOf(ctx context.Context, generation bundle.Generation) (approval.Approval, error) {
	current, err := s.Pointer(ctx)
	if err != nil {
		return approval.Approval{}, err
	}
	if current.Approval.Generation == generation && generation != 0 {
		return current.Approval, nil
	}
	return s.readHistory(ctx, generation)
}

// History returns at most limit approvals, latest first. It ends at the earliest approval
// that is still stored.
func (s *Store) History(ctx context.Context, limit int) ([]approval.Approval, error) {
	current, err := s.Pointer(ctx)
	if err != nil || current.Version == 0 {
		return nil, err
	}
	approvals := []approval.Approval{current.Approval}
	for g := current.Approval.Generation - 1; g > 0 && len(approvals) < limit; g-- {
		earlier, err := s.readHistory(ctx, g)
		if errors.Is(err, object.ErrNotFound) {
			return approvals, nil // earlier approvals were deleted
		}
		if err != nil {
			return nil, err
		}
		approvals = append(approvals, earlier)
	}
	return approvals, nil
}
